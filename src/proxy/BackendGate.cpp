#include "proxy/BackendGate.h"

#include "base/Error.h"
#include "proxy/ResponseKind.h"

#include <algorithm>

namespace skylark {

namespace {

    constexpr const char* step = "gate";
    constexpr int statusMisdirected = 421;
    constexpr const char* linkReason = "the link of the instance cannot carry the response in time";
    constexpr const char* evacuatedReason = "the zone of the backend server is evacuated";
    // Calls that the kernel buffered during a pause are read within this time.
    constexpr Duration pauseRefusalPeriod = std::chrono::milliseconds(100);
    // Share of the idle timeout announced by the server for which an idle connection may be reused.
    constexpr double keepAliveFraction = 0.8;

} // namespace

BackendGate::BackendGate(EventLoop& loop, GateOptions options, const HttpConventions& httpConventions)
    : m_loop(loop)
    , m_options(std::move(options))
    , m_httpConventions(httpConventions)
    , m_deduplicator(m_options.deduplicator)
    , m_costs(m_options.isCostAware)
    , m_admission(admissionOptions(), loop.now())
    , m_pacer(loop.now())
    , m_rateQueue(static_cast<size_t>(std::max(1, m_options.maxQueued)))
    , m_lastClockCheck(loop.now())
    , m_sweepTimer(loop, [this] { sweep(); })
{
}

BackendGate::~BackendGate()
{
    for (const auto& [key, call] : m_calls) {
        if (call->connection)
            call->connection->close();
    }
    for (const auto& connection : m_idleConnections)
        connection->close();
}

AdmissionOptions BackendGate::admissionOptions() const
{
    return { .ranks = m_ranks,
        .slots = m_server ? std::max(1, m_server->slots) : m_options.defaultSlots,
        .maxQueue = m_options.maxQueued,
        .limitPolicy = m_server ? LimitPolicy(StatedLimit {}) : LearnedLimit {},
        .usesCostHints = m_options.isCostAware };
}

void BackendGate::setRanks(std::vector<RankPolicy> ranks)
{
    m_ranks = std::move(ranks);
    m_admission.reconfigure(admissionOptions(), m_loop.now());
}

void BackendGate::setServer(const std::optional<ServerRecord>& server)
{
    const bool isNewProcess = server && (!m_server || m_server->incarnation != server->incarnation);
    const bool hasLeft = m_server && !m_server->isDraining && (!server || server->isDraining);
    m_server = server;
    if (isNewProcess) {
        for (const auto& connection : m_idleConnections)
            connection->close();
        m_idleConnections.clear();
        m_pacer.setNamedRate(std::nullopt, m_loop.now());
        m_hasAnswer = false;
        m_isServerLeaving = false;
        m_hasLoggedInvalidRate = false;
    }
    if (server) {
        m_admission.reconfigure(admissionOptions(), m_loop.now());
        m_pacer.state().recordEntry({ .incarnation = server->incarnation,
                                        .heartbeat = server->heartbeat,
                                        .remaining = server->remainingSlowStart },
            m_loop.now());
    }
    if (isNewProcess || hasLeft)
        logEvent(LogLevel::Info, "server-state",
            { { "server", server ? server->id.value() : "" },
                { "state", !server ? "absent" : (server->isDraining ? "draining" : "ready") },
                { "slots", std::to_string(server ? server->slots : 0) },
                { "waiting", std::to_string(m_admission.queued()) } });
    refuseInadmissible();
    updateColdState();
}

void BackendGate::setEvacuated(bool isEvacuated)
{
    if (std::exchange(m_isEvacuated, isEvacuated) == isEvacuated)
        return;
    // The server may have become cold during the evacuation.
    if (!isEvacuated)
        m_pacer.state().recordEvacuationEnded(m_loop.now());
    refuseInadmissible();
    updateColdState();
}

void BackendGate::beginStop(TimePoint answerBy) { m_answerBy = answerBy; }

void BackendGate::drain()
{
    m_isDraining = true;
    refuseInadmissible();
}

LoadHint BackendGate::load() const
{
    return { .inFlight = static_cast<uint32_t>(m_admission.inFlight()),
        .queued = static_cast<uint32_t>(m_admission.queued()),
        .limit = static_cast<uint32_t>(m_admission.limit()),
        .isLeaving = isServerLeaving(),
        .meanServiceTime = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(m_serviceTime.mean())),
        .requestDelay = m_pacer.delayForSender(m_loop.now()),
        .remainingWork = m_costs.remainingWork(m_loop.now()) };
}

