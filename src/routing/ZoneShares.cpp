#include "routing/ZoneShares.h"

#include <algorithm>

namespace skylark {

namespace {

    constexpr double minShareFactor = 0.8;
    constexpr double maxShareFactor = 1.25;
    // Some calls always stay in the home zones, so that their load remains known.
    constexpr double minHomeShare = 0.05;

} // namespace

void ZoneShares::compute(ServiceTable& table, const ServiceTable* previous, bool isRefresh) const
{
    std::vector<ZoneMembers>& zones = table.m_zones;
    const double limit = assumedLimit(table);
    std::vector<ZoneLoad> loads;
    loads.reserve(zones.size());
    for (ZoneMembers& zone : zones) {
        loads.push_back(measure(zone, limit));
        zone.share = 0;
    }
    size_t homeBegin = 0;
    while (homeBegin < zones.size() && loads[homeBegin].healthyCount == 0)
        ++homeBegin;
    table.m_homeShare = 1;
    // Without a healthy instance, Router::choose() falls back to the last resort, which considers all zones.
    if (homeBegin == zones.size())
        return;
    ZoneLoad homeLoad;
    size_t homeEnd = homeBegin;
    for (; homeEnd < zones.size() && zones[homeEnd].tier == zones[homeBegin].tier; ++homeEnd)
        homeLoad.add(loads[homeEnd]);
    double homeShare = previous ? previous->m_homeShare : 1;
    // The total demand in slots, extrapolated from the load of the home share.
    const double demand = std::max(homeLoad.load, 1.0) / homeShare;
    if (isRefresh) {
        const double targetLoad = m_options.spillThreshold * homeLoad.limit;
        const double factor = homeLoad.load > 0 ? targetLoad / homeLoad.load : maxShareFactor;
        homeShare = std::clamp(homeShare * std::clamp(factor, minShareFactor, maxShareFactor), minHomeShare, 1.0);
    }
    const double awayShare = spill(zones, loads, homeEnd, demand, 1 - homeShare, previous);
    for (size_t i = homeBegin; i < homeEnd; ++i)
        zones[i].share
            = (1 - awayShare) * static_cast<double>(loads[i].healthyCount) / static_cast<double>(homeLoad.healthyCount);
    table.m_homeShare = 1 - awayShare;
}

double ZoneShares::spill(std::vector<ZoneMembers>& zones, const std::vector<ZoneLoad>& loads, size_t firstZone,
    double demand, double wantedShare, const ServiceTable* previous) const
{
    // The measured load of a zone includes the calls that the home zones already send to it; these must not reduce its
    // share.
    const auto spareCapacityOf = [&](size_t zone) {
        const double sentLoad = previousShare(previous, zones[zone].zone) * demand;
        const double otherLoad = std::max(0.0, loads[zone].load - sentLoad);
        return std::max(0.0, m_options.spillThreshold * loads[zone].limit - otherLoad);
    };
    double awayShare = 0;
    for (size_t begin = firstZone; begin < zones.size() && wantedShare - awayShare > 1e-9;) {
        size_t end = begin;
        double spareCapacity = 0;
        for (; end < zones.size() && zones[end].tier == zones[begin].tier; ++end)
            spareCapacity += spareCapacityOf(end);
        const double movedShare = std::min(wantedShare - awayShare, spareCapacity / demand);
        for (size_t zone = begin; zone < end && spareCapacity > 0; ++zone)
            zones[zone].share = movedShare * spareCapacityOf(zone) / spareCapacity;
        awayShare += movedShare;
        begin = end;
    }
    return awayShare;
}

double ZoneShares::previousShare(const ServiceTable* previous, const ZoneName& zone)
{
    if (!previous)
        return 0;
    const auto found = std::find_if(previous->m_zones.begin(), previous->m_zones.end(),
        [&](const ZoneMembers& members) { return members.zone == zone; });
    return found == previous->m_zones.end() ? 0 : found->share;
}

ZoneShares::ZoneLoad ZoneShares::measure(const ZoneMembers& zone, double assumedLimit) const
{
    ZoneLoad result;
    for (const Member& member : zone.members) {
        if (!member.isHealthy())
            continue;
        const double hintLimit = member.statistics->hint().limit;
        ++result.healthyCount;
        result.load += member.statistics->reportedLoad(m_options.loadLifetime, m_now);
        result.limit += hintLimit > 0 ? hintLimit : assumedLimit;
    }
    return result;
}

double ZoneShares::assumedLimit(const ServiceTable& table)
{
    double sum = 0;
    int knownCount = 0;
    for (const ZoneMembers& zone : table.m_zones) {
        for (const Member& member : zone.members) {
            if (const uint32_t limit = member.statistics->hint().limit) {
                sum += limit;
                ++knownCount;
            }
        }
    }
    // Without any hint, assume a limit that no load exceeds.
    return knownCount > 0 ? sum / knownCount : 1e6;
}

} // namespace skylark
