// A value protected by a mutex, for objects that several threads share.
//
// guarded.with([&](auto& value) { return value.offer(ticket, now); }) calls the function with the mutex locked.
// Keep the function short: it must not perform I/O, block, or access another guarded value.
#pragma once

#include <mutex>
#include <utility>

namespace skylark {

template <typename T> class Guarded {
public:
    template <typename... Arguments>
    explicit Guarded(Arguments&&... arguments)
        : m_value(std::forward<Arguments>(arguments)...)
    {
    }

    template <typename Function> decltype(auto) with(Function&& function)
    {
        const std::lock_guard lock(m_mutex);
        return std::forward<Function>(function)(m_value);
    }

private:
    std::mutex m_mutex;
    T m_value;
};

} // namespace skylark
