// Tests FrameChannel against a peer that reads slowly, through a socket with a small receive buffer.
#include "proxy/FrameChannel.h"

#include "wire/Codec.h"

#include <algorithm>
#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

namespace skylark {
namespace {

    using namespace std::chrono_literals;

    constexpr size_t piece = FrameQueue::pieceBytes;
    constexpr size_t megabyte = 1024 * 1024;

    SharedBody bodyOf(size_t bytes) { return std::make_shared<const std::string>(std::string(bytes, 'x')); }

    // Accepts one connection and reads only when told to.
    class SlowPeer {
    public:
        SlowPeer()
            : m_listener(socket(AF_INET, SOCK_STREAM, 0))
        {
            constexpr int receiveBufferBytes = 16 * 1024;
            setsockopt(m_listener, SOL_SOCKET, SO_RCVBUF, &receiveBufferBytes, sizeof(receiveBufferBytes));
            sockaddr_in address {};
            address.sin_family = AF_INET;
            address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
            bind(m_listener, reinterpret_cast<const sockaddr*>(&address), sizeof(address));
            listen(m_listener, 1);
            socklen_t length = sizeof(address);
            getsockname(m_listener, reinterpret_cast<sockaddr*>(&address), &length);
            m_port = ntohs(address.sin_port);
        }
        ~SlowPeer()
        {
            close();
            ::close(m_listener);
        }
        SlowPeer(const SlowPeer&) = delete;
        SlowPeer& operator=(const SlowPeer&) = delete;

        Endpoint address() const { return { "127.0.0.1", m_port }; }
        void accept() { m_socket = ::accept4(m_listener, nullptr, nullptr, SOCK_NONBLOCK); }
        // Reads what the kernel holds now.
        void read()
        {
            char buffer[4096];
            ssize_t count = 0;
            while ((count = recv(m_socket, buffer, sizeof(buffer), 0)) > 0) {
                m_reader.feed({ buffer, static_cast<size_t>(count) });
                readMessages();
            }
        }
        void close()
        {
            if (m_socket >= 0)
                ::close(m_socket);
            m_socket = -1;
        }

        std::vector<Message> messages;

    private:
        void readMessages()
        {
            while (const auto payload = m_reader.next())
                messages.push_back(*decode(*payload));
        }

        int m_listener;
        int m_socket { -1 };
        uint16_t m_port { 0 };
        FrameReader m_reader;
    };

    class FrameChannelTest : public testing::Test {
    protected:
        void connect(double linkBitsPerSecond = 16e6)
        {
            channel = std::make_unique<FrameChannel>(loop, peer.address(), ConnectOptions {},
                FrameChannel::Callbacks { .onMessage = [](const Message&) {},
                    .onEnd =
                        [this](StreamEnd end) {
                            ended = end;
                            channel.reset();
                        } },
                FrameChannelOptions { .linkBitsPerSecond = linkBitsPerSecond, .link = &link });
            runFor(20ms);
            peer.accept();
        }
        void runFor(Duration time)
        {
            Timer timer(loop, [this] { loop.stop(); });
            timer.start(time);
            loop.run();
        }
        // Reads until the peer has got the whole body of the stream, or for 10 s.
        void readUntilComplete(StreamId stream)
        {
            for (int round = 0; round < 10000 && !isComplete(stream); ++round) {
                peer.read();
                runFor(1ms);
            }
            EXPECT_TRUE(isComplete(stream));
        }
        bool isComplete(StreamId stream) const
        {
            return std::any_of(peer.messages.begin(), peer.messages.end(), [stream](const Message& message) {
                const auto* chunk = std::get_if<BodyChunk>(&message);
                return chunk && chunk->stream == stream && chunk->isLast;
            });
        }
        // Body bytes that the peer got ahead of the first message that matches.
        template <typename Matches> size_t bodyBytesAhead(Matches matches) const
        {
            size_t bytes = 0;
            for (const Message& message : peer.messages) {
                if (matches(message))
                    return bytes;
                if (const auto* chunk = std::get_if<BodyChunk>(&message))
                    bytes += chunk->data.size();
            }
            ADD_FAILURE() << "the message did not arrive";
            return bytes;
        }
        void send(uint64_t stream, uint32_t rank, const SharedBody& body)
        {
            ASSERT_TRUE(
                channel->sendWithBody(AnswerStart { .stream = StreamId(stream), .status = 200, .hasBody = true },
                    StreamId(stream), rank, body));
        }

        SystemClock clock;
        EventLoop loop { clock };
        SlowPeer peer;
        LinkBudget link { 16e6 };
        std::unique_ptr<FrameChannel> channel;
        std::optional<StreamEnd> ended;
    };

    // Guards against a message of a few bytes that waits until a large body before it has left the instance.
    TEST_F(FrameChannelTest, MessageOvertakesALargeBody)
    {
        connect();
        send(1, 2, bodyOf(megabyte));
        runFor(20ms);
        channel->send(Ping { .nonce = 7 });
        readUntilComplete(StreamId(1));
        // The receive buffer, what the kernel holds unsent, and the piece in this process.
        EXPECT_LT(
            bodyBytesAhead([](const Message& message) { return std::holds_alternative<Ping>(message); }), 10 * piece);
    }

    // Guards against a short response of a nested call behind a large one on the same connection.
    TEST_F(FrameChannelTest, UrgentBodyOvertakesALargeBody)
    {
        connect();
        send(1, 2, bodyOf(megabyte));
        runFor(20ms);
        send(2, 0, bodyOf(100));
        readUntilComplete(StreamId(1));
        EXPECT_TRUE(isComplete(StreamId(2)));
        EXPECT_LT(bodyBytesAhead([](const Message& message) {
            const auto* chunk = std::get_if<BodyChunk>(&message);
            return chunk && chunk->stream == StreamId(2);
        }),
            10 * piece);
    }

