#include "membership/InstanceListJson.h"

#include "base/Error.h"

#include <gtest/gtest.h>

namespace skylark {
namespace {

    const ZoneName zone("zone-a");
    const std::string entry = R"({"id": "n1", "incarnation": 3, "peer": "127.0.0.1:7001", "service": "pitch",
        "zone": "zone-a", "region": "region-1", "leaving": true})";

    TEST(InstanceListJsonTest, RoundTrips)
    {
        const ZoneInstanceList list
            = instanceListFromJson(zone, Revision(9), R"({"revision": 7, "instances": [)" + entry + "]}");
        ASSERT_EQ(list.instances.size(), 1U);
        EXPECT_EQ(list.revision, Revision(9));
        EXPECT_EQ(list.instances[0].incarnation, Incarnation(3));
        EXPECT_TRUE(list.instances[0].isLeaving);
        EXPECT_EQ(instanceListFromJson(zone, Revision(9), instanceListToJson(list)), list);
    }

    // Guards against partially read lists: each error rejects the whole list and names its location.
    TEST(InstanceListJsonTest, RejectsInvalidListsAndNamesTheError)
    {
        const auto listWithReplacement = [&](const std::string& from, const std::string& to) {
            std::string text = entry;
            text.replace(text.find(from), from.size(), to);
            return R"({"instances": [)" + text + "]}";
        };
        const std::vector<std::pair<std::string, std::string>> cases {
            { R"({"instances": [)" + entry + "," + entry + "]}", "twice" },
            { listWithReplacement("\"leaving\"", "\"leaves\""), "leaves" },
            { listWithReplacement("127.0.0.1:7001", "127.0.0.1"), "/instances/0/peer" },
            { listWithReplacement("zone-a", "zone-b"), "/instances/0/zone" },
            { listWithReplacement("\"n1\"", "\"\""), "/instances/0/id" },
            { listWithReplacement("3", "-3"), "/instances/0/incarnation" },
            { listWithReplacement("\"service\": \"pitch\"", "\"service\": 1"), "/instances/0/service" },
            { listWithReplacement("\"service\": \"pitch\"", "\"id\": \"n2\""), "twice in one object" },
            { R"({"revision": 10, "instances": []})", "/revision" },
            { R"({"instances": {}})", "/instances" },
            { R"({"instances": [)" + entry, "parse error" },
            { "[]", "not a JSON object" },
        };
        for (const auto& [text, expected] : cases) {
            try {
                instanceListFromJson(zone, Revision(9), text);
                ADD_FAILURE() << "accepted " << text;
            } catch (const Error& error) {
                EXPECT_NE(std::string(error.what()).find(expected), std::string::npos) << error.what();
            }
        }
    }

} // namespace
} // namespace skylark
