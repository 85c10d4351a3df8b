// Statistics that this node keeps about one incarnation of an instance, as atomics shared by the request threads.
//
// The values are not updated together: a thread may see a new latency with an old load hint, which is harmless for
// routing. Ejections change only under the router's build mutex.
#pragma once

#include "routing/Router.h"

#include <atomic>

namespace skylark {

class InstanceStatistics {
public:
    explicit InstanceStatistics(Incarnation incarnation)
        : m_incarnation(incarnation)
    {
    }

    Incarnation incarnation() const { return m_incarnation; }

    void recordCallStarted(Duration expectedCost = {})
    {
        m_inFlight.fetch_add(1, std::memory_order_relaxed);
        m_costSinceHint.fetch_add(expectedCost.count(), std::memory_order_relaxed);
    }
    void recordCallFinished(const CallReport& report, TimePoint now);
    // Learns the speed from a response of a request with a known expected cost.
    void recordServiceTime(Duration serviceTime, Duration expectedCost, TimePoint now);

    int64_t inFlight() const { return m_inFlight.load(std::memory_order_relaxed); }
    // Never reset: a leaving instance does not return under the same incarnation. Load hints therefore speak of the
    // incarnation that the membership view names, which in skylark-node is that of the backend server.
    bool isLeaving() const { return m_isLeaving.load(std::memory_order_relaxed); }
    LoadHint hint() const;
    // Estimated number of calls at the gate: the last report, weighted by its age, but at least this node's own calls.
    double estimatedLoad(Duration lifetime, TimePoint now) const;
    // The server's mean service time as reported by its gate, or the fallback before the first report.
    double serviceSeconds(double fallback) const;
    // Mean of the service times in recent hints; zero before the first.
    double smoothedServiceSeconds() const { return m_smoothedServiceTime.load(std::memory_order_relaxed); }
    // Service time at this instance relative to the service's mean, for the same request. It combines the ratio of
    // observed to expected times over about 30 s with the reported mean service time relative to that of all
    // instances. A single sender observes too few calls of one instance to learn its speed from them alone.
    double speedFactor(double meanServiceSeconds, TimePoint now) const;
    // Seconds of work at the gate: the last report plus this node's calls since. Absent if the gate does not report it.
    std::optional<double> remainingSeconds(double speedFactor, double meanServiceSeconds) const;
    // Falls linearly from 1 for a new hint to 0 at the end of its lifetime; 0 without a hint.
    double hintWeight(Duration lifetime, TimePoint now) const;
    // Load for comparing instances: this node's calls in flight plus the reported queue. The queue is weighted by its
    // age and bounded so that it cannot outweigh this node's calls.
    double choiceLoad(Duration lifetime, TimePoint now) const;
    // Load for comparison with the limit: all calls of the last report, or this node's calls once it has expired.
    double reportedLoad(Duration lifetime, TimePoint now) const;
    // Mean latency of the instance; decays towards the service's mean while the instance answers no call.
    double latencySeconds(double serviceMean, TimePoint now) const;
    bool hasLatency() const { return m_latencyAt.load(std::memory_order_relaxed) != 0; }
    double successRate() const { return m_successRate.load(std::memory_order_relaxed); }
    uint32_t callCount() const { return m_calls.load(std::memory_order_relaxed); }
    uint32_t failuresInRow() const { return m_failuresInRow.load(std::memory_order_relaxed); }

    bool isEjected() const { return m_ejectedUntil.load(std::memory_order_relaxed) != 0; }
    Duration ejectedFor(TimePoint now) const;
    void eject(const RouterOptions& options, TimePoint now);
    void restore(TimePoint now);
    // Claims the next probe call. Returns false if no probe is due or another one is in flight.
    bool tryProbe(bool isIdempotent, TimePoint now);
    void abandonProbe() { m_probeAt.store(0, std::memory_order_relaxed); }

private:
    void recordLatency(Duration latency, TimePoint now);
    void recordResult(bool isSuccess);

    const Incarnation m_incarnation;
    std::atomic<int64_t> m_inFlight { 0 };
    std::atomic<bool> m_isLeaving { false };
    // The last hint: inFlight, queued and limit, packed into 20, 24 and 20 bits.
    std::atomic<uint64_t> m_hint { 0 };
    // Times are tick counts of the steady clock; 0 means never.
    std::atomic<TimePoint::rep> m_hintAt { 0 };
    // Mean service time of the last hint, as a count of nanoseconds.
    std::atomic<Duration::rep> m_hintServiceTime { 0 };
    // Remaining work of the last hint, and the expected cost of this node's calls since, in nanoseconds.
    std::atomic<Duration::rep> m_hintRemainingWork { 0 };
    std::atomic<Duration::rep> m_costSinceHint { 0 };
    std::atomic<double> m_smoothedServiceTime { 0 };
    // Mean ratio of observed to expected service times with its weight in observations.
    std::atomic<double> m_speedRatio { 1 };
    std::atomic<double> m_speedWeight { 0 };
    std::atomic<TimePoint::rep> m_speedAt { 0 };
    std::atomic<double> m_latency { 0 };
    std::atomic<TimePoint::rep> m_latencyAt { 0 };
    std::atomic<uint32_t> m_failuresInRow { 0 };
    std::atomic<double> m_successRate { 1 };
    std::atomic<uint32_t> m_calls { 0 };
    std::atomic<TimePoint::rep> m_ejectedUntil { 0 };
    std::atomic<uint32_t> m_ejections { 0 };
    std::atomic<TimePoint::rep> m_restoredAt { 0 };
    std::atomic<TimePoint::rep> m_probeAt { 0 };
};

} // namespace skylark
