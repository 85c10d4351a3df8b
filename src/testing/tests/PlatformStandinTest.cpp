// Tests the stand-in platform, since a fault in it could hide faults of the daemon.
#include "testing/PlatformStandin.h"
#include "base/Error.h"
#include "membership/InstanceListJson.h"

#include <atomic>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace skylark {
namespace {

    using namespace std::chrono_literals;

    const TimePoint start = TimePoint() + 1h;

    InstanceRecord instance(const std::string& id)
    {
        return { .id = InstanceId(id),
            .incarnation = Incarnation(1),
            .peer = { "127.0.0.1", 9001 },
            .service = ServiceName("pitch"),
            .zone = ZoneName("z"),
            .region = RegionName("r") };
    }

    std::vector<std::string> keysAfter(const PlatformStore& store, Revision after)
    {
        std::vector<std::string> keys;
        for (const ChangedKey& change : store.changesAfter("", after))
            keys.push_back(change.key);
        return keys;
    }

    TEST(PlatformStoreTest, ReturnsTheLastChangeOfEachKeyOnce)
    {
        PlatformStore store;
        store.put("a", "1", start);
        store.put("b", "1", start);
        store.put("a", "2", start);
        store.remove("b", start);
        store.remove("never", start);
        EXPECT_EQ(store.revision(), Revision(4));
        EXPECT_EQ(store.changesAfter("", Revision(1)),
            std::vector<ChangedKey>({ { "a", Revision(3) }, { "b", Revision(4), true } }));
        EXPECT_EQ(keysAfter(store, Revision(3)), std::vector<std::string>({ "b" }));
        EXPECT_EQ(keysAfter(store, Revision(0)), std::vector<std::string>({ "a" }));
        EXPECT_THROW(store.put("c", std::string(PlatformStore::maxValueBytes + 1, 'x'), start), Error);
    }

    TEST(PlatformStoreTest, InstanceChangesAppearAfterTheLagInOrder)
    {
        PlatformStore store;
        const std::string key = "skylarkbay/instances/z";
        store.setInstance(instance("a1"), start);
        store.setListLag(10ms);
        store.setInstance(instance("a2"), start);
        store.advance(start + 499ms);
        EXPECT_EQ(store.find(key), nullptr);
        store.advance(start + 500ms);
        ASSERT_NE(store.find(key), nullptr);
        EXPECT_EQ(instanceListFromJson(ZoneName("z"), Revision(1), *store.find(key)->value).instances,
            std::vector<InstanceRecord>({ instance("a1"), instance("a2") }));
        EXPECT_TRUE(store.removeInstance(InstanceId("a1"), start + 1s));
        EXPECT_FALSE(store.removeInstance(InstanceId("a1"), start + 1s));
        store.advance(start + 1010ms);
        EXPECT_EQ(instanceListFromJson(ZoneName("z"), Revision(2), *store.find(key)->value).instances,
            std::vector<InstanceRecord>({ instance("a2") }));
    }

    TEST(PlatformStoreTest, StaleReadersSeeTheStateAtTheTimeOfTheFault)
    {
        PlatformStore store;
        store.put("a", "old", start);
        store.setStale(true);
        store.put("a", "new", start);
        store.setStale(true);
        EXPECT_EQ(*store.find("a")->value, "old");
        EXPECT_EQ(store.revision(), Revision(1));
        EXPECT_TRUE(store.changesAfter("", Revision(1)).empty());
        store.setStale(false);
        EXPECT_EQ(*store.find("a")->value, "new");
        EXPECT_EQ(keysAfter(store, Revision(1)), std::vector<std::string>({ "a" }));
    }

    // A watcher that follows the store's revision must get both notifications, that of the second change first.
    TEST(PlatformStoreTest, CrossUpdatesReversesTwoNotificationsAndLosesNone)
    {
        PlatformStore store;
        store.put("base", "1", start);
        store.setCrossUpdates(true, start);
        store.put("first", "1", start);
        EXPECT_TRUE(store.changesAfter("", Revision(1)).empty());
        EXPECT_NE(store.find("first"), nullptr);
        store.put("second", "1", start);
        EXPECT_EQ(store.changesAfter("", Revision(1)),
            std::vector<ChangedKey>({ { "second", Revision(3) }, { "first", Revision(2) } }));
        EXPECT_EQ(keysAfter(store, Revision(3)), std::vector<std::string>({ "first" }));
        store.put("alone", "1", start);
        store.advance(start + 2s);
        EXPECT_EQ(keysAfter(store, Revision(4)), std::vector<std::string>({ "alone" }));
    }

