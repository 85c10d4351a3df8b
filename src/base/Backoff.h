// Exponential backoff with full jitter: attempt n waits a uniform time up to initial * 2^n, capped.
//
// Full jitter spreads reconnects after a common failure, when a fixed delay would keep them in step.
#pragma once

#include "base/Random.h"

#include <algorithm>

namespace skylark {

struct BackoffOptions {
    Duration initial { std::chrono::milliseconds(500) };
    Duration maximum { std::chrono::seconds(10) };
};

class Backoff {
public:
    explicit Backoff(BackoffOptions options)
        : m_options(options)
    {
    }

    // Time to wait before the next attempt; each call counts as one more failure.
    Duration next(Random& random)
    {
        const Duration ceiling = std::min(m_options.maximum, m_options.initial * (int64_t { 1 } << m_failures));
        m_failures = std::min(m_failures + 1, maxDoublings);
        return random.upTo(ceiling);
    }
    void reset() { m_failures = 0; }
    void setMaximum(Duration maximum) { m_options.maximum = maximum; }

private:
    static constexpr int maxDoublings = 20;
    BackoffOptions m_options;
    int m_failures { 0 };
};

} // namespace skylark
