// Counts the calls that a stand-in gets, in all, by kind and by second, and limits their rate.
//
// The limit holds for each second on its own, which is how the platform states its capacity. Seconds
// older than 600 s are dropped.
#pragma once

#include "base/Types.h"

#include <deque>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <string>

namespace skylark {

class CallMeter {
public:
    explicit CallMeter(uint64_t callsPerSecond)
        : m_callsPerSecond(callsPerSecond)
    {
    }

    // Counts one call; false when it is over the limit of this second.
    bool admit(const std::string& kind, TimePoint now);
    // {"calls", "limited", "byKind", "bySecond": [{"age", "calls"}], "peakSecond"}; age in seconds.
    nlohmann::json report(TimePoint now) const;

private:
    static constexpr std::chrono::seconds maxAge { 600 };
    struct Second {
        int64_t number { 0 };
        uint64_t calls { 0 };
    };

    uint64_t m_callsPerSecond;
    uint64_t m_calls { 0 };
    uint64_t m_limited { 0 };
    uint64_t m_peak { 0 };
    std::map<std::string, uint64_t> m_byKind;
    std::deque<Second> m_seconds;
};

} // namespace skylark
