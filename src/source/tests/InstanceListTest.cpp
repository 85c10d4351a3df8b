// Guards that a faulty instance list is refused as a whole and a good one keeps every field.
#include "source/InstanceList.h"
#include "base/Error.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace skylark {
namespace {

    InstanceRecord record(const std::string& id, const std::string& zone)
    {
        return { .id = InstanceId(id),
            .incarnation = Incarnation(7),
            .peer = { "127.0.0.1", 9001 },
            .service = ServiceName("pitch"),
            .zone = ZoneName(zone),
            .region = RegionName("region-1"),
            .isLeaving = true };
    }

    TEST(InstanceListTest, KeepsEveryField)
    {
        const ZoneInstanceList list { ZoneName("z"), Revision(3), { record("a1", "z"), record("a2", "z") } };
        EXPECT_EQ(instanceListFromJson(list.zone, list.revision, instanceListToJson(list)), list);
    }

    TEST(InstanceListTest, RefusesAListWithAFaultyRecord)
    {
        const auto refused = [](const std::vector<InstanceRecord>& instances) {
            const std::string text = instanceListToJson({ ZoneName("z"), Revision(1), instances });
            EXPECT_THROW(instanceListFromJson(ZoneName("z"), Revision(1), text), Error) << text;
        };
        refused({ record("a1", "z"), record("a1", "z") });
        refused({ record("a1", "other") });
        refused({ record("", "z") });
        for (const char* text : { "", "[]", "{}", R"({"instances":{}})", R"({"instances":[1]})",
                 R"({"instances":[{"id":"a","incarnation":-1,"peer":"127.0.0.1:1","service":"s","zone":"z"}]})",
                 R"({"instances":[{"id":"a","incarnation":1,"peer":"127.0.0.1","service":"s","zone":"z"}]})" })
            EXPECT_THROW(instanceListFromJson(ZoneName("z"), Revision(1), text), Error) << text;
    }

    TEST(InstanceListTest, FindsTheZoneInAKey)
    {
        EXPECT_EQ(zoneOfKey("skylarkbay/instances/zone-a"), ZoneName("zone-a"));
        EXPECT_EQ(zoneOfKey("skylarkbay/manifest"), ZoneName());
    }

} // namespace
} // namespace skylark
