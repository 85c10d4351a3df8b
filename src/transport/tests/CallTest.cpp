// Tests of calls: complete responses to the right callers, bounded memory and correct outcomes of lost calls.
#include "base/Digest.h"
#include "base/Error.h"
#include "base/Invariant.h"
#include "transport/tests/TransportFixture.h"

#include <set>

namespace skylark {
namespace {

    std::string patternedBody(size_t size)
    {
        std::string body(size, '\0');
        for (size_t i = 0; i < size; ++i)
            body[i] = static_cast<char>(i * 31 + i / 251);
        return body;
    }

    // Returns why the body was truncated, or an empty string if it is complete.
    std::string readError(ClientStream& call)
    {
        try {
            while (call.readBody(deadlineIn(5s))) { }
        } catch (const Error& error) {
            return error.message();
        }
        return "";
    }

    // Guards against a body that is truncated, reordered or blocked at the window limit, in either direction.
    TEST(CallTest, LargeBodiesArriveUnchangedInBothDirections)
    {
        TestNode gate("gate", echo);
        TestNode caller("caller");
        const std::string body = patternedBody(5 << 20);
        const auto bufferedCall = caller.call(gate.address(), body);
        EXPECT_EQ(digestOf(readResponse(*bufferedCall)), digestOf(body));

        const auto streamedCall = caller.call(gate.address(), "", false);
        for (size_t offset = 0; offset < body.size(); offset += 300000)
            ASSERT_TRUE(
                streamedCall->sendBody(body.substr(offset, 300000), offset + 300000 >= body.size(), deadlineIn(10s)));
        EXPECT_EQ(digestOf(readResponse(*streamedCall)), digestOf(body));
        EXPECT_EQ(readResponse(*caller.call(gate.address())), "");
    }

    TEST(CallTest, ResponseAndRefusalCarryTheirFields)
    {
        TestNode gate("gate", [](ServerStream& call) {
            EXPECT_EQ(call.peer().instance, InstanceId("caller"));
            if (call.call().target == "/refuse")
                call.refuse({ .outcome = CallOutcome::NotRun, .step = "admission", .reason = "full" });
            else if (call.call().target == "/answer")
                call.respond({ .status = 201, .headers = { { "a", "b" } }, .load = { .inFlight = 3 } }, "", true);
        });
        TestNode caller("caller");
        const auto resultOf = [&](const char* target) {
            const auto call = caller.network->openCall(
                gate.address(), InstanceId("gate"), CallStart { .target = target }, "", true);
            return call->awaitResponse(deadlineIn(5s));
        };
        const auto answer = std::get<AnswerStart>(resultOf("/answer"));
        EXPECT_EQ(answer.status, 201U);
        EXPECT_EQ(answer.headers, (HeaderList { { "a", "b" } }));
        EXPECT_EQ(answer.load.inFlight, 3U);
        EXPECT_FALSE(answer.hasBody);
        EXPECT_EQ(std::get<Refusal>(resultOf("/refuse")).reason, "full");
        // If the gate drops a call, the caller must get a result, and the outcome must not be NotRun.
        EXPECT_EQ(std::get<Refusal>(resultOf("/drop")).outcome, CallOutcome::Unknown);
    }

    // Guards against unbounded buffering for a reader that is slower than the sender.
    TEST(CallTest, FlowControlBoundsDataSentToSlowReaders)
    {
        std::atomic<size_t> sent { 0 };
        std::atomic<bool> isGateReading { false };
        constexpr size_t step = 16384;
        constexpr size_t total = 128 * step;
        TestNode gate("gate", [&](ServerStream& call) {
            while (!isGateReading)
                std::this_thread::sleep_for(1ms);
            const std::string body = readAll(call);
            call.respond({ .status = 200 }, "", false);
            for (size_t offset = 0; offset < body.size(); offset += step) {
                ASSERT_TRUE(call.sendBody(body.substr(offset, step), offset + step >= body.size(), deadlineIn(10s)));
                sent += step;
            }
        });
        TestNode caller("caller");
        const std::string body = patternedBody(total);
        const auto call = caller.call(gate.address(), "", false);
        size_t uploaded = 0;
        // Fills the window while the gate does not read.
        while (uploaded < streamWindowBytes) {
            ASSERT_TRUE(call->sendBody(body.substr(uploaded, step), false, deadlineIn(5s)));
            uploaded += step;
        }
        std::thread gateRelease([&] {
            std::this_thread::sleep_for(200ms);
            isGateReading = true;
        });
        const TimePoint start = std::chrono::steady_clock::now();
        ASSERT_TRUE(call->sendBody(body.substr(uploaded), true, deadlineIn(10s)));
        EXPECT_GE(std::chrono::steady_clock::now() - start, 150ms);
        gateRelease.join();

        std::this_thread::sleep_for(300ms);
        EXPECT_GT(sent, 0U);
        EXPECT_LE(sent, streamWindowBytes);
        EXPECT_EQ(readResponse(*call), body);
        EXPECT_EQ(sent, total);
    }

