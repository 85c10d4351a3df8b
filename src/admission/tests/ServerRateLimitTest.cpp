// Tests the rate at which a gate sends requests to a server that has named a limit.
#include "admission/ServerRateLimit.h"

#include <deque>
#include <gtest/gtest.h>

namespace skylark {
namespace {

    using namespace std::chrono_literals;

    const TimePoint start = TimePoint() + 1h;

    // Guards against bursts: the most requests in any 4 s stay under one and a half times what the rate allows and
    // five, at a steady flood, after idle times and when the rate is named again and again.
    TEST(ServerRateLimitTest, FloodStaysWithinTheNamedRateInAnyFourSeconds)
    {
        for (const double rate : { 0.2, 1.0, 5.6, 39.6, 450.0 }) {
            ServerRateLimit limit;
            limit.set(rate, start);
            std::deque<TimePoint> sent;
            size_t most = 0;
            for (TimePoint now = start; now < start + 30s; now += 1ms) {
                limit.set(rate, now);
                const bool isIdle = (now - start) % 7s < 2s;
                if (!isIdle && limit.startRequest(now))
                    sent.push_back(now);
                while (!sent.empty() && sent.front() <= now - 4s)
                    sent.pop_front();
                most = std::max(most, sent.size());
            }
            EXPECT_LE(static_cast<double>(most), 1.5 * 4 * rate + 5) << rate;
            EXPECT_GE(static_cast<double>(most), 0.9 * 4 * rate) << rate << ": the server takes more";
        }
    }

    TEST(ServerRateLimitTest, AnswerWithoutALimitEndsIt)
    {
        ServerRateLimit limit;
        limit.set(1, start);
        EXPECT_FALSE(limit.startRequest(start));
        EXPECT_GT(limit.delayForSender(start), Duration(0));
        limit.set(std::nullopt, start);
        for (int i = 0; i < 100; ++i)
            EXPECT_TRUE(limit.startRequest(start));
        EXPECT_EQ(limit.delayForSender(start), Duration(0));
    }

    // Guards against a server that named zero and never gets a request whose answer could end the limit.
    TEST(ServerRateLimitTest, ServerThatNamesZeroIsStillAskedNowAndThen)
    {
        ServerRateLimit limit;
        limit.set(0, start);
        int sent = 0;
        for (TimePoint now = start; now < start + 20s; now += 10ms)
            sent += limit.startRequest(now) ? 1 : 0;
        EXPECT_GE(sent, 5);
        EXPECT_LE(sent, 25);
    }

    TEST(ServerRateLimitTest, SendersTakeTurns)
    {
        ServerRateLimit limit;
        limit.set(10, start);
        for (uint64_t sender = 1; sender <= 20; ++sender)
            limit.recordSender(Incarnation(sender), start);
        EXPECT_EQ(limit.delayForSender(start), Duration(2s));
        limit.recordSender(Incarnation(1), start + 2s);
        EXPECT_LT(limit.delayForSender(start + 2s), Duration(200ms)) << "the other senders have stopped";
    }

} // namespace
} // namespace skylark
