// Structured logging with log4cxx: one event per line, as JSON or as key=value text.
//
// logEvent(LogLevel::Info, "version-applied", {{"version", "7"}, {"peer", "127.0.0.1:7001"}}). Event
// names are stable, so that scripts can match them. RateLimitedLog is for events that a peer can trigger: it writes
// at most one line per second and reports the number of suppressed lines.
#pragma once

#include "base/Clock.h"

#include <initializer_list>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

namespace skylark {

enum class LogLevel { Debug, Info, Warning, Error };

enum class LogFormat { Text, Json };

enum class LogOutput {
    StandardError,
    // Uses BufferedAppender, which drops lines if its buffer is full and logs their number.
    BufferedStandardOutput,
};

struct LogOptions {
    LogLevel level { LogLevel::Info };
    LogFormat format { LogFormat::Text };
    LogOutput output { LogOutput::StandardError };
    // Written in every line if not empty.
    std::string instance;
};

using LogFields = std::vector<std::pair<std::string, std::string>>;

// Call this once, before other threads start.
void configureLogs(const LogOptions& options);
// Writes the buffered lines and stops logging.
void flushLogs();
void logEvent(LogLevel level, const std::string& event, const LogFields& fields = {});

// Throws Error for an unknown name.
LogLevel logLevelFromName(const std::string& name);
LogFormat logFormatFromName(const std::string& name);

class RateLimitedLog {
public:
    RateLimitedLog(const Clock& clock, LogLevel level, std::string event);
    void write(const LogFields& fields);

private:
    const Clock& m_clock;
    LogLevel m_level;
    std::string m_event;
    std::mutex m_mutex;
    TimePoint m_nextLine;
    uint64_t m_suppressed { 0 };
};

} // namespace skylark
