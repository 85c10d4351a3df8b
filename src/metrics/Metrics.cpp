#include "metrics/Metrics.h"

#include "base/Invariant.h"

#include <prometheus/text_serializer.h>
#include <sstream>

namespace skylark {

namespace {

    const prometheus::Histogram::BucketBoundaries latencyBuckets { 0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1,
        0.2, 0.5, 1, 2, 5, 10 };
    // Finer than latencyBuckets, so that p90 and p99 of the estimate can be compared with those of the observation.
    const prometheus::Histogram::BucketBoundaries costBuckets { 0.005, 0.01, 0.02, 0.03, 0.05, 0.075, 0.1, 0.15, 0.2,
        0.3, 0.5, 0.75, 1, 1.5, 2, 3, 5, 10 };

    template <typename Builder>
    auto& family(prometheus::Registry& registry, Builder builder, const char* name, const char* help)
    {
        return builder.Name(name).Help(help).Register(registry);
    }

} // namespace

Metrics::Metrics()
    : m_requests(family(
        m_registry, prometheus::BuildCounter(), "skylark_requests_total", "Callers' requests by rank and outcome"))
    , m_latency(family(m_registry, prometheus::BuildHistogram(), "skylark_request_seconds",
          "Time from a caller's request to its answer"))
    , m_costs(family(m_registry, prometheus::BuildHistogram(), "skylark_service_seconds",
          "Estimated and observed service times of requests by route"))
    , m_attempts(family(m_registry, prometheus::BuildCounter(), "skylark_attempts_total", "Calls sent to gates"))
    , m_admissions(family(
          m_registry, prometheus::BuildCounter(), "skylark_admissions_total", "Decisions of this node's gate by rank"))
    , m_sourceCalls(family(m_registry, prometheus::BuildCounter(), "skylark_source_calls_total",
          "Calls to the configuration source by kind and result"))
    , m_reports(family(m_registry, prometheus::BuildCounter(), "skylark_reports_total",
          "Events of the control loop that an operator may want to know of"))
    , m_gauges(family(m_registry, prometheus::BuildGauge(), "skylark_state", "Single values of this node's state"))
    , m_instances(family(m_registry, prometheus::BuildGauge(), "skylark_instances", "Known instances by condition"))
    , m_controlBytes(family(m_registry, prometheus::BuildGauge(), "skylark_control_bytes",
          "Bytes of control messages since the start, by direction"))
{
}

void Metrics::countRequest(const std::string& rank, const std::string& outcome, Duration latency)
{
    m_requests.Add({ { "rank", rank }, { "outcome", outcome } }).Increment();
    m_latency.Add({ { "rank", rank } }, latencyBuckets).Observe(std::chrono::duration<double>(latency).count());
}

void Metrics::observeCost(const std::string& route, Duration estimated, Duration observed)
{
    const auto observe = [&](const char* kind, Duration time) {
        m_costs.Add({ { "route", route }, { "kind", kind } }, costBuckets)
            .Observe(std::chrono::duration<double>(time).count());
    };
    observe("estimated", estimated);
    observe("observed", observed);
}

void Metrics::countAttempt(bool isRetry) { m_attempts.Add({ { "kind", isRetry ? "retry" : "first" } }).Increment(); }

void Metrics::countAdmission(const std::string& rank, const std::string& decision)
{
    m_admissions.Add({ { "rank", rank }, { "decision", decision } }).Increment();
}

void Metrics::countSourceCall(const std::string& kind, bool isAnswered)
{
    m_sourceCalls.Add({ { "kind", kind }, { "result", isAnswered ? "answered" : "failed" } }).Increment();
}

void Metrics::countReport(const std::string& event) { m_reports.Add({ { "event", event } }).Increment(); }

void Metrics::setVersion(VersionNumber version)
{
    m_gauges.Add({ { "value", "version" } }).Set(static_cast<double>(version.value()));
}

void Metrics::setAppliedAge(Duration age)
{
    m_gauges.Add({ { "value", "seconds_since_version_applied" } }).Set(std::chrono::duration<double>(age).count());
}

void Metrics::setInstances(const std::string& condition, size_t count)
{
    m_instances.Add({ { "condition", condition } }).Set(static_cast<double>(count));
}

void Metrics::setValue(const std::string& name, double value) { m_gauges.Add({ { "value", name } }).Set(value); }

void Metrics::setConcurrency(int limit, int inFlight, int queued)
{
    m_gauges.Add({ { "value", "concurrency_limit" } }).Set(limit);
    m_gauges.Add({ { "value", "in_flight" } }).Set(inFlight);
    m_gauges.Add({ { "value", "queued" } }).Set(queued);
}

void Metrics::setControlBytes(const std::string& direction, uint64_t bytes)
{
    m_controlBytes.Add({ { "direction", direction } }).Set(static_cast<double>(bytes));
}

void Metrics::setReader(bool isReader) { m_gauges.Add({ { "value", "is_reader" } }).Set(isReader ? 1 : 0); }

std::string Metrics::exposition()
{
    m_gauges.Add({ { "value", "invariant_violations" } }).Set(static_cast<double>(violationCount()));
    std::ostringstream text;
    prometheus::TextSerializer().Serialize(text, m_registry.Collect());
    return text.str();
}

} // namespace skylark
