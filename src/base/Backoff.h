// Exponential backoff with full jitter: the delay after failure n (from 0) is uniform in [0, initial * 2^n], capped.
//
// With a minimumShare the delay is uniform in [minimumShare, 1] of that ceiling, which makes fewer attempts.
//
// Full jitter spreads out the reconnects after a common failure. A fixed delay would keep them synchronized.
#pragma once

#include "base/Random.h"

#include <algorithm>

namespace skylark {

struct BackoffOptions {
    Duration initial { std::chrono::milliseconds(500) };
    Duration maximum { std::chrono::seconds(10) };
    double minimumShare { 0 };
};

class Backoff {
public:
    explicit Backoff(BackoffOptions options)
        : m_options(options)
    {
    }

    // Returns the delay before the next attempt. Each call counts as one more failure.
    Duration next(Random& random)
    {
        const Duration ceiling = std::min(m_options.maximum, m_options.initial * (int64_t { 1 } << m_failures));
        m_failures = std::min(m_failures + 1, maxDoublings);
        const auto minimum = std::chrono::duration_cast<Duration>(ceiling * m_options.minimumShare);
        return minimum + random.upTo(ceiling - minimum);
    }
    void reset() { m_failures = 0; }
    void setMaximum(Duration maximum) { m_options.maximum = maximum; }

private:
    static constexpr int maxDoublings = 20;
    BackoffOptions m_options;
    int m_failures { 0 };
};

} // namespace skylark
