// Injects faults into the traffic between peers, for tests and benchmarks.
//
// - Several networks of a process may share an injector.
// - A rule applies to what a network sends; a symmetric fault needs a rule for each direction.
// - Rules may change while traffic flows.
// - A rule for an endpoint takes precedence over a rule for a pair of regions.
// - Without rules the cost is one atomic load per frame.
#pragma once

#include "base/Types.h"

#include <absl/container/flat_hash_map.h>
#include <atomic>
#include <mutex>
#include <utility>

namespace skylark {

struct TrafficFault {
    // Delays each frame for this time. The frames of a connection keep their order.
    Duration delay {};
    // Discards frames while the connection stays open, as on a network path that loses all packets.
    bool isDropped { false };
    // Closes connections at the next frame and refuses new ones to the endpoint.
    bool isDisconnected { false };
};

class FaultInjector {
public:
    void setForEndpoint(const Endpoint& destination, const TrafficFault& fault);
    void setForRegions(const RegionName& from, const RegionName& to, const TrafficFault& fault);
    void clear();

    // The destination region `to` is empty until the Hello of the destination has arrived.
    TrafficFault faultFor(const Endpoint& destination, const RegionName& from, const RegionName& to) const;

private:
    std::atomic<bool> m_hasRules { false };
    mutable std::mutex m_mutex;
    absl::flat_hash_map<Endpoint, TrafficFault> m_byEndpoint;
    absl::flat_hash_map<std::pair<RegionName, RegionName>, TrafficFault> m_byRegions;
};

} // namespace skylark
