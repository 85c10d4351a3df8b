// Tests a gate and its backend server on one event loop: queued calls while the server changes.
#include "proxy/BackendGate.h"
#include "proxy/tests/ProxyFleet.h"

#include <gtest/gtest.h>

namespace skylark {
namespace {

    using namespace std::chrono_literals;

    class BackendGateTest : public testing::Test {
    protected:
        BackendGateTest()
            : server({ "127.0.0.1", 0 }, "first", "work")
            , gate(loop, { .server = { "127.0.0.1", server.port() } }, httpConventions)
        {
            server.setWork(100ms);
            gate.setServer(record("first", "work", 1));
        }
        static ServerRecord record(const char* id, const char* service, uint64_t incarnation)
        {
            return { .id = InstanceId(id),
                .incarnation = Incarnation(incarnation),
                .service = ServiceName(service),
                .slots = 1 };
        }
        void submit(uint64_t number, std::optional<double> knownServerRate = std::nullopt)
        {
            auto request = std::make_shared<HttpRequest>();
            request->method = "POST";
            request->target = "/pay/" + std::to_string(number);
            request->headers = { { "Host", "x" }, { httpConventions.requestId, std::to_string(number) } };
            gate.submit({ .key = { .sender = Incarnation(9), .stream = StreamId(number) },
                            .requestId = RequestId(std::to_string(number)),
                            .service = ServiceName("work"),
                            .request = std::move(request),
                            .deadline = loop.now() + 5s,
                            .knownServerRate = knownServerRate,
                            .serverIncarnation = Incarnation(1) },
                [this, number](const GateReplyPtr& reply) { replies.emplace(number, reply); });
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

    // Guards against a call that is queued for one service and runs at the server of another service that has since
    // taken over the address. In a run with replaced servers, a server executed requests of another service.
    TEST_F(BackendGateTest, QueuedCallsAreRefusedWhenAnotherServiceTakesTheAddress)
    {
        submit(1);
        submit(2);
        gate.setServer(record("second", "other", 2));
        ASSERT_NE(refusal(2), nullptr);
        EXPECT_EQ(refusal(2)->outcome, CallOutcome::NotRun);
        runFor(300ms);
        EXPECT_EQ(server.executions().count("2"), 0u);
    }

    // A new process of the same service can run the queued calls.
    TEST_F(BackendGateTest, QueuedCallsRunAtANewProcessOfTheirService)
    {
        submit(1);
        submit(2);
        gate.setServer(record("second", "work", 2));
        runFor(400ms);
        EXPECT_EQ(refusal(2), nullptr);
        EXPECT_EQ(server.executions().count("2"), 1u);
    }

    // Guards against a request that reaches a leaving server up to a second late, when its connection is open at last.
    TEST_F(BackendGateTest, CallWhoseConnectionIsBeingOpenedIsRefusedWhenTheServerLeaves)
    {
        submit(1);
        ServerRecord leaving = record("first", "work", 1);
        leaving.isDraining = true;
        gate.setServer(leaving);
        runFor(300ms);
        ASSERT_NE(refusal(1), nullptr);
        EXPECT_EQ(refusal(1)->outcome, CallOutcome::NotRun);
        EXPECT_TRUE(server.executions().empty());
    }

    // Guards against more requests than a server takes: the gate sees the requests of all nodes.
    TEST_F(BackendGateTest, ServerThatNamesALimitGetsNoMoreRequests)
    {
        server.setWork(1ms);
        server.setExtraHeaders({ { httpConventions.serverLimit, "4" } });
        submit(1);
        runFor(100ms);
        for (uint64_t number = 2; number <= 20; ++number)
            submit(number);
        runFor(100ms);
        EXPECT_EQ(server.executions().size(), 1u);
        ASSERT_NE(refusal(2), nullptr);
        EXPECT_EQ(refusal(2)->outcome, CallOutcome::NotRun);
        EXPECT_GT(refusal(2)->load.requestDelay, Duration(0));
        runFor(400ms);
        submit(21);
        runFor(100ms);
        EXPECT_EQ(server.executions().count("21"), 1u);
        // The limit ends with an answer that does not name it.
        server.setExtraHeaders({});
        runFor(400ms);
        submit(22);
        runFor(100ms);
        for (uint64_t number = 23; number <= 30; ++number) {
            submit(number);
            runFor(20ms);
        }
        EXPECT_EQ(server.executions().count("30"), 1u);
    }

    // Guards against a burst after a restart of the gate, which has forgotten the limit. The senders have not.
    TEST_F(BackendGateTest, RestartedGateLearnsTheLimitFromItsCallers)
    {
        server.setWork(1ms);
        for (uint64_t number = 1; number <= 10; ++number)
            submit(number, 4);
        runFor(100ms);
        EXPECT_TRUE(server.executions().empty());
        runFor(300ms);
        submit(11, 4);
        runFor(100ms);
        EXPECT_EQ(server.executions().size(), 1u);
    }

    // Guards against a limit of a former process that binds its successor.
    TEST_F(BackendGateTest, NewProcessOfTheServerHasNoLimit)
    {
        submit(1, 4);
        ASSERT_NE(refusal(1), nullptr);
        gate.setServer(record("first", "work", 2));
        submit(2, 4);
        EXPECT_EQ(refusal(2), nullptr);
    }

    // Guards against requests to a server whose leave is known from its answers only.
    TEST_F(BackendGateTest, ServerThatAnswersThatItLeavesGetsNoMoreCalls)
    {
        server.setExtraHeaders({ { httpConventions.serverLeaving, "1" } });
        submit(1);
        submit(2);
        runFor(300ms);
        EXPECT_EQ(refusal(1), nullptr);
        submit(3);
        for (const uint64_t number : { 2, 3 }) {
            ASSERT_NE(refusal(number), nullptr);
            EXPECT_EQ(refusal(number)->outcome, CallOutcome::NotRun);
        }
        EXPECT_TRUE(gate.load().isLeaving);
        // The next process is not bound.
        server.setExtraHeaders({});
        gate.setServer(record("first", "work", 2));
        submit(4);
        runFor(300ms);
        EXPECT_EQ(server.executions().count("4"), 1u);
    }

    // Guards against a server that gets no more calls although only the node beside it stops: the callers' nodes keep
    // what they hear of a server for as long as the server runs.
    TEST_F(BackendGateTest, StopOfTheNodeIsNoLeaveOfItsServer)
    {
        submit(1);
        runFor(50ms);
        gate.drain();
        submit(2);
        ASSERT_NE(refusal(2), nullptr);
        EXPECT_FALSE(refusal(2)->load.isLeaving);
        runFor(300ms);
        const auto* response = std::get_if<GateResponse>(replies.at(1).get());
        ASSERT_NE(response, nullptr);
        EXPECT_FALSE(response->load.isLeaving);
    }

    // Guards against "not run" for a request that runs: a faulty server writes an earlier refusal once more on a kept
    // connection, and without an id it could be taken for the answer to the next request.
    TEST_F(BackendGateTest, RefusalWithoutAnIdOnAKeptConnectionIsNoProof)
    {
        submit(1);
        runFor(200ms);
        ASSERT_EQ(gate.idleConnections(), 1u);
        server.setFault(ServerFault::RefusalBeforeResponse);
        submit(2);
        runFor(300ms);
        EXPECT_EQ(server.executions().count("2"), 1u);
        ASSERT_EQ(replies.count(2), 1u);
        EXPECT_TRUE(std::holds_alternative<GateResponse>(*replies.at(2)));
    }

    TEST_F(BackendGateTest, QueuedCallsAreRefusedWhenTheServerIsGone)
    {
        submit(1);
        submit(2);
        gate.setServer(std::nullopt);
        ASSERT_NE(refusal(2), nullptr);
        EXPECT_EQ(refusal(2)->outcome, CallOutcome::NotRun);
    }

    // Guards against a queued call that starts at the server of a zone that was evacuated meanwhile, and against a
    // running call that the evacuation cuts off.
    TEST_F(BackendGateTest, EvacuationRefusesQueuedAndNewCallsAndLetsRunningOnesFinish)
    {
        submit(1);
        runFor(30ms);
        submit(2);
        gate.setEvacuated(true);
        submit(3);
        for (const uint64_t number : { 2, 3 }) {
            ASSERT_NE(refusal(number), nullptr);
            EXPECT_EQ(refusal(number)->outcome, CallOutcome::NotRun);
        }
        EXPECT_EQ(gate.counters().refusedByEvacuation, 2u);
        runFor(300ms);
        EXPECT_EQ(replies.count(1), 1u);
        EXPECT_EQ(refusal(1), nullptr) << "the running call is answered";
        gate.setEvacuated(false);
        submit(4);
        runFor(300ms);
        EXPECT_EQ(refusal(4), nullptr);
        EXPECT_EQ(server.executions().count("4"), 1u);
        EXPECT_EQ(server.executions().count("2") + server.executions().count("3"), 0u);
    }

} // namespace
} // namespace skylark
