// The limits of the gate besides the server's slots: the rate of a cold server and the instance's link.
#include "proxy/BackendGate.h"

#include <algorithm>
#include <cmath>

namespace skylark {

namespace {

    // A call that waits for its turn is refused this long before its start would be useless: two sweeps, so that the
    // refusal reaches the sender before its timer. Without it the caller got 504 instead of 503.
    constexpr Duration waitMargin = std::chrono::milliseconds(50);

} // namespace

void BackendGate::confirmServer(TimePoint confirmedAt)
{
    m_pacer.state().confirmEntry(confirmedAt);
    updateColdState();
}

void BackendGate::setColdPolicy(const ColdPolicy& policy)
{
    m_pacer.setColdPolicy(policy);
    updateColdState();
}

size_t BackendGate::unsentCount() const
{
    const auto isConnecting = [](const auto& entry) { return entry.second->isRunning && isUnsent(*entry.second); };
    return static_cast<size_t>(std::count_if(m_callsByTicket.begin(), m_callsByTicket.end(), isConnecting));
}

void BackendGate::updateColdState()
{
    const TimePoint now = m_loop.now();
    // Counted only on the change to cold, since this runs for each call.
    const bool becomesCold = !m_pacer.isCold() && m_pacer.state().isCold(now);
    if (m_pacer.update(becomesCold ? unsentCount() : 0, now)) {
        const bool isCold = m_pacer.isCold();
        logEvent(LogLevel::Info, isCold ? "server-cold" : "server-warm",
            { { "server", m_server ? m_server->id.value() : "" }, { "cause", coldCauseName(m_pacer.cause(now)) },
                { "remaining_ms", millisecondsText(m_pacer.remainingCold(now)) },
                { "waiting", std::to_string(m_rateQueue.size()) } });
    }
    startWaiting();
}

bool BackendGate::hasOpenConnection() const
{
    return !m_idleConnections.empty()
        || std::any_of(m_callsByTicket.begin(), m_callsByTicket.end(),
            [](const auto& entry) { return entry.second->connection && entry.second->connection->hasSentRequest(); });
}

void BackendGate::recordEvidence(const BackendResult& result)
{
    const TimePoint now = m_loop.now();
    if (std::holds_alternative<BackendResponse>(result))
        m_pacer.state().recordContact(now);
    else if (const auto* failure = std::get_if<BackendFailure>(&result)) {
        // A server that is in trouble may end single connections. A restart ends them all.
        if (failure->isConnectionLost && !hasOpenConnection())
            m_pacer.state().recordConnectionsLost(now);
    } else {
        m_pacer.state().recordConnectionsLost(now);
    }
    updateColdState();
}

TimePoint BackendGate::latestStart(const GateCall& call) const
{
    const auto service = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(m_serviceTime.mean()));
    const TimePoint now = m_loop.now();
    const bool canBeOnTime = call.onTimeBy - service - waitMargin > now;
    return (canBeOnTime ? call.onTimeBy : call.deadline) - service - waitMargin;
}

void BackendGate::waitForTurn(const CallPtr& call)
{
    const TimePoint now = m_loop.now();
    m_callsByTicket.emplace(call->ticket, call);
    refuseTickets(
        m_rateQueue.offer({ .id = call->ticket, .rank = call->gateCall.rank, .startBy = latestStart(call->gateCall) },
            m_pacer.turns(now), now));
}

void BackendGate::refuseTickets(const std::vector<TicketId>& tickets)
{
    for (const TicketId& ticket : tickets) {
        // A callback of an earlier refusal may have ended it.
        const auto found = m_callsByTicket.find(ticket);
        if (found == m_callsByTicket.end())
            continue;
        ++m_counters.refusedCold;
        refuse(CallPtr(found->second), rateReason());
    }
}

void BackendGate::startWaiting()
{
    // Starting a call may end it at once and lead back here.
    if (m_rateQueue.isEmpty() || std::exchange(m_isStartingWaiting, true))
        return;
    while (!m_rateQueue.isEmpty() && hasRoomToStart()) {
        const CallPtr call = m_callsByTicket.at(m_rateQueue.takeFirst());
        m_callsByTicket.erase(call->ticket);
        admit(call);
        // A call that waits for a slot takes its room when it starts.
        if (m_pacer.isCold() && m_callsByTicket.contains(call->ticket) && !call->isRunning)
            break;
    }
    if (!m_rateQueue.isEmpty())
        refuseTickets(m_rateQueue.expire(m_pacer.turns(m_loop.now()), m_loop.now()));
    m_isStartingWaiting = false;
}

const char* BackendGate::rateReason() const
{
    return m_pacer.isCold() ? "the cold server takes no more requests per second"
                            : "the server takes no more requests per second";
}

// A call to a cold server waits for a slot before it takes its room, so that no room is lost.
bool BackendGate::hasRoomToStart() const
{
    const bool hasSlot = !m_pacer.isCold() || m_admission.inFlight() < m_admission.limit();
    return hasSlot && m_pacer.hasRoom(m_loop.now());
}

// While the link is the bottleneck, the limit is the number of calls in flight that keep it busy, and what waits for
// the link counts as queued, so that senders compare instances by the time that a call would take.
LoadHint BackendGate::loadFor(const GateCall& call) const
{
    LoadHint hint = load();
    const LinkBudget* link = m_options.link;
    const TimePoint now = m_loop.now();
    if (!call.isFromPeer || !link || !link->isSaturated(now) || link->callsPerSecond() <= 0)
        return hint;
    const double seconds = std::chrono::duration<double>(hint.meanServiceTime).count();
    const auto limit = static_cast<uint32_t>(std::ceil(std::min<double>(hint.limit, link->callsPerSecond() * seconds)));
    hint.limit = std::max(1U, limit);
    hint.queued += static_cast<uint32_t>(std::min<double>(m_options.maxQueued, link->backlogCalls(now)));
    return hint;
}

bool BackendGate::takeLink(const CallPtr& call)
{
    LinkBudget* link = m_options.link;
    const GateCall& gateCall = call->gateCall;
    if (!link || !link->isEnabled() || !gateCall.isFromPeer)
        return true;
    const TimePoint now = m_loop.now();
    const Duration wait = m_admission.estimatedWait(gateCall.rank, now);
    const auto service = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(m_serviceTime.mean()));
    const bool mayStart = link->tryAccept({ .route = gateCall.route,
                                              .rank = gateCall.rank,
                                              .readyAt = now + wait + service,
                                              .onTimeBy = gateCall.onTimeBy,
                                              .deadline = gateCall.deadline },
        now);
    if (!mayStart) {
        ++m_counters.refusedByLink;
        if (!std::exchange(m_isLinkSaturated, true))
            logEvent(LogLevel::Warning, "link-saturated",
                { { "route", gateCall.route },
                    { "expected_bytes", std::to_string(link->expectedBytes(gateCall.route)) },
                    { "backlog_ms", millisecondsText(link->backlog(now)) },
                    { "waiting_bytes", std::to_string(link->waitingBytes()) },
                    { "reserved_bytes", std::to_string(link->reservedBytes()) } });
        return false;
    }
    call->reservedBytes = link->expectedBytes(gateCall.route);
    link->reserve(call->reservedBytes);
    return true;
}

void BackendGate::checkLink()
{
    if (!m_isLinkSaturated || m_options.link->isSaturated(m_loop.now()))
        return;
    m_isLinkSaturated = false;
    logEvent(LogLevel::Info, "link-free", { { "refused", std::to_string(m_counters.refusedByLink) } });
}

} // namespace skylark
