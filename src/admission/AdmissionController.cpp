#include "admission/AdmissionController.h"

#include "base/Invariant.h"

#include <algorithm>
#include <cmath>

namespace skylark {

namespace {

    constexpr const char* step = "admission";
    // No slot is reserved for a rank when the wait for a free one is at most this share of the rank's target.
    constexpr double tolerableWaitShare = 0.1;
    // Under a flood, calls wait as long as their deadlines allow. Without this margin over the mean service time, half
    // of them would occupy a slot and still finish late.
    constexpr double safetyDeviations = 2;
    // A rank with fewer arrivals per second counts as unused; no slot is reserved for it unless it is the most urgent.
    constexpr double minArrivalRate = 0.1;

    double inSeconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }
    Duration fromSeconds(double seconds)
    {
        return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(std::min(seconds, 1e6)));
    }

} // namespace

const char* refusalReasonName(RefusalReason reason)
{
    switch (reason) {
    case RefusalReason::QueueFull:
        return "the queue is full of more urgent calls";
    case RefusalReason::TooLate:
        return "the call cannot finish before its deadline";
    case RefusalReason::Draining:
        return "the instance is shutting down";
    }
    return "unknown";
}

bool AdmissionController::QueueOrder::operator()(const WaitingCall& left, const WaitingCall& right) const
{
    if (left.isLate != right.isLate)
        return right.isLate;
    if (left.key != right.key)
        return left.key < right.key;
    if (left.ticket.worth != right.ticket.worth)
        return left.ticket.worth > right.ticket.worth;
    return left.sequence < right.sequence;
}

AdmissionController::AdmissionController(AdmissionOptions options, TimePoint now)
    : m_options(std::move(options))
    , m_limit(m_options.slots, std::max<size_t>(1, m_options.ranks.size()), now, m_options.limitPolicy)
{
    reconfigure(m_options, now);
}

void AdmissionController::reconfigure(AdmissionOptions options, TimePoint now)
{
    m_options = std::move(options);
    if (m_options.ranks.empty())
        m_options.ranks.emplace_back();
    while (m_ranks.size() < m_options.ranks.size())
        m_ranks.push_back({ .credit = FloorCredit(now) });
    for (size_t rank = 0; rank < m_ranks.size(); ++rank)
        m_ranks[rank].policy = rank < m_options.ranks.size() ? m_options.ranks[rank] : RankPolicy {};
    m_limit.reconfigure(m_options.slots, m_ranks.size(), m_options.limitPolicy);
}

AdmitResult AdmissionController::offer(const Ticket& ticket, TimePoint now)
{
    invariant(!m_running.contains(ticket.id) && !m_waiting.contains(ticket.id),
        { .rule = "a call is offered only once while it waits or runs", .step = step });
    const size_t rank = rankOf(ticket);
    m_ranks[rank].arrivals.record(now);
    if (m_isDraining)
        return { .reason = RefusalReason::Draining };
    const bool isStartable = mayStart(rank, now);
    const bool isLateNow = !isStartable && isLate(ticket, now);
    if (isTooLate(ticket, isStartable, isLateNow, now))
        return { .reason = RefusalReason::TooLate };
    if (isStartable) {
        start(ticket, now);
        return { .admission = Admission::Admitted };
    }
    AdmitResult result { .reason = RefusalReason::QueueFull };
    if (!makeRoom(ticket, isLateNow, result.displaced))
        return result;
    enqueue(ticket, isLateNow);
    result.admission = Admission::Queued;
    return result;
}

Dispatch AdmissionController::release(TicketId id, ServiceResult result, Duration serviceTime, TimePoint now)
{
    const auto found = m_running.find(id);
    invariant(found != m_running.end(), { .rule = "only a running call is released, and only once", .step = step });
    const size_t rank = found->second;
    if (result == ServiceResult::Answered) {
        m_ranks[rank].serviceTime.add(serviceTime, now);
        m_limit.recordResponse(rank, serviceTime, inFlight(), now);
    } else if (result == ServiceResult::Shed && inFlight() >= m_options.slots) {
        m_limit.recordShed(now);
    }
    updateCredit(rank, now);
    m_running.erase(found);
    --m_ranks[rank].inFlight;
    invariant(m_ranks[rank].inFlight >= 0,
        { .rule = "the number of calls in flight of a rank is never negative", .step = step });
    return dispatch(now);
}

Dispatch AdmissionController::advance(TimePoint now) { return dispatch(now); }

bool AdmissionController::cancel(TicketId id)
{
    const auto found = m_waiting.find(id);
    if (found == m_waiting.end())
        return false;
    removeFromQueue(found->second.queue, found->second.entry);
    return true;
}

int AdmissionController::queuedOf(int rank) const
{
    const auto index = static_cast<size_t>(std::max(rank, 0));
    return index < m_ranks.size() ? static_cast<int>(m_ranks[index].queue.size()) : 0;
}