    // Guards against a body with a gap: data that missed its deadline is discarded, so no more data may follow it.
    TEST(CallTest, SendBodyFailsAfterAMissedDeadline)
    {
        std::atomic<bool> mayGateRead { false };
        std::atomic<bool> isTruncated { false };
        TestNode gate("gate", [&](ServerStream& call) {
            EXPECT_TRUE(eventually([&] { return mayGateRead.load(); }));
            try {
                readAll(call);
            } catch (const Error&) {
                isTruncated = true;
            }
        });
        TestNode caller("caller");
        auto call = caller.call(gate.address(), "", false);
        EXPECT_FALSE(call->sendBody(patternedBody(streamWindowBytes + 1), true, deadlineIn(100ms)));
        mayGateRead = true;
        EXPECT_FALSE(call->sendBody("more", true, deadlineIn(200ms)));
        EXPECT_TRUE(awaitFailure(*call, 10ms).isTimeout);
        call.reset();
        EXPECT_TRUE(eventually([&] { return isTruncated.load(); }));
    }

    // Guards against a response that reaches the wrong caller when responses arrive out of order or late.
    TEST(CallTest, OutOfOrderAndLateResponsesReachOnlyTheirOwnCallers)
    {
        std::mutex mutex;
        std::vector<std::shared_ptr<ServerStream>> pendingCalls;
        SystemClock clock;
        PeerHandlers handlers;
        handlers.onCall = [&](std::shared_ptr<ServerStream> call) {
            const std::lock_guard lock(mutex);
            pendingCalls.push_back(std::move(call));
        };
        PeerNetwork gate({ .listen = { "127.0.0.1", 0 }, .instance = InstanceId("gate") }, handlers, clock);
        TestNode caller("caller");
        constexpr size_t count = 40;
        std::vector<std::shared_ptr<ClientStream>> calls;
        for (size_t i = 0; i < count; ++i)
            calls.push_back(caller.call(gate.listenAddress(), std::to_string(i)));
        const auto pendingCallCount = [&] {
            const std::lock_guard lock(mutex);
            return pendingCalls.size();
        };
        ASSERT_TRUE(eventually([&] { return pendingCallCount() == count; }));
        // Every fourth caller cancels its call. Responses that arrive later are dropped.
        for (size_t i = 0; i < count; i += 4)
            calls[i].reset();
        for (auto call = pendingCalls.rbegin(); call != pendingCalls.rend(); ++call)
            (*call)->respond({ .status = 200 }, "answer to " + readAll(**call), true);
        for (size_t i = 0; i < count; ++i) {
            if (i % 4 == 0)
                continue;
            EXPECT_EQ(readResponse(*calls[i]), "answer to " + std::to_string(i));
        }
        EXPECT_TRUE(eventually([&] { return caller.network->traffic().openStreams == 0; }));
    }

    // Guards against mixed-up responses and additional connections when several threads call at the same time.
    TEST(CallTest, ConcurrentShortCallsGetTheirOwnResponses)
    {
        TestNode gate("gate", echo);
        TestNode caller("caller");
        constexpr int threadCount = 8;
        constexpr int callsPerThread = 500;
        std::atomic<int> correctResponses { 0 };
        std::vector<std::thread> threads;
        for (int t = 0; t < threadCount; ++t) {
            threads.emplace_back([&, t] {
                for (int i = 0; i < callsPerThread; ++i) {
                    const std::string body = std::to_string(t) + "/" + std::to_string(i) + std::string(200, 'x');
                    correctResponses += readResponse(*caller.call(gate.address(), body)) == body ? 1 : 0;
                }
            });
        }
        for (std::thread& thread : threads)
            thread.join();
        EXPECT_EQ(correctResponses, threadCount * callsPerThread);
        const TrafficSnapshot traffic = caller.network->traffic();
        EXPECT_EQ(traffic.callsSent[Message(CallStart {}).index()].messages, uint64_t { threadCount * callsPerThread });
        EXPECT_EQ(traffic.lateFrames, 0U);
        EXPECT_LE(traffic.openConnections, 2U);
    }

    // Guards against colliding stream ids of the two directions.
    TEST(CallTest, CallsInBothDirectionsShareOneConnection)
    {
        TestNode a("a", echo);
        TestNode b("b", echo);
        EXPECT_EQ(readResponse(*a.call(b.address(), "first")), "first");
        std::thread oppositeCalls([&] {
            for (int i = 0; i < 200; ++i)
                EXPECT_EQ(readResponse(*b.call(a.address(), "b" + std::to_string(i))), "b" + std::to_string(i));
        });
        for (int i = 0; i < 200; ++i)
            EXPECT_EQ(readResponse(*a.call(b.address(), "a" + std::to_string(i))), "a" + std::to_string(i));
        oppositeCalls.join();
        EXPECT_EQ(a.network->traffic().openConnections, 1U);
    }

