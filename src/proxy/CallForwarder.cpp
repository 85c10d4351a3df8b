#include "proxy/CallForwarder.h"

#include "proxy/ResponseKind.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_format.h>
#include <algorithm>

namespace skylark {

namespace {

    constexpr int statusNotFound = 404;
    constexpr int statusServerError = 500;
    constexpr int statusBadGateway = 502;
    constexpr int statusUnavailable = 503;
    constexpr int statusTimeout = 504;

    constexpr Duration minRetryAfter = std::chrono::milliseconds(50);
    constexpr Duration maxRetryAfter = std::chrono::seconds(1);
    // Used if the load at the gate is unknown.
    constexpr Duration defaultRetryAfter = std::chrono::milliseconds(300);
    // Jitter spreads the retries of callers that were refused at the same time.
    constexpr double minJitter = 0.8;
    constexpr double jitterRange = 0.8;
    // A retry needs this many times the duration of the last attempt within the remaining time.
    constexpr double retryTimeFactor = 1.2;
    constexpr Duration minTimeForRetry = std::chrono::milliseconds(10);

} // namespace

CallForwarder::CallForwarder(EventLoop& loop, CallForwarderOptions options, const HttpConventions& httpConventions,
    Router& router, BackendGate& gate, PeerLookup peers, RequestLog& log, Metrics& metrics)
    : m_loop(loop)
    , m_options(std::move(options))
    , m_httpConventions(httpConventions)
    , m_router(router)
    , m_gate(gate)
    , m_peers(std::move(peers))
    , m_log(log)
    , m_metrics(metrics)
    , m_queue(loop, m_options.configurationQueue,
          [this](HttpRequest request, const std::shared_ptr<HttpExchange>& caller, TimePoint receivedAt) {
              refuse(std::move(request), caller, receivedAt, "no configuration is held yet");
          })
    , m_retryBudget(m_options.retryBudget)
    , m_random(m_options.self.value())
{
    if (m_options.isCostAware)
        m_costs.emplace();
}

void CallForwarder::setConfiguration(std::shared_ptr<const Configuration> configuration)
{
    m_configuration = std::move(configuration);
    m_splits.reconfigure(*m_configuration);
    absl::flat_hash_set<std::string> names;
    for (const Route& route : m_configuration->routes())
        names.insert(route.name);
    absl::erase_if(m_history, [&names](const auto& entry) { return !names.contains(entry.first); });
    releaseQueue();
}

void CallForwarder::releaseQueue()
{
    if (!canForward() || m_queue.size() == 0)
        return;
    m_queue.release([this](HttpRequest request, const std::shared_ptr<HttpExchange>& caller, TimePoint receivedAt) {
        start(std::move(request), caller, receivedAt);
    });
}

void CallForwarder::drain()
{
    m_isDraining = true;
    m_queue.expireAll();
}

void CallForwarder::refuse(
    HttpRequest request, const std::shared_ptr<HttpExchange>& caller, TimePoint receivedAt, const char* reason)
{
    const CallPtr call = makeCall(std::move(request), caller, receivedAt);
    call->lastReason = reason;
    finish(call, refusal(*call), "not-run");
}

void CallForwarder::handle(HttpRequest request, const std::shared_ptr<HttpExchange>& caller)
{
    const TimePoint now = m_loop.now();
    if (m_isDraining && !isNestedCall(requestIdOf(request)))
        refuse(std::move(request), caller, now, "the node stops");
    else if (canForward())
        start(std::move(request), caller, now);
    else if (m_queue.isFull())
        refuse(std::move(request), caller, now, "too many requests wait for the first configuration");
    else
        queue(std::move(request), caller);
}

void CallForwarder::queue(HttpRequest request, const std::shared_ptr<HttpExchange>& caller)
{
    const Duration timeout = callerTimeout(request);
    m_queue.add(std::move(request), caller, timeout);
}

void CallForwarder::start(HttpRequest request, const std::shared_ptr<HttpExchange>& caller, TimePoint receivedAt)
{
    const CallPtr call = makeCall(std::move(request), caller, receivedAt);
    call->isNestedCall = isNestedCall(call->requestId);
    const HttpRequest& received = *call->request;
    const std::string* host = findHeader(received.headers, "Host");
    call->route = call->configuration->match(host ? *host : "", received.method, received.target);
    if (!call->route) {
        finish(call, failure(statusNotFound, "no route"), "no-route");
        return;
    }
    if (call->route->hasUnknownAction) {
        call->lastReason = "this release knows no destination in the route's action";
        finish(call, refusal(*call), "not-run");
        return;
    }
    call->service = m_splits.choose(*call->route);
    call->rank = call->isNestedCall ? 0 : call->route->rank;
    setDeadlines(*call);
    m_retryBudget.recordRequest(call->service, call->receivedAt);
    m_calls.emplace(call->number, call);
    caller->setDisconnectCallback([this, number = call->number] {
        if (const auto found = m_calls.find(number); found != m_calls.end())
            handleCallerDisconnect(CallPtr(found->second));
    });
    call->timer.start(call->deadline - m_loop.now());
    attempt(call);
}

bool CallForwarder::isIdempotent(const HttpRequest& request) const
{
    const std::string* host = findHeader(request.headers, "Host");
    const Route* route
        = m_configuration ? m_configuration->match(host ? *host : "", request.method, request.target) : nullptr;
    return route && route->isIdempotent;
}

void CallForwarder::beginStop(TimePoint answerBy)
{
    m_answerBy = answerBy;
    for (const auto& [number, call] : m_calls) {
        if (call->deadline <= answerBy)
            continue;
        call->deadline = answerBy;
        call->timer.start(answerBy - m_loop.now());
    }
}

RequestId CallForwarder::requestIdOf(const HttpRequest& request) const
{
    const std::string* id = findHeader(request.headers, m_httpConventions.requestId);
    return id ? RequestId(*id) : RequestId();
}

CallForwarder::CallPtr CallForwarder::makeCall(
    HttpRequest request, const std::shared_ptr<HttpExchange>& caller, TimePoint receivedAt)
{
    const uint64_t number = ++m_lastNumber;
    auto call = std::make_shared<Call>(m_loop, [this, number] {
        if (const auto found = m_calls.find(number); found != m_calls.end())
            handleTimeout(CallPtr(found->second));
    });
    call->number = number;
    call->caller = caller;
    call->receivedAt = receivedAt;
    call->configuration = m_configuration;
    call->requestId = requestIdOf(request);
    // The caller's connection ends here. This must come before the node sets headers of its own: the gate drops what a
    // Connection header names, and an early removal keeps the caller from naming those.
    removeConnectionHeaders(request.headers, m_httpConventions.endToEndNames());
    removeHeader(request.headers, m_httpConventions.expectedInstance);
    setHeader(request.headers, m_httpConventions.callerService, m_options.callerService.value());
    call->request = std::make_shared<const HttpRequest>(std::move(request));
    return call;
}

Duration CallForwarder::callerTimeout(const HttpRequest& request) const
{
    constexpr Duration maxCallerTimeout = std::chrono::hours(1);
    int64_t milliseconds = 0;
    const std::string* text = findHeader(request.headers, m_httpConventions.deadline);
    if (!text || !absl::SimpleAtoi(*text, &milliseconds) || milliseconds < 0)
        return m_options.defaultDeadline;
    return std::min<Duration>(maxCallerTimeout, std::chrono::milliseconds(milliseconds));
}

// A backend server that makes a call on behalf of a request prefixes the call's id with the request's id and a dot.
// That request holds a slot and fails with the call, so nested calls get the most urgent rank and are not late before
// their deadline.
bool CallForwarder::isNestedCall(const RequestId& id) const
{
    const std::string& text = id.value();
    const size_t dot = text.rfind('.');
    return dot != std::string::npos && m_gate.isRunning(text.substr(0, dot));
}

void CallForwarder::setDeadlines(Call& call)
{
    const Route& route = *call.route;
    const Duration timeout = callerTimeout(*call.request);
    InitialTimeoutEstimate& estimate = m_history[route.name].timeoutEstimate;
    estimate.record(timeout);
    call.deadline = call.receivedAt + (route.deadline > Duration::zero() ? std::min(timeout, route.deadline) : timeout);
    call.deadline = std::min(call.deadline, m_answerBy);
    if (call.isNestedCall) {
        call.onTimeBy = call.deadline;
        return;
    }
    const Duration target = route.target > Duration::zero() ? route.target : timeout;
    call.onTimeBy = call.receivedAt + std::max(Duration::zero(), target - estimate.elapsedSinceFirstAttempt(timeout));
}

void CallForwarder::attempt(const CallPtr& call)
{
    const auto choice = chooseInstance(*call);
    if (!choice) {
        if (const auto pause = m_notices.shortestPause(call->service, m_loop.now(), call->rank))
            call->lastLoad.requestDelay = *pause;
        if (m_evacuatedServices.contains(call->service)) {
            ++m_refusedByEvacuation;
            call->lastReason = "all servers of the service are in evacuated zones";
        }
        if (call->lastReason.empty())
            call->lastReason = "no instance of the service can be used";
        giveUp(call);
        return;
    }
    call->triedInstances.push_back(choice->instance);
    send(call, *choice);
}

void CallForwarder::send(const CallPtr& call, const Choice& choice)
{
    call->choice = choice;
    call->stream = StreamId(++m_lastStream);
    call->sentAt = m_loop.now();
    m_router.recordCallStarted(choice);
    m_metrics.countAttempt(call->attempts > 0);
    GateCall gateCall { .key = { .sender = m_options.self, .stream = call->stream },
        .requestId = call->requestId,
        .service = call->service,
        .request = call->request,
        .rank = call->rank,
        .deadline = call->deadline,
        .onTimeBy = call->onTimeBy,
        .isIdempotent = call->route->isIdempotent,
        .attempt = call->attempts + 1,
        .knownServerRate = m_notices.rate(choice.instance, choice.incarnation),
        .serverIncarnation = choice.incarnation,
        .route = call->route->name };
    const auto onReply = [this, call, stream = call->stream](const GateReplyPtr& reply) {
        if (call->choice && call->stream == stream)
            handleReply(call, reply);
    };
    if (choice.peer.host == m_options.host)
        m_gate.submit(std::move(gateCall), onReply);
    else
        m_peers(choice.peer).submit(std::move(gateCall), onReply);
}

void CallForwarder::reportToRouter(
    Call& call, CallOutcome outcome, bool isFault, const std::optional<LoadHint>& load, Duration serviceTime)
{
    if (!call.choice)
        return;
    m_router.recordCallFinished(*call.choice,
        { .outcome = outcome,
            .isFault = isFault,
            .latency = m_loop.now() - call.sentAt,
            .load = load,
            .serviceTime = serviceTime },
        m_loop.now());
    call.choice.reset();
}

void CallForwarder::handleReply(const CallPtr& call, const GateReplyPtr& reply)
{
    if (const auto* gateResponse = std::get_if<GateResponse>(reply.get()))
        handleResponse(call, *gateResponse);
    else
        handleRefusal(call, std::get<GateRefusal>(*reply));
}

void CallForwarder::handleResponse(const CallPtr& call, const GateResponse& gateResponse)
{
    const HttpResponse& response = gateResponse.response;
    const ResponseKind kind = classifyResponse(response, m_httpConventions);
    const bool isFailed = response.status >= statusServerError || kind == ResponseKind::UnprovenSuccess;
    m_notices.record(targetOf(*call), readServerNotice(response.headers, m_httpConventions), m_loop.now());
    pauseTarget(*call, call->sentAt, gateResponse.load);
    if (!isFailed)
        recordCost(*call, gateResponse.serviceTime);
    reportToRouter(*call, CallOutcome::Answered, isFailed, gateResponse.load, gateResponse.serviceTime);
    ++call->attempts;
    call->mayHaveRun = true;
    if (isSuccessStatus(response.status))
        recordResponseBytes(*call->route, response);
    switch (kind) {
    case ResponseKind::Success:
    case ResponseKind::Failure:
        // A failure reported by the server itself is delivered. Callers retry idempotent requests themselves; a retry
        // here would repeat the nested calls of the failed run at the expense of the fleet's retry budget.
        call->lastReason = "the server answered " + std::to_string(response.status);
        finish(call, response, "answered");
        return;
    case ResponseKind::UnprovenSuccess:
        call->lastReason = "the server's answer bears no proof";
        if (tryTakeRetry(*call))
            attempt(call);
        else
            giveUp(call);
        return;
    case ResponseKind::NotExecuted:
        // Gates reply with a refusal in its place.
    case ResponseKind::AmbiguousRefusal:
        handleAmbiguousRefusal(call, gateResponse);
        return;
    }
}

// Ends the call without a retry, like other failures of a server. Nothing of the response is passed on: its headers,
// such as Retry-After, belong to a status that the caller must not get.
void CallForwarder::handleAmbiguousRefusal(const CallPtr& call, const GateResponse& gateResponse)
{
    ++m_ambiguousRefusals;
    recordFailedAttempt(*call,
        { .outcome = CallOutcome::Unknown,
            .step = serverStep,
            .reason = "the server answered " + std::to_string(gateResponse.response.status)
                + " without a statement that it did not run the request",
            .load = gateResponse.load });
    giveUp(call);
}

void CallForwarder::recordFailedAttempt(Call& call, const GateRefusal& refusal)
{
    call.lastReason = refusal.step + ": " + refusal.reason;
    m_log.failure("attempt-failed",
        { { "id", call.requestId.value() }, { "route", call.route->name },
            { "target", call.triedInstances.back().value() },
            { "outcome", refusal.outcome == CallOutcome::Unknown ? "unknown" : "not-run" }, { "step", refusal.step },
            { "reason", refusal.reason }, { "queued", std::to_string(refusal.load.queued) },
            { "limit", std::to_string(refusal.load.limit) },
            { "remaining_ms", millisecondsText(call.deadline - m_loop.now()) } });
}

void CallForwarder::handleRefusal(const CallPtr& call, const GateRefusal& refusal)
{
    const bool isUnknown = refusal.outcome == CallOutcome::Unknown;
    const bool isFromServer = refusal.step == serverStep;
    pauseTarget(*call, m_loop.now(), refusal.load);
    reportToRouter(
        *call, refusal.outcome, isUnknown, refusal.load.limit > 0 ? std::optional(refusal.load) : std::nullopt);
    call->lastLoad = refusal.load;
    call->wasRefusedByServer = isFromServer;
    recordFailedAttempt(*call, refusal);
    if (isUnknown || isFromServer)
        ++call->attempts;
    call->mayHaveRun |= isUnknown;
    if (!isUnknown && !isFromServer) {
        const bool isByRate = refusal.load.requestDelay > Duration::zero();
        ++(isByRate ? call->rateRefusals : call->refusals);
        if (call->refusals < m_options.maxRefusals && call->rateRefusals < m_options.maxRateRefusals)
            attempt(call);
        else
            giveUp(call);
        return;
    }
    if ((!isUnknown || call->route->isIdempotent) && tryTakeRetry(*call))
        attempt(call);
    else
        giveUp(call);
}

bool CallForwarder::tryTakeRetry(const Call& call)
{
    if (call.mayHaveRun && !call.route->isIdempotent)
        return false;
    if (call.attempts > static_cast<uint32_t>(std::max(0, call.route->retries)))
        return false;
    const TimePoint now = m_loop.now();
    const Duration expected = expectedCost(call);
    const Duration attemptTime = expected > Duration::zero() ? expected : now - call.sentAt;
    const Duration minRemaining = std::chrono::duration_cast<Duration>(attemptTime * retryTimeFactor);
    if (call.deadline - now < std::max(minRemaining, minTimeForRetry))
        return false;
    return m_retryBudget.tryTake(call.service, call.mayHaveRun, m_fleetSize, now);
}

Duration CallForwarder::retryAfter(const Call& call)
{
    Duration wait = defaultRetryAfter;
    // A refusal by the server itself carries no information about load: the next attempt may succeed immediately.
    if (call.lastLoad.requestDelay > Duration::zero())
        wait = limitsColdServers(call)
            ? m_notices.nextTurn(call.service, call.lastLoad.requestDelay, maxRetryAfter, m_loop.now())
            : call.lastLoad.requestDelay;
    else if (call.wasRefusedByServer)
        wait = minRetryAfter;
    else if (call.lastLoad.limit > 0 && call.lastLoad.queued > 0) {
        const Duration elapsed = m_loop.now() - call.receivedAt;
        wait = std::max(elapsed, defaultRetryAfter / 3) * (call.lastLoad.queued + 1) / call.lastLoad.limit;
    }
    const double jitter = minJitter + jitterRange * m_random.unit();
    const auto jitteredWait = std::chrono::duration_cast<Duration>(wait * jitter);
    return std::clamp<Duration>(jitteredWait, minRetryAfter, maxRetryAfter);
}

HttpResponse CallForwarder::refusal(const Call& call)
{
    HttpResponse response = failure(statusUnavailable, call.lastReason);
    const double seconds = std::chrono::duration<double>(retryAfter(call)).count();
    response.headers.push_back({ "Retry-After", absl::StrFormat("%.3f", seconds) });
    return response;
}

HttpResponse CallForwarder::failure(int status, const std::string& reason)
{
    return { .status = status, .headers = { { "Content-Type", "text/plain" } }, .body = reason + "\n" };
}

void CallForwarder::giveUp(const CallPtr& call)
{
    // The gate may detect the passed deadline before the timer of the call fires.
    if (call->mayHaveRun && m_loop.now() >= call->deadline)
        finish(call, failure(statusTimeout, call->lastReason), "timeout");
    else if (call->mayHaveRun)
        finish(call, failure(statusBadGateway, call->lastReason), "unknown");
    else
        finish(call, refusal(*call), "not-run");
}

void CallForwarder::cancelAttempt(Call& call)
{
    if (!call.choice)
        return;
    const Choice choice = *call.choice;
    reportToRouter(call, CallOutcome::Unknown, false, std::nullopt);
    if (choice.peer.host == m_options.host)
        m_gate.cancel({ .sender = m_options.self, .stream = call.stream });
    else
        m_peers(choice.peer).cancel(call.stream);
}

void CallForwarder::handleTimeout(const CallPtr& call)
{
    const bool isOutstanding = call->choice.has_value();
    cancelAttempt(*call);
    call->lastReason = "the timeout passed" + (call->lastReason.empty() ? "" : "; " + call->lastReason);
    if (isOutstanding || call->mayHaveRun)
        finish(call, failure(statusTimeout, call->lastReason), "timeout");
    else
        giveUp(call);
}

void CallForwarder::handleCallerDisconnect(const CallPtr& call)
{
    cancelAttempt(*call);
    call->lastReason = "the caller left";
    finish(call, failure(statusBadGateway, call->lastReason), "cancelled");
}

void CallForwarder::finish(const CallPtr& call, HttpResponse response, const char* outcome)
{
    m_calls.erase(call->number);
    call->timer.stop();
    const Duration latency = m_loop.now() - call->receivedAt;
    const std::string rank = call->route ? std::to_string(call->rank) : "none";
    m_metrics.countRequest(rank, outcome, latency);
    LogFields fields { { "id", call->requestId.value() }, { "route", call->route ? call->route->name : "" },
        { "service", call->service.value() }, { "rank", rank }, { "outcome", outcome },
        { "status", std::to_string(response.status) }, { "ms", millisecondsText(latency) },
        { "attempts", std::to_string(call->attempts) }, { "refusals", std::to_string(call->refusals) },
        { "target", call->triedInstances.empty() ? "" : call->triedInstances.back().value() },
        { "version", call->configuration ? std::to_string(call->configuration->manifest().version.value()) : "none" } };
    if (response.status < statusServerError) {
        m_log.success("request-answered", fields);
    } else {
        fields.emplace_back("reason", call->lastReason);
        m_log.failure("request-failed", std::move(fields));
    }
    call->caller->respond(std::move(response));
}

} // namespace skylark
