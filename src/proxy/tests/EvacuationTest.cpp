// Tests the evacuation of a zone with complete nodes on loopback.
#include "proxy/tests/ProxyFleet.h"

#include <gtest/gtest.h>
#include <httplib.h>

namespace skylark {
namespace {

    using namespace std::chrono_literals;

    // The bound within which no node sends anything new to an evacuated zone.
    constexpr Duration evacuationBound = 5s;

    // Nodes 0 and 1 are in zone "a", nodes 2 and 3 in zone "b".
    class EvacuationTest : public testing::Test {
    protected:
        void SetUp() override { ASSERT_TRUE(fleet.waitUntilReady()); }

        // Waits until the state page of the node shows, or no longer shows, evacuated zones.
        bool waitUntil(size_t node, bool isEvacuated)
        {
            const auto giveUpAt = std::chrono::steady_clock::now() + evacuationBound;
            httplib::Client client(fleet.adminAddress(node).host, fleet.adminAddress(node).port);
            while (std::chrono::steady_clock::now() < giveUpAt) {
                const auto state = client.Get("/state");
                if (state && (state->body.find("\"evacuations\": []") == std::string::npos) == isEvacuated)
                    return true;
                std::this_thread::sleep_for(20ms);
            }
            return false;
        }
        bool waitUntilAll(bool isEvacuated)
        {
            for (size_t node = 0; node < nodes; ++node) {
                if (!waitUntil(node, isEvacuated))
                    return false;
            }
            return true;
        }
        size_t runsIn(size_t first, size_t second)
        {
            return fleet.server(first).executions().size() + fleet.server(second).executions().size();
        }
        void sendToAllNodes(const std::string& name)
        {
            for (size_t i = 0; i < 40; ++i) {
                const bool isRead = i % 8 < 4;
                EXPECT_EQ(sendRequest(fleet.callerAddress(i % nodes), name + std::to_string(i),
                              isRead ? "/read/x" : "/pay/x", isRead ? "" : "fee")
                              .status,
                    200)
                    << name << i;
            }
        }

        static constexpr size_t nodes = 4;
        static const Clock& clock()
        {
            static const SystemClock systemClock;
            return systemClock;
        }
        ProxyFleet fleet { nodes, clock(), {}, PeerPath::Direct, { "a", "a", "b", "b" } };
    };

    // Guards against new requests to a server of an evacuated zone, and against nodes of the zone that refuse their
    // callers.
    TEST_F(EvacuationTest, EvacuatedZoneGetsNoRequestsUntilTheEvacuationEnds)
    {
        fleet.evacuate("a");
        ASSERT_TRUE(waitUntilAll(true));
        const size_t runsBefore = runsIn(0, 1);
        sendToAllNodes("away-");
        EXPECT_EQ(runsIn(0, 1), runsBefore);
        fleet.endEvacuation("a");
        ASSERT_TRUE(waitUntilAll(false));
        sendToAllNodes("back-");
        EXPECT_GT(runsIn(0, 1), runsBefore);
    }

    // Guards against a request that is cut off, or run again elsewhere, by an evacuation.
    TEST_F(EvacuationTest, RunningRequestCompletes)
    {
        for (size_t node = 0; node < nodes; ++node)
            fleet.server(node).setWork(700ms);
        TestResponse response;
        std::thread caller([&] { response = sendRequest(fleet.callerAddress(0), "running", "/pay/x", "fee"); });
        while (fleet.server(0).runningCount() + fleet.server(1).runningCount() + fleet.server(2).runningCount()
                + fleet.server(3).runningCount()
            == 0)
            std::this_thread::sleep_for(5ms);
        fleet.evacuate("a");
        fleet.evacuate("b");
        caller.join();
        EXPECT_EQ(response.status, 200);
        EXPECT_EQ(runsIn(0, 1) + runsIn(2, 3), 1u);
    }

