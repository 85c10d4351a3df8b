#include "testing/CallMeter.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace skylark {

namespace {

    int64_t secondOf(TimePoint time)
    {
        return std::chrono::duration_cast<std::chrono::seconds>(time.time_since_epoch()).count();
    }

} // namespace

bool CallMeter::admit(const std::string& kind, TimePoint now)
{
    const int64_t second = secondOf(now);
    if (m_seconds.empty() || m_seconds.back().number < second)
        m_seconds.push_back({ .number = second });
    while (m_seconds.front().number < second - maxAge.count())
        m_seconds.pop_front();
    ++m_calls;
    ++m_byKind[kind];
    const uint64_t calls = ++m_seconds.back().calls;
    m_peak = std::max(m_peak, calls);
    if (calls <= m_callsPerSecond)
        return true;
    ++m_limited;
    return false;
}

nlohmann::json CallMeter::report(TimePoint now) const
{
    auto bySecond = nlohmann::json::array();
    for (const Second& second : m_seconds)
        bySecond.push_back({ { "age", secondOf(now) - second.number }, { "calls", second.calls } });
    return { { "calls", m_calls }, { "limited", m_limited }, { "byKind", m_byKind }, { "bySecond", bySecond },
        { "peakSecond", m_peak } };
}

} // namespace skylark
