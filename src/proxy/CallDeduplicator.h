// Prevents a call that is resent over a new connection from running twice.
//
// Pass each arrival to begin(). Run a New call and report its reply with end(). A Running call is joined: its reply
// comes when the first arrival ends. For an Ended call, reply() returns the stored reply. An entry expires `margin`
// after the call's deadline or its end, whichever is later; the sender does not resend the call after that. Senders
// address the gate's process by incarnation, so a restarted process may start without entries.
//
// Bound: `capacity` calls. At capacity new calls are refused, which is safe; no entry is dropped early. At
// maxReplyBytes a reply is stored without its body, as Unknown: a resend of the call then does not run it either.
#pragma once

#include "proxy/GateCall.h"

#include <absl/container/flat_hash_map.h>
#include <deque>

namespace skylark {

struct CallDeduplicatorOptions {
    size_t capacity { 32768 };
    // Bytes of the bodies of stored replies. A reply beyond it is replaced by one that says Unknown.
    size_t maxReplyBytes { 8 * 1024 * 1024 };
    Duration margin { std::chrono::seconds(4) };
};

enum class CallArrival : uint8_t {
    New,
    Running,
    Ended,
    // The call cannot be recorded and must not run.
    CapacityExceeded,
};

class CallDeduplicator {
public:
    explicit CallDeduplicator(CallDeduplicatorOptions options);

    CallArrival begin(const CallKey& key, TimePoint deadline, TimePoint now);
    void end(const CallKey& key, GateReplyPtr reply, TimePoint now);
    // Null if the call is running or unknown.
    GateReplyPtr reply(const CallKey& key) const;
    // Removes the entries that have expired.
    void advance(TimePoint now);
    size_t size() const { return m_entries.size(); }

private:
    struct Entry {
        TimePoint deadline;
        GateReplyPtr reply;
        size_t replyBytes { 0 };
    };
    struct Expiry {
        TimePoint expiresAt;
        CallKey key;
    };

    static size_t bodyBytes(const GateReply& reply);

    CallDeduplicatorOptions m_options;
    size_t m_replyBytes { 0 };
    absl::flat_hash_map<CallKey, Entry> m_entries;
    // Ended calls in order of their end. They are removed in this order, so an entry may stay longer than necessary, by
    // at most the timeout of a call.
    std::deque<Expiry> m_endedCalls;
};

} // namespace skylark
