#include "admission/ServerRateLimit.h"

#include <algorithm>

namespace skylark {

namespace {

    constexpr double minRate = 0.5;
    constexpr double burstSeconds = 0.5;
    // A sender counts for this long after its last request.
    constexpr Duration senderLifetime = std::chrono::seconds(1);
    constexpr size_t maxSenders = 4096;
    constexpr Duration maxDelay = std::chrono::seconds(2);

    double secondsOf(Duration duration) { return std::chrono::duration<double>(duration).count(); }

} // namespace

void ServerRateLimit::set(std::optional<double> rate, std::optional<double> burstSize, TimePoint now)
{
    if (rate)
        rate = std::max(minRate, *rate);
    if (rate == m_rate && burstSize == m_burst)
        return;
    const double tokens = m_rate ? tokensAt(now) : 0;
    m_rate = rate;
    m_burst = burstSize;
    m_updatedAt = now;
    m_tokens = m_rate ? std::min(tokens, burst()) : 0;
    if (!m_rate)
        m_senders.clear();
}

double ServerRateLimit::burst() const { return std::max(1.0, m_burst.value_or(*m_rate * burstSeconds)); }

double ServerRateLimit::tokensAt(TimePoint now) const
{
    return std::min(burst(), m_tokens + *m_rate * secondsOf(std::max(Duration(0), now - m_updatedAt)));
}

bool ServerRateLimit::hasRoom(TimePoint now) const { return !m_rate || tokensAt(now) >= 1; }

Duration ServerRateLimit::timeUntilRoom(TimePoint now) const
{
    if (hasRoom(now))
        return Duration(0);
    const std::chrono::duration<double> wait((1 - tokensAt(now)) / *m_rate);
    return std::chrono::duration_cast<Duration>(wait);
}

bool ServerRateLimit::startRequest(TimePoint now)
{
    if (!m_rate)
        return true;
    m_tokens = tokensAt(now);
    m_updatedAt = now;
    if (m_tokens < 1)
        return false;
    m_tokens -= 1;
    return true;
}

void ServerRateLimit::recordSender(Incarnation sender, TimePoint now)
{
    if (!m_rate)
        return;
    if (m_senders.size() >= maxSenders && !m_senders.contains(sender))
        return;
    m_senders[sender] = now;
    absl::erase_if(m_senders, [now](const auto& entry) { return now - entry.second > senderLifetime; });
}

Duration ServerRateLimit::delayForSender(TimePoint now) const
{
    if (!m_rate)
        return Duration(0);
    const double missingTokens = std::max(0.0, 1 - tokensAt(now));
    const double turns = std::max(missingTokens, static_cast<double>(m_senders.size()));
    const double seconds = std::min(turns / *m_rate, secondsOf(maxDelay));
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

} // namespace skylark
