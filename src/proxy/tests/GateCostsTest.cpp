// Tests what a gate learns of the cost of its calls and what it reports.
#include "proxy/BackendGate.h"
#include "proxy/ProxySettings.h"
#include "proxy/tests/ProxyFleet.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

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
        void submit(BackendGate& gate, uint64_t number)
        {
            auto request = std::make_shared<HttpRequest>();
            request->method = "POST";
            request->target = "/pay/card";
            request->headers = { { "Host", "x" }, { m_httpConventions.requestId, std::to_string(number) } };
            gate.submit({ .key = { .sender = Incarnation(9), .stream = StreamId(number) },
                            .requestId = RequestId(std::to_string(number)),
                            .service = ServiceName("work"),
                            .route = "pay",
                            .request = std::move(request),
                            .deadline = m_loop.now() + 5s,
                            .onTimeBy = m_loop.now() + 4s,
                            .serverIncarnation = Incarnation(1) },
                [this](const GateReplyPtr& reply) { m_replies.push_back(reply); });
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
