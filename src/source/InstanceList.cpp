#include "source/InstanceList.h"

#include "base/Error.h"

#include <nlohmann/json.hpp>
#include <set>

namespace skylark {

ZoneName zoneOfKey(std::string_view key)
{
    if (!key.starts_with(instancePrefix))
        return ZoneName();
    return ZoneName(std::string(key.substr(instancePrefix.size())));
}

InstanceRecord instanceRecordFromJson(const nlohmann::json& record)
{
    try {
        if (!record.at("incarnation").is_number_unsigned())
            throw Error({ .step = "parse-instance", .message = "\"incarnation\" is not a whole number from 0 up" });
        InstanceRecord result {
            .id = InstanceId(record.at("id").get<std::string>()),
            .incarnation = Incarnation(record.at("incarnation").get<uint64_t>()),
            .peer = Endpoint::fromString(record.at("peer").get<std::string>()),
            .service = ServiceName(record.at("service").get<std::string>()),
            .zone = ZoneName(record.at("zone").get<std::string>()),
            .region = RegionName(record.value("region", std::string())),
            .isLeaving = record.value("leaving", false),
        };
        if (result.id.value().empty() || result.zone.value().empty())
            throw Error({ .step = "parse-instance", .message = "an instance needs an id and a zone" });
        return result;
    } catch (const nlohmann::json::exception& error) {
        throw Error({ .step = "parse-instance", .message = error.what() });
    }
}

nlohmann::json instanceRecordToJson(const InstanceRecord& record)
{
    return {
        { "id", record.id.value() },
        { "incarnation", record.incarnation.value() },
        { "peer", record.peer.toString() },
        { "service", record.service.value() },
        { "zone", record.zone.value() },
        { "region", record.region.value() },
        { "leaving", record.isLeaving },
    };
}

ZoneInstanceList instanceListFromJson(const ZoneName& zone, Revision revision, std::string_view text)
{
    const nlohmann::json document = nlohmann::json::parse(text, nullptr, false);
    const auto refuse = [&](const std::string& message) {
        throw Error({ .step = "parse-instance-list",
            .message = "zone " + zone.value() + ": " + message,
            .advice = "the last good list stays in force; look at the platform's key" });
    };
    if (!document.is_object() || !document.contains("instances") || !document["instances"].is_array())
        refuse("the text is not a JSON object with an array \"instances\"");

    ZoneInstanceList list { .zone = zone, .revision = revision };
    std::set<InstanceId> seen;
    for (const auto& item : document["instances"]) {
        InstanceRecord record = instanceRecordFromJson(item);
        if (record.zone != zone)
            refuse("instance " + record.id.value() + " is of zone " + record.zone.value());
        if (!seen.insert(record.id).second)
            refuse("instance " + record.id.value() + " is listed twice");
        list.instances.push_back(std::move(record));
    }
    return list;
}

std::string instanceListToJson(const ZoneInstanceList& list)
{
    auto instances = nlohmann::json::array();
    for (const InstanceRecord& record : list.instances)
        instances.push_back(instanceRecordToJson(record));
    return nlohmann::json { { "instances", std::move(instances) } }.dump();
}

} // namespace skylark
