// Tests a gate whose instance has a link that cannot carry all responses.
#include "proxy/BackendGate.h"
#include "proxy/tests/ProxyFleet.h"

#include <gtest/gtest.h>
#include <httplib.h>

namespace skylark {
namespace {

    using namespace std::chrono_literals;

    constexpr size_t responseBytes = 20000;
    // 125 bytes per millisecond.
    constexpr double linkBits = 1e6;

    class LinkRefusalTest : public testing::Test {
    protected:
        LinkRefusalTest()
            : server({ "127.0.0.1", 0 }, "first", "work")
            , gate(loop, { .server = { "127.0.0.1", server.port() }, .link = &link }, httpConventions)
        {
            server.setExtraHeaders({ { "X-Fill", std::string(responseBytes, 'x') } });
            gate.setServer(ServerRecord {
                .id = InstanceId("first"), .incarnation = Incarnation(1), .service = ServiceName("work"), .slots = 4 });
        }
        void submit(uint64_t number, const char* route, bool isFromPeer, Duration target = 200ms)
        {
            auto request = std::make_shared<HttpRequest>();
            request->method = "GET";
            request->target = "/data/" + std::to_string(number);
            request->headers = { { "Host", "x" }, { httpConventions.requestId, std::to_string(number) } };
            gate.submit({ .key = { .sender = Incarnation(9), .stream = StreamId(number) },
                            .requestId = RequestId(std::to_string(number)),
                            .service = ServiceName("work"),
                            .request = std::move(request),
                            .deadline = loop.now() + 1s,
                            .onTimeBy = loop.now() + target,
                            .isIdempotent = true,
                            .route = route,
                            .isFromPeer = isFromPeer },
                [this, number](const GateReplyPtr& reply) { replies.emplace(number, reply); });
        }
        void runFor(Duration time)
        {
            Timer timer(loop, [this] { loop.stop(); });
            timer.start(time);
            loop.run();
        }
        bool isAnswered(uint64_t number)
        {
            const auto found = replies.find(number);
            return found != replies.end() && std::holds_alternative<GateResponse>(*found->second);
        }

        SystemClock clock;
        EventLoop loop { clock };
        const HttpConventions httpConventions;
        LinkBudget link { linkBits };
        TestServer server;
        BackendGate gate;
        std::map<uint64_t, GateReplyPtr> replies;
    };

    // Guards against calls that run although their responses cannot leave the instance in time.
    TEST_F(LinkRefusalTest, CallWhoseResponseWouldBeLateIsRefusedAsNotRun)
    {
        submit(1, "download", true);
        runFor(100ms);
        ASSERT_TRUE(isAnswered(1));
        EXPECT_GT(link.expectedBytes("download"), responseBytes);
        link.recordQueued(100000, 100000, loop.now());
        submit(2, "download", true);
        ASSERT_TRUE(replies.contains(2));
        const auto& refusal = std::get<GateRefusal>(*replies.at(2));
        EXPECT_EQ(refusal.outcome, CallOutcome::NotRun);
        EXPECT_EQ(refusal.step, "gate");
        EXPECT_EQ(gate.counters().refusedByLink, 1u);
        EXPECT_TRUE(server.executions().count("2") == 0);
        // The sender compares instances by the hint. A pause would also keep calls with small responses away.
        EXPECT_LT(refusal.load.limit, 4u);
        EXPECT_GT(refusal.load.limit, 0u);
        EXPECT_GT(refusal.load.queued, 0u);
        EXPECT_EQ(refusal.load.requestDelay, Duration::zero());
    }

    TEST_F(LinkRefusalTest, OtherCallsRunWhileTheLinkIsFull)
    {
        submit(1, "download", true);
        runFor(100ms);
        link.recordQueued(100000, 100000, loop.now());
        // A caller on this instance does not use the link, and nothing is known of the last route's responses.
        submit(2, "download", false);
        submit(3, "alert", true);
        runFor(100ms);
        ASSERT_TRUE(isAnswered(2));
        EXPECT_TRUE(isAnswered(3));
        submit(4, "download", true);
        EXPECT_FALSE(isAnswered(4));
        // Guards against a node that avoids its own server because of a link that its own calls do not use.
        submit(5, "download", false);
        runFor(100ms);
        ASSERT_TRUE(isAnswered(5));
        EXPECT_EQ(std::get<GateResponse>(*replies.at(5)).load.limit, 4u);
    }

    // Guards against reservations that are never released: the gate would refuse calls on an idle link.
    TEST_F(LinkRefusalTest, ReservationsEndWithTheirCalls)
    {
        submit(1, "download", true);
        runFor(100ms);
        server.setWork(300ms);
        submit(2, "download", true, 900ms);
        EXPECT_GT(link.reservedBytes(), responseBytes);
        runFor(20ms);
        gate.cancel({ .sender = Incarnation(9), .stream = StreamId(2) });
        EXPECT_EQ(link.reservedBytes(), 0u);
        submit(3, "download", true, 900ms);
        runFor(20ms);
        server.setFault(ServerFault::DropResponse);
        runFor(500ms);
        EXPECT_TRUE(replies.contains(3));
        gate.drain();
        submit(4, "download", true);
        EXPECT_EQ(link.reservedBytes(), 0u);
    }

    // Guards against callers that get the refusal of a node with a full link although other nodes have room, and
    // against a refusal that counts as a fault of the server.
    TEST(LinkFleetTest, RefusedCallsRunAtOtherInstances)
    {
        ProxyFleet fleet(3);
        ASSERT_TRUE(fleet.waitUntilReady());
        constexpr size_t slowNode = 1;
        fleet.stopNode(slowNode);
        fleet.setLink(linkBits);
        fleet.startNode(slowNode);
        ASSERT_TRUE(fleet.waitUntilReady());
        // The server returns the body, which takes the link 0.8 s.
        const std::string body(100000, 'x');
        for (int i = 0; i < 60; ++i) {
            const std::string id = "r" + std::to_string(i);
            const TestResponse response
                = sendRequest(fleet.callerAddress(i % 2 == 0 ? 0 : 2), id, "/pay/" + id, body, 700);
            EXPECT_EQ(response.status, 200) << response.body;
        }
        EXPECT_GT(stateValue(fleet.adminAddress(slowNode), "link_refused"), 0);
        EXPECT_GT(stateValue(fleet.adminAddress(slowNode), "link_use"), 0);
        EXPECT_GE(stateValue(fleet.adminAddress(slowNode), "link_waiting_bytes"), 0);
        EXPECT_EQ(stateValue(fleet.adminAddress(0), "link_refused"), 0);
        EXPECT_EQ(sendRequest(fleet.callerAddress(slowNode), "own", "/pay/own", body).status, 200);
    }

} // namespace
} // namespace skylark
