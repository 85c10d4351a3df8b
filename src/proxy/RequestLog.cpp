#include "proxy/RequestLog.h"

#include <utility>

namespace skylark {

RequestLog::RequestLog(const Clock& clock, double linesPerSecond)
    : m_clock(clock)
    , m_options { .perSecond = linesPerSecond, .burst = linesPerSecond }
    , m_bucket(m_options, clock.now())
{
}

void RequestLog::success(const std::string& event, const LogFields& fields)
{
    const TimePoint now = m_clock.now();
    if (m_bucket.tokens(now) < m_options.burst / 2 || !m_bucket.tryTake(now)) {
        suppress();
        return;
    }
    write(LogLevel::Info, event, fields);
}

void RequestLog::failure(const std::string& event, LogFields fields)
{
    if (m_bucket.tryTake(m_clock.now()))
        write(LogLevel::Warning, event, std::move(fields));
    else
        suppress();
}

void RequestLog::suppress()
{
    ++m_suppressedSinceLastLine;
    ++m_suppressedTotal;
}

void RequestLog::write(LogLevel level, const std::string& event, LogFields fields)
{
    if (const uint64_t count = std::exchange(m_suppressedSinceLastLine, 0))
        fields.emplace_back("suppressed", std::to_string(count));
    logEvent(level, event, fields);
}

} // namespace skylark
