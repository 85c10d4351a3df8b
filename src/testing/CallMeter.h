// Counts the calls that a stand-in receives, in total, by kind and by second, and limits their rate.
//
// The limit applies to each second separately, since the platform specifies its capacity in this way. The counts by
// second are kept for 600 s.
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

    // Counts one call. Returns false if it exceeds the limit of the current second.
    bool admit(const std::string& kind, TimePoint now);
    // Returns {"calls", "limited", "byKind", "bySecond": [{"age", "calls"}], "peakSecond"} with ages in seconds.
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
