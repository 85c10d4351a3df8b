// The ways to choose among the healthy instances of one zone.
//
// TwoChoices is the one in use where a zone's share of the calls is decided apart. LeastExpectedTime decides on the
// zone and the instance together. The others are baselines for measurements: RandomChoice, and two that follow
// the "3-DNS Administrator Guide v2.1". BestScore follows its QOS mode: each metric is normalised to 0..10
// against the best instance, weighted by a coefficient and summed, and the highest sum takes all calls until
// the next refresh. ScoreProportional follows its Dynamic Ratio option: the same sums, with calls in
// proportion to them.
#pragma once

#include <cstddef>
#include <variant>

namespace skylark {

struct TwoChoices { };

struct RandomChoice { };

// The instance with the least expected time to an answer among a few drawn from all zones: its service time, the wait
// that its load beyond the limit means, and a penalty for an instance of another zone, since bytes between zones cost.
// Reacts to each report, where shares of zones move once a second, so that a burst spills over at once and comes back
// at once.
//
// The penalty grows with the call's bytes, so that a zone that lacks capacity sends its small calls away and keeps the
// large ones; it stays within a share of the call's target, so that no call is late for the sake of bytes.
struct LeastExpectedTime {
    // Seconds that an answer may take longer before another zone is used.
    double zonePenalty { 0.04 };
    double zonePenaltyPerKilobyte { 0.05 };
    double mostPenaltyShareOfTarget { 0.5 };
    // Instances compared: all where there are no more, else half of them drawn from the own zone.
    size_t mostCandidates { 16 };
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
