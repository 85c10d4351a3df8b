// Clock interface, so that tests can control the time.
//
// Decisions use now(), which is monotonic. wallNow() is only for log lines and state dumps.
#pragma once

#include "base/Types.h"

namespace skylark {

class Clock {
public:
    virtual ~Clock() = default;
    virtual TimePoint now() const = 0;
    virtual std::chrono::system_clock::time_point wallNow() const = 0;
};

class SystemClock final : public Clock {
public:
    TimePoint now() const override { return std::chrono::steady_clock::now(); }
    std::chrono::system_clock::time_point wallNow() const override { return std::chrono::system_clock::now(); }
};

} // namespace skylark
