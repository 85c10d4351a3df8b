// The ways to choose among the healthy instances of one zone.
//
// TwoChoices is the one in use. The others are baselines for measurements: RandomChoice, and two that follow
// the "3-DNS Administrator Guide v2.1". BestScore follows its QOS mode: each metric is normalised to 0..10
// against the best instance, weighted by a coefficient and summed, and the highest sum takes all calls until
// the next refresh. ScoreProportional follows its Dynamic Ratio option: the same sums, with calls in
// proportion to them.
#pragma once

#include <variant>

namespace skylark {

struct TwoChoices { };

struct RandomChoice { };

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

using RoutingPolicy = std::variant<TwoChoices, RandomChoice, BestScore, ScoreProportional>;

const char* policyName(const RoutingPolicy& policy);

} // namespace skylark
