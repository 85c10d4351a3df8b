// Tests what the cost estimator learns and forgets, and the bound of its table.
#include "admission/CostEstimator.h"
#include "admission/RemainingWork.h"
#include "base/Random.h"

#include <gtest/gtest.h>

namespace skylark {
namespace {

    using namespace std::chrono_literals;

    class CostEstimatorTest : public testing::Test {
    protected:
        CostRequest request(std::string_view target, uint64_t bodyBytes = 0) const
        {
            return { .service = "store",
                .route = "items",
                .routePrefix = "/items",
                .method = "GET",
                .target = target,
                .bodyBytes = bodyBytes };
        }
        void record(std::string_view target, Duration time, int count, Duration interval = 50ms)
        {
            for (int i = 0; i < count; ++i) {
                m_now += interval;
                m_estimator.record(request(target), time, m_now);
            }
        }
        double expectedMs(const CostRequest& request) const
        {
            return std::chrono::duration<double, std::milli>(m_estimator.expected(request, m_now)).count();
        }

        TimePoint m_now { 1000s };
        CostEstimator m_estimator;
        Random m_random { 6 };
    };

    // Guards against a new path or route that counts as free, and against a stated cost without any observation.
    TEST_F(CostEstimatorTest, StartsFromTheRouteThenTheService)
    {
        EXPECT_EQ(m_estimator.expected(request("/items/a"), m_now), Duration::zero());
        record("/items/a", 100ms, 50);
        EXPECT_NEAR(expectedMs(request("/items/never-seen")), 100, 1);
        CostRequest otherRoute = request("/orders/1");
        otherRoute.route = "orders";
        EXPECT_NEAR(expectedMs(otherRoute), 100, 1);
        otherRoute.service = "other";
        EXPECT_EQ(m_estimator.expected(otherRoute, m_now), Duration::zero());
    }

    // Guards against a tail that no key explains making single paths look expensive: the estimate is the mean.
    TEST_F(CostEstimatorTest, HeavyTailWithoutACauseIsAveraged)
    {
        for (int i = 0; i < 4000; ++i) {
            m_now += 20ms;
            const std::string target = "/items/" + std::to_string(m_random.below(20));
            m_estimator.record(request(target), m_random.unit() < 0.03 ? 700ms : 100ms, m_now);
        }
        for (int i = 0; i < 20; ++i)
            EXPECT_NEAR(expectedMs(request("/items/" + std::to_string(i))), 118, 60) << i;
    }

    TEST_F(CostEstimatorTest, SingleSlowResponseToARarePathChangesLittle)
    {
        record("/items/a", 100ms, 200);
        record("/items/rare", 700ms, 2);
        EXPECT_LT(expectedMs(request("/items/rare")), 300);
        EXPECT_LT(expectedMs(request("/items/a")), 120);
    }

    TEST_F(CostEstimatorTest, LearnsCostByPathMethodAndSize)
    {
        for (int i = 0; i < 2000; ++i) {
            const std::string id = std::to_string(m_random.below(1000000));
            record("/items/one/" + id, 100ms, 1);
            if (i % 20 == 0)
                record("/items/export/" + id + "?full=1", 700ms, 1);
            if (i % 10 == 0) {
                m_estimator.record(request("/items/one/" + id, 100000), 400ms, m_now);
                CostRequest post = request("/items/one/" + id);
                post.method = "POST";
                m_estimator.record(post, 250ms, m_now);
            }
        }
        CostRequest post = request("/items/one/1");
        post.method = "POST";
        EXPECT_NEAR(expectedMs(request("/items/one/new")), 100, 20);
        EXPECT_NEAR(expectedMs(request("/items/export/new")), 700, 100);
        EXPECT_NEAR(expectedMs(request("/items/one/new", 110000)), 400, 60);
        EXPECT_NEAR(expectedMs(post), 250, 40);
    }

    // Guards against an estimate that follows a changed cost only after minutes.
    TEST_F(CostEstimatorTest, FollowsAChangeOfCostWithinTensOfSeconds)
    {
        record("/items/a", 100ms, 2000);
        EXPECT_NEAR(expectedMs(request("/items/a")), 100, 1);
        record("/items/a", 500ms, 20 * 30);
        EXPECT_GT(expectedMs(request("/items/a")), 400);
    }

    // A fine level loses its weight without observations; the route's value takes its place.
    TEST_F(CostEstimatorTest, OldObservationsLoseTheirWeight)
    {
        record("/items/a", 700ms, 50);
        record("/items/b", 100ms, 20 * 240);
        EXPECT_LT(expectedMs(request("/items/a")), 150);
    }

    // Guards against unique ids in paths that push out the paths whose costs matter, and against unbounded memory.
    TEST_F(CostEstimatorTest, PathsThatNeverRecurReplaceNothing)
    {
        for (int i = 0; i < 50; ++i)
            record("/items/hot" + std::to_string(i), 700ms, 20, 1ms);
        const size_t entries = m_estimator.fineEntries();
        EXPECT_LE(entries, 51u);
        for (int i = 0; i < 200000; ++i) {
            m_now += 100us;
            m_estimator.record(request("/items/unique" + std::to_string(i) + "/x"), 100ms, m_now);
        }
        EXPECT_LE(m_estimator.fineEntries(), entries + 5);
        for (int i = 0; i < 50; ++i)
            EXPECT_GT(expectedMs(request("/items/hot" + std::to_string(i))), 450) << i;
    }

    // Every path recurs here, so the table fills; entries in use are kept.
    TEST_F(CostEstimatorTest, TableIsBoundedForRecurringPathsAndNames)
    {
        record("/items/hot", 700ms, 100, 1ms);
        for (int i = 0; i < 100000; ++i) {
            m_now += 10us;
            record("/items/p" + std::to_string(i), 100ms, 3, 1us);
            if (i % 100 == 0)
                record("/items/hot", 700ms, 1, 1us);
            if (i % 10 == 0) {
                const std::string name = std::to_string(i);
                m_estimator.record({ .service = name, .route = name, .method = "GET", .target = "/" }, 1ms, m_now);
            }
        }
        EXPECT_LE(m_estimator.fineEntries(), CostEstimator::fineSets * CostEstimator::fineWays);
        EXPECT_LE(m_estimator.coarseEntries(), 64u + 512u);
        EXPECT_GT(expectedMs(request("/items/hot")), 600);
    }

    // Guards against tail calls that look like an idle slot, and against work that stays after its call has left.
    TEST(RemainingWorkTest, CountsWaitingAndRunningCalls)
    {
        RemainingWork work;
        TimePoint now { 1s };
        work.add(1, 100ms);
        work.add(2, 200ms);
        work.add(3, 400ms);
        EXPECT_EQ(work.remaining(now), 700ms);
        work.start(1, now);
        work.start(2, now);
        now += 50ms;
        EXPECT_EQ(work.remaining(now), 50ms + 150ms + 400ms);
        now += 10s;
        EXPECT_EQ(work.remaining(now), 25ms + 50ms + 400ms);
        work.remove(2);
        work.remove(3);
        work.remove(99);
        EXPECT_EQ(work.remaining(now), 25ms);
        work.remove(1);
        EXPECT_EQ(work.remaining(now), Duration::zero());
        EXPECT_EQ(work.size(), 0u);
    }

} // namespace
} // namespace skylark
