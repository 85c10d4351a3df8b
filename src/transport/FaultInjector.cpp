#include "transport/FaultInjector.h"

namespace skylark {

void FaultInjector::setForEndpoint(const Endpoint& destination, const TrafficFault& fault)
{
    const std::lock_guard lock(m_mutex);
    m_byEndpoint[destination] = fault;
    m_hasRules = true;
}

void FaultInjector::setForRegions(const RegionName& from, const RegionName& to, const TrafficFault& fault)
{
    const std::lock_guard lock(m_mutex);
    m_byRegions[{ from, to }] = fault;
    m_hasRules = true;
}

void FaultInjector::clear()
{
    const std::lock_guard lock(m_mutex);
    m_byEndpoint.clear();
    m_byRegions.clear();
    m_hasRules = false;
}

TrafficFault FaultInjector::faultFor(const Endpoint& destination, const RegionName& from, const RegionName& to) const
{
    if (!m_hasRules.load(std::memory_order_acquire))
        return {};
    const std::lock_guard lock(m_mutex);
    if (const auto rule = m_byEndpoint.find(destination); rule != m_byEndpoint.end())
        return rule->second;
    if (const auto rule = m_byRegions.find({ from, to }); rule != m_byRegions.end())
        return rule->second;
    return {};
}

} // namespace skylark
