// What this node has measured of one process of an instance, in atomics that request threads share.
//
// The values are read one by one: a reader may see a new latency beside an old hint, which does no harm to a
// choice. Ejections change under the router's build mutex only.
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

    void began() { m_inFlight.fetch_add(1, std::memory_order_relaxed); }
    void finished(const CallReport& report, TimePoint now);

    int64_t inFlight() const { return m_inFlight.load(std::memory_order_relaxed); }
    // Sticky: a leaving process never comes back under the same incarnation.
    bool isLeaving() const { return m_isLeaving.load(std::memory_order_relaxed); }
    LoadHint hint() const;
    // Calls at the gate as far as known: its last report, which fades, and at least this node's own.
    double estimatedLoad(Duration lifetime, TimePoint now) const;
    // The server's mean time for a call as its gate reports it; the fallback where it has not.
    double serviceSeconds(double fallback) const;
    // From 1 for a new hint down to 0 at the end of the lifetime, or without a hint.
    double hintWeight(Duration lifetime, TimePoint now) const;
    // For a choice: the own calls in flight and the reported queue, which fades with its age and is bounded so
    // that it cannot outweigh the own calls.
    double choiceLoad(Duration lifetime, TimePoint now) const;
    // For comparison with the limit: all calls of the last report until its lifetime ends, or the own ones.
    double reportedLoad(Duration lifetime, TimePoint now) const;
    // Fades towards the service's mean when no call has been answered for some time.
    double latencySeconds(double serviceMean, TimePoint now) const;
    bool hasLatency() const { return m_latencyAt.load(std::memory_order_relaxed) != 0; }
    double successRate() const { return m_successRate.load(std::memory_order_relaxed); }
    uint32_t callCount() const { return m_calls.load(std::memory_order_relaxed); }
    uint32_t failuresInRow() const { return m_failuresInRow.load(std::memory_order_relaxed); }

    bool isEjected() const { return m_ejectedUntil.load(std::memory_order_relaxed) != 0; }
    Duration ejectedFor(TimePoint now) const;
    void eject(const RouterOptions& options, TimePoint now);
    void restore(TimePoint now);
    // Takes the right to send the one probe call that is due; false when none is due or one is under way.
    bool tryProbe(bool isIdempotent, TimePoint now);
    void giveUpProbe() { m_probeAt.store(0, std::memory_order_relaxed); }

private:
    void noteLatency(Duration latency, TimePoint now);
    void noteResult(bool isSuccess);

    const Incarnation m_incarnation;
    std::atomic<int64_t> m_inFlight { 0 };
    std::atomic<bool> m_isLeaving { false };
    // inFlight, queued and limit of the last hint in 20, 24 and 20 bits.
    std::atomic<uint64_t> m_hint { 0 };
    // Times are counts of the steady clock; 0 means never.
    std::atomic<TimePoint::rep> m_hintAt { 0 };
    // Mean service time of the last hint, as a count of nanoseconds.
    std::atomic<Duration::rep> m_hintService { 0 };
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
