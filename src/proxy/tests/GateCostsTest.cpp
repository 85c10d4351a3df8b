// Tests what a gate learns of the cost of its calls and what it reports.
#include "proxy/BackendGate.h"
#include "proxy/PeerClient.h"
#include "proxy/PeerServer.h"
#include "proxy/ProxySettings.h"
#include "proxy/tests/ProxyFleet.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <unistd.h>

namespace skylark {
namespace {

    using namespace std::chrono_literals;

    class GateCostsTest : public testing::Test {
    protected:
        GateCostsTest()
            : m_server({ "127.0.0.1", 0 }, "first", "work")
        {
            m_server.setWork(50ms);
        }
        GateCall makeCall(uint64_t number, const std::string& route)
        {
            auto request = std::make_shared<HttpRequest>();
            request->method = "POST";
            request->target = "/pay/card";
            request->headers = { { "Host", "x" }, { m_httpConventions.requestId, std::to_string(number) } };
            return { .key = { .sender = Incarnation(9), .stream = StreamId(number) },
                .requestId = RequestId(std::to_string(number)),
                .service = ServiceName("work"),
                .request = std::move(request),
                .deadline = m_loop.now() + 5s,
                .onTimeBy = m_loop.now() + 4s,
                .serverIncarnation = Incarnation(1),
                .route = route };
        }
        void submit(BackendGate& gate, uint64_t number, const std::string& route = "pay")
        {
            gate.submit(makeCall(number, route), [this](const GateReplyPtr& reply) { m_replies.push_back(reply); });
        }
        void runUntilReplies(size_t count)
        {
            Timer check(m_loop, [this, count] {
                if (m_replies.size() >= count)
                    m_loop.stop();
            });
            check.startRepeating(1ms);
            Timer limit(m_loop, [this] { m_loop.stop(); });
            limit.start(5s);
            m_loop.run();
            ASSERT_GE(m_replies.size(), count);
        }
        std::unique_ptr<BackendGate> makeGate(bool isCostAware)
        {
            auto gate = std::make_unique<BackendGate>(m_loop,
                GateOptions { .server = { "127.0.0.1", m_server.port() }, .isCostAware = isCostAware },
                m_httpConventions);
            gate->setServer(ServerRecord {
                .id = InstanceId("first"), .incarnation = Incarnation(1), .service = ServiceName("work"), .slots = 1 });
            return gate;
        }

        SystemClock m_clock;
        EventLoop m_loop { m_clock };
        const HttpConventions m_httpConventions;
        TestServer m_server;
        std::vector<GateReplyPtr> m_replies;
    };

    // Guards against senders that route by a load without the waiting calls, and against work that stays in the sum
    // after its call has ended.
    TEST_F(GateCostsTest, ReportsServiceTimeAndRemainingWork)
    {
        const auto gate = makeGate(true);
        EXPECT_EQ(gate->load().remainingWork, Duration::zero());
        submit(*gate, 1);
        runUntilReplies(1);
        const auto& response = std::get<GateResponse>(*m_replies[0]);
        EXPECT_GE(response.serviceTime, 50ms);
        EXPECT_EQ(response.load.remainingWork, Duration::zero());
        for (uint64_t number = 2; number <= 4; ++number)
            submit(*gate, number);
        EXPECT_GE(gate->load().remainingWork, 140ms);
        EXPECT_LE(gate->load().remainingWork, 3 * response.serviceTime);
        gate->cancel({ .sender = Incarnation(9), .stream = StreamId(4) });
        EXPECT_LE(gate->load().remainingWork, 2 * response.serviceTime);
        runUntilReplies(3);
        EXPECT_EQ(gate->load().remainingWork, Duration::zero());
    }

    // Guards against a changed behaviour of deployments that do not enable the setting.
    TEST_F(GateCostsTest, ReportsNoRemainingWorkUnlessEnabled)
    {
        const auto gate = makeGate(false);
        submit(*gate, 1);
        runUntilReplies(1);
        submit(*gate, 2);
        submit(*gate, 3);
        EXPECT_EQ(gate->load().remainingWork, Duration::zero());
    }

    // Guards against senders that learn no costs and gates that cannot tell routes apart because a field is not carried
    // between nodes.
    TEST_F(GateCostsTest, RouteServiceTimeAndRemainingWorkAreCarriedBetweenNodes)
    {
        const auto gate = makeGate(true);
        const Endpoint address { "127.0.0.1", static_cast<uint16_t>(28000 + getpid() % 1000) };
        PeerServer peerServer(m_loop, { .self = { .incarnation = Incarnation(2) }, .listenAddress = address }, *gate,
            { .onHello = [](const Hello&) {}, .onSourceUpdateRequest = [](const auto&, const auto&) {} });
        PeerClient client(
            m_loop, address, Hello { .incarnation = Incarnation(9) }, PeerClientOptions {}, [](const auto&) {});
        const auto submitToPeer = [&](uint64_t number, const std::string& route) {
            client.submit(makeCall(number, route), [this](const GateReplyPtr& reply) { m_replies.push_back(reply); });
        };
        submitToPeer(1, "pay");
        runUntilReplies(1);
        ASSERT_TRUE(std::holds_alternative<GateResponse>(*m_replies[0]));
        EXPECT_GE(std::get<GateResponse>(*m_replies[0]).serviceTime, 50ms);
        m_server.setWork(150ms);
        for (uint64_t number = 2; number <= 9; ++number)
            submitToPeer(number, "slow");
        runUntilReplies(9);
        EXPECT_GE(std::get<GateResponse>(*m_replies[1]).load.remainingWork, 50ms);
        // Without the route's name on the wire, both routes would have the mean of all responses.
        submit(*gate, 20, "pay");
        const Duration paySum = gate->load().remainingWork;
        submit(*gate, 21, "slow");
        EXPECT_GT(gate->load().remainingWork - paySum, paySum + 10ms);
    }

    TEST(GateCostsSettingsTest, CostAwareRoutingIsOffByDefault)
    {
        nlohmann::json json = { { "instance", "a" }, { "zone", "z" }, { "service", "work" } };
        for (const char* key :
            { "callerAddress", "readyAddress", "peerAddress", "metricsAddress", "serverAddress", "sourceAddress" })
            json[key] = "127.0.0.1:1";
        EXPECT_FALSE(proxySettingsFromJson(json).costAwareRouting);
        json["costAwareRouting"] = true;
        EXPECT_TRUE(proxySettingsFromJson(json).costAwareRouting);
    }

} // namespace
} // namespace skylark
