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
        };

        std::unique_ptr<Peer> connect()
        {
            auto peer = std::make_unique<Peer>();
            peer->channel = std::make_unique<FrameChannel>(loop, address, ConnectOptions {},
                FrameChannel::Callbacks { .onConnected = [raw = peer.get()] { raw->channel->send(Hello {}); },
                    .onMessage = [](const Message&) {},
                    .onEnd = [raw = peer.get()](StreamEnd end) { raw->end = end; } });
            return peer;
        }
        void runFor(Duration time)
        {
            Timer timer(loop, [this] { loop.stop(); });
            timer.start(time);
            loop.run();
        }

        SystemClock clock;
        EventLoop loop { clock };
        const HttpConventions httpConventions;
        BackendGate gate { loop, { .server = { "127.0.0.1", 1 } }, httpConventions };
        const Endpoint address { "127.0.0.1", static_cast<uint16_t>(27000 + getpid() % 1000) };
        PeerServer server { loop, { .listenAddress = address, .idleTimeout = 200ms }, gate,
            { .onHello = [](const Hello&) {}, .onSourceUpdateRequest = [](const auto&, const auto&) {} } };
    };

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

} // namespace
} // namespace skylark
