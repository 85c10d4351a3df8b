// Tests the order in which FrameQueue sends the pieces of bodies.
#include "proxy/FrameQueue.h"

#include "base/Random.h"
#include "testing/TestSeed.h"

#include <gtest/gtest.h>

namespace skylark {
namespace {

    constexpr size_t piece = FrameQueue::pieceBytes;

    SharedBody bodyOf(size_t bytes, char content = 'x')
    {
        return std::make_shared<const std::string>(std::string(bytes, content));
    }

    std::vector<uint64_t> order(FrameQueue& queue)
    {
        std::vector<uint64_t> streams;
        while (const auto chunk = queue.next())
            streams.push_back(chunk->stream.value());
        return streams;
    }

    // Guards against a large body that delays all bodies behind it on the connection.
    TEST(FrameQueueTest, StreamsOfOneRankTakeTurns)
    {
        FrameQueue queue;
        queue.add(StreamId(1), 2, bodyOf(4 * piece));
        queue.add(StreamId(2), 2, bodyOf(100));
        queue.add(StreamId(3), 2, bodyOf(2 * piece));
        EXPECT_EQ(order(queue), (std::vector<uint64_t> { 1, 2, 3, 1, 3, 1, 1 }));
        EXPECT_TRUE(queue.isEmpty());
    }

    // Guards against a response to a nested call that waits behind the downloads of a less urgent rank.
    TEST(FrameQueueTest, UrgentRankGoesFirst)
    {
        FrameQueue queue;
        queue.add(StreamId(1), 2, bodyOf(3 * piece));
        ASSERT_EQ(queue.next()->stream, StreamId(1));
        queue.add(StreamId(2), 0, bodyOf(100));
        queue.add(StreamId(3), 1, bodyOf(piece + 1));
        EXPECT_EQ(order(queue), (std::vector<uint64_t> { 2, 3, 3, 1, 1 }));
    }

    // Guards against a response that is never completed because more urgent bodies keep arriving.
    TEST(FrameQueueTest, EveryRankIsServed)
    {
        FrameQueue queue;
        queue.add(StreamId(1), 0, bodyOf(100 * piece));
        queue.add(StreamId(2), 1, bodyOf(piece));
        queue.add(StreamId(3), 5, bodyOf(piece));
        const std::vector<uint64_t> streams = order(queue);
        constexpr size_t run = FrameQueue::maxUrgentRun;
        EXPECT_EQ(streams[run], 2u);
        EXPECT_EQ(streams[2 * run + 1], 3u);
    }

    TEST(FrameQueueTest, CancelDropsTheRestOfOneBody)
    {
        FrameQueue queue;
        queue.add(StreamId(1), 1, bodyOf(3 * piece));
        queue.add(StreamId(2), 1, bodyOf(2 * piece));
        queue.next();
        EXPECT_EQ(queue.cancel(StreamId(1)), 2 * piece);
        EXPECT_EQ(queue.pendingBytes(), 2 * piece);
        EXPECT_EQ(queue.cancel(StreamId(1)), 0u);
        EXPECT_EQ(order(queue), (std::vector<uint64_t> { 2, 2 }));
        EXPECT_EQ(queue.pendingBytes(), 0u);
    }

    // Guards against a gap at the receiver when a call is answered twice: the second head starts the body anew.
    TEST(FrameQueueTest, SecondBodyOfAStreamReplacesTheFirst)
    {
        FrameQueue queue;
        queue.add(StreamId(1), 0, bodyOf(3 * piece, 'a'));
        queue.next();
        queue.add(StreamId(1), 0, bodyOf(piece, 'b'));
        const auto chunk = queue.next();
        EXPECT_EQ(chunk->offset, 0u);
        EXPECT_EQ(chunk->data.front(), 'b');
        EXPECT_TRUE(chunk->isLast);
        EXPECT_FALSE(queue.next());
    }

    // Random bodies, ranks and cancellations: the receiver gets each body that is not cancelled whole, in order, and
    // each rank is served.
    TEST(FrameQueueTest, RandomBodiesArriveWhole)
    {
        runWithSeeds(20430, [](uint64_t seed) {
            Random random(seed);
            FrameQueue queue;
            std::map<uint64_t, SharedBody> sent;
            std::map<uint64_t, std::string> received;
            std::map<uint64_t, bool> isComplete;
            uint64_t lastStream = 0;
            for (int step = 0; step < 20000; ++step) {
                const double choice = random.unit();
                if (choice < 0.1) {
                    const uint64_t stream = ++lastStream;
                    sent[stream] = bodyOf(
                        1 + static_cast<size_t>(random.unit() * 8 * piece), static_cast<char>('a' + stream % 26));
                    queue.add(StreamId(stream), static_cast<uint32_t>(random.unit() * 4), sent[stream]);
                } else if (choice < 0.11 && lastStream > 0) {
                    const uint64_t stream = 1 + static_cast<uint64_t>(random.unit() * static_cast<double>(lastStream));
                    if (queue.cancel(StreamId(stream)) > 0)
                        sent.erase(stream);
                } else if (const auto chunk = queue.next()) {
                    std::string& body = received[chunk->stream.value()];
                    ASSERT_TRUE(sent.contains(chunk->stream.value()));
                    ASSERT_EQ(chunk->offset, body.size());
                    ASSERT_LE(chunk->data.size(), piece);
                    body += chunk->data;
                    isComplete[chunk->stream.value()] = chunk->isLast;
                }
            }
            while (const auto chunk = queue.next()) {
                received[chunk->stream.value()] += chunk->data;
                isComplete[chunk->stream.value()] = chunk->isLast;
            }
            EXPECT_EQ(queue.pendingBytes(), 0u);
            for (const auto& [stream, body] : sent) {
                EXPECT_EQ(received[stream], *body);
                EXPECT_TRUE(isComplete[stream]);
            }
        });
    }

} // namespace
} // namespace skylark
