// Decides when a node reads the entry of its own server from the source itself.
//
// All requests to a server pass the node beside it, so that node's knowledge bounds how long a leaving server still
// gets requests. Usually the knowledge comes from a peer that reads for the whole zone, and arrives late when the peer
// stops, freezes or sends a large configuration first. A read of one key then costs the source one call and depends on
// nobody.
//
// Does no input or output.
#pragma once

#include "base/Types.h"

#include <algorithm>
#include <optional>

namespace skylark {

struct EntryCheckOptions {
    // Age of the knowledge at which the entry is read.
    Duration maxAge { std::chrono::milliseconds(1000) };
    // Time from a failed read to the next one. A source that is out of reach is not called more often than by watches.
    Duration retryDelay { std::chrono::milliseconds(1000) };
};

class EntryCheckSchedule {
public:
    explicit EntryCheckSchedule(EntryCheckOptions options)
        : m_options(options)
    {
    }

    // Returns true if the entry is to be read now; recordResult() must follow. `confirmedAt` is the time at which all
    // other knowledge was current.
    bool startIfDue(TimePoint confirmedAt, TimePoint now)
    {
        if (m_isReading || now < m_notBefore || now - std::max(confirmedAt, m_readAt) <= m_options.maxAge)
            return false;
        m_isReading = true;
        return true;
    }

    // `readAt` is absent after a failure, else the time at which the entry was current.
    void recordResult(std::optional<TimePoint> readAt, TimePoint now)
    {
        m_isReading = false;
        if (readAt)
            m_readAt = std::max(m_readAt, *readAt);
        else
            m_notBefore = now + m_options.retryDelay;
    }

private:
    const EntryCheckOptions m_options;
    bool m_isReading { false };
    TimePoint m_readAt;
    TimePoint m_notBefore;
};

} // namespace skylark
