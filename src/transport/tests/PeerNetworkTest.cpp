// Tests of control messages, connection limits and the detection of silent connections.
#include "base/Error.h"
#include "transport/tests/TransportFixture.h"

namespace skylark {
namespace {

    // Guards against reordered messages, and against a second connection for the other direction.
    TEST(PeerNetworkTest, ControlMessagesKeepTheirOrderAndShareOneConnection)
    {
        TestNode a("a");
        TestNode b("b");
        constexpr uint64_t count = 1000;
        for (uint64_t i = 1; i <= count; ++i)
            ASSERT_TRUE(a.network->send(b.address(), PushAck { .version = VersionNumber(i) }));
        ASSERT_TRUE(eventually([&] { return b.receivedCount() == count; }));
        const PeerInfo sender = b.received.front().second;
        EXPECT_EQ(sender.instance, InstanceId("a"));
        EXPECT_EQ(sender.endpoint, a.address());
        for (uint64_t i = 1; i <= count; ++i)
            ASSERT_EQ(std::get<PushAck>(b.received[i - 1].first).version, VersionNumber(i));
        ASSERT_TRUE(b.network->send(sender.endpoint, Leaving {}));
        ASSERT_TRUE(eventually([&] { return a.receivedCount() == 1; }));
        EXPECT_EQ(a.network->traffic().openConnections, 1U);
        EXPECT_EQ(b.network->traffic().openConnections, 1U);
        const TrafficCount sent = a.network->traffic().controlSent[Message(PushAck {}).index()];
        const TrafficCount received = b.network->traffic().controlReceived[Message(PushAck {}).index()];
        EXPECT_EQ(sent.messages, count);
        EXPECT_EQ(received.messages, count);
        EXPECT_EQ(sent.bytes, received.bytes);
    }

    TEST(PeerNetworkTest, FullQueueAndLostConnectionAreReportedAsSendFailures)
    {
        TestNode a("a");
        const FileDescriptor unresponsiveListener = listenOn({ "127.0.0.1", 0 });
        const SnapshotPart part { .data = std::string(256 * 1024, 'x') };
        int acceptedMessages = 0;
        while (acceptedMessages < 20 && a.network->send(boundEndpoint(unresponsiveListener), part))
            ++acceptedMessages;
        // The limit is 1 MiB plus one snapshot part; with the frame headers only four parts fit.
        EXPECT_EQ(acceptedMessages, 4);
        ASSERT_TRUE(eventually([&] { return a.failedSends >= 1; }));
        // The connection itself fails after its timeout, with four messages queued.
        ASSERT_TRUE(eventually([&] { return a.failedSends == 2; }));
        EXPECT_THROW(
            a.network->send(boundEndpoint(unresponsiveListener), SnapshotPart { .data = std::string(1 << 20, 'x') }),
            Error);
    }

    TEST(PeerNetworkTest, IncompatibleProtocolVersionIsRefusedWithAClearError)
    {
        TestNode oldNode("old", echo);
        TestNode updatedNode("updated", echo, { .minProtocol = 2, .maxProtocol = 3 });
        for (auto& [from, to] : { std::pair(&oldNode, &updatedNode), std::pair(&updatedNode, &oldNode) }) {
            const StreamFailure failure = awaitFailure(*from->call(to->address()));
            EXPECT_EQ(failure.outcome, CallOutcome::NotRun);
            EXPECT_EQ(failure.step, "hello");
            EXPECT_NE(failure.message.find("speaks protocol versions"), std::string::npos) << failure.message;
        }
        EXPECT_TRUE(eventually([&] { return oldNode.network->traffic().protocolErrors == 2; }));
    }

    TEST(PeerNetworkTest, InvalidFrameLengthOrTypeClosesTheConnection)
    {
        TestNode node("node", echo);
        const std::string hello = frameOf(encode(Hello { .instance = InstanceId("raw") }));
        const std::string oversized("\x7f\xff\xff\xff", 4);
        const std::string garbage = frameOf("garbage");
        const std::string chunk = frameOf(encode(BodyChunk {}));
        uint64_t expectedErrors = 0;
        for (const std::string& bytes :
            { oversized, garbage, chunk, hello + oversized, hello + garbage, hello + hello }) {
            RawPeer peer(connectBlocking(node.address()));
            peer.sendBytes(bytes);
            while (peer.next()) { }
            ++expectedErrors;
            EXPECT_TRUE(eventually([&] { return node.network->traffic().protocolErrors == expectedErrors; }));
        }
        // A message of an unknown type is skipped, and the connection stays open.
        RawPeer peer(connectBlocking(node.address()));
        peer.sendBytes(hello + frameOf(std::string("\x92\x01\x7f", 3)));
        peer.send(Ping { 5 });
        EXPECT_TRUE(std::holds_alternative<Hello>(*peer.next()));
        EXPECT_EQ(peer.next(), Message(Pong { 5 }));
        EXPECT_EQ(node.network->traffic().unknownMessages, 1U);
        EXPECT_EQ(node.network->traffic().protocolErrors, expectedErrors);
    }

