// Decides from a gate's own evidence until when its backend server counts as cold.
//
// The server's entry in the source states the remaining cold time. It may be up to a heartbeat interval old, and the
// source may be unreachable. The server therefore also counts as cold, for coldStart, after events that may have made
// it cold without its entry saying so yet:
//   * the gate's process started, so nothing is known of the server's last seconds;
//   * the entry names a new start of the server;
//   * the server refused or reset connections; the time counts from the first contact after that;
//   * the evacuation of the server's zone ended.
// An entry without remaining cold time ends such an assumption only if it was current `settleTime` after the event:
// by then a server that became cold has written a heartbeat that says so.
//
// Not thread-safe; does no input or output. Constant size.
#pragma once

#include "base/Types.h"

#include <algorithm>
#include <optional>

namespace skylark {

enum class ColdCause : uint8_t {
    None,
    ProcessStarted,
    ServerStarted,
    ConnectionsLost,
    EvacuationEnded,
    Entry,
};

const char* coldCauseName(ColdCause cause);

// The part of a server's entry that concerns its cold state.
struct ColdEntry {
    Incarnation incarnation;
    // Unknown if a peer of an earlier release sent the entry.
    std::optional<HeartbeatNumber> heartbeat;
    Duration remaining {};

    bool operator==(const ColdEntry&) const = default;
};

class ColdServerState {
public:
    // The server counts as cold from the start of the process.
    explicit ColdServerState(TimePoint now);

    // The time for which the server is cold after its start.
    void setColdStart(Duration coldStart) { m_coldStart = coldStart; }
    // The entry as the node knows it now. A repeated entry changes nothing.
    void recordEntry(const ColdEntry& entry, TimePoint now);
    // The last recorded entry was still the server's entry at `confirmedAt`.
    void confirmEntry(TimePoint confirmedAt);
    // The server refused a connection or reset all open ones.
    void recordConnectionsLost(TimePoint now);
    // The server responded.
    void recordContact(TimePoint now);
    void recordEvacuationEnded(TimePoint now) { assume(ColdCause::EvacuationEnded, now); }

    bool isCold(TimePoint now) const { return m_isContactLost || now < coldUntil(); }
    ColdCause cause(TimePoint now) const;
    // Zero if the server is not cold; coldStart while contact is lost.
    Duration remaining(TimePoint now) const;

private:
    // An assumption that lasts for coldStart.
    void assume(ColdCause cause, TimePoint now);
    TimePoint assumedUntil() const;
    TimePoint coldUntil() const { return std::max(assumedUntil(), m_entryUntil); }

    Duration m_coldStart {};
    std::optional<ColdEntry> m_entry;
    TimePoint m_entryUntil;
    ColdCause m_assumedCause { ColdCause::None };
    TimePoint m_assumedAt;
    bool m_isContactLost { false };
};

} // namespace skylark
