// Learns the timeout with which the callers of a route start a request.
//
// A refused caller retries with the rest of its time, so the remaining time of a request tells how long its caller has
// waited already. First attempts share one value while retries scatter. The estimate is the most frequent value among
// a few counters (the Misra-Gries summary), which find each value that more than a fifth of the requests have. Uses
// constant memory; not thread-safe.
#pragma once

#include "base/Types.h"

#include <array>

namespace skylark {

class InitialTimeoutEstimate {
public:
    void record(Duration remaining);
    // How long ago the caller made its first attempt, given its remaining time; zero until a value is known.
    Duration elapsedSinceFirstAttempt(Duration remaining) const;

private:
    struct Counter {
        Duration value {};
        uint32_t count { 0 };
    };
    // Values are rounded down to this step, since callers round theirs.
    static constexpr Duration resolution = std::chrono::milliseconds(10);
    static constexpr uint32_t maxCount = 1000;
    std::array<Counter, 4> m_counters;
};

} // namespace skylark
