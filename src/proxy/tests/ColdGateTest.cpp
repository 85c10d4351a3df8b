// Tests a gate whose backend server is cold, on one event loop.
#include "proxy/BackendGate.h"
#include "proxy/tests/ProxyFleet.h"

#include <future>
#include <gtest/gtest.h>
#include <httplib.h>

namespace skylark {
namespace {

    using namespace std::chrono_literals;

    constexpr double rate = 10;

    class ColdGateTest : public testing::Test {
    protected:
        ColdGateTest()
            : server({ "127.0.0.1", 0 }, "first", "work")
            , gate(loop, { .server = { "127.0.0.1", server.port() } }, httpConventions)
        {
            server.setWork(1ms);
            gate.setServer(record(1, 1));
        }
        static ServerRecord record(uint64_t incarnation, uint64_t heartbeat, Duration cold = {})
        {
            return { .id = InstanceId("first"),
                .incarnation = Incarnation(incarnation),
                .heartbeat = HeartbeatNumber(heartbeat),
                .service = ServiceName("work"),
                .slots = 4,
                .remainingSlowStart = cold };
        }
        void setPolicy() { gate.setColdPolicy({ .requestsPerSecond = rate, .coldStart = 10s }); }
        // The entry is known to be current long after the start of the process.
        void makeWarm() { gate.confirmServer(loop.now() + 10s); }
        void submit(uint64_t number, int rank = 0, Duration onTime = 50ms)
        {
            auto request = std::make_shared<HttpRequest>();
            request->method = "POST";
            request->target = "/pay/" + std::to_string(number);
            request->headers = { { "Host", "x" }, { httpConventions.requestId, std::to_string(number) } };
            gate.submit({ .key = { .sender = Incarnation(number), .stream = StreamId(number) },
                            .requestId = RequestId(std::to_string(number)),
                            .service = ServiceName("work"),
                            .request = std::move(request),
                            .rank = rank,
                            .deadline = loop.now() + onTime,
                            .onTimeBy = loop.now() + onTime,
                            .serverIncarnation = Incarnation(1) },
                [this, number](const GateReplyPtr& reply) { replies.emplace(number, reply); });
        }
        void submitMany(uint64_t first, uint64_t last)
        {
            for (uint64_t number = first; number <= last; ++number)
                submit(number);
        }
        void runFor(Duration time)
        {
            Timer timer(loop, [this] { loop.stop(); });
            timer.start(time);
            loop.run();
        }
        const GateRefusal* refusal(uint64_t number)
        {
            const auto found = replies.find(number);
            return found == replies.end() ? nullptr : std::get_if<GateRefusal>(found->second.get());
        }

        SystemClock clock;
        EventLoop loop { clock };
        const HttpConventions httpConventions;
        TestServer server;
        BackendGate gate;
        std::map<uint64_t, GateReplyPtr> replies;
    };

    // Guards against a server that crashes because its gate sends all requests that a warm server would take.
    TEST_F(ColdGateTest, StartedGateSendsOnlyWhatAColdServerBears)
    {
        setPolicy();
        EXPECT_EQ(gate.coldCause(), ColdCause::ProcessStarted);
        submitMany(1, 40);
        runFor(300ms);
        EXPECT_LE(server.executions().size(), 4u);
        EXPECT_GE(gate.counters().refusedCold, 30u);
        ASSERT_NE(refusal(40), nullptr);
        EXPECT_EQ(refusal(40)->outcome, CallOutcome::NotRun);
        EXPECT_GT(refusal(40)->load.requestDelay, Duration(0));
    }

    TEST_F(ColdGateTest, WithoutAColdRateNothingChanges)
    {
        gate.setColdPolicy({});
        for (uint64_t number = 1; number <= 40; ++number) {
            submit(number);
            runFor(5ms);
        }
        EXPECT_EQ(server.executions().size(), 40u);
        EXPECT_FALSE(gate.isServerCold());
    }

    // Guards against a more urgent call that is refused because a less urgent one came first.
    TEST_F(ColdGateTest, UrgentCallDisplacesAWaitingOne)
    {
        setPolicy();
        submit(1, 2, 180ms);
        submit(2, 0, 180ms);
        runFor(250ms);
        EXPECT_EQ(server.executions().count("2"), 1u);
        EXPECT_EQ(server.executions().count("1"), 0u);
        ASSERT_NE(refusal(1), nullptr);
        EXPECT_EQ(refusal(1)->outcome, CallOutcome::NotRun);
    }

    TEST_F(ColdGateTest, EntryMakesAWarmServerColdAndWarmAgain)
    {
        setPolicy();
        makeWarm();
        EXPECT_FALSE(gate.isServerCold());
        gate.setServer(record(1, 2, 2s));
        EXPECT_EQ(gate.coldCause(), ColdCause::Entry);
        gate.setServer(record(1, 3));
        EXPECT_FALSE(gate.isServerCold());
        gate.setServer(record(2, 1));
        EXPECT_EQ(gate.coldCause(), ColdCause::ServerStarted);
    }

