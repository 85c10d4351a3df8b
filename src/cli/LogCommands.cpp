#include "cli/LogCommands.h"

#include "base/Settings.h"
#include "cli/Table.h"

#include <algorithm>
#include <fstream>
#include <nlohmann/json.hpp>
#include <set>

namespace skylark {

namespace {

    using Json = nlohmann::json;

    struct LogLine {
        std::string time;
        std::string instance;
        std::string event;
        std::string requestId;
        // All other fields except the level, in the order of the file.
        nlohmann::ordered_json fields;
    };

    // Returns nullopt if the text is not a log line of a node.
    std::optional<LogLine> parseLine(const std::string& text)
    {
        const size_t begin = text.find('{');
        if (begin == std::string::npos)
            return std::nullopt;
        auto json = nlohmann::ordered_json::parse(text.substr(begin), nullptr, false);
        if (!json.is_object() || !json.contains("time") || !json.contains("event"))
            return std::nullopt;
        LogLine line;
        const auto takeText = [&json](const char* key) {
            const auto found = json.find(key);
            std::string value = found != json.end() && found->is_string() ? found->get<std::string>() : "";
            json.erase(key);
            return value;
        };
        line.time = takeText("time");
        line.instance = takeText("instance");
        line.event = takeText("event");
        line.requestId = takeText("id");
        json.erase("level");
        line.fields = std::move(json);
        return line;
    }

    // Calls handle() with each log line and returns the number of lines that are not log lines. Throws Error if a file
    // cannot be opened.
    template <typename Handler> size_t readLines(const std::vector<std::string>& paths, Handler handle)
    {
        size_t skippedLines = 0;
        for (const std::string& path : paths) {
            std::ifstream file(path);
            if (!file)
                throw Error({ .step = "read-log", .peer = path, .message = "cannot open the log file" });
            std::string text;
            while (std::getline(file, text)) {
                if (auto line = parseLine(text))
                    handle(std::move(*line));
                else
                    ++skippedLines;
            }
        }
        return skippedLines;
    }

    std::string fieldsText(const LogLine& line)
    {
        std::string text;
        for (const auto& [key, value] : line.fields.items())
            text += (text.empty() ? "" : " ") + key + "="
                + (value.is_string() ? value.get<std::string>() : value.dump());
        return text;
    }

    Json toJson(const LogLine& line)
    {
        Json json = line.fields;
        json["time"] = line.time;
        json["instance"] = line.instance;
        json["event"] = line.event;
        if (!line.requestId.empty())
            json["id"] = line.requestId;
        return json;
    }

    // Converts "YYYY-MM-DD hh:mm:ss,mmm" to seconds since midnight. The date is ignored, so time spans must not cross
    // midnight.
    double secondOfDay(const std::string& time)
    {
        int hour = 0;
        int minute = 0;
        int second = 0;
        int millisecond = 0;
        if (std::sscanf(time.c_str(), "%*d-%*d-%*d %d:%d:%d,%d", &hour, &minute, &second, &millisecond) != 4)
            return 0;
        constexpr int secondsPerHour = 3600;
        constexpr int secondsPerMinute = 60;
        constexpr double secondsPerMillisecond = 0.001;
        return hour * secondsPerHour + minute * secondsPerMinute + second + millisecond * secondsPerMillisecond;
    }

    // The times are in seconds since midnight.
    struct TimeSpan {
        double begin { 0 };
        double end { 0 };
    };

    TimeSpan timeSpanOf(const std::vector<LogLine>& lines, double margin)
    {
        TimeSpan span { secondOfDay(lines.front().time), secondOfDay(lines.front().time) };
        for (const LogLine& line : lines) {
            span.begin = std::min(span.begin, secondOfDay(line.time));
            span.end = std::max(span.end, secondOfDay(line.time));
        }
        return { span.begin - margin, span.end + margin };
    }

    // Compares the times as text, which orders them because all have the same format.
    void sortByTime(std::vector<LogLine>& lines)
    {
        std::stable_sort(lines.begin(), lines.end(),
            [](const LogLine& left, const LogLine& right) { return left.time < right.time; });
    }

    void print(const CommandContext& context, const std::vector<LogLine>& lines)
    {
        if (context.isJson) {
            Json list = Json::array();
            for (const LogLine& line : lines)
                list.push_back(toJson(line));
            context.out << list.dump(-1, ' ', true, Json::error_handler_t::replace) << '\n';
            return;
        }
        Table table({ "TIME", "INSTANCE", "EVENT", "DETAILS" });
        for (const LogLine& line : lines)
            table.add({ line.time, line.instance, line.event, fieldsText(line) });
        table.print(context.out);
    }

} // namespace

void addTraceOptions(cxxopts::Options& options)
{
    options.add_options()("around",
        "also show lines without a request id that the same instances wrote within this duration, such as 2s",
        cxxopts::value<std::string>(), "DURATION");
}

ExitCode runTrace(const CommandContext& context)
{
    const std::string& id = context.arguments.front();
    const std::vector<std::string> paths(context.arguments.begin() + 1, context.arguments.end());
    std::optional<Duration> margin;
    if (context.options.count("around")) {
        margin = parseDuration(context.options["around"].as<std::string>());
        if (!margin || *margin < Duration::zero())
            throw UsageError("--around requires a duration with a unit, such as 2s");
    }
    std::vector<LogLine> lines;
    const size_t skippedLines = readLines(paths, [&](LogLine line) {
        if (line.requestId == id)
            lines.push_back(std::move(line));
    });
    if (lines.empty())
        throw Error({ .step = "trace",
            .message
            = "no log line contains request " + id + " (" + std::to_string(skippedLines) + " lines are not log lines)",
            .advice = "pass the log of the caller's node, which records the request" });
    if (margin) {
        const TimeSpan span = timeSpanOf(lines, std::chrono::duration<double>(*margin).count());
        std::set<std::string> instances;
        for (const LogLine& line : lines)
            instances.insert(line.instance);
        readLines(paths, [&](LogLine line) {
            const double second = secondOfDay(line.time);
            const bool isInSpan = second >= span.begin && second <= span.end;
            if (line.requestId.empty() && isInSpan && instances.contains(line.instance))
                lines.push_back(std::move(line));
        });
    }
    sortByTime(lines);
    print(context, lines);
    return ExitCode::Success;
}

} // namespace skylark
