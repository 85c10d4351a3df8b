// The instances of one service in order of zone preference, with what a refresh has computed for them.
//
// A table is immutable; the statistics that it points to are atomics and outlive it.
#pragma once

#include "routing/InstanceStatistics.h"

#include <algorithm>
#include <vector>

namespace skylark {

struct Member {
    // Owned by the view that the table holds.
    const InstanceState* state { nullptr };
    std::shared_ptr<InstanceStatistics> statistics;
    // For the score policies.
    double score { 0 };

    bool isLeaving() const
    {
        return state->condition == Condition::Leaving || state->record.isLeaving || statistics->isLeaving();
    }
    bool isHealthy() const { return state->condition == Condition::Live && !isLeaving() && !statistics->isEjected(); }
};

struct ZoneMembers {
    ZoneName zone;
    RegionName region;
    // 0 is the own zone, 1 the rest of the own region, then the other regions, nearest first.
    size_t tier { 0 };
    // Share of the service's calls that starts in this zone.
    double share { 0 };
    TimePoint oldestFirstSeen;
    std::vector<Member> members;
};

class ServiceTable {
public:
    // Nothing when the service has no instance. `previous` may be null; its statistics are carried over for
    // equal incarnations. Zone shares move only when isRefresh is set, once per refresh interval.
    static std::shared_ptr<const ServiceTable> build(const RouterOptions& options, const ServiceName& service,
        const std::shared_ptr<const MembershipView>& view, const ServiceTable* previous, bool isRefresh, TimePoint now);

    const std::vector<ZoneMembers>& zones() const { return m_zones; }
    size_t size() const { return m_size; }
    double meanLatency() const { return m_meanLatency; }
    // Share of the calls that stays in the nearest zones that have healthy instances.
    double homeShare() const { return m_homeShare; }
    // Ejected instances of the service; shared by successive tables.
    const std::shared_ptr<std::atomic<int>>& ejected() const { return m_ejected; }
    size_t countEjected() const;
    // Instances that are not leaving.
    size_t countStaying() const;

    // A healthy member of the zone by the policy, or null. Excluded instances are left out.
    const Member* pick(const RouterOptions& options, const ZoneMembers& zone, std::span<const InstanceId> excluded,
        Random& random, TimePoint now) const;
    // The healthy member of any zone that LeastExpectedTime prefers, or null.
    const Member* pickByExpectedTime(const RouterOptions& options, const LeastExpectedTime& policy,
        const RoutingRequest& request, Random& random, TimePoint now) const;
    // The zone for a uniform number from [0, 1).
    const ZoneMembers& zoneFor(double unit) const;
    const Member* ownerOf(std::string_view key) const;
    // For the operators' page: the figure that the policy compares.
    double scoreOf(const RouterOptions& options, const Member& member, TimePoint now) const;
    double slowStartWeight(
        const RouterOptions& options, const ZoneMembers& zone, const Member& member, TimePoint now) const;

private:
    friend class ZoneShares;

    // In seconds; lower is better. The penalty is added for an instance outside the own zone.
    double expectedTime(const RouterOptions& options, double zonePenalty, const ZoneMembers& zone, const Member& member,
        TimePoint now) const;
    void computeMeanLatency(TimePoint now);
    void computeScores(const RouterOptions& options, const ScoreCoefficients& coefficients, TimePoint now);
    const Member* pickOfTwo(const RouterOptions& options, const ZoneMembers& zone, std::span<const InstanceId> excluded,
        Random& random, TimePoint now) const;
    const Member* pickRandom(const RouterOptions& options, const ZoneMembers& zone,
        std::span<const InstanceId> excluded, Random& random, TimePoint now, const Member* first) const;
    static const Member* pickBest(const ZoneMembers& zone, std::span<const InstanceId> excluded);
    static const Member* pickByScore(const ZoneMembers& zone, std::span<const InstanceId> excluded, Random& random);

    std::shared_ptr<const MembershipView> m_view;
    std::vector<ZoneMembers> m_zones;
    size_t m_size { 0 };
    double m_meanLatency { 0 };
    double m_homeShare { 1 };
    std::shared_ptr<std::atomic<int>> m_ejected;
};

inline bool isExcluded(std::span<const InstanceId> excluded, const Member& member)
{
    return std::find(excluded.begin(), excluded.end(), member.state->record.id) != excluded.end();
}

} // namespace skylark
