#include "admission/LinkBudget.h"

#include <algorithm>
#include <cmath>

namespace skylark {

namespace {

    constexpr double meanWeight = 1.0 / 16;
    constexpr Duration saturationTime = std::chrono::seconds(1);
    constexpr double useSeconds = 2;
    // The part of maxWait that each less urgent rank may wait less, and the least part.
    constexpr double rankStep = 0.15;
    constexpr double minRankFactor = 0.4;
    constexpr double lateFactor = 0.5;
    // Time for the way to the caller's node and for the caller's node itself.
    constexpr Duration returnTime = std::chrono::milliseconds(10);

    double inSeconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }
    Duration fromSeconds(double seconds)
    {
        return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
    }

} // namespace

double LinkBudget::secondsFor(uint64_t bytes, uint64_t messageBytes) const
{
    const double seconds = static_cast<double>(bytes) / m_bytesPerSecond;
    return isLarge(messageBytes) ? seconds / largeShare : seconds;
}

void LinkBudget::recordQueued(uint64_t bytes, uint64_t messageBytes, TimePoint now)
{
    if (!isEnabled())
        return;
    const Duration time = fromSeconds(secondsFor(bytes, messageBytes));
    m_busyUntil = std::max(m_busyUntil, now) + time;
    if (!isLarge(messageBytes))
        m_smallBusyUntil = std::max(m_smallBusyUntil, now) + time;
    m_use = m_use * std::exp(-inSeconds(now - m_useAt) / useSeconds) + static_cast<double>(bytes) / useSeconds;
    m_useAt = now;
}

void LinkBudget::recordDropped(uint64_t bytes)
{
    if (isEnabled())
        m_busyUntil -= fromSeconds(secondsFor(bytes, bytes));
}

double LinkBudget::backlogSeconds(TimePoint now) const
{
    const double expected = std::max(0.0, inSeconds(m_busyUntil - now));
    return std::max(expected, static_cast<double>(m_waiting) / m_bytesPerSecond);
}

Duration LinkBudget::backlog(TimePoint now) const
{
    return isEnabled() ? fromSeconds(backlogSeconds(now)) : Duration::zero();
}

double LinkBudget::waitSeconds(const LinkRequest& request, uint64_t bytes, TimePoint now) const
{
    const double untilReady = std::max(0.0, inSeconds(request.readyAt - now));
    const double smallSeconds = static_cast<double>(m_reservedSmall) / m_bytesPerSecond;
    if (!isLarge(bytes))
        return std::max(0.0, std::max(0.0, inSeconds(m_smallBusyUntil - now)) + smallSeconds - untilReady);
    const double largeSeconds = static_cast<double>(m_reservedLarge) / m_bytesPerSecond / largeShare;
    return std::max(0.0, backlogSeconds(now) + smallSeconds + largeSeconds - untilReady);
}

bool LinkBudget::tryAccept(const LinkRequest& request, TimePoint now)
{
    if (!isEnabled())
        return true;
    const uint64_t bytes = expectedBytes(request.route);
    const Duration sendTime = fromSeconds(secondsFor(bytes, bytes)) + returnTime;
    const TimePoint onTimeStart = request.onTimeBy - sendTime;
    const bool canBeOnTime = onTimeStart >= request.readyAt;
    const TimePoint lastStart = canBeOnTime ? onTimeStart : request.deadline - sendTime;
    const double rankFactor = std::max(minRankFactor, 1 - rankStep * std::max(0, request.rank));
    const double maxSeconds = inSeconds(maxWait) * (isLarge(bytes) ? rankFactor : 1) * (canBeOnTime ? 1 : lateFactor);
    const double allowed = std::min(maxSeconds, inSeconds(lastStart - request.readyAt));
    const double wait = waitSeconds(request, bytes, now);
    // Without a wait for the link, the link is not the reason why a call is too late.
    if (wait <= 0 || wait <= allowed)
        return true;
    ++m_refused;
    m_refusedAt = now;
    return false;
}

void LinkBudget::recordResponse(const std::string& route, uint64_t bytes, TimePoint now)
{
    if (!isEnabled())
        return;
    if (!m_routes.contains(route) && m_routes.size() >= maxRoutes)
        m_routes.erase(std::min_element(m_routes.begin(), m_routes.end(),
            [](const auto& left, const auto& right) { return left.second.usedAt < right.second.usedAt; }));
    Route& entry = m_routes[route];
    const auto size = static_cast<double>(bytes);
    entry.meanBytes = entry.meanBytes > 0 ? entry.meanBytes + meanWeight * (size - entry.meanBytes) : size;
    entry.usedAt = now;
    m_meanBytes = m_meanBytes > 0 ? m_meanBytes + meanWeight * (size - m_meanBytes) : size;
}

uint64_t LinkBudget::expectedBytes(const std::string& route) const
{
    const auto found = m_routes.find(route);
    return found == m_routes.end() ? 0 : static_cast<uint64_t>(found->second.meanBytes);
}

bool LinkBudget::isSaturated(TimePoint now) const { return m_refused > 0 && now - m_refusedAt < saturationTime; }

double LinkBudget::callsPerSecond() const { return m_meanBytes > 0 ? m_bytesPerSecond * largeShare / m_meanBytes : 0; }

double LinkBudget::backlogCalls(TimePoint now) const
{
    return isEnabled() && m_meanBytes > 0 ? backlogSeconds(now) * m_bytesPerSecond / m_meanBytes : 0;
}

double LinkBudget::use(TimePoint now) const
{
    return isEnabled() ? m_use * std::exp(-inSeconds(now - m_useAt) / useSeconds) / m_bytesPerSecond : 0;
}

} // namespace skylark