const char* BackendGate::refusalCause(const GateCall& call) const
{
    if (m_isDraining)
        return "the node stops";
    if (!m_server)
        return "the backend server has no entry";
    if (isServerLeaving())
        return "the backend server leaves";
    if (m_isEvacuated)
        return evacuatedReason;
    if (m_server->service != call.service)
        return "the backend server runs another service";
    if (m_loop.now() < m_refuseUntil)
        return "the call waited while the process was paused";
    return nullptr;
}

void BackendGate::submit(GateCall call, ReplyCallback onReply)
{
    const TimePoint now = m_loop.now();
    detectPause(now);
    switch (m_deduplicator.begin(call.key, call.deadline, now)) {
    case CallArrival::Running:
        ++m_counters.joined;
        m_calls.at(call.key)->callbacks = { std::move(onReply) };
        return;
    case CallArrival::Ended:
        ++m_counters.joined;
        onReply(m_deduplicator.reply(call.key));
        return;
    case CallArrival::CapacityExceeded:
        onReply(makeRefusal(CallOutcome::NotRun, step, "the ledger of calls is full", loadFor(call)));
        return;
    case CallArrival::New:
        break;
    }
    auto entry = std::make_shared<Call>();
    entry->gateCall = std::move(call);
    entry->gateCall.deadline = std::min(entry->gateCall.deadline, m_answerBy);
    entry->callbacks.push_back(std::move(onReply));
    entry->receivedAt = now;
    entry->ticket = TicketId(++m_lastTicket);
    m_calls.emplace(entry->gateCall.key, entry);
    if (!m_sweepTimer.isActive())
        m_sweepTimer.startRepeating(m_options.sweepInterval);
    learnRate(entry->gateCall);
    updateColdState();
    m_pacer.recordSender(entry->gateCall.key.sender, now);
    const char* cause = refusalCause(entry->gateCall);
    if (!cause && !m_pacer.isCold() && !hasRoomToStart())
        cause = rateReason();
    if (!cause && !takeLink(entry))
        cause = linkReason;
    if (cause)
        refuse(entry, cause);
    else if (hasRoomToStart() && m_rateQueue.isEmpty())
        admit(entry);
    else if (m_pacer.isCold())
        waitForTurn(entry);
    else
        refuse(entry, rateReason());
}

void BackendGate::admit(const CallPtr& call)
{
    m_callsByTicket.emplace(call->ticket, call);
    const Duration expected = m_costs.add(call->ticket.value(), call->gateCall, m_loop.now());
    const AdmitResult result = m_admission.offer({ .id = call->ticket,
                                                     .rank = call->gateCall.rank,
                                                     .deadline = call->gateCall.deadline,
                                                     .onTimeBy = call->gateCall.onTimeBy,
                                                     .costHint = expected },
        m_loop.now());
    for (const RefusedTicket& displaced : result.displaced)
        refuse(callOf(displaced.ticket), refusalReasonName(displaced.reason));
    if (result.admission == Admission::Admitted)
        run(call);
    else if (result.admission == Admission::Refused)
        refuse(call, refusalReasonName(result.reason));
}

void BackendGate::learnRate(const GateCall& call)
{
    const bool isThisStart = m_server && m_server->incarnation == call.serverIncarnation;
    if (call.knownServerRate && isThisStart && !m_hasAnswer && !m_pacer.namedRate())
        m_pacer.setNamedRate(call.knownServerRate, m_loop.now());
}