    // Guards against requests that wait for their deadline although no server may run them.
    TEST_F(EvacuationTest, RequestsAreRefusedAtOnceWhenAllServersAreEvacuated)
    {
        fleet.evacuate("a");
        fleet.evacuate("b");
        ASSERT_TRUE(waitUntilAll(true));
        std::this_thread::sleep_for(500ms);
        const auto startedAt = std::chrono::steady_clock::now();
        for (size_t node = 0; node < nodes; ++node) {
            const TestResponse response = sendRequest(fleet.callerAddress(node), "none", "/pay/x", "fee");
            EXPECT_EQ(response.status, 503);
            EXPECT_FALSE(response.retryAfter.empty());
        }
        EXPECT_LT(std::chrono::steady_clock::now() - startedAt, 2s);
        EXPECT_EQ(runsIn(0, 1) + runsIn(2, 3), 0u);
    }

    // Guards against a node that has lost the source and does not know of an evacuation that its peers know.
    TEST_F(EvacuationTest, NodeWithoutTheSourceLearnsFromItsPeers)
    {
        fleet.setSourceFailing(0, true);
        fleet.evacuate("b");
        EXPECT_TRUE(waitUntil(0, true));
        fleet.endEvacuation("b");
        EXPECT_TRUE(waitUntil(0, false));
    }

    // Guards against the first requests of a node that starts while a zone is evacuated.
    TEST_F(EvacuationTest, StartingNodeKnowsTheEvacuationBeforeItsFirstRequest)
    {
        fleet.evacuate("b");
        ASSERT_TRUE(waitUntilAll(true));
        const size_t runsBefore = runsIn(2, 3);
        fleet.stopNode(0);
        fleet.startNode(0);
        ASSERT_TRUE(fleet.waitUntilReady());
        for (int i = 0; i < 20; ++i)
            EXPECT_EQ(sendRequest(fleet.callerAddress(0), "first-" + std::to_string(i), "/read/x").status, 200);
        EXPECT_EQ(runsIn(2, 3), runsBefore);
    }

    // Guards against nodes that lose servers, an evacuation or a configuration version with the restore of the store.
    TEST_F(EvacuationTest, RestoreOfTheStoreFromACopyLosesNothingThatIsWrittenAgain)
    {
        fleet.store().takeCopy();
        fleet.configure(2, 1000);
        for (size_t node = 0; node < nodes; ++node)
            fleet.putServerEntry(node, false, 1, 7);
        fleet.evacuate("b");
        ASSERT_TRUE(waitUntilAll(true));
        const size_t runsBefore = runsIn(2, 3);
        fleet.store().restore();
        sendToAllNodes("restored-");
        for (size_t node = 0; node < nodes; ++node)
            fleet.putServerEntry(node, false, 1, 8);
        std::this_thread::sleep_for(500ms);
        fleet.evacuate("b");
        std::this_thread::sleep_for(4s);
        sendToAllNodes("written-again-");
        EXPECT_EQ(runsIn(2, 3), runsBefore);
        for (size_t node = 0; node < nodes; ++node) {
            httplib::Client client(fleet.adminAddress(node).host, fleet.adminAddress(node).port);
            const auto state = client.Get("/state");
            ASSERT_TRUE(state);
            EXPECT_NE(state->body.find("\"sourceEra\": 1"), std::string::npos);
            EXPECT_NE(state->body.find("\"version\": 2"), std::string::npos);
        }
    }

    TEST_F(EvacuationTest, EvacuationThatTheCopyLacksEndsIfItIsNotWrittenAgain)
    {
        fleet.store().takeCopy();
        fleet.evacuate("b");
        ASSERT_TRUE(waitUntilAll(true));
        fleet.store().restore();
        std::this_thread::sleep_for(2s);
        EXPECT_TRUE(waitUntilAll(true)) << "kept for 4 s after the listing";
        EXPECT_TRUE(waitUntilAll(false));
    }

} // namespace
} // namespace skylark