    // Guards against calls that hang on a connection that carries no more data, and against reporting its peer as
    // unreachable.
    TEST(PeerNetworkTest, SilentConnectionIsReplacedAndItsPeerIsProbed)
    {
        TestNode gate("gate", [](ServerStream& call) {
            if (readAll(call) == "slow")
                std::this_thread::sleep_for(2500ms);
            call.respond({ .status = 200 }, "answer", true);
        });
        Relay relay(gate.address());
        TestNode caller("caller");
        // A slow response is no fault while the connection replies to pings.
        EXPECT_EQ(readResponse(*caller.call(relay.address(), "slow")), "answer");
        relay.blackholeOpenConnections();
        std::this_thread::sleep_for(50ms);
        const TimePoint start = std::chrono::steady_clock::now();
        const auto lostCall = caller.call(relay.address());
        const StreamFailure failure = awaitFailure(*lostCall);
        const Duration elapsed = std::chrono::steady_clock::now() - start;
        EXPECT_TRUE(failure.isSilentConnection);
        EXPECT_EQ(failure.outcome, CallOutcome::Unknown);
        EXPECT_GE(elapsed, 1400ms);
        EXPECT_LE(elapsed, 2500ms);
        EXPECT_TRUE(eventually([&] { return caller.reachableProbes == 1; }));
        EXPECT_EQ(caller.unreachableProbes, 0);
        EXPECT_EQ(readResponse(*caller.call(relay.address())), "answer");
        EXPECT_EQ(caller.network->traffic().silentConnections, 1U);

        relay.blackholeNewConnections();
        relay.blackholeOpenConnections();
        std::this_thread::sleep_for(50ms);
        EXPECT_TRUE(awaitFailure(*caller.call(relay.address())).isSilentConnection);
        EXPECT_TRUE(eventually([&] { return caller.unreachableProbes == 1; }));
    }

    // Guards against running a call that its caller may have abandoned while this process was paused.
    TEST(PeerNetworkTest, CallsReadAfterAPauseReportThePauseDuration)
    {
        std::mutex mutex;
        std::vector<Duration> pauses;
        SystemClock clock;
        PeerHandlers handlers;
        handlers.onMessage = [](const Message&, const PeerInfo&) { std::this_thread::sleep_for(1200ms); };
        handlers.onCall = [&](const std::shared_ptr<ServerStream>& call) {
            const std::lock_guard lock(mutex);
            pauses.push_back(call->precedingPause());
            call->respond({ .status = 200 }, "", true);
        };
        PeerNetwork gate({ .listen = { "127.0.0.1", 0 }, .instance = InstanceId("gate") }, handlers, clock);
        TestNode caller("caller");
        readResponse(*caller.call(gate.listenAddress()));
        caller.network->send(gate.listenAddress(), Leaving {});
        std::this_thread::sleep_for(100ms);
        readResponse(*caller.call(gate.listenAddress()));
        std::this_thread::sleep_for(600ms);
        readResponse(*caller.call(gate.listenAddress()));
        const std::lock_guard lock(mutex);
        ASSERT_EQ(pauses.size(), 3U);
        EXPECT_EQ(pauses[0], Duration::zero());
        EXPECT_GE(pauses[1], 1s);
        EXPECT_EQ(pauses[2], Duration::zero());
    }

    TEST(PeerNetworkTest, SilentControlConnectionIsReplaced)
    {
        TestNode b("b");
        Relay relay(b.address());
        TestNode a("a");
        ASSERT_TRUE(a.network->send(relay.address(), Leaving {}));
        ASSERT_TRUE(eventually([&] { return b.receivedCount() == 1; }));
        relay.blackholeOpenConnections();
        std::this_thread::sleep_for(50ms);
        ASSERT_TRUE(a.network->send(relay.address(), Leaving {}));
        ASSERT_TRUE(eventually([&] { return a.failedSends == 1 && a.reachableProbes == 1; }));
        ASSERT_TRUE(a.network->send(relay.address(), Leaving {}));
        ASSERT_TRUE(eventually([&] { return b.receivedCount() == 2; }));
    }

