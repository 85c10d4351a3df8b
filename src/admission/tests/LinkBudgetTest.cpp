// Tests which calls LinkBudget accepts.
#include "admission/LinkBudget.h"

#include "testing/FakeClock.h"

#include <gtest/gtest.h>

namespace skylark {
namespace {

    using namespace std::chrono_literals;

    // 16 Mbit/s: 2,000 bytes per millisecond.
    constexpr double linkBits = 16e6;
    constexpr uint64_t downloadBytes = 90000;

    class LinkBudgetTest : public testing::Test {
    protected:
        LinkBudgetTest()
        {
            link.recordResponse("download", downloadBytes, clock.now());
            link.recordResponse("alert", 100, clock.now());
        }
        bool tryAccept(const std::string& route, int rank, Duration target = 500ms, Duration service = 70ms)
        {
            const TimePoint now = clock.now();
            return link.tryAccept({ .route = route,
                                      .rank = rank,
                                      .readyAt = now + service,
                                      .onTimeBy = now + target,
                                      .deadline = now + std::max<Duration>(target, 1200ms) },
                now);
        }
        // Accepts downloads that are all answered at once, until one is refused.
        int acceptedDownloads(int rank)
        {
            int accepted = 0;
            for (; accepted < 1000 && tryAccept("download", rank, 500ms, 0ms); ++accepted)
                link.recordQueued(downloadBytes, downloadBytes, clock.now());
            return accepted;
        }

        FakeClock clock;
        LinkBudget link { linkBits };
    };

    TEST_F(LinkBudgetTest, UnknownRateAcceptsEverything)
    {
        LinkBudget unlimited;
        unlimited.recordResponse("download", downloadBytes, clock.now());
        unlimited.recordQueued(1'000'000'000, 1'000'000'000, clock.now());
        EXPECT_TRUE(unlimited.tryAccept({ .route = "download",
                                            .readyAt = clock.now(),
                                            .onTimeBy = clock.now() + 1ms,
                                            .deadline = clock.now() + 1ms },
            clock.now()));
        EXPECT_EQ(unlimited.backlog(clock.now()), Duration::zero());
    }

    // Guards against responses that are accepted although the bytes before them make them late.
    TEST_F(LinkBudgetTest, RefusesWhatWouldBeLate)
    {
        EXPECT_TRUE(tryAccept("download", 0));
        link.recordQueued(1'500'000, 1'500'000, clock.now());
        EXPECT_FALSE(tryAccept("download", 0));
        EXPECT_EQ(link.refused(), 1u);
        clock.advance(700ms);
        EXPECT_TRUE(tryAccept("download", 0));
    }

    // Guards against counting only what waits: calls that already run produce responses too.
    TEST_F(LinkBudgetTest, CountsWhatRunningCallsWillProduce)
    {
        for (int call = 0; call < 12; ++call)
            link.reserve(downloadBytes);
        EXPECT_FALSE(tryAccept("download", 0));
        for (int call = 0; call < 12; ++call)
            link.release(downloadBytes);
        EXPECT_EQ(link.reservedBytes(), 0u);
        EXPECT_TRUE(tryAccept("download", 0));
    }

    // Guards against nested calls that are refused because downloads fill the link.
    TEST_F(LinkBudgetTest, SmallResponsesAreAcceptedOnALinkFullOfLargeOnes)
    {
        link.recordQueued(5'000'000, 5'000'000, clock.now());
        EXPECT_FALSE(tryAccept("download", 0));
        EXPECT_TRUE(tryAccept("alert", 0, 300ms, 27ms));
    }

    TEST_F(LinkBudgetTest, SmallResponsesAreRefusedIfTheyAloneFillTheLink)
    {
        for (int message = 0; message < 2000; ++message)
            link.recordQueued(1000, 1000, clock.now());
        EXPECT_FALSE(tryAccept("alert", 0, 300ms, 27ms));
    }

    TEST_F(LinkBudgetTest, LessUrgentResponsesAreRefusedFirst)
    {
        const int third = acceptedDownloads(2);
        EXPECT_GT(third, 1);
        EXPECT_FALSE(tryAccept("download", 2, 500ms, 0ms));
        EXPECT_TRUE(tryAccept("download", 0, 500ms, 0ms));
        EXPECT_GT(acceptedDownloads(0), 0);
    }

