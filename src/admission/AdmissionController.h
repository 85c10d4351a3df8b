// Decides at the gate which calls run now, wait, or are refused.
//
// offer() each call, start what comes back as Admitted, and release() it exactly once when it has ended;
// release() and advance() name the waiting calls to start and those that are refused. Call advance() every
// 10 to 100 ms. Whatever is refused was never started: "not run" is true of it.
//
// Order: urgent ranks (low numbers) first, except that a rank whose share of slot time over the last 5 s is
// below its floor (see FloorCredit) goes ahead, on at most ceil(floor x limit) slots, so that a rank that was
// idle cannot claim a whole window's slot time at once. Within a rank the earliest deadline goes first.
//
// A rank above its floor leaves slots free for more urgent ranks when none of the slots that less urgent ranks
// hold is expected to become free within a tenth of their target. It then leaves as many as the more urgent
// rank's recent arrivals occupy on average, plus one standard deviation (at least one slot), less those that
// they occupy now. Where slots turn over faster, urgent arrivals wait little and no slot needs to stay idle.
//
// Late work: a call that states onTimeBy and is not expected to be answered by then goes behind all that can still
// be on time, of any rank, and waits only while the capacity that those leave is expected to reach it before its
// deadline. Under overload a queue in order of arrival answers nearly everybody late; so those who are answered are
// answered on time, and the others are refused at once (LateWorkTest plays that load).
//
// Early refusal: a call whose estimated wait and service time exceed its deadline is refused at once. The
// queues hold maxQueue calls at most. Beyond that the latest deadline of the lowest rank is dropped, among
// ranks that hold more than floor x maxQueue places: without this, a flood of urgent calls would empty the
// other ranks' queues and with them the floors.
//
// Slot time is the measured time between start and release. The object takes no lock and reads no clock;
// share it as Guarded<AdmissionController> (base/Guarded.h). Each operation costs O(ranks + log maxQueue).
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
    // Place in the list of ranks; a number past the end counts as the lowest rank.
    int rank { 0 };
    TimePoint deadline;
    // An answer after this is worth little to the caller. Never after the deadline where it is set.
    TimePoint onTimeBy {};
    // Among equal deadlines of one rank, the higher worth goes first.
    double worth { 1 };
    // Expected service time; zero when unknown. Used until the rank's service time has been measured.
    Duration costHint {};
};

enum class RefusalReason : uint8_t {
    // The queues are full and this call was the least urgent.
    QueueFull,
    // It cannot finish before its deadline.
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
    // Calls that waited and were dropped to make room for this one.
    std::vector<RefusedTicket> displaced;
};

// Calls that waited, and what becomes of them now.
struct Dispatch {
    std::vector<Ticket> started;
    std::vector<RefusedTicket> refused;
};

enum class ServiceResult : uint8_t {
    Answered,
    // The backend server refused the call. Taken for a lack of capacity only when its slots were in use: the gate
    // is the only way to it, and a server that refuses with slots free is at fault in another way.
    Shed,
    // No answer: says nothing about latency.
    Failed,
};

// The rules that the head of this file describes.
struct RankedAdmission { };
// Baseline for measurements: one queue in order of arrival, no floors, no early refusal.
struct FifoAdmission { };
using AdmissionPolicy = std::variant<RankedAdmission, FifoAdmission>;

struct AdmissionOptions {
    std::vector<RankPolicy> ranks;
    int slots { 1 };
    int maxQueue { 256 };
    AdmissionPolicy policy { RankedAdmission {} };
    LimitPolicy limit { LearnedLimit {} };
};

class AdmissionController {
public:
    AdmissionController(AdmissionOptions options, TimePoint now);

    AdmitResult offer(const Ticket& ticket, TimePoint now);
    Dispatch release(TicketId id, ServiceResult result, Duration serviceTime, TimePoint now);
    Dispatch advance(TimePoint now);
    // True when the call still waited: it will not run. False when it runs or is not known; a running call
    // keeps its slot until release().
    bool cancel(TicketId id);

