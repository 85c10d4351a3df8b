#include "eventloop/TcpStream.h"

#include "base/Error.h"
#include "base/Socket.h"

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <optional>
#include <sys/socket.h>
#include <thread>

namespace skylark {
namespace {

    using namespace std::chrono_literals;

    class RecordingHandler : public StreamHandler {
    public:
        void onConnected() override { isConnected = true; }
        void onData(std::string_view bytes) override
        {
            received += bytes;
            if (onReceived)
                onReceived();
        }
        void onEnd(StreamEnd reason) override
        {
            end = reason;
            if (onEnded)
                onEnded();
        }
        void onDrained() override { ++drainedCount; }
        std::string received;
        int drainedCount { 0 };
        std::optional<StreamEnd> end;
        bool isConnected { false };
        std::function<void()> onReceived;
        std::function<void()> onEnded;
    };

    class EventLoopTest : public testing::Test {
    protected:
        // Runs the loop for a limited time, so that a lost event fails a test and does not hang it.
        void runLoopFor(Duration limit)
        {
            Timer timer(loop, [this] { loop.stop(); });
            timer.start(limit);
            loop.run();
        }

        SystemClock clock;
        EventLoop loop { clock };
    };

    TEST_F(EventLoopTest, TimersFireInOrderAndStop)
    {
        std::string firingOrder;
        Timer laterTimer(loop, [&] { firingOrder += "2"; });
        Timer earlierTimer(loop, [&] { firingOrder += "1"; });
        Timer stoppedTimer(loop, [&] { firingOrder += "x"; });
        laterTimer.start(20ms);
        earlierTimer.start(5ms);
        stoppedTimer.start(10ms);
        stoppedTimer.stop();
        runLoopFor(60ms);
        EXPECT_EQ(firingOrder, "12");
    }

    // Guards against a timer that fires before its deadline.
    TEST_F(EventLoopTest, TimersNeverFireEarly)
    {
        constexpr int rounds = 50;
        int firedCount = 0;
        TimePoint due;
        Timer timer(loop, [&] {
            EXPECT_GE(clock.now(), due);
            if (++firedCount < rounds) {
                due = clock.now() + 3ms;
                timer.start(3ms);
            }
        });
        due = clock.now() + 3ms;
        timer.start(3ms);
        runLoopFor(2s);
        EXPECT_EQ(firedCount, rounds);
    }

    TEST_F(EventLoopTest, TimerMayDestroyItself)
    {
        std::unique_ptr<Timer> timer;
        timer = std::make_unique<Timer>(loop, [&] { timer.reset(); });
        timer->start(1ms);
        runLoopFor(30ms);
        EXPECT_EQ(timer, nullptr);
    }

    TEST_F(EventLoopTest, PostedTasksRunOnTheLoopThread)
    {
        std::thread::id taskThread;
        std::thread postingThread([&] {
            loop.post([&] {
                taskThread = std::this_thread::get_id();
                loop.stop();
            });
        });
        runLoopFor(2s);
        postingThread.join();
        EXPECT_EQ(taskThread, std::this_thread::get_id());
    }

    TEST_F(EventLoopTest, BytesArriveCompletelyAndInOrder)
    {
        constexpr size_t size = 3'000'000;
        std::string sent(size, ' ');
        for (size_t i = 0; i < size; ++i)
            sent[i] = static_cast<char>('a' + i % 23);
        RecordingHandler server;
        std::unique_ptr<TcpStream> acceptedStream;
        TcpListener listener(loop, { "127.0.0.1", 0 }, [&](std::unique_ptr<TcpStream> stream) {
            acceptedStream = std::move(stream);
            acceptedStream->setHandler(server);
            acceptedStream->startReading();
        });
        RecordingHandler client;
        const auto stream = TcpStream::connect(loop, { "127.0.0.1", listener.port() }, client, {});
        Timer writer(loop, [&] { stream->write(sent); });
        writer.start(50ms);
        server.onReceived = [&] {
            if (server.received.size() == size)
                loop.stop();
        };
        runLoopFor(5s);
        EXPECT_TRUE(server.received == sent);
        EXPECT_EQ(stream->pendingBytes(), 0u);
    }

