// Computes the share of a service's calls that goes to each zone.
//
// - The home zones are the nearest zones that have healthy instances.
// - Each refresh multiplies the home share by (spill threshold * learned limits) / load. One refresh shrinks it by at
//   most a fifth and grows it by at most a quarter.
// - Calls that leave the home zones fill the spare capacity of the nearest region first. Without spare capacity
//   anywhere they stay in the home zones, since moving them would not help.
// - Instances without a recent load hint count as idle, so that unused zones get calls and report their load.
#pragma once

#include "routing/ServiceTable.h"

namespace skylark {

class ZoneShares {
public:
    ZoneShares(const RouterOptions& options, TimePoint now)
        : m_options(options)
        , m_now(now)
    {
    }
    // Sets the shares of the table's zones, which are ordered by preference.
    void compute(ServiceTable& table, const ServiceTable* previous, bool isRefresh) const;

private:
    struct ZoneLoad {
        size_t healthyCount { 0 };
        double load { 0 };
        double limit { 0 };

        void add(const ZoneLoad& other)
        {
            healthyCount += other.healthyCount;
            load += other.load;
            limit += other.limit;
        }
    };

    ZoneLoad measure(const ZoneMembers& zone, double assumedLimit) const;
    // Distributes the wanted share over the zones from index `firstZone` on and returns the part that fits.
    double spill(std::vector<ZoneMembers>& zones, const std::vector<ZoneLoad>& loads, size_t firstZone, double demand,
        double wantedShare, const ServiceTable* previous) const;
    static double previousShare(const ServiceTable* previous, const ZoneName& zone);
    static double assumedLimit(const ServiceTable& table);

    const RouterOptions& m_options;
    TimePoint m_now;
};

} // namespace skylark
