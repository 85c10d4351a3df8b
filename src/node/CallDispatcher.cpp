#include "node/CallDispatcher.h"

#include "base/Digest.h"
#include "base/Error.h"
#include "node/BackendClient.h"

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <algorithm>
#include <thread>

namespace skylark {

using namespace std::chrono_literals;

namespace {

    constexpr const char* requestIdHeader = "Skylark-Request-Id";
    constexpr const char* rankHeader = "Skylark-Rank";
    constexpr const char* deadlineHeader = "Skylark-Deadline-Ms";
    constexpr const char* depthHeader = "Skylark-Depth";
    constexpr const char* resendHeader = "Skylark-Resend";
    constexpr const char* idempotencyHeader = "Idempotency-Key";
    // A longer call chain is treated as a loop.
    constexpr uint32_t maxCallDepth = 9;
    constexpr size_t maxIdBytes = 256;
    constexpr uint64_t maxBufferedResponseBytes = uint64_t { 256 } * 1024;
    constexpr int statusServiceUnavailable = 503;

    const std::string* findHeader(const HeaderList& headers, const char* name)
    {
        for (const auto& [key, value] : headers) {
            if (absl::EqualsIgnoreCase(key, name))
                return &value;
        }
        return nullptr;
    }

    void setHeader(HeaderList& headers, const char* name, std::string value)
    {
        std::erase_if(headers, [&](const auto& header) { return absl::EqualsIgnoreCase(header.first, name); });
        headers.emplace_back(name, std::move(value));
    }

    template <typename Integer> std::optional<Integer> integerHeader(const HeaderList& headers, const char* name)
    {
        const std::string* text = findHeader(headers, name);
        Integer value {};
        if (!text || !absl::SimpleAtoi(*text, &value))
            return std::nullopt;
        return value;
    }

    int rankByName(const Configuration& configuration, const std::string& name, int fallback)
    {
        const auto& ranks = configuration.ranks();
        const auto rank
            = std::find_if(ranks.begin(), ranks.end(), [&](const auto& policy) { return policy.name.value() == name; });
        return rank == ranks.end() ? fallback : static_cast<int>(rank - ranks.begin());
    }

    // The outcome of one attempt and whether its instance caused the failure.
    struct AttemptEvaluation {
        CallOutcome outcome { CallOutcome::Unknown };
        bool isFault { false };
        std::optional<LoadHint> load;
    };

    AttemptEvaluation evaluate(const AwaitResult& result)
    {
        if (const auto* response = std::get_if<AnswerStart>(&result))
            return { .outcome = CallOutcome::Answered, .isFault = response->status >= 500, .load = response->load };
        if (const auto* refusal = std::get_if<Refusal>(&result)) {
            const bool isBackendFault = refusal->step.starts_with("backend");
            return { .outcome = refusal->outcome, .isFault = isBackendFault, .load = refusal->load };
        }
        const auto& failure = std::get<StreamFailure>(result);
        return { .outcome = failure.outcome, .isFault = !failure.isSilentConnection };
    }

