#include "proxy/ProxySettings.h"

#include "base/Error.h"
#include "base/Settings.h"

namespace skylark {

using namespace std::chrono_literals;

namespace {

    std::map<ZoneName, RegionName> readRegions(SettingsReader& reader)
    {
        std::map<ZoneName, RegionName> regions;
        const nlohmann::json& zones = reader.value("regions");
        if (zones.is_null())
            return regions;
        if (!zones.is_object())
            reader.throwInvalidValue("regions", "an object that maps each zone to the name of its region");
        for (const auto& [zone, region] : zones.items()) {
            if (!region.is_string())
                reader.throwInvalidValue("regions", "an object that maps each zone to the name of its region");
            regions.emplace(ZoneName(zone), RegionName(region.get<std::string>()));
        }
        return regions;
    }

} // namespace

ProxySettings proxySettingsFromJson(const nlohmann::json& json)
{
    constexpr double maxRatio = 10;
    constexpr double maxSlack = 1e6;
    constexpr double maxLogLinesPerSecond = 1e5;
    constexpr double maxLinkMegabits = 1e6;
    constexpr double bitsPerMegabit = 1e6;
    constexpr int64_t bytesPerMegabyte = 1024 * 1024;
    constexpr int64_t minMemoryMegabytes = 16;
    constexpr int64_t maxMemoryMegabytes = 1024 * 1024;
    constexpr int64_t minDescriptors = 64;
    constexpr int64_t maxDescriptors = 1024 * 1024;
    ProxySettings settings;
    SettingsReader reader(json, "");
    settings.instance = reader.text("instance");
    settings.zone = ZoneName(reader.text("zone"));
    settings.regions = readRegions(reader);
    settings.service = ServiceName(reader.text("service"));
    settings.callerAddress = reader.endpoint("callerAddress");
    settings.readyAddress = reader.endpoint("readyAddress");
    settings.peerAddress = reader.endpoint("peerAddress");
    settings.advertisedHost = reader.text("advertisedHost", "");
    settings.metricsAddress = reader.endpoint("metricsAddress");
    settings.serverAddress = reader.endpoint("serverAddress");
    settings.sourceAddress = reader.endpoint("sourceAddress");
    settings.stopGrace = reader.duration("stopGrace", settings.stopGrace, 500ms, 10min);
    settings.drainTime = reader.duration("drainTime", settings.drainTime, 500ms, 10min);
    settings.retryRatio = reader.number("retryRatio", settings.retryRatio, 0, maxRatio);
    settings.retrySlack = reader.number("retrySlack", settings.retrySlack, 0, maxSlack);
    settings.retryWindow = reader.duration("retryWindow", settings.retryWindow, 1s, 10min);
    settings.sourceInterval = reader.duration("sourceInterval", settings.sourceInterval, 10ms, 1min);
    settings.coldOverage = reader.number("coldOverage", settings.coldOverage, 1, maxRatio);
    settings.coldSlack = reader.number("coldSlack", settings.coldSlack, 0, maxSlack);
    const auto defaultMegabytes = static_cast<int64_t>(settings.memoryLimit.value()) / bytesPerMegabyte;
    settings.memoryLimit = ByteCount(static_cast<uint64_t>(
        reader.integer("memoryLimitMb", defaultMegabytes, minMemoryMegabytes, maxMemoryMegabytes) * bytesPerMegabyte));
    settings.descriptorLimit
        = static_cast<int>(reader.integer("descriptorLimit", settings.descriptorLimit, minDescriptors, maxDescriptors));
    settings.linkBitsPerSecond = reader.number("linkMbps", 0, 0, maxLinkMegabits) * bitsPerMegabit;
    settings.costAwareRouting = reader.boolean("costAwareRouting", settings.costAwareRouting);
    settings.logLinesPerSecond
        = reader.number("logLinesPerSecond", settings.logLinesPerSecond, 1, maxLogLinesPerSecond);
    settings.logLevel = logLevelFromName(reader.text("logLevel", "info"));
    reader.finish();
    return settings;
}

ProxySettings proxySettingsFromFile(const std::string& path)
{
    try {
        return proxySettingsFromJson(nlohmann::json::parse(readFile(path)));
    } catch (const nlohmann::json::parse_error& error) {
        throw Error({ .step = "read-settings", .message = path + " is not valid JSON: " + error.what() });
    }
}

} // namespace skylark
