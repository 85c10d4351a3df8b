// Admission control of a gate: decides which calls run now, wait in a queue or are refused.
//
// Usage:
// - Pass each call to offer(). Start the calls that are Admitted, and call release() exactly once for each when it has
//   ended.
// - release() and advance() return the waiting calls to start and those that are refused. Call advance() every 10 to
//   100 ms.
// - A refused call was never started, so it may be reported as "not run".
//
// Order:
// - Urgent ranks (low numbers) start first. Within a rank, calls start in order of onTimeBy, or of the deadline
//   for a call that states no onTimeBy.
// - A rank whose share of slot time over the last 5 s is below its floor (see FloorCredit) goes ahead of the others.
//   It does so on at most ceil(floor x limit) slots, so that a rank that was idle cannot claim a whole window's slot
//   time in one burst.
//
// Reserved slots:
// - A rank above its floor leaves slots free for a more urgent rank when none of the slots that less urgent ranks hold
//   is expected to become free within a tenth of the more urgent rank's target. Where slots turn over faster, urgent
//   arrivals wait little and no slot needs to stay idle.
// - The number of slots left free is the number that the urgent rank's recent arrivals occupy on average, plus one
//   standard deviation (at least one slot), minus the slots that the rank occupies now.
//
// Late calls:
// - A call that states onTimeBy and is not expected to be answered by then is queued behind all calls, of any rank,
//   that can still be on time. It waits only while the capacity that those calls leave is expected to reach it before
//   its deadline, and is refused otherwise.
// - Under overload, a queue in order of arrival answers nearly all calls late. With this rule the calls that are
//   answered are answered on time, and the others are refused immediately (LateCallTest simulates that load).
//
// Early refusal and the queue bound:
// - A call whose estimated wait and service time exceed its deadline is refused immediately.
// - The queues hold maxQueue calls at most. When they are full, the call with the latest deadline of the lowest rank
//   is dropped, among ranks that hold more than floor x maxQueue entries. Without this exception a flood of urgent
//   calls would empty the queues of the other ranks, which would then not reach their floors.
//
// Slot time is the measured time between start and release. The class takes no lock and reads no clock; share it as
// Guarded<AdmissionController> (base/Guarded.h). Each operation costs O(ranks + log maxQueue).
#pragma once

#include "admission/ConcurrencyLimit.h"
#include "admission/Estimates.h"
#include "base/Types.h"
#include "document/Configuration.h"

#include <absl/container/flat_hash_map.h>
#include <optional>
#include <set>
#include <variant>
#include <vector>

namespace skylark {

using TicketId = Strong<struct TicketIdTag, uint64_t>;

struct Ticket {
    // Unique among the calls that wait or run.
    TicketId id;
    // Index into the list of ranks; a number past the end counts as the lowest rank.
    int rank { 0 };
    TimePoint deadline;
    // A response after this time is worth little to the caller. TimePoint() if the call states none; otherwise never
    // after the deadline.
    TimePoint onTimeBy {};
    // Among calls of one rank with equal deadlines, the one with the higher worth starts first.
    double worth { 1 };
    // Expected service time, used until the service time of the rank has been measured, and always if
    // AdmissionOptions::usesCostHints is set. Zero when unknown.
    Duration costHint {};
};

enum class RefusalReason : uint8_t {
    // The queues are full and this call is the least urgent.
    QueueFull,
    // The call cannot finish before its deadline.
    TooLate,
    Draining,
};

const char* refusalReasonName(RefusalReason reason);

struct RefusedTicket {
    Ticket ticket;
    RefusalReason reason { RefusalReason::TooLate };
};

enum class Admission : uint8_t {
    Admitted,
    Queued,
    Refused,
};

struct AdmitResult {
    Admission admission { Admission::Refused };
    // Valid when refused.
    RefusalReason reason { RefusalReason::TooLate };
    // Waiting calls that were dropped to make room for this one.
    std::vector<RefusedTicket> displaced;
};

// Waiting calls that start or are refused now.
struct Dispatch {
    std::vector<Ticket> started;
    std::vector<RefusedTicket> refused;
};

enum class ServiceResult : uint8_t {
    Answered,
    // The backend server refused the call. This counts as a lack of capacity only when all its slots were in use: all
    // calls to the server pass through the gate, so a server that refuses with slots free has another fault.
    Shed,
    // The call ended without a response, so it tells nothing about latency.
    Failed,
};

// The rules described at the head of this file.
struct RankedAdmission { };
// Baseline for measurements: one queue in order of arrival, no floors, no early refusal.
struct FifoAdmission { };
using AdmissionPolicy = std::variant<RankedAdmission, FifoAdmission>;

struct AdmissionOptions {
    std::vector<RankPolicy> ranks;
    int slots { 1 };
    int maxQueue { 256 };
    AdmissionPolicy policy { RankedAdmission {} };
    LimitPolicy limitPolicy { LearnedLimit {} };
    // Judges each waiting call by its own costHint instead of the mean of its rank, and orders the calls of a rank by
    // the latest time at which they can start.
    bool usesCostHints { false };
};

class AdmissionController {
public:
    AdmissionController(AdmissionOptions options, TimePoint now);

    AdmitResult offer(const Ticket& ticket, TimePoint now);
    Dispatch release(TicketId id, ServiceResult result, Duration serviceTime, TimePoint now);
    Dispatch advance(TimePoint now);
    // Returns true when the call was still waiting; it will not run. Returns false when it runs or is not known; a
    // running call keeps its slot until release().
    bool cancel(TicketId id);

