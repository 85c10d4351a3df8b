// The gate's record of the non-idempotent requests that it ran or refused, so that none runs twice.
//
// Before a non-idempotent request is offered to admission, claim() it and go on only with ClaimNew. Then call
// exactly one of finish(), when the backend server was handed the request, or refuse(), when it was not and
// never will be. Idempotent requests need no claim; refuse() those that the gate refuses and ask wasRefused()
// first, so that "not run" stays true of them too.
//
// A request is known by its id and by its idempotency key, either of which is enough to recognise a copy.
// Refusals are kept per attempt: a late copy of a refused attempt never runs, while a new attempt of the same
// id, which the caller's node may send since the first is proved not run, may. All else is kept per id.
//
// Bounds: `capacity` requests run or ended within `retention`. At the bound new requests are refused (and
// are "not run"); no entry is dropped early. Ids and keys are kept as 128-bit digests, which makes 15.5 MB when
// full, filters included. Refusals are kept in two Bloom filters of 1 MiB that alternate every `retention`: a
// flood of refusals costs no memory, and a false match only refuses a request, which is always safe.
//
// The object takes no lock; share it as Guarded<RequestDeduplicator>. Call advance() every 100 ms: a gap of more
// than pauseGap between calls means that the process was paused, and requests that were received before the
// resumption or within `resumeMargin` after it may have waited in socket buffers all that time. They are refused.
#pragma once

#include "base/Digest.h"
#include "base/Types.h"
#include "retry/RefusalFilter.h"
#include "wire/Messages.h"

#include <absl/container/flat_hash_map.h>
#include <deque>
#include <variant>

namespace skylark {

struct RequestDeduplicatorOptions {
    Incarnation gate;
    size_t capacity { 65536 };
    Duration retention { std::chrono::seconds(120) };
    Duration pauseGap { std::chrono::seconds(2) };
    Duration resumeMargin { std::chrono::milliseconds(200) };
};

struct ClaimRequest {
    RequestId requestId;
    uint32_t attempt { 1 };
    // Empty when the caller gave none.
    std::string idempotencyKey {};
    // The process that the sender means (CallStart::gateIncarnation).
    Incarnation gate;
    // The caller marked the request as a possible copy of an earlier one.
    bool isResend { false };
    TimePoint receivedAt;
};

// The request may go on to admission.
struct ClaimNew { };
// A copy waits or runs now.
struct ClaimRunning { };
struct ClaimDone {
    CallOutcome outcome { CallOutcome::Unknown };
};
enum class ClaimRefusal : uint8_t {
    RefusedBefore,
    CapacityReached,
    // Received before the process was paused, or buffered meanwhile.
    BeforePause,
    // Meant for an earlier process of this instance.
    OtherIncarnation,
};
const char* claimRefusalName(ClaimRefusal reason);
// Not run, and recorded as refused.
struct ClaimRefused {
    ClaimRefusal reason { ClaimRefusal::RefusedBefore };
};
// A marked resend that may have run where this record does not reach: answer Unknown, do not run.
struct ClaimNotCovered { };

using Claim = std::variant<ClaimNew, ClaimRunning, ClaimDone, ClaimRefused, ClaimNotCovered>;

class RequestDeduplicator {
public:
    RequestDeduplicator(RequestDeduplicatorOptions options, TimePoint startedAt);

    Claim claim(const ClaimRequest& request, TimePoint now);
    // The claimed request was handed to the backend server and has ended with this outcome.
    void finish(const RequestId& requestId, CallOutcome outcome, TimePoint now);
    // The request was not handed to the backend server. A claim of it, if any, is given up.
    void refuse(const RequestId& requestId, uint32_t attempt, TimePoint now);
    bool wasRefused(const RequestId& requestId, uint32_t attempt) const;

    // Drops entries past the retention and notices pauses.
    void advance(TimePoint now);
    // To call when an instance joins or leaves the list of this gate's service: keys may have moved here from
    // a gate whose record is out of reach, so marked resends are not covered until `retention` has passed.
    void recordOwnershipChange(TimePoint now);

    size_t size() const { return m_entries.size(); }
    bool isFull() const { return m_entries.size() >= m_options.capacity; }

private:
    struct Entry {
        // Zero digest when the request has no key.
        Digest key;
        // Covers the id and the number of the attempt that was claimed.
        Digest attempt;
        bool isDone { false };
        CallOutcome outcome { CallOutcome::Unknown };
    };
    struct Ended {
        Digest id;
        TimePoint at;
    };

    const Entry* find(const Digest& id, const Digest& key) const;
    bool isCovered(const ClaimRequest& request, TimePoint now) const;
    void detectPause(TimePoint now);
    void expireEnded(TimePoint now);
    void erase(const Digest& id);
    Claim refuseClaim(const ClaimRequest& request, ClaimRefusal reason, TimePoint now);

    const RequestDeduplicatorOptions m_options;
    // At most options.capacity entries each.
    absl::flat_hash_map<Digest, Entry> m_entries;
    absl::flat_hash_map<Digest, Digest> m_idOfKey;
    // Ended requests in order of time; at most one per entry.
    std::deque<Ended> m_ended;
    RefusalFilter m_refused;
    TimePoint m_coveredSince;
    TimePoint m_lastAdvance;
    // Requests received before this time are refused.
    TimePoint m_acceptFrom;
};

} // namespace skylark