double AdmissionController::shareOf(int rank, TimePoint now)
{
    const size_t index = rankOf({ .rank = rank });
    updateCredit(index, now);
    return m_ranks[index].credit.share();
}

Duration AdmissionController::estimatedWait(int rank, TimePoint now) const
{
    const size_t index = rankOf({ .rank = rank });
    return fromSeconds(waitSeconds(index, m_ranks[index].queue.size(), now));
}

size_t AdmissionController::rankOf(const Ticket& ticket) const
{
    return std::min(static_cast<size_t>(std::max(ticket.rank, 0)), m_options.ranks.size() - 1);
}

double AdmissionController::serviceSeconds(size_t rank, Duration costHint) const
{
    const Rank& entry = m_ranks[rank];
    if (entry.serviceTime.isKnown())
        return entry.serviceTime.mean();
    // Most calls take less than a quarter of the target, so this estimate errs on the long side.
    return costHint > Duration::zero() ? inSeconds(costHint) : inSeconds(entry.policy.target) / 4;
}

double AdmissionController::serviceSecondsOf(const Ticket& ticket) const
{
    if (m_options.usesCostHints && ticket.costHint > Duration::zero())
        return inSeconds(ticket.costHint);
    return serviceSeconds(rankOf(ticket), ticket.costHint);
}

TimePoint AdmissionController::queueKey(const Ticket& ticket, bool isLate) const
{
    const TimePoint end = ticket.onTimeBy != TimePoint() && !isLate ? ticket.onTimeBy : ticket.deadline;
    return m_options.usesCostHints ? end - ticket.costHint : end;
}

double AdmissionController::demand(size_t rank, TimePoint now) const
{
    return std::min(1.0, m_ranks[rank].arrivals.perSecond(now) * serviceSeconds(rank) / limit());
}

// A call obtains a slot either through its rank's floor alone, or from the capacity that more urgent calls and the
// floors of other ranks leave. The estimate is the shorter of the two waits.
double AdmissionController::waitSeconds(size_t rank, size_t ownCallsAhead, TimePoint now) const
{
    const double ownWork = static_cast<double>(ownCallsAhead) * serviceSeconds(rank);
    double otherWork = 0;
    double remainingShare = 1;
    for (size_t other = 0; other < m_ranks.size(); ++other) {
        if (other == rank)
            continue;
        const double share = demand(other, now);
        remainingShare -= other < rank ? share : std::min(share, m_ranks[other].policy.floor);
        if (other < rank)
            otherWork += static_cast<double>(m_ranks[other].queue.size()) * serviceSeconds(other);
    }
    const double floor = m_ranks[rank].policy.floor;
    const double waitByFloor = floor > 0 ? ownWork / (floor * limit()) : HUGE_VAL;
    const double waitByOrder = remainingShare > 0 ? (ownWork + otherWork) / (remainingShare * limit()) : HUGE_VAL;
    return std::min(waitByFloor, waitByOrder) + secondsToFreeSlot(0, rank);
}

double AdmissionController::lateWaitSeconds(size_t rank, TimePoint now) const
{
    double work = 0;
    double remainingShare = 1;
    for (size_t other = 0; other < m_ranks.size(); ++other) {
        work += static_cast<double>(m_ranks[other].queue.size()) * serviceSeconds(other);
        remainingShare -= demand(other, now);
    }
    return remainingShare > 0 ? work / (remainingShare * limit()) + secondsToFreeSlot(0, rank) : HUGE_VAL;
}

size_t AdmissionController::callsAhead(size_t rank, TimePoint key) const
{
    const auto& queue = m_ranks[rank].queue;
    size_t ahead = queue.size();
    for (auto entry = queue.rbegin(); entry != queue.rend() && (entry->isLate || entry->key > key); ++entry)
        --ahead;
    return ahead;
}

bool AdmissionController::isLate(const Ticket& ticket, TimePoint now) const
{
    if (!isRanked() || ticket.onTimeBy == TimePoint())
        return false;
    const size_t rank = rankOf(ticket);
    const ServiceTimeEstimate& estimate = m_ranks[rank].serviceTime;
    const double service = serviceSecondsOf(ticket) + estimate.deviation();
    const double wait = waitSeconds(rank, callsAhead(rank, queueKey(ticket, false)), now);
    return wait + service > inSeconds(ticket.onTimeBy - now);
}

