// Tests the order in which calls wait for a server with a limited rate.
#include "admission/RateQueue.h"

#include <gtest/gtest.h>

namespace skylark {
namespace {

    using namespace std::chrono_literals;

    const TimePoint start = TimePoint() + 1h;
    const RateQueue::Turns turns { .first = 100ms, .interval = 100ms };

    RateQueue::Entry call(uint64_t id, int rank, Duration startWithin)
    {
        return { .id = TicketId(id), .rank = rank, .startBy = start + startWithin };
    }

    // Guards against less urgent calls that take the turns of urgent ones because they came first.
    TEST(RateQueueTest, UrgentCallsGoFirstAndDisplaceOthers)
    {
        RateQueue queue;
        EXPECT_TRUE(queue.offer(call(1, 2, 250ms), turns, start).empty());
        EXPECT_TRUE(queue.offer(call(2, 1, 250ms), turns, start).empty());
        EXPECT_EQ(queue.offer(call(3, 0, 250ms), turns, start), std::vector { TicketId(1) });
        EXPECT_EQ(queue.offer(call(4, 2, 250ms), turns, start), std::vector { TicketId(4) });
        EXPECT_EQ(queue.takeFirst(), TicketId(3));
        EXPECT_EQ(queue.takeFirst(), TicketId(2));
    }

    TEST(RateQueueTest, CallThatLostItsTurnIsReturned)
    {
        RateQueue queue;
        queue.offer(call(1, 0, 150ms), turns, start);
        queue.offer(call(2, 0, 500ms), turns, start);
        EXPECT_EQ(queue.expire(turns, start + 100ms), std::vector { TicketId(1) });
        EXPECT_TRUE(queue.cancel(TicketId(2)));
        EXPECT_FALSE(queue.cancel(TicketId(2)));
    }

    TEST(RateQueueTest, FullQueueRefusesTheLastCall)
    {
        RateQueue queue(2);
        queue.offer(call(1, 1, 1h), turns, start);
        queue.offer(call(2, 1, 1h), turns, start);
        EXPECT_EQ(queue.offer(call(3, 0, 1h), turns, start), std::vector { TicketId(2) });
        EXPECT_EQ(queue.size(), 2u);
    }

} // namespace
} // namespace skylark
