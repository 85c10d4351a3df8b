// Tests that invalid settings are rejected with an error that names the key and the reason.
#include "node/NodeSettings.h"
#include "base/Error.h"

#include <gtest/gtest.h>

namespace skylark {
namespace {

    TEST(NodeSettingsTest, DefaultsRoundTrip)
    {
        const nlohmann::json json = nodeSettingsToJson({});
        EXPECT_EQ(nodeSettingsToJson(nodeSettingsFromJson(json)), json);
    }

    TEST(NodeSettingsTest, InvalidValuesAreRejectedWithTheirPath)
    {
        const auto expectRejected = [](const char* key, const nlohmann::json& value, const std::string& expectedText) {
            nlohmann::json json = nodeSettingsToJson({});
            json[key] = value;
            try {
                nodeSettingsFromJson(json);
                FAIL() << key << " was accepted";
            } catch (const Error& error) {
                EXPECT_NE(std::string(error.what()).find(expectedText), std::string::npos) << error.what();
            }
        };
        expectRejected("instance", "", "/instance");
        expectRejected("callerAddress", "here", "/callerAddress");
        expectRejected("callerThreads", 0, "/callerThreads");
        expectRejected("shutdownTimeout", 30, "/shutdownTimeout");
        expectRejected("peers", "127.0.0.1:1", "/peers");
        expectRejected("log", nlohmann::json { { "level", "loud" } }, "loud");
        expectRejected("callerAdress", "127.0.0.1:1", "did you mean \"callerAddress\"?");
    }

    TEST(NodeSettingsTest, UnrelatedFilesAreRejected)
    {
        EXPECT_THROW(nodeSettingsFromFile("/nonexistent/settings.json"), Error);
        EXPECT_THROW(nodeSettingsFromJson(nlohmann::json::parse(R"({"ranks": []})")), Error);
        EXPECT_THROW(nodeSettingsFromJson(nlohmann::json::array()), Error);
    }

} // namespace
} // namespace skylark
