#include "routing/RoutingPolicy.h"

namespace skylark {

const char* policyName(const RoutingPolicy& policy)
{
    struct Names {
        const char* operator()(const TwoChoices&) const { return "two choices"; }
        const char* operator()(const RandomChoice&) const { return "random"; }
        const char* operator()(const LeastExpectedTime&) const { return "least expected time"; }
        const char* operator()(const BestScore&) const { return "best score"; }
        const char* operator()(const ScoreProportional&) const { return "score proportional"; }
    };
    return std::visit(Names {}, policy);
}

} // namespace skylark
