// Chooses the part of a weighted split, so that each part gets its share of any run of requests.
//
// Each route keeps a credit a part: a request adds every part's weight and goes to the part with the most credit,
// which pays the sum. Over n requests a part is off its share by one request at most, where a random choice would be
// off by the square root of n. Not thread-safe. Bound: one entry a split route of the configuration in force.
#pragma once

#include "document/Configuration.h"

#include <absl/container/flat_hash_map.h>

namespace skylark {

class SplitChooser {
public:
    // The service that the next request of the route goes to.
    const ServiceName& choose(const Route& route);
    // Drops the routes that the configuration no longer splits in the same way.
    void reconfigure(const Configuration& configuration);

private:
    struct State {
        std::vector<WeightedService> split;
        std::vector<int64_t> credits;
    };

    absl::flat_hash_map<std::string, State> m_states;
};

} // namespace skylark
