#include "routing/InstanceStatistics.h"

#include "base/Invariant.h"

#include <algorithm>
#include <cmath>

namespace skylark {

namespace {

    constexpr double latencyWeight = 0.1;
    constexpr double resultWeight = 0.05;
    constexpr double latencyDecaySeconds = 10;
    // A sender hears from one server a few times a second at most, and each hint averages 16 calls.
    constexpr double serviceTimeWeight = 0.5;
    constexpr double speedDecaySeconds = 30;
    // The reported mean service time counts as much as this many observed ratios.
    constexpr double speedPriorWeight = 16;
    // The servers of one service differ by less; a single tail call should not count for more.
    constexpr double maxSpeedFactor = 8;
    // A gate reports at least this share of the mean service time for each of its calls (RemainingWork::overdueShare).
    constexpr double minWorkShare = 0.25;
    // This node's own calls are on average half done.
    constexpr double ownWorkShare = 0.5;
    // A probe without a result after this time counts as lost.
    constexpr Duration probeTimeout = std::chrono::seconds(30);
    // A failed probe fails its caller's request, so idempotent calls, which can be retried, get this head start.
    constexpr Duration nonIdempotentProbeDelay = std::chrono::seconds(1);

    TimePoint::rep tickCount(TimePoint time) { return time.time_since_epoch().count(); }
    double inSeconds(TimePoint::rep duration) { return std::chrono::duration<double>(Duration(duration)).count(); }

    uint64_t pack(const LoadHint& hint)
    {
        const auto bounded = [](uint64_t value, int bits) { return std::min(value, (uint64_t { 1 } << bits) - 1); };
        return bounded(hint.inFlight, 20) << 44 | bounded(hint.queued, 24) << 20 | bounded(hint.limit, 20);
    }