    // Refuses all new calls from now on; calls that wait or run are served.
    void drain() { m_isDraining = true; }
    bool isDraining() const { return m_isDraining; }
    bool isIdle() const { return m_running.empty() && m_waiting.empty(); }

    // Applies a new configuration version. Calls that wait keep their place; the limit starts again where slots
    // changed.
    void reconfigure(AdmissionOptions options, TimePoint now);

    int limit() const { return m_limit.value(); }
    int inFlight() const { return static_cast<int>(m_running.size()); }
    int queued() const { return static_cast<int>(m_waiting.size()); }
    int queuedOf(int rank) const;
    // Share of the capacity (limit x time) that the rank used, smoothed over 5 s.
    double shareOf(int rank, TimePoint now);
    // Estimated time that a call of this rank would wait if it came now.
    Duration estimatedWait(int rank, TimePoint now) const;

private:
    struct Waiting {
        Ticket ticket;
        // The deadline, or the order of arrival under FifoAdmission.
        TimePoint key;
        uint64_t sequence { 0 };
        bool isLate { false };
    };
    // Late calls come after all others of their rank.
    struct Order {
        bool operator()(const Waiting& left, const Waiting& right) const;
    };
    using Queue = std::set<Waiting, Order>;
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
    // Offered work of the rank as a share of the limit, at most 1.
    double demand(size_t rank, TimePoint now) const;
    double waitSeconds(size_t rank, size_t ownAhead, TimePoint now) const;
    // As waitSeconds, behind everything that waits now and what comes on time meanwhile.
    double lateWaitSeconds(size_t rank, TimePoint now) const;
    size_t callsAhead(size_t rank, TimePoint key) const;
    // Expected to be answered after onTimeBy if it waits.
    bool isLate(const Ticket& ticket, TimePoint now) const;
    bool isTooLate(const Ticket& ticket, bool isStartable, bool isLate, TimePoint now) const;

    double floorSlots(size_t rank) const { return m_ranks[rank].policy.floor * limit(); }
    void updateCredit(size_t rank, TimePoint now);
    bool isBelowFloor(size_t rank, TimePoint now);
    // Expected time in seconds until one of the slots held by this and less urgent ranks becomes free, if one
    // more call of the rank `starting` ran.
    double secondsToFreeSlot(size_t fromRank, size_t starting) const;
    int reservedSlots(size_t rank, TimePoint now) const;
    bool hasUnreservedSlot(size_t rank, TimePoint now) const;
    bool mayStart(size_t rank, TimePoint now);
    // The queue whose first call starts next, if any may.
    std::optional<size_t> nextQueue(TimePoint now);

    bool hasOnTimeCalls(size_t rank) const
    {
        return !m_ranks[rank].queue.empty() && !m_ranks[rank].queue.begin()->isLate;
    }
    Waiting entryOf(const Ticket& ticket, bool isLate) const;
    void start(const Ticket& ticket, TimePoint now);
    void enqueue(const Ticket& ticket, bool isLate);
    // Puts calls that cannot be on time any more behind the others, or refuses them.
    void demoteLate(size_t rank, TimePoint now, std::vector<RefusedTicket>& refused);
    Ticket removeFromQueue(size_t queue, Queue::const_iterator entry);
    // Makes a place for the ticket; false when the ticket itself is the one to drop.
    bool makeRoom(const Ticket& ticket, bool isLate, std::vector<RefusedTicket>& displaced);
    void refuseTooLate(TimePoint now, std::vector<RefusedTicket>& refused);
    Dispatch dispatch(TimePoint now);

    AdmissionOptions m_options;
    ConcurrencyLimit m_limit;
    // Never shrinks, so that calls of a rank that was removed keep their place.
    std::vector<Rank> m_ranks;
    // Rank by call; at most 2 x slots entries.
    absl::flat_hash_map<TicketId, size_t> m_running;
    // At most options.maxQueue entries.
    absl::flat_hash_map<TicketId, QueuePosition> m_waiting;
    uint64_t m_sequence { 0 };
    bool m_isDraining { false };
};

} // namespace skylark