void BackendGate::recordNotice(const HttpResponse& response)
{
    // Without the request's id the answer may be another server's, or an old one.
    if (response.status == statusMisdirected || !findHeader(response.headers, m_httpConventions.requestId))
        return;
    m_hasAnswer = true;
    const ServerNotice notice = readServerNotice(response.headers, m_httpConventions);
    const std::string server = m_server ? m_server->id.value() : "";
    if (notice.isLeaving && !std::exchange(m_isServerLeaving, true)) {
        logEvent(LogLevel::Info, "server-leaving", { { "server", server } });
        refuseInadmissible();
    }
    if (notice.rateNotice == RateNotice::Invalid) {
        // Once for each start, since the server may send it with each answer.
        if (!std::exchange(m_hasLoggedInvalidRate, true))
            logEvent(LogLevel::Warning, "server-limit-invalid",
                { { "server", server }, { "limit", *findHeader(response.headers, m_httpConventions.serverLimit) } });
        return;
    }
    const std::optional<double> rate
        = notice.rateNotice == RateNotice::Named ? std::optional(notice.rate) : std::nullopt;
    if (rate.has_value() != m_pacer.namedRate().has_value())
        logEvent(LogLevel::Info, "server-limit",
            { { "server", server }, { "requests_per_second", rate ? std::to_string(*rate) : "none" } });
    m_pacer.setNamedRate(rate, m_loop.now());
}

void BackendGate::run(const CallPtr& call)
{
    if (!m_pacer.startRequest(m_loop.now())) {
        call->startedAt = m_loop.now();
        m_counters.refusedCold += m_pacer.isCold() ? 1 : 0;
        release(call, ServiceResult::Failed);
        refuse(call, rateReason());
        return;
    }
    call->isRunning = true;
    m_costs.start(call->ticket.value(), m_loop.now());
    m_runningIds.insert(call->gateCall.requestId.value());
    call->startedAt = m_loop.now();
    try {
        call->connection = takeConnection(call->gateCall);
        call->connection->send({ .bytes = requestHead(call->gateCall),
                                   .message = call->gateCall.request,
                                   .requestId = call->gateCall.requestId.value(),
                                   .isHeadRequest = call->gateCall.request->method == "HEAD" },
            [this, call](const std::shared_ptr<BackendConnection>& connection, BackendResult result) {
                handleResult(call, connection, std::move(result));
            });
    } catch (const Error& error) {
        logEvent(LogLevel::Warning, "server-connect-failed",
            { { "server", m_options.server.toString() }, { "reason", error.message() } });
        release(call, ServiceResult::Failed);
        refuse(call, "the backend server cannot be reached");
    }
}

void BackendGate::handleResult(
    const CallPtr& call, const std::shared_ptr<BackendConnection>& connection, BackendResult result)
{
    call->connection.reset();
    if (connection->isReusable())
        keepIdle(connection);
    recordEvidence(result);
    if (auto* backendResponse = std::get_if<BackendResponse>(&result)) {
        HttpResponse& response = backendResponse->response;
        recordNotice(response);
        const bool isNotRun = statesNotExecuted(response, m_httpConventions);
        const Duration serviceTime = m_loop.now() - call->startedAt;
        if (!isNotRun)
            m_costs.recordResponse(call->gateCall, response.status, serviceTime, m_loop.now());
        release(call, isNotRun ? ServiceResult::Shed : ServiceResult::Answered);
        if (isNotRun) {
            end(call,
                makeRefusal(CallOutcome::NotRun, serverStep,
                    "the server refused the call with " + std::to_string(response.status), loadFor(call->gateCall)));
            return;
        }
        removeConnectionHeaders(response.headers, m_httpConventions.endToEndNames());
        if (m_options.link && call->gateCall.isFromPeer && isSuccessStatus(response.status))
            m_options.link->recordResponse(
                call->gateCall.route, byteCount(response.headers) + response.body.size(), m_loop.now());
        end(call,
            std::make_shared<const GateReply>(GateResponse {
                .response = std::move(response), .load = loadFor(call->gateCall), .serviceTime = serviceTime }));
        return;
    }
    release(call, ServiceResult::Failed);
    if (std::holds_alternative<BackendUnreachable>(result)) {
        refuse(call, "the backend server cannot be reached");
        return;
    }
    end(call,
        makeRefusal(
            CallOutcome::Unknown, serverStep, std::get<BackendFailure>(result).reason, loadFor(call->gateCall)));
}