    // A stream to a peer that the test drives by system calls, so that it decides what the stream does before it reads.
    class ManualPeerTest : public EventLoopTest {
    protected:
        ManualPeerTest()
            : listener(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
        {
            sockaddr_in address { .sin_family = AF_INET, .sin_port = 0, .sin_addr = { htonl(INADDR_LOOPBACK) } };
            socklen_t length = sizeof(address);
            auto* genericAddress = reinterpret_cast<sockaddr*>(&address);
            EXPECT_EQ(bind(listener.value(), genericAddress, length), 0);
            EXPECT_EQ(listen(listener.value(), 1), 0);
            EXPECT_EQ(getsockname(listener.value(), genericAddress, &length), 0);
            stream = TcpStream::connect(loop, { "127.0.0.1", ntohs(address.sin_port) }, client, {});
            peer = FileDescriptor(accept(listener.value(), nullptr, nullptr));
            runLoopFor(20ms);
            EXPECT_TRUE(client.isConnected);
            client.onEnded = [this] { loop.stop(); };
        }
        void sendFromPeer(std::string_view bytes)
        {
            EXPECT_EQ(send(peer.value(), bytes.data(), bytes.size(), MSG_NOSIGNAL), static_cast<ssize_t>(bytes.size()));
        }
        void resetFromPeer()
        {
            const linger immediate { .l_onoff = 1, .l_linger = 0 };
            setsockopt(peer.value(), SOL_SOCKET, SO_LINGER, &immediate, sizeof(immediate));
            peer = FileDescriptor();
            // The reset arrives at the stream's socket, while the loop does not run.
            std::this_thread::sleep_for(20ms);
        }

        RecordingHandler client;
        FileDescriptor listener;
        FileDescriptor peer;
        std::unique_ptr<TcpStream> stream;
    };

    // Guards against a truncated response that looks complete: a failed write takes the reset from the socket, and the
    // next read then reports an orderly end.
    TEST_F(ManualPeerTest, ResetThatAWriteConsumesIsAFailedEnd)
    {
        sendFromPeer("part");
        resetFromPeer();
        stream->write("more of the request");
        EXPECT_TRUE(stream->hasWriteError());
        runLoopFor(2s);
        EXPECT_EQ(client.received, "part");
        EXPECT_EQ(client.end, StreamEnd::Failed);
    }

    // The same for bytes that waited in the stream's queue.
    TEST_F(ManualPeerTest, ResetThatAQueuedWriteConsumesIsAFailedEnd)
    {
        stream->stopReading();
        stream->write(std::string(16'000'000, 'x'));
        ASSERT_GT(stream->pendingBytes(), 0u);
        sendFromPeer("part");
        resetFromPeer();
        runLoopFor(50ms);
        EXPECT_TRUE(stream->hasWriteError());
        stream->startReading();
        runLoopFor(2s);
        EXPECT_EQ(client.received, "part");
        EXPECT_EQ(client.end, StreamEnd::Failed);
    }

    TEST_F(ManualPeerTest, OrderlyEndWithoutAWriteErrorIsClosed)
    {
        stream->write("request");
        sendFromPeer("whole");
        shutdown(peer.value(), SHUT_WR);
        runLoopFor(2s);
        EXPECT_EQ(client.received, "whole");
        EXPECT_EQ(client.end, StreamEnd::Closed);
        EXPECT_FALSE(stream->hasWriteError());
        EXPECT_EQ(stream->undeliveredBytes(), 0u);
    }

    // Guards against a peer that closes its side while its system has not accepted the whole request yet.
    TEST_F(ManualPeerTest, BytesThatThePeerDoesNotAcceptAreUndelivered)
    {
        stream->write(std::string(16'000'000, 'x'));
        EXPECT_GT(stream->undeliveredBytes(), stream->pendingBytes());
    }

    TEST_F(EventLoopTest, RefusedConnectionEndsAsNotConnected)
    {
        uint16_t port = 0;
        {
            TcpListener listener(loop, { "127.0.0.1", 0 }, [](std::unique_ptr<TcpStream>) {});
            port = listener.port();
        }
        RecordingHandler client;
        client.onEnded = [this] { loop.stop(); };
        const auto stream = TcpStream::connect(loop, { "127.0.0.1", port }, client, {});
        runLoopFor(2s);
        EXPECT_EQ(client.end, StreamEnd::NotConnected);
        EXPECT_FALSE(client.isConnected);
    }

