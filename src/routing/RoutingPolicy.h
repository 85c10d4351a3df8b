// Policies that choose an instance for a call.
//
// - TwoChoices picks an instance within a zone; ZoneShares chooses the zone.
// - LeastExpectedTime chooses the zone and the instance together.
//
// The others are baselines for measurements:
// - RandomChoice picks a healthy instance of a zone uniformly.
// - BestScore follows the QOS mode of the "3-DNS Administrator Guide v2.1": it normalizes each metric to 0..10 against
//   the best instance, weights it by a coefficient and adds the results. The instance with the highest score gets all
//   calls until the next refresh.
// - ScoreProportional follows the Dynamic Ratio option of the same guide: it computes the same scores and distributes
//   calls in proportion to them.
#pragma once

#include <cstddef>
#include <variant>

namespace skylark {

struct TwoChoices { };

struct RandomChoice { };

// Chooses the instance with the least expected response time among a sample from all zones.
//
// The expected time is the service time, plus the queueing time for load above the limit, plus a penalty for instances
// of other zones, because traffic between zones has a cost. The policy reacts to each load report, whereas zone shares
// change once a second, so a burst spills to other zones and returns without delay.
//
// The penalty grows with the size of the call, so that an overloaded zone sends its small calls away and keeps the
// large ones. It is limited to a share of the call's target latency, so that saving traffic never makes a call late.
struct LeastExpectedTime {
    // Expected time in seconds by which an instance of this node's zone may be slower than one of another zone.
    double zonePenalty { 0.04 };
    // Seconds added to zonePenalty for each kilobyte of the request and its response.
    double zonePenaltyPerKilobyte { 0.05 };
    double maxPenaltyShareOfTarget { 0.5 };
    // Number of instances compared. A larger service is sampled, with half of the sample from this node's zone.
    size_t maxCandidates { 16 };
    // The same for cost-aware routing, per group: this node's zone, and all zones if there are several. With more
    // candidates, nodes that know the same remaining work choose the same server at the same time (see
    // docs/design/cost-aware-routing.md for the comparison).
    size_t costAwareCandidates { 2 };
};

struct ScoreCoefficients {
    double latency { 3 };
    double load { 5 };
    double successRate { 2 };
};

struct BestScore {
    ScoreCoefficients coefficients {};
};

struct ScoreProportional {
    ScoreCoefficients coefficients {};
};

using RoutingPolicy = std::variant<TwoChoices, RandomChoice, BestScore, ScoreProportional, LeastExpectedTime>;

const char* policyName(const RoutingPolicy& policy);

} // namespace skylark
