#include "node/NodeSettings.h"

#include "base/Error.h"
#include "base/Settings.h"

namespace skylark {

using namespace std::chrono_literals;

namespace {

    std::string logLevelName(LogLevel level)
    {
        switch (level) {
        case LogLevel::Debug:
            return "debug";
        case LogLevel::Info:
            return "info";
        case LogLevel::Warning:
            return "warning";
        case LogLevel::Error:
            return "error";
        }
        return "info";
    }

    template <typename Name> Name readName(SettingsReader& reader, const std::string& key)
    {
        constexpr size_t maxNameBytes = 128;
        std::string text = reader.text(key);
        if (text.empty() || text.size() > maxNameBytes)
            reader.throwInvalidValue(key, "a string of 1 to 128 bytes");
        return Name(std::move(text));
    }

    std::vector<Endpoint> readPeers(SettingsReader& reader)
    {
        constexpr size_t maxPeers = 64;
        const std::string expectedValue = "an array of at most 64 addresses in the form host:port";
        std::vector<Endpoint> peers;
        const nlohmann::json& list = reader.value("peers");
        if (list.is_null())
            return peers;
        if (!list.is_array() || list.size() > maxPeers)
            reader.throwInvalidValue("peers", expectedValue);
        for (const nlohmann::json& entry : list) {
            if (!entry.is_string())
                reader.throwInvalidValue("peers", expectedValue);
            peers.push_back(Endpoint::fromString(entry.get<std::string>()));
        }
        return peers;
    }

    void readLog(const nlohmann::json& log, NodeSettings& settings)
    {
        if (log.is_null())
            return;
        SettingsReader reader(log, "/log");
        settings.logLevel = logLevelFromName(reader.text("level", logLevelName(settings.logLevel)));
        settings.logFormat
            = logFormatFromName(reader.text("format", settings.logFormat == LogFormat::Json ? "json" : "text"));
        reader.finish();
    }

} // namespace

NodeSettings nodeSettingsFromJson(const nlohmann::json& json)
{
    NodeSettings settings;
    SettingsReader reader(json, "");
    settings.instance = readName<InstanceId>(reader, "instance");
    settings.incarnation
        = Incarnation(static_cast<uint64_t>(reader.integer("incarnation", 0, 0, std::numeric_limits<int64_t>::max())));
    settings.service = readName<ServiceName>(reader, "service");
    settings.zone = readName<ZoneName>(reader, "zone");
    settings.region = readName<RegionName>(reader, "region");
    settings.callerAddress = reader.endpoint("callerAddress");
    settings.peerAddress = reader.endpoint("peerAddress");
    settings.adminAddress = reader.endpoint("adminAddress");
    settings.backendAddress = reader.endpoint("backendAddress");
    settings.platformAddress = reader.endpoint("platformAddress");
    settings.peers = readPeers(reader);
    settings.callerThreads = static_cast<int>(reader.integer("callerThreads", settings.callerThreads, 1, 1024));
    settings.gateThreads = static_cast<int>(reader.integer("gateThreads", settings.gateThreads, 1, 256));
    settings.defaultSlots = static_cast<int>(reader.integer("defaultSlots", settings.defaultSlots, 1, 1024));
    settings.maxHeaderBytes = ByteCount(static_cast<uint64_t>(
        reader.integer("maxHeaderBytes", static_cast<int64_t>(settings.maxHeaderBytes.value()), 1024, 1024 * 1024)));
    settings.maxDeadline = reader.duration("maxDeadline", settings.maxDeadline, 1ms, 1h);
    settings.keepAliveTimeout = reader.duration("keepAliveTimeout", settings.keepAliveTimeout, 1s, 1h);
    settings.shutdownTimeout = reader.duration("shutdownTimeout", settings.shutdownTimeout, 0s, 10min);
    readLog(reader.value("log"), settings);
    reader.finish();
    return settings;
}

NodeSettings nodeSettingsFromFile(const std::string& path)
{
    const std::string text = readFile(path);
    nlohmann::json json;
    try {
        json = nlohmann::json::parse(text);
    } catch (const nlohmann::json::parse_error& error) {
        throw Error(
            { .step = "read-settings", .message = "settings file " + path + " is not valid JSON: " + error.what() });
    }
    return nodeSettingsFromJson(json);
}

nlohmann::json nodeSettingsToJson(const NodeSettings& settings)
{
    nlohmann::json peers = nlohmann::json::array();
    for (const Endpoint& peer : settings.peers)
        peers.push_back(peer.toString());
    return {
        { "instance", settings.instance.value() },
        { "incarnation", settings.incarnation.value() },
        { "service", settings.service.value() },
        { "zone", settings.zone.value() },
        { "region", settings.region.value() },
        { "callerAddress", settings.callerAddress.toString() },
        { "peerAddress", settings.peerAddress.toString() },
        { "adminAddress", settings.adminAddress.toString() },
        { "backendAddress", settings.backendAddress.toString() },
        { "platformAddress", settings.platformAddress.toString() },
        { "peers", peers },
        { "callerThreads", settings.callerThreads },
        { "gateThreads", settings.gateThreads },
        { "defaultSlots", settings.defaultSlots },
        { "maxHeaderBytes", settings.maxHeaderBytes.value() },
        { "maxDeadline", formatDuration(settings.maxDeadline) },
        { "keepAliveTimeout", formatDuration(settings.keepAliveTimeout) },
        { "shutdownTimeout", formatDuration(settings.shutdownTimeout) },
        { "log",
            { { "level", logLevelName(settings.logLevel) },
                { "format", settings.logFormat == LogFormat::Json ? "json" : "text" } } },
    };
}

} // namespace skylark