    // Guards against late calls and generous targets that fill the link up to their deadlines: calls with an ordinary
    // target would all be refused then.
    TEST_F(LinkBudgetTest, BacklogIsBoundedWhateverTheTarget)
    {
        for (int call = 0; call < 1000 && tryAccept("download", 0, 10s, 0ms); ++call)
            link.recordQueued(downloadBytes, downloadBytes, clock.now());
        EXPECT_LT(link.backlog(clock.now()), 400ms);
        clock.advance(100ms);
        EXPECT_TRUE(tryAccept("download", 0, 500ms, 0ms));
        EXPECT_FALSE(tryAccept("download", 0, 1ms, 0ms));
    }

    // Large responses leave a part of the link to small ones in the long run.
    TEST_F(LinkBudgetTest, LargeResponsesLeaveAPart)
    {
        const TimePoint start = clock.now();
        uint64_t accepted = 0;
        for (int step = 0; step < 10000; ++step, clock.advance(1ms)) {
            if (!tryAccept("download", 2, 500ms, 0ms))
                continue;
            link.recordQueued(downloadBytes, downloadBytes, clock.now());
            accepted += downloadBytes;
        }
        const double share
            = static_cast<double>(accepted) * 8 / linkBits / std::chrono::duration<double>(clock.now() - start).count();
        EXPECT_GT(share, 0.9);
        EXPECT_LT(share, 0.97);
    }

    // Guards against a link that is slower than its setting: what waits in the process shows it.
    TEST_F(LinkBudgetTest, WaitingBytesCountWhenTheLinkIsSlowerThanStated)
    {
        link.changeWaiting(2'000'000);
        EXPECT_FALSE(tryAccept("download", 0));
        link.changeWaiting(-2'000'000);
        EXPECT_TRUE(tryAccept("download", 0));
        EXPECT_EQ(link.waitingBytes(), 0u);
    }

    // Guards against a node that refuses calls for bytes of a lost connection.
    TEST_F(LinkBudgetTest, DroppedBytesNoLongerCount)
    {
        link.recordQueued(2'000'000, 2'000'000, clock.now());
        EXPECT_FALSE(tryAccept("download", 0));
        link.recordDropped(2'000'000);
        EXPECT_TRUE(tryAccept("download", 0));
    }

    // Guards against a route that is refused for an assumed size and therefore never measured.
    TEST_F(LinkBudgetTest, UnknownRouteIsAccepted)
    {
        link.recordQueued(5'000'000, 5'000'000, clock.now());
        EXPECT_TRUE(tryAccept("new", 2));
        EXPECT_EQ(link.expectedBytes("new"), 0u);
    }

    TEST_F(LinkBudgetTest, RoutesAreBounded)
    {
        for (size_t route = 0; route < 2 * LinkBudget::maxRoutes; ++route) {
            clock.advance(1ms);
            link.recordResponse("download", downloadBytes, clock.now());
            link.recordResponse("route-" + std::to_string(route), 500, clock.now());
        }
        EXPECT_EQ(link.expectedBytes("download"), downloadBytes);
        EXPECT_EQ(link.expectedBytes("route-0"), 0u);
        EXPECT_EQ(link.expectedBytes("route-" + std::to_string(2 * LinkBudget::maxRoutes - 1)), 500u);
    }

    TEST_F(LinkBudgetTest, StatesItsLoad)
    {
        EXPECT_FALSE(link.isSaturated(clock.now()));
        link.recordQueued(1'000'000, 1'000'000, clock.now());
        EXPECT_NEAR(link.use(clock.now()), 0.25, 0.01);
        EXPECT_GT(link.backlogCalls(clock.now()), 5);
        EXPECT_FALSE(tryAccept("download", 2));
        EXPECT_TRUE(link.isSaturated(clock.now()));
        clock.advance(2s);
        EXPECT_FALSE(link.isSaturated(clock.now()));
        EXPECT_LT(link.use(clock.now()), 0.1);
    }

} // namespace
} // namespace skylark
