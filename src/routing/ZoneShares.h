// Computes which share of a service's calls goes to each zone.
//
// The home zones are the nearest ones that hold healthy instances. While their load is above the threshold of
// their learned limits, the home share shrinks by threshold / load a refresh, at most by a fifth; below it, it
// grows likewise by at most a quarter. What leaves home fills the spare capacity of the next region before
// that of the one after it. Without spare capacity anywhere the calls stay at home: moving them would not
// help. Instances without a recent load hint are taken to be idle, so a zone that is not used gets tried.
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
    // Sets the shares of the table's zones, which are in order of preference.
    void compute(ServiceTable& table, const ServiceTable* previous, bool isRefresh) const;

private:
    struct ZoneLoad {
        size_t healthy { 0 };
        double load { 0 };
        double limit { 0 };

        void add(const ZoneLoad& other)
        {
            healthy += other.healthy;
            load += other.load;
            limit += other.limit;
        }
    };

    ZoneLoad measure(const ZoneMembers& zone, double assumedLimit) const;
    // Gives the wanted share to the zones from this index on; returns how much of it they have room for.
    double spill(std::vector<ZoneMembers>& zones, const std::vector<ZoneLoad>& loads, size_t from, double demand,
        double wanted, const ServiceTable* previous) const;
    static double previousShare(const ServiceTable* previous, const ZoneName& zone);
    static double assumedLimit(const ServiceTable& table);

    const RouterOptions& m_options;
    TimePoint m_now;
};

} // namespace skylark
