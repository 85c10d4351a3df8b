// Structured logs by log4cxx: one event a line, as JSON or as key=value text.
//
// logEvent(LogLevel::Info, "version-applied", {{"version", "7"}, {"peer", "127.0.0.1:7001"}}). Names of
// events are stable so that scripts can match them. RateLimitedLog is for events that a peer can cause:
// at most one line a second, with the number of lines that were left out.
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
    // A thread writes the lines; when its buffer is full, lines are dropped and their number is logged.
    BufferedStandardOutput,
};

struct LogOptions {
    LogLevel level { LogLevel::Info };
    LogFormat format { LogFormat::Text };
    LogOutput output { LogOutput::StandardError };
    // Named in every line.
    std::string instance;
};

using LogFields = std::vector<std::pair<std::string, std::string>>;

// Called once, before other threads start.
void configureLogs(const LogOptions& options);
// Writes what is buffered; the logs end.
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
