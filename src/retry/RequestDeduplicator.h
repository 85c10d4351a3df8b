// Remembers the non-idempotent requests that the gate ran or refused, so that none runs twice.
//
// Usage:
// - Call claim() before a non-idempotent request is offered to admission, and continue only if it returns ClaimNew.
//   Then call exactly one of finish(), when the request was handed to the backend server, or refuse(), when it was not
//   and never will be.
// - Idempotent requests need no claim. Call wasRefused() before running one and refuse() when the gate refuses it, so
//   that "not run" stays true of them too.
//
// Identity:
// - A request is identified by its id and by its idempotency key; either is enough to recognise a copy.
// - Refusals are kept per attempt: a late copy of a refused attempt never runs. A new attempt of the same id may run;
//   the caller's node may send it since the first attempt is proved not run. Everything else is kept per id.
//
// Bounds:
// - At most `capacity` requests run or have ended within `retention`. At the bound new requests are refused (and are
//   "not run"); no entry is dropped early.
// - Ids and keys are kept as 128-bit digests, which takes 15.5 MB when full, filters included.
// - Refusals are kept in two Bloom filters of 1 MiB that alternate every `retention`. A flood of refusals thus takes
//   no further memory, and a false positive only refuses a request, which is always safe.
//
// Pauses: call advance() every 100 ms. A gap of more than pauseGap between calls means that the process was paused.
// Requests received before it resumed, or within `resumeMargin` after that, may have waited in socket buffers all that
// time and are refused.
//
// The class takes no lock; share it as Guarded<RequestDeduplicator>.
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
    Incarnation gateIncarnation;
    size_t capacity { 65536 };
    Duration retention { std::chrono::seconds(120) };
    Duration pauseGap { std::chrono::seconds(2) };
    Duration resumeMargin { std::chrono::milliseconds(200) };
};

struct ClaimRequest {
    RequestId requestId;
    uint32_t attempt { 1 };
    // Empty when the caller sent none.
    std::string idempotencyKey {};
    // The process that the sender addresses (CallStart::gateIncarnation).
    Incarnation gateIncarnation;
    // The caller marked the request as a possible copy of an earlier one.
    bool isResend { false };
    TimePoint receivedAt;
};

// The request is new and may go on to admission.
struct ClaimNew { };
// A copy of the request waits or runs now.
struct ClaimRunning { };
struct ClaimDone {
    CallOutcome outcome { CallOutcome::Unknown };
};
enum class ClaimRefusal : uint8_t {
    RefusedBefore,
    CapacityReached,
    // Received before a pause of the process, or buffered during it.
    BeforePause,
    // Addressed to an earlier process of this instance.
    OtherIncarnation,
};
const char* claimRefusalName(ClaimRefusal reason);
// The request was not run, and its refusal is recorded.
struct ClaimRefused {
    ClaimRefusal reason { ClaimRefusal::RefusedBefore };
};
// A marked resend that may have run outside the period or the gates covered here: report Unknown and do not run it.
struct ClaimNotCovered { };

using Claim = std::variant<ClaimNew, ClaimRunning, ClaimDone, ClaimRefused, ClaimNotCovered>;

class RequestDeduplicator {
public:
    RequestDeduplicator(RequestDeduplicatorOptions options, TimePoint startedAt);

    Claim claim(const ClaimRequest& request, TimePoint now);
    // Records that the claimed request was handed to the backend server and ended with this outcome.
    void finish(const RequestId& requestId, CallOutcome outcome, TimePoint now);
    // Records that the request was not handed to the backend server. Releases its claim, if any.
    void refuse(const RequestId& requestId, uint32_t attempt, TimePoint now);
    bool wasRefused(const RequestId& requestId, uint32_t attempt) const;

    // Drops expired entries and detects pauses.
    void advance(TimePoint now);
    // Call this when an instance joins or leaves the list of this gate's service. Keys may have moved here from a gate
    // whose entries are out of reach, so marked resends are not covered until `retention` has passed.
    void recordOwnershipChange(TimePoint now);

    size_t size() const { return m_entries.size(); }
    bool isFull() const { return m_entries.size() >= m_options.capacity; }

private:
    struct Entry {
        // Zero digest when the request has no key.
        Digest key;
        // Digest of the id and the number of the claimed attempt.
        Digest attempt;
        bool isDone { false };
        CallOutcome outcome { CallOutcome::Unknown };
    };
    struct EndedRequest {
        Digest id;
        TimePoint endedAt;
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
    std::deque<EndedRequest> m_ended;
    RefusalFilter m_refusals;
    TimePoint m_coveredSince;
    TimePoint m_lastAdvance;
    // Requests received before this time are refused.
    TimePoint m_acceptFrom;
};

} // namespace skylark
