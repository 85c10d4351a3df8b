// Tests PeerServer with peers whose connections fall silent.
#include "proxy/PeerServer.h"

#include <gtest/gtest.h>
#include <unistd.h>

namespace skylark {
namespace {

    using namespace std::chrono_literals;

    class PeerServerTest : public testing::Test {
    protected:
        // A connection of a peer, and the end that it has seen.
        struct Peer {
            std::unique_ptr<FrameChannel> channel;
            std::optional<StreamEnd> end;
            std::vector<Refusal> refusals;
        };

        std::unique_ptr<Peer> connect()
        {
            auto peer = std::make_unique<Peer>();
            peer->channel = std::make_unique<FrameChannel>(loop, address, ConnectOptions {},
                FrameChannel::Callbacks { .onConnected = [raw = peer.get()] { raw->channel->send(Hello {}); },
                    .onMessage =
                        [raw = peer.get()](const Message& message) {
                            if (const auto* refusal = std::get_if<Refusal>(&message))
                                raw->refusals.push_back(*refusal);
                        },
                    .onEnd = [raw = peer.get()](StreamEnd end) { raw->end = end; } });
            return peer;
        }
        void runFor(Duration time)
        {
            Timer timer(loop, [this] { loop.stop(); });
            timer.start(time);
            loop.run();
        }

        // The answer to each request for a source update.
        SourceUpdate update;
        SystemClock clock;
        MemoryBudget budget { { .totalBytes = 300 * 1024 } };
        EventLoop loop { clock };
        const HttpConventions httpConventions;
        BackendGate gate { loop, { .server = { "127.0.0.1", 1 } }, httpConventions };
        const Endpoint address { "127.0.0.1", static_cast<uint16_t>(27000 + getpid() % 1000) };
        PeerServer server { loop, { .listenAddress = address, .idleTimeout = 200ms, .memory = &budget }, gate,
            { .onHello = [](const Hello&) {},
                .onSourceUpdateRequest
                = [this](const auto&, const std::function<void(const SourceUpdate&)>& reply) { reply(update); } } };
    };

    // Guards against calls that are lost because an update, which no message can hold, is due on their connection.
    TEST_F(PeerServerTest, UpdateThatCannotBeEncodedLeavesTheConnectionOpen)
    {
        const auto peer = connect();
        runFor(20ms);
        update.configuration = std::string(maxFrameBytes, 'x');
        peer->channel->send(SourceUpdateRequest {});
        // Refused at once, since it is meant for another process.
        peer->channel->send(CallStart { .stream = StreamId(1), .gateIncarnation = Incarnation(99) });
        runFor(50ms);
        EXPECT_FALSE(peer->end);
        EXPECT_EQ(peer->refusals.size(), 1u);
    }

    // Guards against descriptors that are lost for good: a connection that the path has forgotten reports no end.
    TEST_F(PeerServerTest, ConnectionOnWhichNothingArrivesIsClosed)
    {
        const auto peer = connect();
        runFor(100ms);
        EXPECT_EQ(server.connectionCount(), 1u);
        runFor(400ms);
        EXPECT_EQ(server.connectionCount(), 0u);
        EXPECT_EQ(peer->end, StreamEnd::Closed);
    }

    TEST_F(PeerServerTest, ConnectionOfAPeerThatWaitsForAnAnswerStaysOpen)
    {
        const auto peer = connect();
        Timer pings(loop, [&peer] { peer->channel->send(Ping {}); });
        pings.startRepeating(50ms);
        runFor(600ms);
        EXPECT_EQ(server.connectionCount(), 1u);
        EXPECT_FALSE(peer->end);
    }

    // Guards against bodies of peers' calls that together exceed the memory: the call is refused before it runs, the
    // connection stays, and the charge ends with the body.
    TEST_F(PeerServerTest, CallWhoseBodyDoesNotFitIsRefusedAsNotRun)
    {
        const auto peer = connect();
        runFor(50ms);
        const auto sendPart = [&](uint64_t stream, size_t offset) {
            peer->channel->send(
                BodyChunk { .stream = StreamId(stream), .offset = offset, .data = std::string(64 * 1024, 'x') });
        };
        for (const uint64_t stream : { 1, 2 }) {
            peer->channel->send(CallStart { .stream = StreamId(stream), .hasBody = true });
            sendPart(stream, 0);
        }
        runFor(50ms);
        EXPECT_GE(budget.chargedBytes(), 2u * 64 * 1024);
        EXPECT_TRUE(peer->refusals.empty());
        for (size_t part = 1; part < 8; ++part)
            sendPart(1, part * 64 * 1024);
        runFor(50ms);
        ASSERT_EQ(peer->refusals.size(), 1u);
        EXPECT_EQ(peer->refusals[0].stream, StreamId(1));
        EXPECT_EQ(peer->refusals[0].outcome, CallOutcome::NotRun);
        EXPECT_EQ(budget.refusedCount(), 1u);
        EXPECT_EQ(server.connectionCount(), 1u);
        EXPECT_LT(budget.chargedBytes(), 2u * 64 * 1024);
        peer->channel->send(Cancel { .stream = StreamId(2) });
        runFor(50ms);
        EXPECT_EQ(budget.chargedBytes(), 0u);
    }

} // namespace
} // namespace skylark
