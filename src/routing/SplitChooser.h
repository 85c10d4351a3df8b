// Distributes the requests of a route over its weighted services by smooth weighted round-robin.
//
// Each route keeps one credit per service. A request adds each service's weight to its credit and goes to the service
// with the highest credit, from which the sum of the weights is subtracted. After n requests a service is off its share
// by at most one request; a random choice would be off by about the square root of n.
//
// Not thread-safe. Holds at most one entry per split route of the current configuration.
#pragma once

#include "document/Configuration.h"

#include <absl/container/flat_hash_map.h>

namespace skylark {

class SplitChooser {
public:
    // Returns the service for the next request of the route.
    const ServiceName& choose(const Route& route);
    // Drops the credits of routes that were removed or whose split changed.
    void reconfigure(const Configuration& configuration);

private:
    struct State {
        std::vector<WeightedService> split;
        std::vector<int64_t> credits;
    };

    absl::flat_hash_map<std::string, State> m_states;
};

} // namespace skylark
