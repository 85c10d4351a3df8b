#include "membership/InstanceListJson.h"

#include "base/Error.h"
#include "base/Settings.h"

#include <absl/container/btree_set.h>
#include <nlohmann/json.hpp>

namespace skylark {

namespace {

    constexpr const char* step = "read-instance-list";
    // A list has at most 1 MiB (maxListBytes), of which an entry takes at least 60 bytes.
    constexpr size_t maxInstancesPerZone = 16384;
    constexpr size_t maxListBytes = 1 << 20;
    constexpr int64_t maxInteger = std::numeric_limits<int64_t>::max();

    [[noreturn]] void refuse(const ZoneName& zone, const std::string& message)
    {
        throw Error({ .step = step,
            .message = "instance list of zone \"" + zone.value() + "\": " + message,
            .advice = "the earlier list stays in use; correct the list that the platform publishes" });
    }

    nlohmann::json parse(const ZoneName& zone, std::string_view text)
    {
        if (text.size() > maxListBytes)
            refuse(zone, "the list has " + std::to_string(text.size()) + " bytes; at most 1 MiB is allowed");
        std::vector<absl::btree_set<std::string>> keys;
        const auto refuseDuplicates = [&](int, nlohmann::json::parse_event_t event, nlohmann::json& value) {
            if (event == nlohmann::json::parse_event_t::object_start)
                keys.emplace_back();
            else if (event == nlohmann::json::parse_event_t::object_end)
                keys.pop_back();
            else if (event == nlohmann::json::parse_event_t::key
                && !keys.back().insert(value.get<std::string>()).second)
                refuse(zone, "the key \"" + value.get<std::string>() + "\" occurs twice in one object");
            return true;
        };
        try {
            return nlohmann::json::parse(text, refuseDuplicates);
        } catch (const nlohmann::json::exception& exception) {
            refuse(zone, exception.what());
        }
    }

    InstanceRecord readRecord(const nlohmann::json& value, const std::string& pointer)
    {
        SettingsReader reader(value, pointer);
        InstanceRecord record;
        record.id = InstanceId(reader.text("id"));
        record.incarnation
            = Incarnation(static_cast<uint64_t>(reader.integer("incarnation", std::nullopt, 0, maxInteger)));
        record.peer = reader.endpoint("peer");
        record.service = ServiceName(reader.text("service"));
        record.zone = ZoneName(reader.text("zone"));
        record.region = RegionName(reader.text("region"));
        record.isLeaving = reader.boolean("leaving", false);
        reader.finish();
        if (record.id.value().empty())
            reader.throwInvalidValue("id", "a name that is not empty");
        return record;
    }

} // namespace

InstanceRecord instanceRecordFromJson(const nlohmann::json& record) { return readRecord(record, ""); }

nlohmann::json instanceRecordToJson(const InstanceRecord& record)
{
    return { { "id", record.id.value() }, { "incarnation", record.incarnation.value() },
        { "peer", record.peer.toString() }, { "service", record.service.value() }, { "zone", record.zone.value() },
        { "region", record.region.value() }, { "leaving", record.isLeaving } };
}

ZoneInstanceList instanceListFromJson(const ZoneName& zone, Revision revision, std::string_view text)
{
    const nlohmann::json json = parse(zone, text);
    SettingsReader reader(json, "");
    const auto maxRevision = static_cast<int64_t>(std::min<uint64_t>(revision.value(), maxInteger));
    reader.integer("revision", 0, 0, maxRevision);
    const nlohmann::json& instances = reader.value("instances");
    reader.finish();
    if (!instances.is_array() || instances.size() > maxInstancesPerZone)
        reader.throwInvalidValue(
            "instances", "an array of at most " + std::to_string(maxInstancesPerZone) + " instances");
    ZoneInstanceList list { .zone = zone, .revision = revision };
    list.instances.reserve(instances.size());
    absl::btree_set<std::string> ids;
    for (size_t index = 0; index < instances.size(); ++index) {
        const std::string pointer = "/instances/" + std::to_string(index);
        list.instances.push_back(readRecord(instances[index], pointer));
        if (list.instances.back().zone != zone)
            SettingsReader(instances[index], pointer)
                .throwInvalidValue("zone", "the zone of the list, \"" + zone.value() + "\"");
        if (!ids.insert(list.instances.back().id.value()).second)
            refuse(zone, "the instance id \"" + list.instances.back().id.value() + "\" occurs twice");
    }
    return list;
}

std::string instanceListToJson(const ZoneInstanceList& list)
{
    nlohmann::json instances = nlohmann::json::array();
    for (const InstanceRecord& record : list.instances)
        instances.push_back(instanceRecordToJson(record));
    return nlohmann::json { { "revision", list.revision.value() }, { "instances", instances } }.dump();
}

} // namespace skylark
