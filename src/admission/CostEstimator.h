// Expected service times of requests, learned from the service times of earlier responses.
//
// Usage: expected() when a request arrives, record() with the service time of each complete response. A sender divides
// the service time by the speed factor of the server first (see InstanceStatistics::speedFactor()), so that the learned
// cost does not depend on which servers answered. A gate records the times of its own server as they are.
//
// - Levels: service; route; method and size class; first path segment below the route's prefix; second segment. Each
//   level is an exponential mean. A level's estimate is drawn towards the next coarser one as if priorWeight
//   observations had shown that one's value, so a single slow response to a rare path changes little.
// - Forgetting: An observation loses weight with the time constant `memory`. The weight of a level is limited to
//   maxWeight observations, so that a changed cost is also learned quickly at a high rate.
// - Bounds: Services and routes beyond maxServices and maxRoutes share the estimate of the coarser level. The finer
//   levels share a table of fixed size (fineSets * fineWays entries of 32 bytes, 64 KB) that is allocated once, with 64
//   KB for recent sightings. A key enters it at its second sighting within `admissionPeriod`, and replaces only an
//   entry that has not been observed for so long that its weight is below replaceableWeight. A path that never recurs
//   therefore replaces nothing.
// - Cost: About five hash computations over at most maxPathBytes each, and fineWays comparisons for each fine level.
//   No allocation except for a new service or route.
#pragma once

#include "base/Types.h"

#include <absl/container/flat_hash_map.h>
#include <array>
#include <string>
#include <string_view>
#include <vector>

namespace skylark {

struct CostRequest {
    std::string_view service;
    std::string_view route;
    // Part of the target that all requests of the route share; empty if unknown.
    std::string_view routePrefix;
    std::string_view method;
    // Path with query; the query is ignored.
    std::string_view target;
    uint64_t bodyBytes { 0 };
};

struct CostEstimatorOptions {
    Duration memory { std::chrono::seconds(30) };
    Duration admissionPeriod { std::chrono::seconds(30) };
    double maxWeight { 256 };
    double priorWeight { 4 };
    double replaceableWeight { 0.5 };
    size_t maxServices { 64 };
    size_t maxRoutes { 512 };
    // Longer times count as this long: a peer may report any value.
    Duration maxServiceTime { std::chrono::minutes(10) };
};

class CostEstimator {
public:
    explicit CostEstimator(CostEstimatorOptions options = {});

    // Zero if neither the route nor the service has been observed.
    Duration expected(const CostRequest& request, TimePoint now) const;
    void record(const CostRequest& request, Duration serviceTime, TimePoint now);

    static constexpr size_t fineSets = 256;
    static constexpr size_t fineWays = 8;
    static constexpr size_t recentKeys = 4096;
    static constexpr size_t maxPathBytes = 64;
    // Number of occupied entries of the finer levels.
    size_t fineEntries() const;
    size_t coarseEntries() const { return m_services.size() + m_routes.size(); }

private:
    struct Mean {
        double seconds { 0 };
        double weight { 0 };
        // Seconds of the steady clock.
        double updatedAt { 0 };
    };
    struct FineEntry {
        uint64_t key { 0 };
        Mean mean {};
    };
    struct Sighting {
        uint32_t fingerprint { 0 };
        double seenAt { 0 };
    };
    static constexpr size_t fineLevels = 3;
    using FineKeys = std::array<uint64_t, fineLevels>;
    using Coarse = absl::flat_hash_map<std::string, Mean>;

    static FineKeys fineKeys(const CostRequest& request);
    double weightOf(const Mean& mean, double now) const;
    void add(Mean& mean, double seconds, double now) const;
    double combine(const Mean* mean, double coarser, double now) const;
    // Returns fineSets * fineWays if the key has no entry.
    size_t indexOf(uint64_t key) const;
    // Returns null if the key is not admitted.
    Mean* findOrAdmit(uint64_t key, double now);
    bool wasSeenRecently(uint64_t key, double now);

    const CostEstimatorOptions m_options;
    // At most maxServices and maxRoutes entries.
    Coarse m_services;
    Coarse m_routes;
    std::vector<FineEntry> m_fine;
    std::vector<Sighting> m_recent;
};

} // namespace skylark
