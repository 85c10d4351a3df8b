// Calls that wait for their turn at a server with a limited rate.
//
// Calls start in order of rank and, within a rank, in order of arrival. Each has a time after which its start would be
// useless. A call waits only while its turn, which follows from the rate and the calls ahead of it, comes before that
// time; otherwise offer() or expire() returns it, and it is refused at once. A more urgent call therefore displaces
// less urgent ones, never the reverse. While the most urgent calls alone exceed the rate, the others get nothing.
//
// Bound: maxSize calls; a call that does not fit displaces the last one. Each operation costs O(size).
#pragma once

#include "admission/AdmissionController.h"

#include <vector>

namespace skylark {

class RateQueue {
public:
    struct Entry {
        TicketId id;
        int rank { 0 };
        TimePoint startBy;
    };

    explicit RateQueue(size_t maxSize = 256)
        : m_maxSize(maxSize)
    {
    }

    // The time until the first call can start, and the time between two starts.
    struct Turns {
        Duration first {};
        Duration interval {};
    };

    // Adds the call and returns those that cannot start in time, possibly this one.
    std::vector<TicketId> offer(const Entry& entry, const Turns& turns, TimePoint now);
    // Returns the calls that can no longer start in time.
    std::vector<TicketId> expire(const Turns& turns, TimePoint now);
    // Removes and returns the call whose turn it is; the queue must not be empty.
    TicketId takeFirst();
    std::vector<TicketId> takeAll();
    // Returns true if the call was waiting.
    bool cancel(TicketId id);

    bool isEmpty() const { return m_entries.empty(); }
    size_t size() const { return m_entries.size(); }

private:
    size_t m_maxSize;
    // In the order of their turns.
    std::vector<Entry> m_entries;
};

} // namespace skylark