    TEST(PeerNetworkTest, ConnectionLimitsAreEnforced)
    {
        std::atomic<bool> mayRespond { false };
        TestNode gate("gate", [&](ServerStream& call) {
            EXPECT_TRUE(eventually([&] { return mayRespond.load(); }));
            echo(call);
        });
        TestNode caller("caller", {}, { .maxStreamsPerConnection = 40 });
        std::vector<std::shared_ptr<ClientStream>> calls;
        for (int i = 0; i < 20; ++i)
            calls.push_back(caller.call(gate.address(), "x"));
        ASSERT_TRUE(eventually([&] { return caller.network->traffic().openConnections == 2; }));
        for (int i = 0; i < 60; ++i)
            calls.push_back(caller.call(gate.address(), "x"));
        // Both connections are at their limit of calls.
        EXPECT_EQ(awaitFailure(*caller.call(gate.address(), "x")).outcome, CallOutcome::NotRun);
        EXPECT_EQ(caller.network->traffic().openConnections, 2U);
        mayRespond = true;
        for (const auto& call : calls)
            EXPECT_EQ(readResponse(*call), "x");

        // A peer that opens a third call connection has abandoned an earlier one.
        std::vector<std::unique_ptr<RawPeer>> peers;
        const Hello hello { .instance = InstanceId("raw"), .purpose = ConnectionPurpose::Calls };
        for (int i = 0; i < 3; ++i) {
            peers.push_back(std::make_unique<RawPeer>(connectBlocking(gate.address())));
            peers.back()->send(hello);
            ASSERT_TRUE(peers.back()->next().has_value());
            std::this_thread::sleep_for(5ms);
        }
        EXPECT_EQ(peers[0]->next(), std::nullopt);
        EXPECT_TRUE(eventually([&] { return gate.network->traffic().openConnections == 4; }));
    }

    TEST(PeerNetworkTest, IdleConnectionsAreClosedForNewOnes)
    {
        TestNode b("b");
        TestNode c("c");
        TestNode a("a", {}, { .idleTimeout = 400ms, .maxConnections = 1 });
        ASSERT_TRUE(a.network->send(b.address(), Leaving {}));
        ASSERT_TRUE(eventually([&] { return b.receivedCount() == 1; }));
        ASSERT_TRUE(a.network->send(c.address(), Leaving {}));
        ASSERT_TRUE(eventually([&] { return c.receivedCount() == 1; }));
        EXPECT_EQ(a.network->traffic().openConnections, 1U);
        EXPECT_EQ(a.network->traffic().refusedConnections, 1U);
        ASSERT_TRUE(eventually([&] { return a.network->traffic().openConnections == 0; }));
        EXPECT_TRUE(eventually([&] { return c.network->traffic().openConnections == 0; }));
    }

    TEST(PeerNetworkTest, FaultRulesDelayDropAndDisconnect)
    {
        FaultInjector faults;
        TestNode gate("gate", echo, { .faults = &faults });
        TestNode caller("caller", {}, { .faults = &faults });
        EXPECT_EQ(readResponse(*caller.call(gate.address(), "x")), "x");

        const RegionName from("caller-region");
        const RegionName to("gate-region");
        faults.setForRegions(from, to, { .delay = 30ms });
        faults.setForRegions(to, from, { .delay = 30ms });
        const TimePoint start = std::chrono::steady_clock::now();
        EXPECT_EQ(readResponse(*caller.call(gate.address(), "y")), "y");
        EXPECT_GE(std::chrono::steady_clock::now() - start, 60ms);

        faults.setForRegions(from, to, { .isDropped = true });
        EXPECT_TRUE(awaitFailure(*caller.call(gate.address())).isSilentConnection);
        faults.clear();
        // The probe's connection replaces the silent one. A call before it is ready would dial a second connection,
        // which would still be open for the last call below.
        ASSERT_TRUE(eventually([&] { return caller.reachableProbes == 1; }));
        EXPECT_EQ(readResponse(*caller.call(gate.address(), "z")), "z");

        faults.setForEndpoint(gate.address(), { .isDisconnected = true });
        EXPECT_EQ(awaitFailure(*caller.call(gate.address())).outcome, CallOutcome::Unknown);
        EXPECT_EQ(awaitFailure(*caller.call(gate.address())).outcome, CallOutcome::NotRun);
    }

    TEST(PeerNetworkTest, StopAcceptingRefusesNewConnectionsAndKeepsOpenOnes)
    {
        TestNode gate("gate", echo);
        TestNode caller("caller");
        TestNode lateCaller("late");
        EXPECT_EQ(readResponse(*caller.call(gate.address(), "x")), "x");
        gate.network->stopAccepting();
        EXPECT_EQ(readResponse(*caller.call(gate.address(), "y")), "y");
        EXPECT_EQ(awaitFailure(*lateCaller.call(gate.address())).outcome, CallOutcome::NotRun);
        gate.network->close(deadlineIn(1s));
        EXPECT_FALSE(gate.network->send(caller.address(), Leaving {}));
        gate.network->stopAccepting();
    }

} // namespace
} // namespace skylark
