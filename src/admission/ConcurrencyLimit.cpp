#include "admission/ConcurrencyLimit.h"

#include <algorithm>

namespace skylark {

namespace {

    constexpr int responsesPerWindow = 100;
    constexpr int minResponses = 20;
    constexpr Duration maxWindow = std::chrono::seconds(5);
    constexpr Duration minShedInterval = std::chrono::milliseconds(100);
    // The means of smaller groups would scatter so much that their minimum says little.
    constexpr int responsesPerGroup = 50;
    // Latency up to this multiple of the baseline counts as unchanged, since the baseline is a low estimate.
    constexpr double unchangedRatio = 1.1;
    constexpr double congestedRatio = 2;
    constexpr double baselineFallWeight = 0.25;
    constexpr double baselineRiseWeight = 0.1;

} // namespace

ConcurrencyLimit::ConcurrencyLimit(int slots, size_t ranks, TimePoint now, LimitPolicy policy)
    : m_policy(policy)
    , m_slots(std::max(1, slots))
    , m_limit(m_slots)
    , m_baselines(ranks)
    , m_windowStart(now)
    , m_lastShed(now - minShedInterval)
{
}

void ConcurrencyLimit::reconfigure(int slots, size_t ranks, LimitPolicy policy)
{
    slots = std::max(1, slots);
    // A limit learned under another number of slots or another policy is no better than the new number of slots.
    if (slots != m_slots || policy.index() != m_policy.index())
        m_limit = slots;
    m_policy = policy;
    m_slots = slots;
    m_baselines.resize(std::max(ranks, m_baselines.size()));
}

void ConcurrencyLimit::recordResponse(size_t rank, Duration serviceTime, int inFlight, TimePoint now)
{
    const double seconds = std::chrono::duration<double>(serviceTime).count();
    Baseline& baseline = m_baselines[rank];
    if (baseline.latency > 0) {
        baseline.windowSum += seconds / baseline.latency;
        ++baseline.windowCount;
    }
    learnBaseline(baseline, seconds, inFlight);
    ++m_responses;
    m_inFlightSum += inFlight;
    const bool isLongEnough = m_responses >= minResponses && now - m_windowStart >= maxWindow;
    if (m_responses >= responsesPerWindow || isLongEnough)
        closeWindow(now);
}

void ConcurrencyLimit::recordShed(TimePoint now)
{
    if (now - m_lastShed < minShedInterval)
        return;
    m_lastShed = now;
    decreaseLimit();
}

void ConcurrencyLimit::learnBaseline(Baseline& baseline, double seconds, int inFlight) const
{
    baseline.sum += seconds;
    baseline.maxInFlight = std::max(baseline.maxInFlight, inFlight);
    if (++baseline.count < responsesPerGroup)
        return;
    const double mean = baseline.sum / baseline.count;
    const bool mayRise = baseline.maxInFlight <= std::max(1, m_slots / 2);
    if (baseline.latency <= 0)
        baseline.latency = mean;
    else if (mean < baseline.latency)
        baseline.latency += baselineFallWeight * (mean - baseline.latency);
    else if (mayRise)
        baseline.latency += baselineRiseWeight * (mean - baseline.latency);
    baseline.sum = 0;
    baseline.count = 0;
    baseline.maxInFlight = 0;
}

void ConcurrencyLimit::closeWindow(TimePoint now)
{
    std::visit([this](const auto& policy) { adjustLimit(policy); }, m_policy);
    for (Baseline& baseline : m_baselines) {
        baseline.windowSum = 0;
        baseline.windowCount = 0;
    }
    m_windowStart = now;
    m_responses = 0;
    m_inFlightSum = 0;
}

void ConcurrencyLimit::adjustLimit(const StatedLimit&) { m_limit = std::min(m_limit + 1, m_slots); }

void ConcurrencyLimit::adjustLimit(const LearnedLimit&)
{
    double ratio = 0;
    for (const Baseline& baseline : m_baselines) {
        if (baseline.windowCount >= minResponses)
            ratio = std::max(ratio, baseline.windowSum / baseline.windowCount);
    }
    const bool isFullyUsed = m_inFlightSum >= (m_limit - 0.5) * m_responses;
    if (ratio > congestedRatio)
        decreaseLimit();
    else if (isFullyUsed && ratio > 0 && ratio <= unchangedRatio)
        m_limit = std::min(m_limit + 1, maxLimit());
    else if (!isFullyUsed && m_limit > m_slots)
        --m_limit;
}

void ConcurrencyLimit::decreaseLimit() { m_limit = std::max(1, std::min(m_limit - 1, m_limit * 9 / 10)); }

} // namespace skylark