    // Guards against a response that the peer cannot read because its own unread data resets the connection on close.
    TEST_F(EventLoopTest, CloseAfterFlushDeliversEverything)
    {
        RecordingHandler ignoringHandler;
        TcpListener listener(loop, { "127.0.0.1", 0 }, [&](std::unique_ptr<TcpStream> stream) {
            stream->setHandler(ignoringHandler);
            stream->write(std::string(500'000, 'x'));
            TcpStream::closeAfterFlush(std::move(stream));
        });
        RecordingHandler client;
        client.onEnded = [this] { loop.stop(); };
        const auto stream = TcpStream::connect(loop, { "127.0.0.1", listener.port() }, client, {});
        Timer writer(loop, [&] { stream->write("bytes that nobody reads"); });
        writer.start(5ms);
        runLoopFor(3s);
        EXPECT_EQ(client.received.size(), 500'000u);
        EXPECT_EQ(client.end, StreamEnd::Closed);
    }

    // Reads nothing until startReading() is called, with a small receive buffer.
    class SlowReader {
    public:
        SlowReader(EventLoop& loop, uint16_t port)
            : m_stream(TcpStream::connect(loop, { "127.0.0.1", port }, handler, {}))
        {
            handler.onReceived = [this] {
                if (!m_mayRead)
                    m_stream->stopReading();
            };
        }
        void startReading()
        {
            m_mayRead = true;
            m_stream->startReading();
        }
        RecordingHandler handler;

    private:
        std::unique_ptr<TcpStream> m_stream;
        bool m_mayRead { false };
    };

    // More than the socket buffers of both ends hold.
    constexpr size_t largeResponseBytes = 24'000'000;

    // Guards against a sender that is not told when it may write again, and against a kernel that takes megabytes ahead
    // of what is written next.
    TEST_F(EventLoopTest, HandlerLearnsThatTheKernelAcceptedThePendingBytes)
    {
        RecordingHandler sender;
        std::unique_ptr<TcpStream> accepted;
        TcpListener listener(loop, { "127.0.0.1", 0 }, [&](std::unique_ptr<TcpStream> stream) {
            accepted = std::move(stream);
            accepted->setHandler(sender);
            accepted->limitUnsentBytes(16 * 1024);
            accepted->write("start");
        });
        SlowReader reader(loop, listener.port());
        runLoopFor(50ms);
        ASSERT_TRUE(accepted);
        EXPECT_EQ(sender.drainedCount, 0);
        accepted->write(std::string(largeResponseBytes, 'x'));
        runLoopFor(50ms);
        // The rest is what the reader's kernel holds.
        EXPECT_GT(accepted->pendingBytes(), largeResponseBytes / 2);
        EXPECT_EQ(sender.drainedCount, 0);
        reader.handler.onReceived = nullptr;
        reader.startReading();
        runLoopFor(2s);
        EXPECT_EQ(accepted->pendingBytes(), 0u);
        EXPECT_GE(sender.drainedCount, 1);
        EXPECT_EQ(reader.handler.received.size(), largeResponseBytes + 5);
    }

    // Guards against a response that is cut because its reader needs longer than the wait for the peer's close.
    TEST_F(EventLoopTest, CloseAfterFlushWaitsForASlowReader)
    {
        TcpListener listener(loop, { "127.0.0.1", 0 }, [&](std::unique_ptr<TcpStream> stream) {
            stream->write(std::string(largeResponseBytes, 'x'));
            TcpStream::closeAfterFlush(std::move(stream));
        });
        SlowReader reader(loop, listener.port());
        reader.handler.onEnded = [this] { loop.stop(); };
        Timer start(loop, [&] { reader.startReading(); });
        start.start(1500ms);
        runLoopFor(10s);
        EXPECT_EQ(reader.handler.received.size(), largeResponseBytes);
        EXPECT_EQ(reader.handler.end, StreamEnd::Closed);
    }

    // Guards against a cut response that looks complete: a response without a length ends with the close.
    TEST_F(EventLoopTest, CloseThatCannotBeFlushedResetsTheConnection)
    {
        TcpListener listener(loop, { "127.0.0.1", 0 }, [&](std::unique_ptr<TcpStream> stream) {
            stream->write(std::string(largeResponseBytes, 'x'));
            TcpStream::closeAfterFlush(std::move(stream), { .flushTimeout = 200ms });
        });
        SlowReader reader(loop, listener.port());
        reader.handler.onEnded = [this] { loop.stop(); };
        Timer start(loop, [&] { reader.startReading(); });
        start.start(800ms);
        runLoopFor(5s);
        EXPECT_LT(reader.handler.received.size(), largeResponseBytes);
        EXPECT_EQ(reader.handler.end, StreamEnd::Failed);
        EXPECT_EQ(loop.pendingCloses(), 0u);
    }

    // Guards against a response without a length that looks complete although it was reset: libuv reports a reset that
    // arrives with data as the end of the stream.
    TEST_F(EventLoopTest, ResetThatArrivesWithDataIsNoOrderlyClose)
    {
        for (int round = 0; round < 20; ++round) {
            std::unique_ptr<TcpStream> acceptedStream;
            TcpListener listener(loop, { "127.0.0.1", 0 },
                [&](std::unique_ptr<TcpStream> stream) { acceptedStream = std::move(stream); });
            RecordingHandler client;
            client.onEnded = [this] { loop.stop(); };
            const auto stream = TcpStream::connect(loop, { "127.0.0.1", listener.port() }, client, {});
            runLoopFor(10ms);
            ASSERT_TRUE(acceptedStream && client.isConnected);
            acceptedStream->write("part of a response");
            TcpStream::reset(std::move(acceptedStream));
            runLoopFor(2s);
            EXPECT_EQ(client.end, StreamEnd::Failed);
        }
    }

    TEST_F(EventLoopTest, LoopCountsTheClosesThatHaveNotEnded)
    {
        TcpListener listener(loop, { "127.0.0.1", 0 }, [&](std::unique_ptr<TcpStream> stream) {
            stream->write(std::string(largeResponseBytes, 'x'));
            TcpStream::closeAfterFlush(std::move(stream));
        });
        SlowReader reader(loop, listener.port());
        runLoopFor(300ms);
        EXPECT_EQ(loop.pendingCloses(), 1u);
        reader.startReading();
        runLoopFor(2s);
        EXPECT_EQ(loop.pendingCloses(), 0u);
    }

    // Guards against one unexpected error that ends the whole process.
    TEST_F(EventLoopTest, ErrorInOneCallbackEndsOnlyItsStream)
    {
        RecordingHandler failing;
        RecordingHandler sound;
        std::vector<std::unique_ptr<TcpStream>> accepted;
        TcpListener listener(loop, { "127.0.0.1", 0 }, [&](std::unique_ptr<TcpStream> stream) {
            RecordingHandler& handler = accepted.empty() ? failing : sound;
            stream->setHandler(handler);
            stream->startReading();
            accepted.push_back(std::move(stream));
        });
        failing.onReceived = [] { throw std::runtime_error("unexpected"); };
        RecordingHandler firstClient;
        RecordingHandler secondClient;
        const auto first = TcpStream::connect(loop, { "127.0.0.1", listener.port() }, firstClient, {});
        runLoopFor(50ms);
        const auto second = TcpStream::connect(loop, { "127.0.0.1", listener.port() }, secondClient, {});
        runLoopFor(50ms);
        first->write("bad");
        second->write("good");
        Timer failingTimer(loop, [] { throw std::runtime_error("unexpected"); });
        failingTimer.start(1ms);
        bool hasRunTask = false;
        loop.post([] { throw std::runtime_error("unexpected"); });
        loop.post([&] { hasRunTask = true; });
        runLoopFor(100ms);
        EXPECT_EQ(failing.end, StreamEnd::Failed);
        EXPECT_EQ(sound.received, "good");
        EXPECT_TRUE(hasRunTask);
        EXPECT_EQ(loop.unexpectedErrors(), 3u);
    }

    TEST_F(EventLoopTest, BindErrorNamesTheAddressInUse)
    {
        const TcpListener firstListener(loop, { "127.0.0.1", 0 }, [](std::unique_ptr<TcpStream>) {});
        const Endpoint addressInUse { "127.0.0.1", firstListener.port() };
        try {
            const TcpListener secondListener(loop, addressInUse, [](std::unique_ptr<TcpStream>) {});
            FAIL() << "the address was bound twice";
        } catch (const Error& error) {
            EXPECT_EQ(error.step(), "listen");
            EXPECT_EQ(error.peer(), addressInUse.toString());
        }
    }

} // namespace
} // namespace skylark