bool AdmissionController::isTooLate(const Ticket& ticket, bool isStartable, bool isLate, TimePoint now) const
{
    const double remaining = inSeconds(ticket.deadline - now);
    if (remaining <= 0)
        return true;
    const size_t rank = rankOf(ticket);
    const ServiceTimeEstimate& estimate = m_ranks[rank].serviceTime;
    if (!isRanked())
        return false;
    // A stale estimate must not refuse the very calls whose responses would correct it.
    if (isStartable)
        return estimate.isFresh(now) && estimate.mean() > remaining;
    const double service = serviceSecondsOf(ticket) + safetyDeviations * estimate.deviation();
    if (isLate)
        return lateWaitSeconds(rank, now) + service > remaining;
    // A call that can meet onTimeBy also meets its deadline, which is never earlier.
    if (ticket.onTimeBy != TimePoint())
        return false;
    return waitSeconds(rank, callsAhead(rank, queueKey(ticket, false)), now) + service > remaining;
}

void AdmissionController::updateCredit(size_t rank, TimePoint now)
{
    Rank& entry = m_ranks[rank];
    entry.credit.update(entry.inFlight, floorSlots(rank), limit(), now);
}

bool AdmissionController::isBelowFloor(size_t rank, TimePoint now)
{
    updateCredit(rank, now);
    const Rank& entry = m_ranks[rank];
    return entry.inFlight < static_cast<int>(std::ceil(floorSlots(rank))) && entry.credit.isBelowFloor();
}

double AdmissionController::secondsToFreeSlot(size_t fromRank, size_t startingRank) const
{
    double releasesPerSecond = 0;
    for (size_t rank = fromRank; rank < m_ranks.size(); ++rank) {
        const int runningCalls = m_ranks[rank].inFlight + (rank == startingRank ? 1 : 0);
        releasesPerSecond += runningCalls / std::max(serviceSeconds(rank), 1e-6);
    }
    return 1 / releasesPerSecond;
}

int AdmissionController::reservedSlots(size_t rank, TimePoint now) const
{
    int reservedCount = 0;
    for (size_t urgentRank = 0; urgentRank < rank; ++urgentRank) {
        const Rank& entry = m_ranks[urgentRank];
        const double arrivalsPerSecond = entry.arrivals.perSecond(now);
        // Slots held by the more urgent ranks are not counted, although they become free too: they are due to other
        // calls that wait for them.
        if (secondsToFreeSlot(urgentRank + 1, rank) <= tolerableWaitShare * inSeconds(entry.policy.target))
            continue;
        if (arrivalsPerSecond < minArrivalRate && urgentRank > 0)
            continue;
        // Square-root staffing rule: the mean number of occupied slots plus one standard deviation.
        const double occupiedSlots = arrivalsPerSecond * serviceSeconds(urgentRank);
        const auto neededSlots = static_cast<int>(std::lround(occupiedSlots + std::max(1.0, std::sqrt(occupiedSlots))));
        reservedCount += std::max(0, neededSlots - entry.inFlight);
    }
    return std::min(reservedCount, limit() - 1);
}

bool AdmissionController::hasUnreservedSlot(size_t rank, TimePoint now) const
{
    return limit() - inFlight() - 1 >= reservedSlots(rank, now);
}

bool AdmissionController::mayStart(size_t rank, TimePoint now)
{
    if (inFlight() >= limit())
        return false;
    if (!isRanked())
        return m_waiting.empty();
    for (size_t other = 0; other <= rank; ++other) {
        if (hasOnTimeCalls(other))
            return false;
    }
    return isBelowFloor(rank, now) || hasUnreservedSlot(rank, now);
}

std::optional<size_t> AdmissionController::nextQueue(TimePoint now)
{
    if (inFlight() >= limit() || m_waiting.empty())
        return std::nullopt;
    if (!isRanked())
        return 0;
    std::optional<size_t> furthestBehindRank;
    double maxSecondsBehind = 0;
    for (size_t rank = 0; rank < m_ranks.size(); ++rank) {
        if (m_ranks[rank].queue.empty() || !isBelowFloor(rank, now))
            continue;
        if (rank == 0)
            return 0;
        const double secondsBehind = m_ranks[rank].credit.secondsBehind(floorSlots(rank));
        if (secondsBehind > maxSecondsBehind) {
            maxSecondsBehind = secondsBehind;
            furthestBehindRank = rank;
        }
    }
    if (furthestBehindRank)
        return furthestBehindRank;
    std::optional<size_t> lateRank;
    for (size_t rank = 0; rank < m_ranks.size(); ++rank) {
        const Queue& queue = m_ranks[rank].queue;
        if (queue.empty())
            continue;
        if (hasOnTimeCalls(rank))
            return hasUnreservedSlot(rank, now) ? std::optional(rank) : std::nullopt;
        if (!lateRank)
            lateRank = rank;
    }
    return lateRank && hasUnreservedSlot(*lateRank, now) ? lateRank : std::nullopt;
}

void AdmissionController::start(const Ticket& ticket, TimePoint now)
{
    invariant(inFlight() < limit(),
        { .rule = "the number of calls in flight is within the limit when a call starts", .step = step });
    const size_t rank = rankOf(ticket);
    m_running.emplace(ticket.id, rank);
    updateCredit(rank, now);
    ++m_ranks[rank].inFlight;
}