    // Refuses all new calls from now on; calls that wait or run are still served.
    void drain() { m_isDraining = true; }
    bool isDraining() const { return m_isDraining; }
    bool isIdle() const { return m_running.empty() && m_waiting.empty(); }

    // Applies a new configuration version. Waiting calls keep their place. The limit is reset to the slots when their
    // number or the limit policy has changed.
    void reconfigure(AdmissionOptions options, TimePoint now);

    int limit() const { return m_limit.value(); }
    int inFlight() const { return static_cast<int>(m_running.size()); }
    int queued() const { return static_cast<int>(m_waiting.size()); }
    int queuedOf(int rank) const;
    // Share of the capacity (limit x time) that the rank used, smoothed over 5 s.
    double shareOf(int rank, TimePoint now);
    // Estimated wait of a call of this rank that arrives now.
    Duration estimatedWait(int rank, TimePoint now) const;

private:
    struct WaitingCall {
        Ticket ticket;
        // Sort key of the queue: onTimeBy of a call that states it and is not late, otherwise the deadline; with
        // usesCostHints less the costHint. Under FifoAdmission, the order of arrival.
        TimePoint key;
        uint64_t sequence { 0 };
        bool isLate { false };
    };
    // Late calls come after all others of their rank.
    struct QueueOrder {
        bool operator()(const WaitingCall& left, const WaitingCall& right) const;
    };
    using Queue = std::set<WaitingCall, QueueOrder>;
    struct QueuePosition {
        size_t queue { 0 };
        Queue::const_iterator entry;
    };
    struct Rank {
        RankPolicy policy;
        Queue queue;
        int inFlight { 0 };
        ServiceTimeEstimate serviceTime;
        RateEstimate arrivals;
        FloorCredit credit;
    };

    bool isRanked() const { return std::holds_alternative<RankedAdmission>(m_options.policy); }
    size_t rankOf(const Ticket& ticket) const;
    double serviceSeconds(size_t rank, Duration costHint = {}) const;
    // Expected service time of the ticket's own call.
    double serviceSecondsOf(const Ticket& ticket) const;
    // Sort key of the call among those of its rank that are not late, or that are late.
    TimePoint queueKey(const Ticket& ticket, bool isLate) const;
    // Offered load of the rank as a share of the limit, at most 1.
    double demand(size_t rank, TimePoint now) const;
    // Expected wait of a call of the rank with `ownCallsAhead` waiting calls of the same rank ahead of it.
    double waitSeconds(size_t rank, size_t ownCallsAhead, TimePoint now) const;
    // Like waitSeconds(), for a call that waits behind all calls that wait now and those that arrive meanwhile.
    double lateWaitSeconds(size_t rank, TimePoint now) const;
    size_t callsAhead(size_t rank, TimePoint key) const;
    // Whether the call is expected to be answered after onTimeBy if it waits.
    bool isLate(const Ticket& ticket, TimePoint now) const;
    bool isTooLate(const Ticket& ticket, bool isStartable, bool isLate, TimePoint now) const;

    double floorSlots(size_t rank) const { return m_ranks[rank].policy.floor * limit(); }
    void updateCredit(size_t rank, TimePoint now);
    bool isBelowFloor(size_t rank, TimePoint now);
    // Expected time in seconds until one of the slots held by `fromRank` and less urgent ranks becomes free, if one
    // more call of the rank `startingRank` ran.
    double secondsToFreeSlot(size_t fromRank, size_t startingRank) const;
    int reservedSlots(size_t rank, TimePoint now) const;
    bool hasUnreservedSlot(size_t rank, TimePoint now) const;
    bool mayStart(size_t rank, TimePoint now);
    // The queue whose first call starts next; none when no call may start.
    std::optional<size_t> nextQueue(TimePoint now);

    bool hasOnTimeCalls(size_t rank) const
    {
        return !m_ranks[rank].queue.empty() && !m_ranks[rank].queue.begin()->isLate;
    }
    WaitingCall entryOf(const Ticket& ticket, bool isLate) const;
    void start(const Ticket& ticket, TimePoint now);
    void enqueue(const Ticket& ticket, bool isLate);
    // Moves calls that can no longer be on time behind the others, or refuses them.
    void demoteLate(size_t rank, TimePoint now, std::vector<RefusedTicket>& refused);
    Ticket removeFromQueue(size_t queue, Queue::const_iterator entry);
    // Makes room for the ticket in the queues. Returns false when the ticket itself is the one to drop.
    bool makeRoom(const Ticket& ticket, bool isLate, std::vector<RefusedTicket>& displaced);
    void refuseTooLate(TimePoint now, std::vector<RefusedTicket>& refused);
    Dispatch dispatch(TimePoint now);

    AdmissionOptions m_options;
    ConcurrencyLimit m_limit;
    // Never shrinks, so that calls of a removed rank keep their place.
    std::vector<Rank> m_ranks;
    // Rank of each running call; at most 2 x slots entries.
    absl::flat_hash_map<TicketId, size_t> m_running;
    // At most options.maxQueue entries.
    absl::flat_hash_map<TicketId, QueuePosition> m_waiting;
    uint64_t m_sequence { 0 };
    bool m_isDraining { false };
};

} // namespace skylark
