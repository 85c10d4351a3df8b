// Token bucket rate limiter: tokens are added at a constant rate up to the burst size, and each action takes one.
#pragma once

#include "base/Types.h"

#include <algorithm>

namespace skylark {

struct TokenBucketOptions {
    double perSecond { 1 };
    double burst { 1 };
};

class TokenBucket {
public:
    // The bucket starts full.
    TokenBucket(TokenBucketOptions options, TimePoint now)
        : m_options(options)
        , m_tokens(options.burst)
        , m_lastRefill(now)
    {
    }

    // Takes one token and returns true, or returns false if there is none.
    bool tryTake(TimePoint now)
    {
        refill(now);
        if (m_tokens < 1)
            return false;
        m_tokens -= 1;
        return true;
    }

    double tokens(TimePoint now)
    {
        refill(now);
        return m_tokens;
    }

private:
    void refill(TimePoint now)
    {
        if (now <= m_lastRefill)
            return;
        const std::chrono::duration<double> elapsed = now - m_lastRefill;
        m_tokens = std::min(m_options.burst, m_tokens + elapsed.count() * m_options.perSecond);
        m_lastRefill = now;
    }

    TokenBucketOptions m_options;
    double m_tokens;
    TimePoint m_lastRefill;
};

} // namespace skylark
