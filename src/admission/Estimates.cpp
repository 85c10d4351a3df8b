#include "admission/Estimates.h"

#include <algorithm>
#include <cmath>

namespace skylark {

namespace {

    double inSeconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

    constexpr double sampleWeight = 1.0 / 16;
    constexpr double rateTimeConstantSeconds = 2;
    constexpr double creditWindowSeconds = 5;
    constexpr double maxExcessSeconds = 0.25;

} // namespace

void ServiceTimeEstimate::add(Duration serviceTime, TimePoint now)
{
    const double seconds = inSeconds(serviceTime);
    if (isKnown()) {
        m_deviation += sampleWeight * (std::abs(seconds - m_mean) - m_deviation);
        m_mean += sampleWeight * (seconds - m_mean);
    } else {
        m_deviation = seconds / 2;
        m_mean = seconds;
    }
    m_updatedAt = now;
}

void RateEstimate::record(TimePoint now)
{
    m_rate = perSecond(now) + 1 / rateTimeConstantSeconds;
    m_updatedAt = std::max(m_updatedAt, now);
}

double RateEstimate::perSecond(TimePoint now) const
{
    return m_rate * std::exp(-std::max(0.0, inSeconds(now - m_updatedAt)) / rateTimeConstantSeconds);
}

void FloorCredit::update(int heldSlots, double floorSlots, int limit, TimePoint now)
{
    const double elapsed = inSeconds(now - m_updatedAt);
    if (elapsed <= 0)
        return;
    m_updatedAt = now;
    m_credit = std::clamp(m_credit + elapsed * (floorSlots - heldSlots), -maxExcessSeconds * floorSlots,
        creditWindowSeconds * floorSlots);
    const double usedShare = static_cast<double>(heldSlots) / limit;
    m_share += (1 - std::exp(-elapsed / creditWindowSeconds)) * (usedShare - m_share);
}

} // namespace skylark