bool BackendGate::isFresh(const BackendConnection& connection, const GateCall& call) const
{
    Duration maxAge = call.isIdempotent ? m_options.maxIdleTime : m_options.maxIdleTimeNonIdempotent;
    if (connection.keepAliveTimeout() > Duration::zero()) {
        maxAge = std::min(maxAge,
            std::chrono::duration_cast<Duration>(
                std::chrono::duration<double>(connection.keepAliveTimeout()) * keepAliveFraction));
    }
    return m_loop.now() - connection.idleSince() < maxAge;
}

std::shared_ptr<BackendConnection> BackendGate::takeConnection(const GateCall& call)
{
    if (!m_idleConnections.empty() && isFresh(*m_idleConnections.back(), call)) {
        auto connection = m_idleConnections.back();
        m_idleConnections.pop_back();
        return connection;
    }
    return openConnection();
}

std::shared_ptr<BackendConnection> BackendGate::openConnection()
{
    ++m_counters.connectionsOpened;
    return std::make_shared<BackendConnection>(m_loop, m_options.server, m_httpConventions,
        [this](const std::shared_ptr<BackendConnection>& closed) { std::erase(m_idleConnections, closed); });
}

void BackendGate::keepIdle(const std::shared_ptr<BackendConnection>& connection)
{
    if (m_idleConnections.size() < m_options.maxIdleConnections)
        m_idleConnections.push_back(connection);
    else
        connection->close();
}

std::string BackendGate::requestHead(const GateCall& call) const
{
    const HttpRequest& received = *call.request;
    HttpRequest request { .method = received.method, .target = received.target, .headers = received.headers };
    // A peer of an earlier release passes the headers of its caller's connection on.
    removeConnectionHeaders(request.headers, m_httpConventions.endToEndNames());
    setHeader(request.headers, m_httpConventions.deadline, millisecondsText(call.deadline - m_loop.now()));
    setHeader(request.headers, m_httpConventions.expectedInstance, m_server ? m_server->id.value() : "");
    return serializeHead(request, received.body.size());
}

void BackendGate::release(const CallPtr& call, ServiceResult result)
{
    const TimePoint now = m_loop.now();
    call->isRunning = false;
    m_runningIds.erase(call->gateCall.requestId.value());
    m_callsByTicket.erase(call->ticket);
    m_costs.remove(call->ticket.value());
    if (result == ServiceResult::Answered)
        m_serviceTime.add(now - call->startedAt, now);
    const Dispatch dispatch = m_admission.release(call->ticket, result, now - call->startedAt, now);
    if (!dispatch.started.empty() || !dispatch.refused.empty())
        apply(dispatch);
}

// Returns a copy, since refusing and starting calls modify the map.
BackendGate::CallPtr BackendGate::callOf(const Ticket& ticket) const { return m_callsByTicket.at(ticket.id); }

void BackendGate::apply(const Dispatch& dispatch)
{
    for (const RefusedTicket& refused : dispatch.refused)
        refuse(callOf(refused.ticket), refusalReasonName(refused.reason));
    for (const Ticket& started : dispatch.started)
        run(callOf(started));
}

void BackendGate::refuse(const CallPtr& call, const std::string& reason)
{
    m_callsByTicket.erase(call->ticket);
    m_costs.remove(call->ticket.value());
    m_counters.refusedByEvacuation += reason == evacuatedReason ? 1 : 0;
    end(call, makeRefusal(CallOutcome::NotRun, step, reason, loadFor(call->gateCall)));
}

