// The gate's record of calls, by which a call that is sent again over a new connection does not run again.
//
// begin() each arrival. A New one is run and ended by end(); a Running one is joined: its reply comes when the first
// arrival ends; of an Ended one reply() gives the outcome. Entries are kept until the sender no longer asks: `margin`
// after the call's deadline, and at least that long after its end. A sender asks for the gate's process by
// incarnation, so a fresh record covers all calls that are meant for it.
//
// Bound: `capacity` calls; beyond that new ones are refused, which is safe, and none is forgotten early.
#pragma once

#include "proxy/GateCall.h"

#include <absl/container/flat_hash_map.h>
#include <deque>

namespace skylark {

struct CallDeduplicatorOptions {
    size_t capacity { 32768 };
    Duration margin { std::chrono::seconds(4) };
};

enum class CallArrival : uint8_t {
    New,
    Running,
    Ended,
    // No room to record it: it must not run.
    CapacityExceeded,
};

class CallDeduplicator {
public:
    explicit CallDeduplicator(CallDeduplicatorOptions options);

    CallArrival begin(const CallKey& key, TimePoint deadline, TimePoint now);
    void end(const CallKey& key, GateReplyPtr reply, TimePoint now);
    // Null while the call runs or when it is not known.
    GateReplyPtr reply(const CallKey& key) const;
    // Forgets what no sender asks for any more.
    void advance(TimePoint now);
    size_t size() const { return m_entries.size(); }

private:
    struct Entry {
        TimePoint deadline;
        GateReplyPtr reply;
    };
    struct Expiry {
        TimePoint at;
        CallKey key;
    };

    CallDeduplicatorOptions m_options;
    absl::flat_hash_map<CallKey, Entry> m_entries;
    // Ended calls in order of their end; forgotten in that order, at most a deadline later than needed.
    std::deque<Expiry> m_ended;
};

} // namespace skylark
