// A value behind one mutex, for decision objects that several threads share.
//
// guarded.with([&](auto& value) { return value.offer(ticket, now); }) runs the function while the mutex is
// held. Keep the function short: it must not do input or output, wait, or use another guarded value.
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