    TEST_F(FrameChannelTest, LargeBodiesOfOneRankAdvanceTogether)
    {
        connect();
        send(1, 1, bodyOf(megabyte));
        send(2, 1, bodyOf(megabyte / 2));
        readUntilComplete(StreamId(1));
        EXPECT_TRUE(isComplete(StreamId(2)));
        EXPECT_LT(bodyBytesAhead([](const Message& message) {
            const auto* chunk = std::get_if<BodyChunk>(&message);
            return chunk && chunk->stream == StreamId(2) && chunk->isLast;
        }),
            megabyte + 10 * piece);
    }

    // The receiver needs the head of a stream first, then its chunks without a gap.
    TEST_F(FrameChannelTest, EachStreamArrivesInOrder)
    {
        connect();
        for (uint64_t stream = 1; stream <= 20; ++stream)
            send(stream, static_cast<uint32_t>(stream % 3), bodyOf(stream * 10000));
        for (uint64_t stream = 1; stream <= 20; ++stream)
            readUntilComplete(StreamId(stream));
        std::map<StreamId, size_t> received;
        for (const Message& message : peer.messages) {
            if (const auto* head = std::get_if<AnswerStart>(&message)) {
                EXPECT_TRUE(received.emplace(head->stream, 0).second);
            }
            if (const auto* chunk = std::get_if<BodyChunk>(&message)) {
                ASSERT_TRUE(received.contains(chunk->stream));
                EXPECT_EQ(chunk->offset, received[chunk->stream]);
                received[chunk->stream] += chunk->data.size();
            }
        }
        for (const auto& [stream, bytes] : received)
            EXPECT_EQ(bytes, stream.value() * 10000);
    }

    // Guards against bytes for a caller that has left, and against a cancellation ahead of its call.
    TEST_F(FrameChannelTest, CancelledStreamStops)
    {
        connect();
        ASSERT_TRUE(channel->sendWithBody(
            CallStart { .stream = StreamId(1), .hasBody = true }, StreamId(1), 0, bodyOf(8 * megabyte)));
        runFor(20ms);
        channel->cancelBody(StreamId(1));
        channel->send(Cancel { .stream = StreamId(1) });
        send(2, 0, bodyOf(100));
        readUntilComplete(StreamId(2));
        EXPECT_FALSE(isComplete(StreamId(1)));
        EXPECT_TRUE(std::holds_alternative<CallStart>(peer.messages.front()));
        const size_t ahead
            = bodyBytesAhead([](const Message& message) { return std::holds_alternative<Cancel>(message); });
        EXPECT_GT(ahead, 0u);
        EXPECT_LT(ahead, 10 * piece);
        EXPECT_EQ(channel->pendingBytes(), 0u);
    }

    // pendingBytes() bounds what a client queues for a peer, so it counts bodies that have not been produced.
    TEST_F(FrameChannelTest, PendingBytesIncludeWaitingBodies)
    {
        connect();
        send(1, 0, bodyOf(megabyte));
        EXPECT_GT(channel->pendingBytes(), megabyte - 20 * piece);
        EXPECT_LE(channel->pendingBytes(), megabyte + piece);
        readUntilComplete(StreamId(1));
        EXPECT_EQ(channel->pendingBytes(), 0u);
    }

    // The body is not copied as a whole: the queue holds a reference until the last piece is produced.
    TEST_F(FrameChannelTest, BodyIsSharedAndReleased)
    {
        connect();
        const SharedBody body = bodyOf(megabyte);
        send(1, 0, body);
        EXPECT_EQ(body.use_count(), 2);
        readUntilComplete(StreamId(1));
        EXPECT_EQ(body.use_count(), 1);
    }

    // Guards against an upload that the link's budget does not see, and against bytes that it counts for ever.
    TEST_F(FrameChannelTest, LinkBudgetKnowsWhatWaits)
    {
        connect();
        ASSERT_TRUE(channel->sendWithBody(
            CallStart { .stream = StreamId(1), .hasBody = true }, StreamId(1), 0, bodyOf(megabyte)));
        EXPECT_EQ(link.waitingBytes(), channel->pendingBytes());
        EXPECT_GT(link.backlog(loop.now()), 500ms);
        readUntilComplete(StreamId(1));
        EXPECT_EQ(link.waitingBytes(), 0u);
        send(2, 0, bodyOf(8 * megabyte));
        EXPECT_GT(link.backlog(loop.now()), 4s);
        channel->cancelBody(StreamId(2));
        EXPECT_LT(link.backlog(loop.now()), 1s);
        send(3, 0, bodyOf(8 * megabyte));
        peer.close();
        runFor(50ms);
        EXPECT_FALSE(channel);
        EXPECT_EQ(link.waitingBytes(), 0u);
        EXPECT_LT(link.backlog(loop.now()), 2s);
    }

    TEST_F(FrameChannelTest, ConnectionLostHalfway)
    {
        connect();
        const SharedBody body = bodyOf(4 * megabyte);
        send(1, 0, body);
        peer.read();
        runFor(10ms);
        peer.close();
        runFor(50ms);
        EXPECT_TRUE(ended);
        EXPECT_FALSE(channel);
        EXPECT_EQ(body.use_count(), 1);
    }

    TEST(FrameChannelBoundTest, UnsentBytesFollowTheLink)
    {
        EXPECT_EQ(unsentBytesFor(0), 64u * 1024);
        EXPECT_EQ(unsentBytesFor(200e6), 64u * 1024);
        EXPECT_EQ(unsentBytesFor(16e6), 20000u);
        EXPECT_EQ(unsentBytesFor(1e6), piece);
    }

} // namespace
} // namespace skylark
