// What a gate knows about the cost of its calls: the expected service time of each and the remaining work of its
// server.
//
// Times are those of the local server, including its speed, so that the remaining work is in the server's own time. All
// functions do nothing and return zero if cost-aware routing is off.
#pragma once

#include "admission/CostEstimator.h"
#include "admission/RemainingWork.h"
#include "document/Configuration.h"
#include "proxy/GateCall.h"

#include <optional>

namespace skylark {

class GateCosts {
public:
    explicit GateCosts(bool isEnabled);

    bool isEnabled() const { return m_estimator.has_value(); }
    // The prefixes of the routes tell which part of a path is common to all requests of the route.
    void setRoutes(const std::vector<Route>& routes);
    // Returns the expected service time of the accepted call; zero if unknown.
    Duration add(uint64_t ticket, const GateCall& call, TimePoint now);
    void start(uint64_t ticket, TimePoint now);
    void remove(uint64_t ticket);
    void recordResponse(const GateCall& call, int status, Duration serviceTime, TimePoint now);
    // The call was ended after this time without a response. Its cost is at least that, and ignoring it would make
    // calls that time out look cheap.
    void recordTimeout(const GateCall& call, Duration elapsed, TimePoint now);
    Duration remainingWork(TimePoint now) const { return m_work.remaining(now); }

private:
    CostRequest costRequest(const GateCall& call) const;

    std::optional<CostEstimator> m_estimator;
    RemainingWork m_work;
    // By route name; as many entries as the configuration has routes.
    absl::flat_hash_map<std::string, std::string> m_prefixes;
};

} // namespace skylark
