// Bounds the retries that one node sends to a service, so that the retries of all nodes together stay within a bound
// in any window.
//
// The bound of the fleet is ratio x requests + slack in each window. Nodes do not share counters, so each uses the
// ratio of its own requests and an equal part of the slack, both multiplied by `safetyFactor`, since the nodes' views
// of the fleet differ. Requests and retries are counted in slices of a tenth of the window. A retry is allowed only if
// the window that ends now stays within the bound. Not thread-safe. Memory: about 200 bytes per service.
#pragma once

#include "base/Types.h"

#include <absl/container/flat_hash_map.h>
#include <array>

namespace skylark {

struct FleetRetryBudgetOptions {
    double ratio { 0.1 };
    double slack { 10 };
    Duration window { std::chrono::seconds(10) };
    // Share of the bound that this node uses.
    double safetyFactor { 0.8 };
    // The same for retries of calls that may have run. If the call ran, its retry repeats the calls that it made to
    // other services. These count as retries there, and this node does not see them.
    double safetyFactorAfterRun { 0.35 };
};

class FleetRetryBudget {
public:
    explicit FleetRetryBudget(FleetRetryBudgetOptions options);

    // Records a caller's request for the service. Call it once per request, however many attempts the request takes.
    void recordRequest(const ServiceName& service, TimePoint now);
    // Returns whether a retry is allowed, and counts it if so. `nodes` is the number of nodes that share the slack.
    bool tryTake(const ServiceName& service, bool mayHaveRun, size_t nodes, TimePoint now);

private:
    static constexpr int64_t sliceCount = 10;
    struct Slice {
        int64_t number { -1 };
        uint32_t requests { 0 };
        uint32_t retries { 0 };
    };
    using Window = std::array<Slice, sliceCount + 1>;

    int64_t sliceNumber(TimePoint now) const;
    Slice& sliceAt(const ServiceName& service, TimePoint now);

    FleetRetryBudgetOptions m_options;
    absl::flat_hash_map<ServiceName, Window> m_windows;
};

} // namespace skylark