AdmissionController::WaitingCall AdmissionController::entryOf(const Ticket& ticket, bool isLate) const
{
    const TimePoint arrival { Duration(m_sequence) };
    const TimePoint key = isRanked() ? queueKey(ticket, isLate) : arrival;
    return { .ticket = ticket, .key = key, .sequence = m_sequence, .isLate = isLate };
}

void AdmissionController::enqueue(const Ticket& ticket, bool isLate)
{
    const size_t queue = isRanked() ? rankOf(ticket) : 0;
    const auto entry = m_ranks[queue].queue.insert(entryOf(ticket, isLate)).first;
    ++m_sequence;
    m_waiting.emplace(ticket.id, QueuePosition { queue, entry });
    invariant(m_waiting.size() <= static_cast<size_t>(std::max(1, m_options.maxQueue)),
        { .rule = "the number of waiting calls is at most maxQueue", .step = step });
}

Ticket AdmissionController::removeFromQueue(size_t queue, Queue::const_iterator entry)
{
    const Ticket ticket = entry->ticket;
    m_ranks[queue].queue.erase(entry);
    m_waiting.erase(ticket.id);
    return ticket;
}

bool AdmissionController::makeRoom(const Ticket& ticket, bool isLate, std::vector<RefusedTicket>& displaced)
{
    if (m_options.maxQueue <= 0)
        return false;
    const size_t ownRank = rankOf(ticket);
    // More than one call is dropped only after a new configuration has lowered the bound.
    while (m_waiting.size() >= static_cast<size_t>(m_options.maxQueue)) {
        if (!isRanked())
            return false;
        size_t victimRank = m_ranks.size();
        for (size_t rank = m_ranks.size(); rank-- > 0;) {
            const size_t entries = m_ranks[rank].queue.size() + (rank == ownRank ? 1 : 0);
            const auto guaranteedEntries = static_cast<size_t>(m_ranks[rank].policy.floor * m_options.maxQueue);
            if (entries > guaranteedEntries) {
                victimRank = rank;
                break;
            }
        }
        invariant(victimRank < m_ranks.size(), { .rule = "the floors of all ranks sum to at most 1", .step = step });
        const Queue& queue = m_ranks[victimRank].queue;
        if (victimRank == ownRank && (queue.empty() || !QueueOrder()(entryOf(ticket, isLate), *queue.rbegin())))
            return false;
        displaced.push_back({ removeFromQueue(victimRank, std::prev(queue.end())), RefusalReason::QueueFull });
    }
    return true;
}

void AdmissionController::demoteLate(size_t rank, TimePoint now, std::vector<RefusedTicket>& refused)
{
    Queue& queue = m_ranks[rank].queue;
    while (!queue.empty() && !queue.begin()->isLate && queue.begin()->ticket.onTimeBy != TimePoint()
        && queue.begin()->ticket.onTimeBy < now + fromSeconds(serviceSecondsOf(queue.begin()->ticket))) {
        const Ticket ticket = removeFromQueue(rank, queue.begin());
        if (isTooLate(ticket, false, true, now))
            refused.push_back({ ticket, RefusalReason::TooLate });
        else
            enqueue(ticket, true);
    }
}

void AdmissionController::refuseTooLate(TimePoint now, std::vector<RefusedTicket>& refused)
{
    for (size_t index = 0; index < m_ranks.size(); ++index) {
        Rank& rank = m_ranks[index];
        if (isRanked())
            demoteLate(index, now, refused);
        const bool isEstimated = isRanked() && rank.serviceTime.isFresh(now);
        const auto cannotFinish = [&](const Queue::const_iterator& entry) {
            if (entry == rank.queue.end())
                return false;
            const double service
                = isEstimated ? serviceSecondsOf(entry->ticket) + safetyDeviations * rank.serviceTime.deviation() : 0;
            return entry->ticket.deadline <= now + fromSeconds(service);
        };
        while (cannotFinish(rank.queue.begin()))
            refused.push_back({ removeFromQueue(index, rank.queue.begin()), RefusalReason::TooLate });
        const auto firstLate = [&] { return rank.queue.lower_bound({ .key = TimePoint::min(), .isLate = true }); };
        while (cannotFinish(firstLate()))
            refused.push_back({ removeFromQueue(index, firstLate()), RefusalReason::TooLate });
    }
}

Dispatch AdmissionController::dispatch(TimePoint now)
{
    Dispatch result;
    refuseTooLate(now, result.refused);
    while (const std::optional<size_t> queue = nextQueue(now)) {
        result.started.push_back(removeFromQueue(*queue, m_ranks[*queue].queue.begin()));
        start(result.started.back(), now);
    }
    return result;
}

} // namespace skylark