    TEST(CallMeterTest, LimitsEachSecondAndDropsOldSeconds)
    {
        CallMeter meter(2);
        EXPECT_TRUE(meter.admit("read", start));
        EXPECT_TRUE(meter.admit("watch", start + 900ms));
        EXPECT_FALSE(meter.admit("read", start + 999ms));
        EXPECT_TRUE(meter.admit("read", start + 1s));
        const auto report = meter.report(start + 1s);
        EXPECT_EQ(report["calls"], 4);
        EXPECT_EQ(report["limited"], 1);
        EXPECT_EQ(report["byKind"]["read"], 3);
        EXPECT_EQ(report["peakSecond"], 3);
        EXPECT_EQ(report["bySecond"].size(), 2u);
        EXPECT_EQ(report["bySecond"][0]["age"], 1);
        meter.admit("read", start + 601s);
        EXPECT_EQ(meter.report(start + 601s)["bySecond"].size(), 2u);
    }

    class PlatformStandinTest : public testing::Test {
    protected:
        PlatformStandin m_platform { { .listLag = 0ms } };
        httplib::Client m_client { "127.0.0.1", m_platform.address().port };
    };

    TEST_F(PlatformStandinTest, OperatorsPublishOverHttp)
    {
        EXPECT_EQ(m_client.Put("/publish/skylarkbay/sections/a/1", "text", "text/plain")->status, 200);
        EXPECT_EQ(m_client.Get("/v1/kv/skylarkbay/sections/a/1")->body, "text");
        const std::string largest(PlatformStore::maxValueBytes, 'x');
        EXPECT_EQ(m_client.Put("/publish/large", largest, "text/plain")->status, 200);
        EXPECT_EQ(m_client.Put("/publish/large", largest + "x", "text/plain")->status, 413);
        EXPECT_EQ(m_client.Delete("/publish/large")->status, 200);
        EXPECT_EQ(m_client.Get("/v1/kv/large")->status, 404);
        const std::string record = instanceRecordToJson(instance("a1")).dump();
        EXPECT_EQ(m_client.Post("/instances", record, "application/json")->status, 200);
        EXPECT_EQ(m_client.Post("/instances", "{}", "application/json")->status, 400);
        EXPECT_EQ(m_client.Delete("/instances/none")->status, 404);
        // Waits until the ticker has published the list.
        for (int i = 0; i < 200 && m_client.Get("/v1/kv/skylarkbay/instances/z")->status == 404; ++i)
            std::this_thread::sleep_for(5ms);
        EXPECT_NE(m_client.Get("/v1/kv/skylarkbay/instances/z")->body.find("a1"), std::string::npos);
        EXPECT_EQ(m_client.Get("/v1/watch?prefix=&after=x&waitMs=0")->status, 400);
    }

    TEST_F(PlatformStandinTest, FaultsDelayOrFailCalls)
    {
        m_platform.publish("k", "1");
        EXPECT_EQ(m_client.Post("/fault", R"({"delayMs":120})", "application/json")->status, 200);
        const TimePoint before = std::chrono::steady_clock::now();
        EXPECT_EQ(m_client.Get("/v1/kv/k")->status, 200);
        EXPECT_GE(std::chrono::steady_clock::now() - before, 120ms);
        m_platform.setFaults({ { "isDown", true }, { "delayMs", 0 } });
        EXPECT_EQ(m_client.Get("/v1/kv/k")->status, 503);
        m_platform.setFaults({ { "isDown", false } });
        EXPECT_EQ(m_client.Get("/v1/kv/k")->status, 200);
        EXPECT_EQ(m_client.Post("/fault", R"({"isDwn":true})", "application/json")->status, 400);
    }

    // With the library's listen backlog of 5, part of a burst of connections is lost for a second or more.
    TEST_F(PlatformStandinTest, ServesSeveralHundredWaitingWatches)
    {
        constexpr size_t watcherCount = 300;
        const Revision first = m_platform.publish("k", "1");
        std::atomic<size_t> notifiedCount { 0 };
        std::vector<std::thread> threads;
        for (size_t i = 0; i < watcherCount; ++i) {
            threads.emplace_back([&] {
                PlatformClient client({ .platform = m_platform.address() });
                notifiedCount += client.watch("k", first, 20s).changed.size();
            });
        }
        const TimePoint limit = std::chrono::steady_clock::now() + 15s;
        while (m_platform.stats()["waitingWatches"] < watcherCount && std::chrono::steady_clock::now() < limit)
            std::this_thread::sleep_for(5ms);
        EXPECT_EQ(m_platform.stats()["waitingWatches"], watcherCount);
        m_platform.publish("k", "2");
        for (auto& thread : threads)
            thread.join();
        EXPECT_EQ(notifiedCount, watcherCount);
        EXPECT_EQ(m_platform.stats()["byKind"]["watch"], watcherCount);
    }

} // namespace
} // namespace skylark