    TEST_F(ColdGateTest, EndOfAnEvacuationMakesTheServerCold)
    {
        setPolicy();
        makeWarm();
        gate.setEvacuated(true);
        gate.setEvacuated(false);
        EXPECT_EQ(gate.coldCause(), ColdCause::EvacuationEnded);
    }

    // Guards against a burst to a server that has just come back, before its entry says so.
    TEST_F(ColdGateTest, ServerThatEndsAllConnectionsIsCold)
    {
        setPolicy();
        makeWarm();
        submit(1);
        runFor(40ms);
        server.setFault(ServerFault::DropResponse);
        submit(2);
        runFor(40ms);
        server.setFault(ServerFault::None);
        EXPECT_EQ(gate.coldCause(), ColdCause::ConnectionsLost);
        submitMany(3, 40);
        runFor(200ms);
        EXPECT_LE(server.executions().size(), 6u);
    }

    TEST_F(ColdGateTest, LeavingServerRefusesTheCallsThatWait)
    {
        setPolicy();
        submit(1, 0, 500ms);
        EXPECT_EQ(gate.waitingForTurn(), 1u);
        ServerRecord leaving = record(1, 2);
        leaving.isDraining = true;
        gate.setServer(leaving);
        EXPECT_EQ(gate.waitingForTurn(), 0u);
        ASSERT_NE(refusal(1), nullptr);
        runFor(200ms);
        EXPECT_TRUE(server.executions().empty());
    }

    TEST_F(ColdGateTest, CallWhoseCallerLeavesDoesNotRun)
    {
        setPolicy();
        submit(1, 0, 500ms);
        gate.cancel({ .sender = Incarnation(1), .stream = StreamId(1) });
        EXPECT_EQ(gate.waitingForTurn(), 0u);
        runFor(200ms);
        EXPECT_TRUE(server.executions().empty());
        EXPECT_TRUE(gate.isIdle());
    }

    std::vector<TestResponse> sendAtOnce(const ProxyFleet& fleet, const std::string& prefix, int count)
    {
        std::vector<std::future<TestResponse>> futures;
        for (int i = 0; i < count; ++i) {
            const std::string id = prefix + std::to_string(i);
            futures.push_back(std::async(std::launch::async, [&fleet, id, i] {
                return sendRequest(fleet.callerAddress(static_cast<size_t>(i % 2)), id, "/read/" + id, "", 400);
            }));
        }
        std::vector<TestResponse> responses;
        for (auto& future : futures)
            responses.push_back(future.get());
        return responses;
    }

    bool isShownCold(const ProxyFleet& fleet, size_t index)
    {
        const Endpoint address = fleet.adminAddress(index);
        httplib::Client client(address.host, address.port);
        const auto response = client.Get("/state");
        return response && response->body.find("\"coldCause\": \"none\"") == std::string::npos;
    }

    bool waitUntilShown(const ProxyFleet& fleet, bool isCold)
    {
        for (int i = 0; i < 100; ++i) {
            if (isShownCold(fleet, 0) == isCold && isShownCold(fleet, 1) == isCold)
                return true;
            std::this_thread::sleep_for(50ms);
        }
        return false;
    }

    // Guards against nodes that do not pass the rate, the entry and its heartbeats on to the gate, be it as the reader
    // of the source or as its follower.
    TEST(ColdNodeTest, NodesLimitColdServersUntilTheirEntriesSayThatTheyAreWarm)
    {
        constexpr int count = 60;
        ProxyFleet fleet(2);
        ASSERT_TRUE(fleet.waitUntilReady());
        fleet.configure(2, 2000, rate);
        for (size_t index = 0; index < 2; ++index)
            fleet.putHeartbeat(index, 1, 10s);
        ASSERT_TRUE(waitUntilShown(fleet, true));
        for (const TestResponse& response : sendAtOnce(fleet, "cold", count)) {
            if (response.status != 200) {
                EXPECT_EQ(response.status, 503);
                EXPECT_NE(response.retryAfter, "");
            }
        }
        for (size_t index = 0; index < 2; ++index)
            EXPECT_LE(fleet.server(index).executions().size(), 1.5 * rate + 8);
        for (size_t index = 0; index < 2; ++index)
            fleet.putHeartbeat(index, 2, 0s);
        ASSERT_TRUE(waitUntilShown(fleet, false));
        std::this_thread::sleep_for(1s);
        int answered = 0;
        for (const TestResponse& response : sendAtOnce(fleet, "warm", count))
            answered += response.status == 200 ? 1 : 0;
        EXPECT_EQ(answered, count);
    }

} // namespace
} // namespace skylark
