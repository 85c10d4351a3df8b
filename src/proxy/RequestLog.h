// Rate-limits the log lines of requests.
//
// At most linesPerSecond lines are written, with a burst of the same size. Suppressed lines are counted, and the next
// line reports the count. Failures have priority: a success is logged only while at least half of the burst is left.
#pragma once

#include "base/Clock.h"
#include "base/Log.h"
#include "base/TokenBucket.h"

namespace skylark {

class RequestLog {
public:
    RequestLog(const Clock& clock, double linesPerSecond);

    void success(const std::string& event, const LogFields& fields);
    void failure(const std::string& event, LogFields fields);
    uint64_t suppressedCount() const { return m_suppressedTotal; }

private:
    void write(LogLevel level, const std::string& event, LogFields fields);
    void suppress();

    const Clock& m_clock;
    TokenBucketOptions m_options;
    TokenBucket m_bucket;
    uint64_t m_suppressedSinceLastLine { 0 };
    uint64_t m_suppressedTotal { 0 };
};

} // namespace skylark
