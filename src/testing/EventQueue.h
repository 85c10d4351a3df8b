// A queue of actions for discrete-event simulations, ordered by time. Actions with the same time run in the order in
// which they were added.
#pragma once

#include "base/Types.h"

#include <functional>
#include <queue>

namespace skylark {

class EventQueue {
public:
    void add(TimePoint time, std::function<void()> action) { m_events.push({ time, m_sequence++, std::move(action) }); }
    // Removes the first action, calls setTime with its time and then runs it. The queue must not be empty.
    template <typename SetTime> void runFirst(SetTime setTime)
    {
        const Event event = m_events.top();
        m_events.pop();
        setTime(event.time);
        event.action();
    }

private:
    struct Event {
        TimePoint time;
        uint64_t sequence;
        std::function<void()> action;
        bool operator<(const Event& other) const
        {
            return time != other.time ? time > other.time : sequence > other.sequence;
        }
    };

    std::priority_queue<Event> m_events;
    uint64_t m_sequence { 0 };
};

} // namespace skylark
