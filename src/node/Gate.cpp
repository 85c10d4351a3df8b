#include "node/Gate.h"

#include "base/Invariant.h"
#include "node/ResponseRelay.h"

#include <algorithm>

namespace skylark {

namespace {

    AdmissionOptions admissionOptions(std::vector<RankPolicy> ranks, int slots, int maxQueue)
    {
        return { .ranks = std::move(ranks), .slots = slots, .maxQueue = maxQueue };
    }

    std::string scopedIdempotencyKey(const CallStart& call)
    {
        // A caller may use one key for different operations of a service.
        return call.idempotencyKey.empty() ? "" : call.method + " " + call.target + " " + call.idempotencyKey;
    }

} // namespace

struct Gate::Call {
    std::shared_ptr<ServerStream> stream;
    Ticket ticket;
    std::shared_ptr<BackendCancellation> cancellation { std::make_shared<BackendCancellation>() };

    const CallStart& start() const { return stream->call(); }
};

Gate::Gate(GateOptions options, Metrics& metrics, const Clock& clock)
    : m_options(std::move(options))
    , m_metrics(metrics)
    , m_clock(clock)
    , m_backend(BackendClientOptions { .backend = m_options.backend })
    , m_admission(AdmissionState {
          AdmissionController(admissionOptions({ RankPolicy {} }, m_options.defaultSlots, 256), clock.now()), {} })
    , m_deduplicator(RequestDeduplicatorOptions { .gateIncarnation = m_options.incarnation }, clock.now())
{
    ensureThreads(2 * m_options.defaultSlots);
}

Gate::~Gate() { stop(); }

void Gate::accept(const std::shared_ptr<ServerStream>& stream)
{
    const CallStart& start = stream->call();
    const auto call = std::make_shared<Call>();
    call->stream = stream;
    call->ticket = { .id = TicketId(m_lastTicketNumber.fetch_add(1) + 1),
        .rank = static_cast<int>(start.rank),
        .deadline = stream->receivedAt() + start.remainingDeadline,
        .worth = start.worth };
    if (start.service != m_options.service) {
        refuse(call, "accept", "this gate serves " + m_options.service.value());
        return;
    }
    if (!claim(call))
        return;
    stream->onCancelled([this, weakCall = std::weak_ptr<Call>(call)] {
        if (const CallPointer liveCall = weakCall.lock())
            cancel(liveCall);
    });
    offer(call);
}

// Returns whether the call may run. Otherwise refuses the call.
bool Gate::claim(const CallPointer& call)
{
    const CallStart& start = call->start();
    const TimePoint now = m_clock.now();
    if (start.isIdempotent) {
        if (!m_deduplicator.with([&](RequestDeduplicator& deduplicator) {
                return deduplicator.wasRefused(start.requestId, start.attempt);
            }))
            return true;
        refuse(call, "claim", claimRefusalName(ClaimRefusal::RefusedBefore));
        return false;
    }
    const ClaimRequest request { .requestId = start.requestId,
        .attempt = start.attempt,
        .idempotencyKey = scopedIdempotencyKey(start),
        .gateIncarnation = start.gateIncarnation,
        .isResend = start.isResend,
        .receivedAt = call->stream->receivedAt() };
    const Claim claim
        = m_deduplicator.with([&](RequestDeduplicator& deduplicator) { return deduplicator.claim(request, now); });
    if (std::holds_alternative<ClaimNew>(claim))
        return true;
    m_metrics.countAdmission(rankName(start.rank), "duplicate");
    Refusal refusal { .outcome = CallOutcome::Unknown, .step = "duplicate", .load = load() };
    if (const auto* claimRefused = std::get_if<ClaimRefused>(&claim)) {
        refusal.outcome = CallOutcome::NotRun;
        refusal.step = "claim";
        refusal.reason = claimRefusalName(claimRefused->reason);
    } else if (std::holds_alternative<ClaimNotCovered>(claim)) {
        refusal.step = "claim";
        refusal.reason = "a copy may have run before this gate's record begins";
    } else {
        refusal.reason = std::holds_alternative<ClaimRunning>(claim) ? "a copy of this request is running"
                                                                     : "a copy of this request has run";
    }
    call->stream->refuse(refusal);
    return false;
}

void Gate::offer(const CallPointer& call)
{
    const TimePoint now = m_clock.now();
    std::vector<std::pair<CallPointer, RefusalReason>> refusedCalls;
    const AdmitResult result = m_admission.with([&](AdmissionState& admission) {
        AdmitResult admitResult = admission.controller.offer(call->ticket, now);
        for (const RefusedTicket& displaced : admitResult.displaced) {
            const auto entry = admission.calls.find(displaced.ticket.id);
            invariant(
                entry != admission.calls.end(), { .rule = "a displaced call is in the call table", .step = "admit" });
            refusedCalls.emplace_back(entry->second, displaced.reason);
            admission.calls.erase(entry);
        }
        if (admitResult.admission != Admission::Refused)
            admission.calls.emplace(call->ticket.id, call);
        publishLoad(admission);
        return admitResult;
    });
    switch (result.admission) {
    case Admission::Admitted:
        m_metrics.countAdmission(rankName(call->start().rank), "admitted");
        enqueue({ call });
        break;
    case Admission::Queued:
        m_metrics.countAdmission(rankName(call->start().rank), "queued");
        break;
    case Admission::Refused:
        refusedCalls.emplace_back(call, result.reason);
        break;
    }
    refuseAll(refusedCalls);
}

void Gate::refuseAll(const std::vector<std::pair<CallPointer, RefusalReason>>& refusedCalls)
{
    for (const auto& [call, reason] : refusedCalls)
        refuse(call, "admit", refusalReasonName(reason));
}

// For calls that were not sent to the backend server. The refusal is recorded before it is sent, so that it stays true
// if a copy of the call arrives later.
void Gate::refuse(const CallPointer& call, const std::string& step, const std::string& reason)
{
    const CallStart& start = call->start();
    const TimePoint now = m_clock.now();
    m_deduplicator.with(
        [&](RequestDeduplicator& deduplicator) { deduplicator.refuse(start.requestId, start.attempt, now); });
    m_metrics.countAdmission(rankName(start.rank), "refused");
    call->stream->refuse({ .outcome = CallOutcome::NotRun, .step = step, .reason = reason, .load = load() });
}

void Gate::cancel(const CallPointer& call)
{
    const bool wasWaiting = m_admission.with([&](AdmissionState& admission) {
        if (!admission.controller.cancel(call->ticket.id))
            return false;
        admission.calls.erase(call->ticket.id);
        publishLoad(admission);
        return true;
    });
    if (wasWaiting)
        refuse(call, "admit", "cancelled");
    else
        call->cancellation->cancel();
}

void Gate::collectDispatch(const Dispatch& dispatch, AdmissionState& admission, std::vector<CallPointer>& startedCalls,
    std::vector<std::pair<CallPointer, RefusalReason>>& refusedCalls)
{
    for (const Ticket& ticket : dispatch.started)
        startedCalls.push_back(admission.calls.at(ticket.id));
    for (const RefusedTicket& entry : dispatch.refused) {
        refusedCalls.emplace_back(admission.calls.at(entry.ticket.id), entry.reason);
        admission.calls.erase(entry.ticket.id);
    }
    publishLoad(admission);
}

void Gate::advance()
{
    const TimePoint now = m_clock.now();
    std::vector<CallPointer> startedCalls;
    std::vector<std::pair<CallPointer, RefusalReason>> refusedCalls;
    m_deduplicator.with([&](RequestDeduplicator& deduplicator) { deduplicator.advance(now); });
    m_admission.with([&](AdmissionState& admission) {
        collectDispatch(admission.controller.advance(now), admission, startedCalls, refusedCalls);
    });
    enqueue(startedCalls);
    refuseAll(refusedCalls);
    m_metrics.setConcurrency(m_limit.load(), m_inFlight.load(), m_queued.load());
}

void Gate::reconfigure(const Configuration& configuration)
{
    const ServicePolicy* service = configuration.service(m_options.service);
    const int slots = std::min(service ? service->slots : m_options.defaultSlots, m_options.maxThreads / 2);
    const int maxQueue = service ? service->maxQueue : ServicePolicy {}.maxQueue;
    const TimePoint now = m_clock.now();
    m_rankNames.with([&](std::vector<RankName>& names) {
        names.clear();
        for (const RankPolicy& rank : configuration.ranks())
            names.push_back(rank.name);
    });
    ensureThreads(2 * slots);
    m_admission.with([&](AdmissionState& admission) {
        admission.controller.reconfigure(admissionOptions(configuration.ranks(), slots, maxQueue), now);
        publishLoad(admission);
    });
}

void Gate::recordOwnershipChange()
{
    m_deduplicator.with([&](RequestDeduplicator& deduplicator) { deduplicator.recordOwnershipChange(m_clock.now()); });
}

void Gate::drain()
{
    m_isDraining.store(true);
    m_admission.with([](AdmissionState& admission) { admission.controller.drain(); });
}

bool Gate::isIdle()
{
    return m_admission.with([](AdmissionState& admission) { return admission.controller.isIdle(); });
}

void Gate::stop()
{
    {
        const std::lock_guard lock(m_workMutex);
        if (m_isStopping)
            return;
        m_isStopping = true;
    }
    m_hasWork.notify_all();
    for (std::thread& thread : m_threads)
        thread.join();
    for (const CallPointer& call : m_workQueue)
        refuse(call, "shutdown", "the node has stopped");
    m_workQueue.clear();
}

LoadHint Gate::load() const
{
    return { .inFlight = static_cast<uint32_t>(m_inFlight.load(std::memory_order_relaxed)),
        .queued = static_cast<uint32_t>(m_queued.load(std::memory_order_relaxed)),
        .limit = static_cast<uint32_t>(m_limit.load(std::memory_order_relaxed)),
        .isLeaving = m_isDraining.load(std::memory_order_relaxed) };
}

void Gate::publishLoad(const AdmissionState& admission)
{
    m_inFlight.store(admission.controller.inFlight(), std::memory_order_relaxed);
    m_queued.store(admission.controller.queued(), std::memory_order_relaxed);
    m_limit.store(admission.controller.limit(), std::memory_order_relaxed);
}

std::string Gate::rankName(uint32_t rank)
{
    return m_rankNames.with(
        [&](const std::vector<RankName>& names) { return rank < names.size() ? names[rank].value() : "unranked"; });
}

nlohmann::json Gate::state()
{
    const TimePoint now = m_clock.now();
    nlohmann::json ranks = nlohmann::json::array();
    const size_t count = m_rankNames.with([](const std::vector<RankName>& names) { return names.size(); });
    m_admission.with([&](AdmissionState& admission) {
        for (size_t rank = 0; rank < count; ++rank) {
            const int number = static_cast<int>(rank);
            ranks.push_back({ { "queued", admission.controller.queuedOf(number) },
                { "shareOfCapacity", admission.controller.shareOf(number, now) },
                { "estimatedWaitMs",
                    std::chrono::duration<double, std::milli>(admission.controller.estimatedWait(number, now))
                        .count() } });
        }
    });
    for (size_t rank = 0; rank < count; ++rank)
        ranks[rank]["rank"] = rankName(static_cast<uint32_t>(rank));
    const LoadHint hint = load();
    return { { "service", m_options.service.value() }, { "backend", m_options.backend.toString() },
        { "concurrencyLimit", hint.limit }, { "inFlight", hint.inFlight }, { "queued", hint.queued },
        { "isDraining", hint.isLeaving }, { "ranks", ranks },
        { "executionRecordEntries",
            m_deduplicator.with([](RequestDeduplicator& deduplicator) { return deduplicator.size(); }) } };
}

void Gate::enqueue(const std::vector<CallPointer>& calls)
{
    if (calls.empty())
        return;
    {
        const std::lock_guard lock(m_workMutex);
        m_workQueue.insert(m_workQueue.end(), calls.begin(), calls.end());
    }
    for (size_t call = 0; call < calls.size(); ++call)
        m_hasWork.notify_one();
}

void Gate::ensureThreads(int count)
{
    const std::lock_guard lock(m_workMutex);
    const size_t targetCount = static_cast<size_t>(std::clamp(count, 1, m_options.maxThreads));
    while (!m_isStopping && m_threads.size() < targetCount)
        m_threads.emplace_back([this] { runWorker(); });
}

void Gate::runWorker()
{
    std::unique_lock lock(m_workMutex);
    while (true) {
        m_hasWork.wait(lock, [this] { return m_isStopping || !m_workQueue.empty(); });
        if (m_isStopping)
            return;
        const CallPointer call = std::move(m_workQueue.front());
        m_workQueue.pop_front();
        lock.unlock();
        process(call);
        lock.lock();
    }
}

void Gate::process(const CallPointer& call)
{
    const TimePoint startedAt = m_clock.now();
    ServiceResult result = ServiceResult::Failed;
    if (call->stream->isCancelled() || startedAt >= call->ticket.deadline)
        refuse(call, "admit", refusalReasonName(RefusalReason::TooLate));
    else
        result = exchange(call);
    release(call, result, m_clock.now() - startedAt);
}

// Runs the call on the backend server and sends the response. The claim is finished before the response is sent, so
// that a copy that arrives after the response sees the call as finished.
ServiceResult Gate::exchange(const CallPointer& call)
{
    const CallStart& start = call->start();
    ResponseRelay relay(*call->stream, call->ticket.deadline, [this] { return load(); });
    BackendResult result;
    try {
        const BackendRequest request = relay.request();
        result = m_backend.exchange(request, relay.sink(), call->cancellation);
    } catch (const Error& error) {
        // The first part of the caller's body did not arrive, so nothing was sent to the backend server.
        result = { .outcome = CallOutcome::NotRun, .step = error.step(), .message = error.message() };
    }
    if (result.outcome == CallOutcome::NotRun) {
        refuse(call, result.step, result.message);
        return ServiceResult::Failed;
    }
    if (!start.isIdempotent)
        m_deduplicator.with([&](RequestDeduplicator& deduplicator) {
            deduplicator.finish(start.requestId, result.outcome, m_clock.now());
        });
    if (result.outcome == CallOutcome::Answered) {
        relay.finish();
        return relay.isShed() ? ServiceResult::Shed : ServiceResult::Answered;
    }
    relay.fail(result.step, result.message);
    return ServiceResult::Failed;
}

void Gate::release(const CallPointer& call, ServiceResult result, Duration serviceTime)
{
    const TimePoint now = m_clock.now();
    std::vector<CallPointer> startedCalls;
    std::vector<std::pair<CallPointer, RefusalReason>> refusedCalls;
    m_admission.with([&](AdmissionState& admission) {
        const Dispatch dispatch = admission.controller.release(call->ticket.id, result, serviceTime, now);
        admission.calls.erase(call->ticket.id);
        collectDispatch(dispatch, admission, startedCalls, refusedCalls);
    });
    enqueue(startedCalls);
    refuseAll(refusedCalls);
}

} // namespace skylark