    CallError toCallError(const AwaitResult& result, CallOutcome outcome, const InstanceId& instance)
    {
        CallError error {
            .status = outcome == CallOutcome::NotRun ? 503 : 504, .outcome = outcome, .peer = instance.value()
        };
        if (const auto* refusal = std::get_if<Refusal>(&result)) {
            error.step = refusal->step;
            error.message = refusal->reason;
            if (refusal->step == "duplicate")
                error.status = 409;
        } else if (const auto* failure = std::get_if<StreamFailure>(&result)) {
            error.step = failure->step;
            error.message = failure->message;
        }
        return error;
    }

} // namespace

const char* outcomeName(CallOutcome outcome)
{
    switch (outcome) {
    case CallOutcome::Answered:
        return "answered";
    case CallOutcome::NotRun:
        return "not-run";
    case CallOutcome::Unknown:
        return "unknown";
    }
    return "unknown";
}

const std::string& ClassifiedCall::rankName() const
{
    static const std::string unranked = "unranked";
    const auto& ranks = configuration->ranks();
    return start.rank < ranks.size() ? ranks[start.rank].name.value() : unranked;
}

CallDispatcher::Attempt::Attempt(Router& router, Choice choice, std::shared_ptr<ClientStream> stream, TimePoint sentAt)
    : m_router(router)
    , m_choice(std::move(choice))
    , m_stream(std::move(stream))
    , m_sentAt(sentAt)
{
    m_router.recordCallStarted(m_choice);
}

CallDispatcher::Attempt::~Attempt() { report({ .outcome = CallOutcome::Unknown }, m_sentAt); }

void CallDispatcher::Attempt::report(const CallReport& report, TimePoint now)
{
    if (!std::exchange(m_isReported, true))
        m_router.recordCallFinished(m_choice, report, now);
}

CallDispatcher::CallDispatcher(CallDispatcherOptions options, const RcuCell<Configuration>& configuration,
    const RcuCell<MembershipView>& membership, Router& router, PeerNetwork& network, Metrics& metrics,
    const Clock& clock)
    : m_options(std::move(options))
    , m_configuration(configuration)
    , m_membership(membership)
    , m_router(router)
    , m_network(network)
    , m_metrics(metrics)
    , m_clock(clock)
{
}

Random& CallDispatcher::random()
{
    thread_local Random generator(
        seededHash(m_options.instance.value(), m_options.seed + m_nextThreadSeed.fetch_add(1)));
    return generator;
}

std::variant<ClassifiedCall, CallError> CallDispatcher::classify(const CallerRequest& request)
{
    ClassifiedCall call;
    call.arrivedAt = m_clock.now();
    call.configuration = m_configuration.load();
    if (!call.configuration)
        return CallError { .step = "classify", .message = "this node holds no configuration yet" };
    call.route = call.configuration->match(request.host, request.method, request.path);
    if (!call.route)
        return CallError { .status = 404, .step = "classify", .message = "no route matches the request" };

    const Route& route = *call.route;
    const uint32_t depth = integerHeader<uint32_t>(request.headers, depthHeader).value_or(0) + 1;
    if (depth > maxCallDepth)
        return CallError { .status = 508, .step = "classify", .message = "the call chain is longer than 9 calls" };
    Duration timeLimit = route.deadline;
    if (const auto remaining = integerHeader<int64_t>(request.headers, deadlineHeader)) {
        if (*remaining <= 0)
            return CallError { .step = "classify", .message = "the deadline has passed" };
        timeLimit = std::min<Duration>({ timeLimit, m_options.maxDeadline, std::chrono::milliseconds(*remaining) });
    }
    call.deadline = call.arrivedAt + timeLimit;

    CallStart& start = call.start;
    start.requestId = RequestId(m_options.instance.value() + "-" + std::to_string(m_options.processNumber) + "-"
        + std::to_string(m_lastRequestNumber.fetch_add(1) + 1));
    start.service = route.service;
    start.method = request.method;
    start.target = request.target;
    start.depth = depth;
    start.worth = route.worth;
    start.isIdempotent = route.isIdempotent;
    // Nested calls keep the rank of the call chain, so that urgent work stays urgent at each level.
    const std::string* rank = depth > 1 ? findHeader(request.headers, rankHeader) : nullptr;
    start.rank = static_cast<uint32_t>(rank ? rankByName(*call.configuration, *rank, route.rank) : route.rank);
    if (const std::string* key = findHeader(request.headers, idempotencyHeader); key && !route.isIdempotent) {
        if (key->size() > maxIdBytes)
            return CallError {
                .status = 400, .step = "classify", .message = "Idempotency-Key is longer than 256 bytes"
            };
        start.idempotencyKey = *key;
    }
    const std::string* resend = findHeader(request.headers, resendHeader);
    start.isResend = resend && *resend == "1";

    for (const auto& [name, value] : request.headers) {
        if (!isHopByHopHeader(name))
            start.headers.emplace_back(name, value);
    }
    const std::string* callerRequestId = findHeader(request.headers, requestIdHeader);
    setHeader(start.headers, requestIdHeader,
        callerRequestId && !callerRequestId->empty() && callerRequestId->size() <= maxIdBytes
            ? *callerRequestId
            : start.requestId.value());
    setHeader(start.headers, rankHeader, call.rankName());
    setHeader(start.headers, depthHeader, std::to_string(depth));
    return call;
}

std::optional<Choice> CallDispatcher::choose(const ClassifiedCall& call, const std::vector<InstanceId>& triedInstances)
{
    return m_router.choose({ .service = call.route->service,
                               .excluded = triedInstances,
                               .isIdempotent = call.route->isIdempotent,
                               .idempotencyKey = call.start.idempotencyKey },
        random(), m_clock.now());
}

// The router returns the owner of an idempotency key whatever its condition. An owner that is leaving refuses new
// requests, and a request that reaches it while its connections close would have an unknown outcome although it did not
// run. A request marked as a resend is still sent, since only the owner's record shows whether an earlier copy ran.
std::optional<CallError> CallDispatcher::rejectLeavingOwner(const ClassifiedCall& call, const Choice& choice) const
{
    if (choice.reason != ChoiceReason::OwnerOfKey || call.start.isResend)
        return std::nullopt;
    const InstanceState* owner = m_membership.load()->find(choice.instance);
    if (!owner || owner->condition != Condition::Leaving)
        return std::nullopt;
    return CallError { .step = "choose-instance",
        .peer = choice.instance.value(),
        .message = "the instance that owns the idempotency key is leaving" };
}

std::shared_ptr<CallDispatcher::Attempt> CallDispatcher::open(
    ClassifiedCall& call, Choice choice, std::string body, bool isBodyComplete)
{
    const TimePoint now = m_clock.now();
    CallStart start = call.start;
    start.gateIncarnation = choice.incarnation;
    start.remainingDeadline = call.deadline - now;
    const auto remaining = std::chrono::ceil<std::chrono::milliseconds>(start.remainingDeadline);
    setHeader(start.headers, deadlineHeader, std::to_string(remaining.count()));
    m_metrics.countAttempt(start.attempt > 1);
    const Endpoint gate = choice.peer;
    const InstanceId instance = choice.instance;
    auto stream = m_network.openCall(gate, instance, std::move(start), std::move(body), isBodyComplete);
    return std::make_shared<Attempt>(m_router, std::move(choice), std::move(stream), now);
}

// An attempt that can be retried gets only a share of the remaining time, since an instance that has stopped without
// closing its connections would use up all of it.
TimePoint CallDispatcher::attemptDeadline(const ClassifiedCall& call, const Choice& choice) const
{
    const Route& route = *call.route;
    if (!route.isIdempotent || call.start.depth > 1 || call.start.attempt > static_cast<uint32_t>(route.retries))
        return call.deadline;
    const auto attemptsLeft = static_cast<int64_t>(route.retries) + 2 - call.start.attempt;
    const TimePoint now = m_clock.now();
    const Duration share = (call.deadline - now) / attemptsLeft;
    // Three mean latencies leave room for slow responses from a healthy instance.
    return std::min(call.deadline, now + std::max(share, 3 * choice.expectedLatency));
}

void CallDispatcher::report(Attempt& attempt, const AwaitResult& result)
{
    const TimePoint now = m_clock.now();
    const AttemptEvaluation evaluation = evaluate(result);
    attempt.report({ .outcome = evaluation.outcome,
                       .isFault = evaluation.isFault,
                       .latency = now - attempt.m_sentAt,
                       .load = evaluation.load },
        now);
    // Only a failure of the instance to respond is reported. A refusal or a slow response is no such failure, and the
    // network probes the peer of a silent connection itself.
    const auto* failure = std::get_if<StreamFailure>(&result);
    if (failure && m_failureObserver && !failure->isSilentConnection && !failure->isTimeout)
        m_failureObserver(attempt.m_choice.instance, attempt.m_choice.incarnation);
}

// A request cannot be retried once part of its response has reached the caller. The response to an idempotent request
// is therefore read completely, up to maxBufferedResponseBytes, before the caller gets any of it. A response that ends
// early is a failure of the attempt.
AwaitResult CallDispatcher::awaitFullResponse(
    const ClassifiedCall& call, ClientStream& stream, TimePoint responseDeadline, std::optional<std::string>& body)
{
    AwaitResult result = stream.awaitResponse(responseDeadline);
    const auto* response = std::get_if<AnswerStart>(&result);
    if (!response || !response->hasBody || !call.route->isIdempotent)
        return result;
    const auto length = integerHeader<uint64_t>(response->headers, "Content-Length");
    if (!length || *length > maxBufferedResponseBytes)
        return result;
    try {
        std::string fullBody;
        while (const std::optional<std::string> part = stream.readBody(call.deadline))
            fullBody += *part;
        body = std::move(fullBody);
        return result;
    } catch (const Error& error) {
        return StreamFailure { .step = "read-answer", .message = error.what() };
    }
}

CallResult CallDispatcher::call(ClassifiedCall& call, const std::string& requestBody)
{
    const std::shared_ptr<RetryBudget> retryBudget = budget(call.route->service);
    std::vector<InstanceId> triedInstances;
    bool mayHaveRun = false;
    std::optional<CallError> lastError;
    m_inFlight.fetch_add(1);
    const std::unique_ptr<std::atomic<int>, void (*)(std::atomic<int>*)> guard(
        &m_inFlight, [](std::atomic<int>* count) { count->fetch_sub(1); });
    for (call.start.attempt = 1;; ++call.start.attempt) {
        std::optional<Choice> choice = choose(call, triedInstances);
        if (!choice) {
            return lastError.value_or(CallError { .step = "choose-instance",
                .peer = call.route->service.value(),
                .message = "no instance of the service is available" });
        }
        if (const std::optional<CallError> rejection = rejectLeavingOwner(call, *choice))
            return lastError.value_or(*rejection);
        const InstanceId instance = choice->instance;
        const Duration expectedLatency = choice->expectedLatency;
        const TimePoint responseDeadline = attemptDeadline(call, *choice);
        const std::shared_ptr<Attempt> attempt = open(call, std::move(*choice), requestBody, true);
        std::optional<std::string> body;
        const AwaitResult result = awaitFullResponse(call, attempt->stream(), responseDeadline, body);
        report(*attempt, result);
        const AttemptEvaluation evaluation = evaluate(result);
        const auto* response = std::get_if<AnswerStart>(&result);
        // A 503 response means that the backend server shed the call, which another one may accept. Only idempotent
        // requests are retried after it, since it does not prove that the request did not run.
        const bool isShed = response && response->status == statusServiceUnavailable && call.route->isIdempotent;
        const CallOutcome outcome = isShed ? CallOutcome::Unknown : evaluation.outcome;
        retryBudget->recordAttempt(call.start.attempt, outcome);
        if (response && !isShed)
            return CallResponse { *response, std::move(body), attempt->m_stream, call.deadline, instance };

        const RetryDecision decision
            = m_retryPolicy.decide({ .isIdempotent = call.route->isIdempotent,
                                       .depth = call.start.depth,
                                       .number = call.start.attempt,
                                       .maxRetries = static_cast<uint32_t>(call.route->retries),
                                       .deadline = call.deadline,
                                       .expectedLatency = expectedLatency,
                                       .mayHaveRun = mayHaveRun },
                outcome, *retryBudget, random(), m_clock.now());
        if (const auto* returnToCaller = std::get_if<ReturnToCaller>(&decision)) {
            if (isShed)
                return CallResponse { *response, std::move(body), attempt->m_stream, call.deadline, instance };
            return toCallError(result, returnToCaller->outcome, instance);
        }
        mayHaveRun = mayHaveRun || outcome == CallOutcome::Unknown;
        lastError = toCallError(result, mayHaveRun ? CallOutcome::Unknown : outcome, instance);
        triedInstances.push_back(instance);
        std::this_thread::sleep_for(std::get<Retry>(decision).delay);
    }
}

std::variant<std::shared_ptr<CallDispatcher::Attempt>, CallError> CallDispatcher::startStreaming(
    ClassifiedCall& call, std::string firstPart)
{
    std::optional<Choice> choice = choose(call, {});
    if (!choice) {
        return CallError { .step = "choose-instance",
            .peer = call.route->service.value(),
            .message = "no instance of the service is available" };
    }
    if (const std::optional<CallError> rejection = rejectLeavingOwner(call, *choice))
        return *rejection;
    return open(call, std::move(*choice), std::move(firstPart), false);
}

CallResult CallDispatcher::finishStreaming(ClassifiedCall& call, const std::shared_ptr<Attempt>& attempt)
{
    const AwaitResult result = attempt->stream().awaitResponse(call.deadline);
    report(*attempt, result);
    const InstanceId instance = attempt->m_choice.instance;
    const CallOutcome outcome = evaluate(result).outcome;
    budget(call.route->service)->recordAttempt(1, outcome);
    if (const auto* response = std::get_if<AnswerStart>(&result))
        return CallResponse { *response, std::nullopt, attempt->m_stream, call.deadline, instance };
    return toCallError(result, outcome, instance);
}

void CallDispatcher::reconfigure(const Configuration& configuration)
{
    const std::shared_ptr<const Budgets> oldBudgets = m_budgets.load();
    auto newBudgets = std::make_shared<Budgets>();
    for (const auto& [name, service] : configuration.services()) {
        const auto oldEntry = oldBudgets ? oldBudgets->find(name) : Budgets::const_iterator {};
        newBudgets->emplace(name,
            oldBudgets && oldEntry != oldBudgets->end()
                ? oldEntry->second
                : std::make_shared<RetryBudget>(RetryBudgetOptions {}, m_clock.now()));
    }
    m_budgets.store(std::move(newBudgets));
}

std::shared_ptr<RetryBudget> CallDispatcher::budget(const ServiceName& service) const
{
    if (const std::shared_ptr<const Budgets> budgets = m_budgets.load()) {
        if (const auto entry = budgets->find(service); entry != budgets->end())
            return entry->second;
    }
    // A newer configuration does not define this service. A new budget allows retries only from its initial tokens.
    return std::make_shared<RetryBudget>(RetryBudgetOptions {}, m_clock.now());
}

} // namespace skylark
