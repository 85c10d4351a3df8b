// The node's metrics, in the prometheus-cpp registry that /metrics serves.
//
// Families are created once at start. Each update looks up its series by label values under the family's lock. Label
// values come only from configured names, so the configuration document bounds the number of series.
#pragma once

#include "base/Types.h"
#include "wire/Messages.h"

#include <memory>
#include <mutex>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <string>

namespace skylark {

class Metrics {
public:
    Metrics();

    // Counts a caller's request with its outcome: "answered", "not-run", "unknown", "no-route", "timeout",
    // "cancelled".
    void countRequest(const std::string& rank, const std::string& outcome, Duration latency);
    void countAttempt(bool isRetry);
    // Records the estimated and the observed service time of a response.
    void observeCost(const std::string& route, Duration estimated, Duration observed);
    // Counts a gate decision: "admitted", "queued", "refused", "duplicate".
    void countAdmission(const std::string& rank, const std::string& decision);
    void countSourceCall(const std::string& kind, bool isAnswered);
    void countReport(const std::string& event);

    void setVersion(VersionNumber version);
    void setAppliedAge(Duration age);
    void setInstances(const std::string& condition, size_t count);
    void setConcurrency(int limit, int inFlight, int queued);
    // Control traffic so far, by direction ("sent" or "received").
    void setControlBytes(const std::string& direction, uint64_t bytes);
    void setReader(bool isReader);
    // Sets the value with the given name in the family skylark_state.
    void setValue(const std::string& name, double value);

    // Returns all families in the Prometheus text format.
    std::string exposition();

private:
    prometheus::Registry m_registry;
    prometheus::Family<prometheus::Counter>& m_requests;
    prometheus::Family<prometheus::Histogram>& m_latency;
    prometheus::Family<prometheus::Histogram>& m_costs;
    prometheus::Family<prometheus::Counter>& m_attempts;
    prometheus::Family<prometheus::Counter>& m_admissions;
    prometheus::Family<prometheus::Counter>& m_sourceCalls;
    prometheus::Family<prometheus::Counter>& m_reports;
    prometheus::Family<prometheus::Gauge>& m_gauges;
    prometheus::Family<prometheus::Gauge>& m_instances;
    prometheus::Family<prometheus::Gauge>& m_controlBytes;
};

} // namespace skylark