    // Exponential moving average; the first sample replaces the initial value.
    void smooth(std::atomic<double>& value, double sample, double weight, bool isFirst)
    {
        double old = value.load(std::memory_order_relaxed);
        double updated = 0;
        do {
            updated = isFirst ? sample : old + weight * (sample - old);
        } while (!value.compare_exchange_weak(old, updated, std::memory_order_relaxed));
    }

} // namespace

void InstanceStatistics::recordCallFinished(const CallReport& report, TimePoint now)
{
    const int64_t previousInFlight = m_inFlight.fetch_sub(1, std::memory_order_relaxed);
    invariant(previousInFlight > 0, { .rule = "the number of calls in flight is never negative", .step = "routing" });
    if (report.load) {
        m_hint.store(pack(*report.load), std::memory_order_relaxed);
        m_hintServiceTime.store(report.load->meanServiceTime.count(), std::memory_order_relaxed);
        m_hintRemainingWork.store(report.load->remainingWork.count(), std::memory_order_relaxed);
        m_costSinceHint.store(0, std::memory_order_relaxed);
        if (report.load->meanServiceTime > Duration::zero())
            smooth(m_smoothedServiceTime, inSeconds(report.load->meanServiceTime.count()), serviceTimeWeight,
                smoothedServiceSeconds() <= 0);
        m_hintAt.store(tickCount(now), std::memory_order_relaxed);
        if (report.load->isLeaving)
            m_isLeaving.store(true, std::memory_order_relaxed);
    }
    if (report.isFault) {
        m_failuresInRow.fetch_add(1, std::memory_order_relaxed);
        recordResult(false);
        // A failure counts towards the latency only if it is slower than the mean: quick failures must not make the
        // instance look fast.
        if (inSeconds(report.latency.count()) > m_latency.load(std::memory_order_relaxed))
            recordLatency(report.latency, now);
    } else if (report.outcome == CallOutcome::Answered) {
        m_failuresInRow.store(0, std::memory_order_relaxed);
        recordResult(true);
        recordLatency(report.latency, now);
    }
}

LoadHint InstanceStatistics::hint() const
{
    const uint64_t bits = m_hint.load(std::memory_order_relaxed);
    return { .inFlight = static_cast<uint32_t>(bits >> 44),
        .queued = static_cast<uint32_t>(bits >> 20 & 0xffffff),
        .limit = static_cast<uint32_t>(bits & 0xfffff),
        .isLeaving = isLeaving(),
        .meanServiceTime = Duration(m_hintServiceTime.load(std::memory_order_relaxed)),
        .remainingWork = Duration(m_hintRemainingWork.load(std::memory_order_relaxed)) };
}

void InstanceStatistics::recordServiceTime(Duration serviceTime, Duration expectedCost, TimePoint now)
{
    if (serviceTime <= Duration::zero() || expectedCost <= Duration::zero())
        return;
    const double ratio = std::min(maxSpeedFactor, inSeconds(serviceTime.count()) / inSeconds(expectedCost.count()));
    const TimePoint::rep speedAt = m_speedAt.exchange(tickCount(now), std::memory_order_relaxed);
    const double decay = std::exp(-std::max(0.0, inSeconds(tickCount(now) - speedAt)) / speedDecaySeconds);
    const double weight = m_speedWeight.load(std::memory_order_relaxed) * decay + 1;
    m_speedWeight.store(weight, std::memory_order_relaxed);
    smooth(m_speedRatio, ratio, 1 / weight, false);
}

double InstanceStatistics::speedFactor(double meanServiceSeconds, TimePoint now) const
{
    const double reported = smoothedServiceSeconds();
    const double reportedRatio = reported > 0 && meanServiceSeconds > 0 ? reported / meanServiceSeconds : 1;
    const TimePoint::rep speedAt = m_speedAt.load(std::memory_order_relaxed);
    const double decay = std::exp(-std::max(0.0, inSeconds(tickCount(now) - speedAt)) / speedDecaySeconds);
    const double weight = m_speedWeight.load(std::memory_order_relaxed) * decay;
    const double ratio = m_speedRatio.load(std::memory_order_relaxed);
    const double factor = (weight * ratio + speedPriorWeight * reportedRatio) / (weight + speedPriorWeight);
    return std::clamp(factor, 1 / maxSpeedFactor, maxSpeedFactor);
}

std::optional<double> InstanceStatistics::remainingSeconds(double speedFactor, double meanServiceSeconds) const
{
    const LoadHint lastHint = hint();
    const auto reportedCalls = static_cast<double>(lastHint.inFlight) + lastHint.queued;
    if (lastHint.limit == 0 || (reportedCalls > 0 && lastHint.remainingWork <= Duration::zero()))
        return std::nullopt;
    const double sinceHint = inSeconds(m_costSinceHint.load(std::memory_order_relaxed)) * speedFactor;
    const double reported = inSeconds(lastHint.remainingWork.count()) + sinceHint;
    // A gate that has learned nothing yet, or reports too little, must not attract all calls.
    const double least = std::max(minWorkShare * reportedCalls, ownWorkShare * static_cast<double>(inFlight()));
    return std::max(reported, least * meanServiceSeconds * speedFactor);
}

double InstanceStatistics::estimatedLoad(Duration lifetime, TimePoint now) const
{
    const uint64_t bits = m_hint.load(std::memory_order_relaxed);
    const auto reportedCalls = static_cast<double>((bits >> 44) + (bits >> 20 & 0xffffff));
    return std::max(static_cast<double>(inFlight()), reportedCalls * hintWeight(lifetime, now));
}

double InstanceStatistics::serviceSeconds(double fallback) const
{
    const Duration::rep serviceTime = m_hintServiceTime.load(std::memory_order_relaxed);
    return serviceTime > 0 ? inSeconds(serviceTime) : fallback;
}

double InstanceStatistics::hintWeight(Duration lifetime, TimePoint now) const
{
    const TimePoint::rep hintAt = m_hintAt.load(std::memory_order_relaxed);
    if (hintAt == 0)
        return 0;
    const double relativeAge = static_cast<double>(tickCount(now) - hintAt) / static_cast<double>(lifetime.count());
    return std::clamp(1 - relativeAge, 0.0, 1.0);
}

double InstanceStatistics::choiceLoad(Duration lifetime, TimePoint now) const
{
    const auto ownCalls = static_cast<double>(inFlight());
    const double queued = hint().queued;
    return ownCalls + hintWeight(lifetime, now) * std::min(queued, (ownCalls + 1) / 2);
}

double InstanceStatistics::reportedLoad(Duration lifetime, TimePoint now) const
{
    const auto ownCalls = static_cast<double>(inFlight());
    if (hintWeight(lifetime, now) <= 0)
        return ownCalls;
    const LoadHint lastHint = hint();
    return std::max<double>(lastHint.inFlight, ownCalls) + lastHint.queued;
}

double InstanceStatistics::latencySeconds(double serviceMean, TimePoint now) const
{
    const TimePoint::rep latencyAt = m_latencyAt.load(std::memory_order_relaxed);
    if (latencyAt == 0)
        return serviceMean;
    const double weight = std::exp(-std::max(0.0, inSeconds(tickCount(now) - latencyAt)) / latencyDecaySeconds);
    return weight * m_latency.load(std::memory_order_relaxed) + (1 - weight) * serviceMean;
}

Duration InstanceStatistics::ejectedFor(TimePoint now) const
{
    const TimePoint::rep ejectedUntil = m_ejectedUntil.load(std::memory_order_relaxed);
    return ejectedUntil == 0 ? Duration::zero() : std::max(Duration::zero(), Duration(ejectedUntil - tickCount(now)));
}

void InstanceStatistics::eject(const RouterOptions& options, TimePoint now)
{
    // The backoff is reset once an instance has stayed in use for longer than maxEjection.
    if (!isEjected() && tickCount(now) - m_restoredAt.load(std::memory_order_relaxed) > options.maxEjection.count())
        m_ejections.store(0, std::memory_order_relaxed);
    const uint32_t doublings = std::min<uint32_t>(m_ejections.fetch_add(1, std::memory_order_relaxed), 16);
    const Duration length = std::min(options.maxEjection, options.initialEjection * (int64_t { 1 } << doublings));
    m_ejectedUntil.store(tickCount(now + length), std::memory_order_relaxed);
    m_probeAt.store(0, std::memory_order_relaxed);
}

void InstanceStatistics::restore(TimePoint now)
{
    m_ejectedUntil.store(0, std::memory_order_relaxed);
    m_probeAt.store(0, std::memory_order_relaxed);
    m_restoredAt.store(tickCount(now), std::memory_order_relaxed);
    m_failuresInRow.store(0, std::memory_order_relaxed);
    m_successRate.store(1, std::memory_order_relaxed);
    m_calls.store(0, std::memory_order_relaxed);
}

bool InstanceStatistics::tryProbe(bool isIdempotent, TimePoint now)
{
    const TimePoint::rep ejectedUntil = m_ejectedUntil.load(std::memory_order_relaxed);
    const TimePoint::rep probeDue = ejectedUntil + (isIdempotent ? 0 : nonIdempotentProbeDelay.count());
    if (ejectedUntil == 0 || tickCount(now) < probeDue)
        return false;
    TimePoint::rep lastProbeAt = m_probeAt.load(std::memory_order_relaxed);
    if (lastProbeAt != 0 && tickCount(now) - lastProbeAt < probeTimeout.count())
        return false;
    return m_probeAt.compare_exchange_strong(lastProbeAt, tickCount(now), std::memory_order_relaxed);
}

void InstanceStatistics::recordLatency(Duration latency, TimePoint now)
{
    const bool isFirst = m_latencyAt.exchange(tickCount(now), std::memory_order_relaxed) == 0;
    smooth(m_latency, inSeconds(latency.count()), latencyWeight, isFirst);
}

void InstanceStatistics::recordResult(bool isSuccess)
{
    m_calls.fetch_add(1, std::memory_order_relaxed);
    smooth(m_successRate, isSuccess ? 1 : 0, resultWeight, false);
}

} // namespace skylark
