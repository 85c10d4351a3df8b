// A clock that changes only when a test advances it.
#pragma once

#include "base/Clock.h"

namespace skylark {

class FakeClock final : public Clock {
public:
    TimePoint now() const override { return m_now; }
    std::chrono::system_clock::time_point wallNow() const override
    {
        return std::chrono::system_clock::time_point(
            std::chrono::duration_cast<std::chrono::system_clock::duration>(m_now.time_since_epoch()));
    }
    void advance(Duration duration) { m_now += duration; }

private:
    TimePoint m_now { std::chrono::hours(1) };
};

} // namespace skylark