    // Guards against wrong responses and outcomes when connections close while several threads write to them.
    TEST(CallTest, LostConnectionsUnderLoadGiveCorrectResponsesAndOutcomes)
    {
        std::mutex mutex;
        std::set<std::string> executedTargets;
        TestNode gate("gate", [&](ServerStream& call) {
            {
                const std::lock_guard lock(mutex);
                executedTargets.insert(call.call().target);
            }
            call.respond({ .status = 200 }, call.call().target + std::string(50000, 'x'), true);
        });
        Relay relay(gate.address());
        TestNode caller("caller");
        const uint64_t violationsBefore = violationCount();
        std::atomic<int> answeredCalls { 0 };
        std::vector<std::string> notRunTargets[4];
        std::atomic<bool> isDone { false };
        std::vector<std::thread> threads;
        for (int t = 0; t < 4; ++t) {
            threads.emplace_back([&, t] {
                for (int i = 0; !isDone; ++i) {
                    const std::string target = std::to_string(t) + "/" + std::to_string(i) + "/";
                    const auto call = caller.network->openCall(relay.address(), {}, { .target = target }, "", true);
                    const AwaitResult result = call->awaitResponse(deadlineIn(5s));
                    const auto* failure = std::get_if<StreamFailure>(&result);
                    if (failure && failure->outcome == CallOutcome::NotRun)
                        notRunTargets[t].push_back(target);
                    if (failure)
                        continue;
                    try {
                        std::string body;
                        while (auto chunk = call->readBody(deadlineIn(5s)))
                            body += *chunk;
                        EXPECT_EQ(body, target + std::string(50000, 'x'));
                        ++answeredCalls;
                    } catch (const Error&) {
                        // The connection closed in the middle of the body.
                    }
                }
            });
        }
        for (int round = 0; round < 40; ++round) {
            std::this_thread::sleep_for(20ms);
            relay.closeAllConnections();
        }
        isDone = true;
        for (std::thread& thread : threads)
            thread.join();
        const std::lock_guard lock(mutex);
        for (const auto& targets : notRunTargets) {
            for (const std::string& target : targets)
                EXPECT_FALSE(executedTargets.contains(target)) << target;
        }
        EXPECT_GT(answeredCalls, 0);
        EXPECT_EQ(violationCount(), violationsBefore);
    }

    TEST(CallTest, CallsThatCannotStartAreReportedAsNotRun)
    {
        TestNode gate("gate", echo);
        TestNode caller("caller");
        Endpoint closedPort;
        {
            const FileDescriptor listener = listenOn({ "127.0.0.1", 0 });
            closedPort = boundEndpoint(listener);
        }
        EXPECT_EQ(awaitFailure(*caller.call(closedPort)).outcome, CallOutcome::NotRun);

        // Accepts connections and never sends a Hello.
        const FileDescriptor unresponsiveListener = listenOn({ "127.0.0.1", 0 });
        const TimePoint start = std::chrono::steady_clock::now();
        const StreamFailure failure = awaitFailure(*caller.call(boundEndpoint(unresponsiveListener)));
        EXPECT_EQ(failure.outcome, CallOutcome::NotRun);
        EXPECT_LT(std::chrono::steady_clock::now() - start, 600ms);

        const auto callToOtherInstance = caller.network->openCall(gate.address(), InstanceId("other"), {}, "", true);
        EXPECT_EQ(awaitFailure(*callToOtherInstance).outcome, CallOutcome::NotRun);
        EXPECT_EQ(gate.network->traffic().callsReceived[Message(CallStart {}).index()].messages, 0U);
    }

    // Guards against a wrong NotRun outcome: after the loss of a connection, a call has certainly not run only if all
    // of its bytes were still in the send queue. Bytes passed to the socket may have reached the gate.
    TEST(CallTest, LostCallIsNotRunOnlyIfNoneOfItsBytesWereSent)
    {
        const FileDescriptor listener = listenOn({ "127.0.0.1", 0 });
        TestNode caller("caller");
        std::vector<std::shared_ptr<ClientStream>> calls;
        std::thread openingThread([&] {
            // The socket fills up, then the queue; the next call needs a second connection and fails.
            for (int i = 0; i < 200; ++i) {
                calls.push_back(caller.call(boundEndpoint(listener), std::string(60000, 'x')));
                if (std::holds_alternative<StreamFailure>(calls.back()->awaitResponse(deadlineIn(0ms)))
                    && !awaitFailure(*calls.back(), 0ms).isTimeout)
                    return;
            }
        });
        {
            RawPeer peer = RawPeer::acceptWithHello(listener);
            openingThread.join();
        }
        ASSERT_GT(calls.size(), 4U);
        EXPECT_EQ(awaitFailure(*calls.front()).outcome, CallOutcome::Unknown);
        EXPECT_EQ(awaitFailure(*calls[calls.size() - 2]).outcome, CallOutcome::NotRun);
        EXPECT_EQ(awaitFailure(*calls[calls.size() - 2]).step, "connection");
    }

