// The throttle under simulated loads: how much of a scarce service's work is wasted, and what is refused in vain.
#include "admission/InnerCallThrottle.h"

#include <deque>
#include <gtest/gtest.h>

namespace skylark {
namespace {

    using namespace std::chrono_literals;

    constexpr int rank = 1;

    // Requests that each run for 300 ms and then make one call to a scarce service, which answers so many a second.
    struct Outcome {
        int served { 0 };
        int wasted { 0 };
        int refused { 0 };
    };

    class Load {
    public:
        explicit Load(InnerCallThrottle* throttle)
            : m_throttle(throttle)
        {
        }
        Outcome run(Duration time, int offeredPerSecond, int capacityPerSecond)
        {
            Outcome outcome;
            for (const TimePoint end = m_now + time; m_now < end; m_now += step) {
                m_offered += offeredPerSecond * seconds(step);
                m_capacity = std::min(m_capacity + capacityPerSecond * seconds(step), capacityPerSecond * 0.1);
                for (; m_offered >= 1; m_offered -= 1) {
                    if (m_throttle && !m_throttle->admits(rank, m_random, m_now))
                        ++outcome.refused;
                    else
                        m_running.push_back(m_now + 300ms);
                }
                for (; !m_running.empty() && m_running.front() <= m_now; m_running.pop_front())
                    endRun(outcome);
            }
            return outcome;
        }

    private:
        static constexpr Duration step = 5ms;
        static double seconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }
        void endRun(Outcome& outcome)
        {
            const bool isServed = m_capacity >= 1;
            m_capacity -= isServed ? 1 : 0;
            ++(isServed ? outcome.served : outcome.wasted);
            if (m_throttle)
                m_throttle->noteRun(rank, !isServed, m_now);
        }

        InnerCallThrottle* m_throttle;
        Random m_random { 1 };
        TimePoint m_now { 1h };
        double m_offered { 0 };
        double m_capacity { 0 };
        std::deque<TimePoint> m_running;
    };

    // Guards against runs that hold slots for nothing while a called service carries half of the calls (hunt-919b-3 of
    // pointe-qld-grown).
    TEST(InnerCallThrottleTest, FewRunsAreWastedAndTheScarceServiceStaysBusy)
    {
        InnerCallThrottle throttle;
        Load throttled(&throttle);
        Load naive(nullptr);
        throttled.run(3s, 200, 100);
        const Outcome with = throttled.run(10s, 200, 100);
        const Outcome without = naive.run(10s, 200, 100);
        EXPECT_GT(without.wasted, 900);
        EXPECT_LT(with.wasted, without.wasted / 4);
        EXPECT_GT(with.served, without.served * 85 / 100);
    }

    TEST(InnerCallThrottleTest, AllRequestsGoThroughAgainWithinSecondsOfTheEnd)
    {
        InnerCallThrottle throttle;
        Load load(&throttle);
        load.run(5s, 200, 50);
        EXPECT_LT(throttle.share(rank), 0.5);
        load.run(6s, 200, 400);
        EXPECT_EQ(load.run(3s, 200, 400).refused, 0);
    }

    TEST(InnerCallThrottleTest, BurstWithoutRefusedCallsIsNotThrottled)
    {
        InnerCallThrottle throttle;
        Load load(&throttle);
        load.run(2s, 50, 1000);
        EXPECT_EQ(load.run(3s, 500, 1000).refused, 0);
    }

    TEST(InnerCallThrottleTest, MostUrgentRankIsNeverThrottled)
    {
        InnerCallThrottle throttle;
        Random random { 1 };
        TimePoint now { 1h };
        for (int i = 0; i < 100; ++i, now += 50ms)
            throttle.noteRun(0, true, now);
        for (int i = 0; i < 100; ++i)
            EXPECT_TRUE(throttle.admits(0, random, now));
    }

    TEST(InnerCallThrottleTest, ShareIsForgottenWithoutRuns)
    {
        InnerCallThrottle throttle;
        Random random { 1 };
        TimePoint now { 1h };
        for (int i = 0; i < 100; ++i, now += 50ms)
            throttle.noteRun(rank, true, now);
        EXPECT_DOUBLE_EQ(throttle.share(rank), 0.1);
        EXPECT_TRUE(throttle.admits(rank, random, now + 4s));
        EXPECT_DOUBLE_EQ(throttle.share(rank), 1);
    }

} // namespace
} // namespace skylark
