#include "eventloop/TcpStream.h"

#include "base/Error.h"

#include <gtest/gtest.h>
#include <optional>
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
        std::string received;
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