void BackendGate::refuseInadmissible()
{
    // The cause is kept, since it may depend on the time.
    struct Inadmissible {
        CallPtr call;
        const char* cause;
    };
    std::vector<Inadmissible> queuedCalls;
    std::vector<Inadmissible> connectingCalls;
    for (const auto& [ticket, call] : m_callsByTicket) {
        if (!isUnsent(*call))
            continue;
        if (const char* cause = refusalCause(call->gateCall))
            (call->isRunning ? connectingCalls : queuedCalls).push_back({ call, cause });
    }
    // The queued calls go first, so that no slot that a connecting call leaves is given to them.
    for (const auto& [call, cause] : queuedCalls) {
        if (m_admission.cancel(call->ticket) || m_rateQueue.cancel(call->ticket))
            refuse(call, cause);
    }
    for (const auto& [call, cause] : connectingCalls) {
        // A callback of an earlier refusal may have ended it.
        if (!call->connection)
            continue;
        call->connection->close();
        call->connection.reset();
        release(call, ServiceResult::Failed);
        refuse(call, cause);
    }
}

void BackendGate::end(const CallPtr& call, const GateReplyPtr& reply)
{
    if (const auto* refusal = std::get_if<GateRefusal>(reply.get()))
        ++(refusal->outcome == CallOutcome::NotRun ? m_counters.refused : m_counters.unknown);
    else
        ++m_counters.answered;
    if (m_options.link)
        m_options.link->release(std::exchange(call->reservedBytes, 0));
    m_deduplicator.end(call->gateCall.key, reply, m_loop.now());
    m_calls.erase(call->gateCall.key);
    const std::vector<ReplyCallback> callbacks = std::move(call->callbacks);
    for (const ReplyCallback& callback : callbacks)
        callback(reply);
}

void BackendGate::cancel(const CallKey& key)
{
    const auto found = m_calls.find(key);
    if (found == m_calls.end())
        return;
    const CallPtr call = found->second;
    // Nobody waits for the reply, but the deduplicator keeps it so that a late copy of the call does not run.
    call->callbacks.clear();
    if (!call->isRunning) {
        if (m_admission.cancel(call->ticket) || m_rateQueue.cancel(call->ticket)) {
            ++m_counters.cancelled;
            refuse(call, "the caller left");
        }
        return;
    }
    if (!call->gateCall.isIdempotent)
        return;
    ++m_counters.cancelled;
    if (call->connection)
        call->connection->close();
    call->connection.reset();
    release(call, ServiceResult::Failed);
    end(call, makeRefusal(CallOutcome::Unknown, step, "the caller left", loadFor(call->gateCall)));
}

void BackendGate::detectPause(TimePoint now)
{
    if (m_sweepTimer.isActive() && now - m_lastClockCheck > m_options.pauseThreshold) {
        m_refuseUntil = now + pauseRefusalPeriod;
        logEvent(LogLevel::Warning, "process-paused", { { "for_ms", millisecondsText(now - m_lastClockCheck) } });
    }
    m_lastClockCheck = now;
}

void BackendGate::sweep()
{
    const TimePoint now = m_loop.now();
    detectPause(now);
    m_deduplicator.advance(now);
    std::vector<CallPtr> expiredCalls;
    for (const auto& [ticket, call] : m_callsByTicket) {
        if (call->isRunning && now >= std::min(call->gateCall.deadline, m_answerBy))
            expiredCalls.push_back(call);
    }
    for (const CallPtr& call : expiredCalls) {
        if (!call->isRunning)
            continue;
        if (call->connection)
            call->connection->close();
        call->connection.reset();
        m_costs.recordTimeout(call->gateCall, now - call->startedAt, now);
        release(call, ServiceResult::Failed);
        const char* reason = now >= call->gateCall.deadline ? "the deadline passed" : "the node stops";
        end(call, makeRefusal(CallOutcome::Unknown, serverStep, reason, loadFor(call->gateCall)));
    }
    apply(m_admission.advance(now));
    updateColdState();
    if (m_calls.empty())
        m_sweepTimer.stop();
}

} // namespace skylark
