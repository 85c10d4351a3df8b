#include "admission/RequestPacer.h"

#include <algorithm>
#include <limits>

namespace skylark {

namespace {

    // Share of the requests above the rate that the bound allows and the cold limit uses.
    constexpr double burstShare = 0.5;
    // A refusal by a limit is known by a delay above zero.
    constexpr Duration minDelay = std::chrono::milliseconds(1);

} // namespace

void RequestPacer::setColdPolicy(const ColdPolicy& policy)
{
    m_policy = policy;
    m_state.setColdStart(policy.coldStart);
}

bool RequestPacer::update(size_t unsentRequests, TimePoint now)
{
    const bool wasCold = isCold();
    const bool isNowCold = m_policy.requestsPerSecond > 0 && m_state.isCold(now);
    if (isNowCold) {
        const double rate = m_policy.requestsPerSecond;
        const double burst = burstShare * ((m_policy.overage - 1) * rate + m_policy.slack);
        m_coldLimit.set(rate, burst, now);
        if (!wasCold)
            m_coldLimit.charge(unsentRequests);
    } else {
        m_coldLimit.set(std::nullopt, now);
    }
    return wasCold != isNowCold;
}

bool RequestPacer::startRequest(TimePoint now)
{
    return hasRoom(now) && m_namedLimit.startRequest(now) && m_coldLimit.startRequest(now);
}

void RequestPacer::recordSender(Incarnation sender, TimePoint now)
{
    m_namedLimit.recordSender(sender, now);
    m_coldLimit.recordSender(sender, now);
}

Duration RequestPacer::delayForSender(TimePoint now) const
{
    // The cold limit ends with the cold state.
    const Duration coldDelay
        = isCold() ? std::max(minDelay, std::min(m_coldLimit.delayForSender(now), remainingCold(now))) : Duration(0);
    return std::max(m_namedLimit.delayForSender(now), coldDelay);
}

RateQueue::Turns RequestPacer::turns(TimePoint now) const
{
    const double rate = std::min(m_namedLimit.rate().value_or(std::numeric_limits<double>::max()),
        m_coldLimit.rate().value_or(std::numeric_limits<double>::max()));
    return { .first = std::max(m_namedLimit.timeUntilRoom(now), m_coldLimit.timeUntilRoom(now)),
        .interval = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(1 / rate)) };
}

} // namespace skylark
