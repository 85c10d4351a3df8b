// Delays, drops or cuts traffic between peers, for tests and benchmarks.
//
// One injector may be shared by several networks of a process. A rule acts on what a network sends: set the
// rules of both directions for a symmetric fault. Rules may change while traffic flows. A rule for an
// endpoint applies before a rule for a pair of regions. Without rules the cost is one atomic load a frame.
//
// - delay: each frame is held back for that time; frames of a connection keep their order.
// - isDropped: frames vanish while the connection stays open, as on a path that went silent.
// - isDisconnected: connections are closed at the next frame, and new ones to that endpoint are refused.
#pragma once

#include "base/Types.h"

#include <absl/container/flat_hash_map.h>
#include <atomic>
#include <mutex>
#include <utility>

namespace skylark {

struct TrafficFault {
    Duration delay {};
    bool isDropped { false };
    bool isDisconnected { false };
};

class FaultInjector {
public:
    void setForEndpoint(const Endpoint& destination, const TrafficFault& fault);
    void setForRegions(const RegionName& from, const RegionName& to, const TrafficFault& fault);
    void clear();

    // The region of the destination is empty until its Hello has arrived.
    TrafficFault faultFor(const Endpoint& destination, const RegionName& from, const RegionName& to) const;

private:
    std::atomic<bool> m_hasRules { false };
    mutable std::mutex m_mutex;
    absl::flat_hash_map<Endpoint, TrafficFault> m_byEndpoint;
    absl::flat_hash_map<std::pair<RegionName, RegionName>, TrafficFault> m_byRegions;
};

} // namespace skylark
