#include "routing/SplitChooser.h"

#include <algorithm>

namespace skylark {

const ServiceName& SplitChooser::choose(const Route& route)
{
    if (route.split.empty())
        return route.service;
    State& state = m_states[route.name];
    if (state.split != route.split)
        state = { .split = route.split, .credits = std::vector<int64_t>(route.split.size(), 0) };
    int64_t sum = 0;
    for (size_t part = 0; part < route.split.size(); ++part) {
        state.credits[part] += route.split[part].weight;
        sum += route.split[part].weight;
    }
    const auto highest = std::max_element(state.credits.begin(), state.credits.end());
    *highest -= sum;
    return route.split[static_cast<size_t>(highest - state.credits.begin())].service;
}

void SplitChooser::reconfigure(const Configuration& configuration)
{
    absl::flat_hash_map<std::string, State> keptStates;
    for (const Route& route : configuration.routes()) {
        const auto state = m_states.find(route.name);
        if (state != m_states.end() && state->second.split == route.split)
            keptStates.insert(*state);
    }
    m_states = std::move(keptStates);
}

} // namespace skylark