    TEST(CallTest, TruncatedBodyIsAnErrorAndCancelsTheCallAtTheGate)
    {
        std::atomic<int> cancelledCalls { 0 };
        std::atomic<bool> isHandlerDone { false };
        TestNode gate("gate", [&](ServerStream& call) {
            call.onCancelled([&] { ++cancelledCalls; });
            call.respond({ .status = 200 }, "first part", false);
            EXPECT_TRUE(eventually([&] { return call.isCancelled(); }));
            EXPECT_FALSE(call.sendBody("more", true, deadlineIn(1s)));
            isHandlerDone = true;
        });
        Relay relay(gate.address());
        TestNode caller("caller");
        const auto call = caller.call(relay.address());
        ASSERT_TRUE(std::holds_alternative<AnswerStart>(call->awaitResponse(deadlineIn(5s))));
        EXPECT_EQ(call->readBody(deadlineIn(5s)), "first part");
        relay.closeAllConnections();
        EXPECT_THROW(call->readBody(deadlineIn(5s)), Error);
        EXPECT_TRUE(eventually([&] { return cancelledCalls == 1 && isHandlerDone; }));

        const auto cancelledCall = caller.call(relay.address());
        ASSERT_TRUE(std::holds_alternative<AnswerStart>(cancelledCall->awaitResponse(deadlineIn(5s))));
        cancelledCall->cancel();
        EXPECT_TRUE(eventually([&] { return cancelledCalls == 2; }));
        EXPECT_NE(readError(*cancelledCall).find("the caller cancelled"), std::string::npos);
    }

    // Guards against accepting a body with a missing part, or more of it than the window allows.
    TEST(CallTest, InvalidBodyChunkFailsOnlyItsStream)
    {
        const FileDescriptor listener = listenOn({ "127.0.0.1", 0 });
        TestNode caller("caller");
        std::thread gate([&] {
            RawPeer peer = RawPeer::acceptWithHello(listener);
            std::vector<StreamId> ids;
            while (ids.size() < 3) {
                if (const auto message = peer.next(); message && std::holds_alternative<CallStart>(*message))
                    ids.push_back(std::get<CallStart>(*message).stream);
            }
            for (const StreamId id : ids)
                peer.send(AnswerStart { .stream = id, .status = 200, .hasBody = true });
            peer.send(BodyChunk { .stream = ids[0], .offset = 1, .data = "gap", .isLast = true });
            for (size_t offset = 0; offset <= streamWindowBytes; offset += 65536)
                peer.send(BodyChunk { .stream = ids[1], .offset = offset, .data = std::string(65536, 'x') });
            peer.send(BodyChunk { .stream = ids[2], .offset = 0, .data = "whole", .isLast = true });
            while (peer.next()) { }
        });
        std::vector<std::shared_ptr<ClientStream>> calls;
        for (int i = 0; i < 3; ++i)
            calls.push_back(caller.call(boundEndpoint(listener)));
        EXPECT_EQ(readResponse(*calls[2]), "whole");
        EXPECT_NE(readError(*calls[0]).find("offset 1 does not follow on 0"), std::string::npos);
        EXPECT_NE(readError(*calls[1]).find("more body than its window"), std::string::npos);
        EXPECT_EQ(caller.network->traffic().protocolErrors, 0U);
        caller.network->close(deadlineIn(0ms));
        gate.join();
    }

    TEST(CallTest, CloseSendsPendingResponsesFirst)
    {
        const std::string body = patternedBody(3 << 20);
        std::atomic<bool> hasResponded { false };
        TestNode gate("gate", [&](ServerStream& call) {
            call.respond({ .status = 200 }, body, true);
            hasResponded = true;
        });
        TestNode caller("caller");
        const auto call = caller.call(gate.address());
        ASSERT_TRUE(eventually([&] { return hasResponded.load(); }));
        std::thread closingThread([&] { gate.network->close(deadlineIn(5s)); });
        EXPECT_EQ(readResponse(*call), body);
        closingThread.join();
        EXPECT_EQ(awaitFailure(*caller.call(gate.address())).outcome, CallOutcome::NotRun);
    }

} // namespace
} // namespace skylark
