// Routing table of one service: its instances by zone preference, with the zone shares and scores of the last refresh.
//
// A table is immutable. The statistics that it points to are atomics and outlive it.
#pragma once

#include "routing/InstanceStatistics.h"

#include <algorithm>
#include <vector>

namespace skylark {

struct Member {
    // Owned by the view that the table holds.
    const InstanceState* state { nullptr };
    std::shared_ptr<InstanceStatistics> statistics;
    // Used by the score policies only.
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
    // 0 is this node's zone, 1 the rest of its region, then the other regions, nearest first.
    size_t tier { 0 };
    // Share of the service's calls for which an instance of this zone is picked first.
    double share { 0 };
    TimePoint oldestFirstSeen;
    std::vector<Member> members;
};

class ServiceTable {
public:
    // Returns null if the service has no instances outside evacuated zones. `previous` may be null; its statistics are
    // kept for unchanged incarnations. Zone shares change only if isRefresh is set, which happens once per refresh
    // interval.
    static std::shared_ptr<const ServiceTable> build(const RouterOptions& options, const ServiceName& service,
        const std::shared_ptr<const MembershipView>& view, const ServiceTable* previous, bool isRefresh, TimePoint now);

    const std::vector<ZoneMembers>& zones() const { return m_zones; }
    size_t size() const { return m_size; }
    double meanLatency() const { return m_meanLatency; }
    // Mean of the service times that the instances report; zero before the first report.
    double meanServiceSeconds() const { return m_meanServiceSeconds; }
    // Share of the calls that stays in the home zones, the nearest ones that have healthy instances.
    double homeShare() const { return m_homeShare; }
    // Number of ejected instances of the service; shared by successive tables.
    const std::shared_ptr<std::atomic<int>>& ejectedCounter() const { return m_ejectedCounter; }
    size_t countEjected() const;
    // Number of instances that are not leaving.
    size_t countNotLeaving() const;

    // Returns the healthy member of the zone that the policy picks, or null. Excluded instances are skipped.
    const Member* pick(const RouterOptions& options, const ZoneMembers& zone, std::span<const InstanceId> excluded,
        Random& random, TimePoint now) const;
    // Returns the healthy member of any zone that LeastExpectedTime picks, or null.
    const Member* pickByExpectedTime(const RouterOptions& options, const LeastExpectedTime& policy,
        const RoutingRequest& request, Random& random, TimePoint now) const;
    // Maps a uniform random number from [0, 1) to a zone according to the zone shares.
    const ZoneMembers& zoneFor(double unit) const;
    const Member* ownerOf(std::string_view key) const;
    // The score of the score policies, otherwise the load times the mean latency, which TwoChoices compares.
    // Router::explain() shows it to operators.
    double scoreOf(const RouterOptions& options, const Member& member, TimePoint now) const;
    double slowStartWeight(
        const RouterOptions& options, const ZoneMembers& zone, const Member& member, TimePoint now) const;

private:
    friend class ZoneShares;

    // Expected response time in seconds. The penalty is added for instances outside this node's zone.
    double expectedTime(const RouterOptions& options, double zonePenalty, const ZoneMembers& zone, const Member& member,
        TimePoint now) const;
    // The same by remaining work, speed and the expected cost of the request; absent if one of them is unknown.
    std::optional<double> expectedTimeByCost(const RouterOptions& options, const RoutingRequest& request,
        double zonePenalty, const ZoneMembers& zone, const Member& member, TimePoint now) const;
    void computeMeanLatency(TimePoint now);
    void computeMeanServiceTime();
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
    double m_meanServiceSeconds { 0 };
    double m_homeShare { 1 };
    std::shared_ptr<std::atomic<int>> m_ejectedCounter;
};

inline bool isExcluded(std::span<const InstanceId> excluded, const Member& member)
{
    return std::find(excluded.begin(), excluded.end(), member.state->record.id) != excluded.end();
}

} // namespace skylark
