// Learns how long the callers of a route wait when they ask for the first time.
//
// A caller that was refused comes back with the rest of its time, so a request's remaining time tells how long its
// caller has waited already. First attempts share one value, while returns scatter; the value is the most frequent
// one among a few counters (the Misra-Gries summary), which finds each value with more than a fifth of the requests.
// Constant memory; not thread-safe.
#pragma once

#include "base/Types.h"

#include <array>

namespace skylark {

class InitialTimeoutEstimate {
public:
    void record(Duration remaining);
    // How long ago the caller asked first, by what remains of its time; zero while nothing is known.
    Duration elapsedSinceFirstAttempt(Duration remaining) const;

private:
    struct Counter {
        Duration value {};
        uint32_t count { 0 };
    };
    // Values are compared in steps of this size, since callers round them.
    static constexpr Duration resolution = std::chrono::milliseconds(10);
    static constexpr uint32_t maxCount = 1000;
    std::array<Counter, 4> m_counters;
};

} // namespace skylark
