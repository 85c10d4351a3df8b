#include "admission/ConcurrencyLimit.h"

#include <algorithm>

namespace skylark {

namespace {

    constexpr int answersPerWindow = 100;
    constexpr int fewestAnswers = 20;
    constexpr Duration longestWindow = std::chrono::seconds(5);
    constexpr Duration shedPause = std::chrono::milliseconds(100);
    // Group means of fewer answers would scatter so much that their minimum says little.
    constexpr int answersPerGroup = 50;
    // Latency up to this multiple of the floor counts as unchanged, since the floor is a low estimate.
    constexpr double unchangedRatio = 1.1;
    constexpr double congestedRatio = 2;
    constexpr double fallOfFloor = 0.25;
    constexpr double riseOfFloor = 0.1;

} // namespace

ConcurrencyLimit::ConcurrencyLimit(int slots, size_t ranks, TimePoint now, LimitPolicy policy)
    : m_policy(policy)
    , m_slots(std::max(1, slots))
    , m_limit(m_slots)
    , m_baselines(ranks)
    , m_windowStart(now)
    , m_lastShed(now - shedPause)
{
}

void ConcurrencyLimit::reconfigure(int slots, size_t ranks, LimitPolicy policy)
{
    slots = std::max(1, slots);
    // A limit that was learned under other slots is no better than the new number.
    if (slots != m_slots || policy.index() != m_policy.index())
        m_limit = slots;
    m_policy = policy;
    m_slots = slots;
    m_baselines.resize(std::max(ranks, m_baselines.size()));
}

void ConcurrencyLimit::noteAnswer(size_t rank, Duration serviceTime, int inFlight, TimePoint now)
{
    const double seconds = std::chrono::duration<double>(serviceTime).count();
    Baseline& baseline = m_baselines[rank];
    if (baseline.floor > 0) {
        baseline.windowSum += seconds / baseline.floor;
        ++baseline.windowCount;
    }
    learnBaseline(baseline, seconds, inFlight);
    ++m_answers;
    m_inFlightSum += inFlight;
    const bool isLongEnough = m_answers >= fewestAnswers && now - m_windowStart >= longestWindow;
    if (m_answers >= answersPerWindow || isLongEnough)
        closeWindow(now);
}

void ConcurrencyLimit::noteShed(TimePoint now)
{
    if (now - m_lastShed < shedPause)
        return;
    m_lastShed = now;
    lower();
}

void ConcurrencyLimit::learnBaseline(Baseline& baseline, double seconds, int inFlight) const
{
    baseline.sum += seconds;
    baseline.mostInFlight = std::max(baseline.mostInFlight, inFlight);
    if (++baseline.count < answersPerGroup)
        return;
    const double mean = baseline.sum / baseline.count;
    const bool mayRise = baseline.mostInFlight <= std::max(1, m_slots / 2);
    if (baseline.floor <= 0)
        baseline.floor = mean;
    else if (mean < baseline.floor)
        baseline.floor += fallOfFloor * (mean - baseline.floor);
    else if (mayRise)
        baseline.floor += riseOfFloor * (mean - baseline.floor);
    baseline.sum = 0;
    baseline.count = 0;
    baseline.mostInFlight = 0;
}

void ConcurrencyLimit::closeWindow(TimePoint now)
{
    std::visit([this](const auto& policy) { moveBy(policy); }, m_policy);
    for (Baseline& baseline : m_baselines) {
        baseline.windowSum = 0;
        baseline.windowCount = 0;
    }
    m_windowStart = now;
    m_answers = 0;
    m_inFlightSum = 0;
}

void ConcurrencyLimit::moveBy(const StatedLimit&) { m_limit = std::min(m_limit + 1, m_slots); }

void ConcurrencyLimit::moveBy(const LearnedLimit&)
{
    double ratio = 0;
    for (const Baseline& baseline : m_baselines) {
        if (baseline.windowCount >= fewestAnswers)
            ratio = std::max(ratio, baseline.windowSum / baseline.windowCount);
    }
    const bool isFullyUsed = m_inFlightSum >= (m_limit - 0.5) * m_answers;
    if (ratio > congestedRatio)
        lower();
    else if (isFullyUsed && ratio > 0 && ratio <= unchangedRatio)
        m_limit = std::min(m_limit + 1, highest());
    else if (!isFullyUsed && m_limit > m_slots)
        --m_limit;
}

void ConcurrencyLimit::lower() { m_limit = std::max(1, std::min(m_limit - 1, m_limit * 9 / 10)); }

} // namespace skylark
