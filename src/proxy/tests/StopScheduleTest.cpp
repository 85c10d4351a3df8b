#include "proxy/StopSchedule.h"

#include <gtest/gtest.h>

namespace skylark {
namespace {

    using namespace std::chrono_literals;

    const TimePoint start { 1h };

    // The settings of the deployments, and short ones.
    const std::vector<StopScheduleOptions> deployments {
        { .grace = 6s, .drainTime = 2000ms },
        { .grace = 6s, .drainTime = 2500ms },
        { .grace = 10s, .drainTime = 3000ms },
        { .grace = 500ms, .drainTime = 500ms },
        { .grace = 60s, .drainTime = 30s },
    };

    // Guards against waits that each have their own constant and together exceed the time until the kill.
    TEST(StopScheduleTest, TimesAreInOrderAndEndBeforeTheKill)
    {
        for (const StopScheduleOptions& options : deployments) {
            const StopSchedule schedule(options, start);
            EXPECT_LT(start, schedule.peerCallsUntil());
            EXPECT_LE(schedule.peerCallsUntil(), schedule.callerRequestsUntil());
            EXPECT_LT(schedule.callerRequestsUntil(), schedule.answerBy());
            EXPECT_LT(schedule.answerBy(), schedule.exitBy());
            EXPECT_LT(schedule.exitBy(), start + options.grace);
            // A peer whose gate has left must find other gates within the drain time.
            EXPECT_LT(schedule.peerCallsUntil(), start + options.drainTime);
        }
    }

    TEST(StopScheduleTest, CallersAreServedUntilTheirReadinessChecksHaveFailed)
    {
        for (const StopScheduleOptions& options : deployments) {
            if (options.grace < 6s)
                continue;
            EXPECT_GE(StopSchedule(options, start).callerRequestsUntil(),
                start + options.readyCheckInterval * options.failedReadyChecks);
        }
    }

    TEST(StopScheduleTest, StepsFollowTheTimes)
    {
        const StopSchedule schedule({ .grace = 6s, .drainTime = 2s }, start);
        EXPECT_EQ(schedule.stepAt(start, true, false), StopStep::ServeAll);
        EXPECT_EQ(schedule.stepAt(schedule.peerCallsUntil(), true, false), StopStep::RefusePeers);
        EXPECT_EQ(schedule.stepAt(schedule.callerRequestsUntil(), false, true), StopStep::RefuseCallers);
        EXPECT_EQ(schedule.stepAt(schedule.answerBy(), false, true), StopStep::RefuseCallers);
    }

    // Guards against an exit that cuts answers which peers or callers have not read yet.
    TEST(StopScheduleTest, ExitWaitsForUnsentDataUntilTheLastMoment)
    {
        const StopSchedule schedule({ .grace = 6s, .drainTime = 2s }, start);
        const TimePoint late = schedule.callerRequestsUntil() + 100ms;
        EXPECT_EQ(schedule.stepAt(late, true, true), StopStep::Close);
        EXPECT_EQ(schedule.stepAt(late, true, false), StopStep::Exit);
        EXPECT_EQ(schedule.stepAt(schedule.exitBy(), false, true), StopStep::Exit);
    }

} // namespace
} // namespace skylark
