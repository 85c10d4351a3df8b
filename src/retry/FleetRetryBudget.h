// Bounds the retries that one node sends to a service, so that all nodes together keep to a bound in any window.
//
// The fleet's bound is ratio x requests + slack in each window. Nodes write nothing that others read, so each takes
// the ratio of its own requests and an equal part of the slack, both times `safetyFactor`, since the nodes' views of
// the fleet differ. Requests and retries are counted in slices of a tenth of the window; a retry is allowed only
// if it keeps the bound in the window that ends now. Not thread-safe. Memory: about 200 bytes a service.
#pragma once

#include "base/Types.h"

#include <absl/container/flat_hash_map.h>
#include <array>

namespace skylark {

struct FleetRetryBudgetOptions {
    double ratio { 0.1 };
    double slack { 10 };
    Duration window { std::chrono::seconds(10) };
    // Share of the bound that this node plans with.
    double safetyFactor { 0.8 };
    // The same for retries of calls that may have run: such a run makes its own calls again, which count as retries
    // at the services that it calls, where this node does not see them.
    double safetyFactorAfterRun { 0.35 };
};

class FleetRetryBudget {
public:
    explicit FleetRetryBudget(FleetRetryBudgetOptions options);

    // A caller's request for the service, counted once however often it is sent.
    void recordRequest(const ServiceName& service, TimePoint now);
    // Counts one retry if it is allowed. `nodes` share the slack.
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
