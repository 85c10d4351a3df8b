// The slots of a stand-in backend server and the queue of requests that wait for a slot.
#pragma once

#include "base/Types.h"

#include <condition_variable>
#include <functional>
#include <mutex>

namespace skylark {

enum class SlotResult {
    Granted,
    // The queue is full.
    Shed,
    // The deadline passed or the caller disconnected while the request waited.
    Abandoned,
};

class SlotPool {
public:
    SlotPool(int slots, int queueCapacity)
        : m_slots(slots)
        , m_queueCapacity(queueCapacity)
    {
    }

    // Waits for a slot. After Granted, the caller must call release(). A waiting request calls isAbandoned every 10 ms.
    SlotResult acquire(TimePoint deadline, const std::function<bool()>& isAbandoned)
    {
        std::unique_lock lock(m_mutex);
        if (m_inFlight >= m_slots && m_queued >= m_queueCapacity)
            return SlotResult::Shed;
        ++m_queued;
        SlotResult result = SlotResult::Granted;
        while (m_inFlight >= m_slots && result == SlotResult::Granted) {
            m_slotFreed.wait_for(lock, std::chrono::milliseconds(10));
            if (m_inFlight >= m_slots && (std::chrono::steady_clock::now() >= deadline || isAbandoned()))
                result = SlotResult::Abandoned;
        }
        --m_queued;
        if (result == SlotResult::Granted)
            ++m_inFlight;
        return result;
    }

    void release()
    {
        const std::lock_guard lock(m_mutex);
        --m_inFlight;
        m_slotFreed.notify_one();
    }

    struct Load {
        int inFlight { 0 };
        int queued { 0 };
    };
    Load load() const
    {
        const std::lock_guard lock(m_mutex);
        return { m_inFlight, m_queued };
    }

private:
    const int m_slots;
    const int m_queueCapacity;
    mutable std::mutex m_mutex;
    std::condition_variable m_slotFreed;
    int m_inFlight { 0 };
    int m_queued { 0 };
};

} // namespace skylark
