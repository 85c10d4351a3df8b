#include "base/Log.h"

#include "base/BufferedAppender.h"
#include "base/Error.h"

#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>
#include <nlohmann/json.hpp>

namespace skylark {

namespace {

    LogOptions logOptions;

    log4cxx::LoggerPtr logger()
    {
        static const log4cxx::LoggerPtr instance = log4cxx::Logger::getLogger("skylark");
        return instance;
    }

    log4cxx::LevelPtr toLog4cxxLevel(LogLevel level)
    {
        switch (level) {
        case LogLevel::Debug:
            return log4cxx::Level::getDebug();
        case LogLevel::Info:
            return log4cxx::Level::getInfo();
        case LogLevel::Warning:
            return log4cxx::Level::getWarn();
        case LogLevel::Error:
            return log4cxx::Level::getError();
        }
        return log4cxx::Level::getInfo();
    }

    std::string quoted(const std::string& text)
    {
        return nlohmann::json(text).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    }

    std::string formatLine(const std::string& event, const LogFields& fields)
    {
        const bool isJson = logOptions.format == LogFormat::Json;
        std::string line = isJson ? "\"event\":" + quoted(event) : "event=" + event;
        auto append = [&](const std::string& key, const std::string& value) {
            line += isJson ? "," + quoted(key) + ":" + quoted(value) : " " + key + "=" + quoted(value);
        };
        if (!logOptions.instance.empty())
            append("instance", logOptions.instance);
        for (const auto& [key, value] : fields)
            append(key, value);
        return line;
    }

} // namespace

void configureLogs(const LogOptions& options)
{
    logOptions = options;
    const std::string pattern = options.format == LogFormat::Json ? "{\"time\":\"%d{ISO8601}\",\"level\":\"%p\",%m}%n"
                                                                  : "%d{ISO8601} %-5p %m%n";
    const auto layout = std::make_shared<log4cxx::PatternLayout>(pattern);
    log4cxx::AppenderPtr appender;
    if (options.output == LogOutput::BufferedStandardOutput)
        appender = std::make_shared<BufferedAppender>(layout, BufferedAppenderOptions {});
    else
        appender = std::make_shared<log4cxx::ConsoleAppender>(layout, log4cxx::ConsoleAppender::getSystemErr());
    log4cxx::Logger::getRootLogger()->removeAllAppenders();
    log4cxx::BasicConfigurator::configure(appender);
    logger()->setLevel(toLog4cxxLevel(options.level));
}

void flushLogs() { log4cxx::Logger::getRootLogger()->removeAllAppenders(); }

void logEvent(LogLevel level, const std::string& event, const LogFields& fields)
{
    const log4cxx::LevelPtr log4cxxLevel = toLog4cxxLevel(level);
    if (logger()->isEnabledFor(log4cxxLevel))
        logger()->log(log4cxxLevel, formatLine(event, fields));
}

LogLevel logLevelFromName(const std::string& name)
{
    if (name == "debug")
        return LogLevel::Debug;
    if (name == "info")
        return LogLevel::Info;
    if (name == "warning")
        return LogLevel::Warning;
    if (name == "error")
        return LogLevel::Error;
    throw Error({ .step = "parse-log-level",
        .message = "unknown log level \"" + name + "\"",
        .advice = "use debug, info, warning or error" });
}

LogFormat logFormatFromName(const std::string& name)
{
    if (name == "text")
        return LogFormat::Text;
    if (name == "json")
        return LogFormat::Json;
    throw Error(
        { .step = "parse-log-format", .message = "unknown log format \"" + name + "\"", .advice = "use text or json" });
}

RateLimitedLog::RateLimitedLog(const Clock& clock, LogLevel level, std::string event)
    : m_clock(clock)
    , m_level(level)
    , m_event(std::move(event))
    , m_nextLine(clock.now())
{
}

void RateLimitedLog::write(const LogFields& fields)
{
    constexpr auto interval = std::chrono::seconds(1);
    uint64_t suppressed = 0;
    {
        const std::lock_guard lock(m_mutex);
        const TimePoint now = m_clock.now();
        if (now < m_nextLine) {
            ++m_suppressed;
            return;
        }
        m_nextLine = now + interval;
        suppressed = std::exchange(m_suppressed, 0);
    }
    LogFields allFields = fields;
    if (suppressed > 0)
        allFields.emplace_back("suppressed", std::to_string(suppressed));
    logEvent(m_level, m_event, allFields);
}

} // namespace skylark
