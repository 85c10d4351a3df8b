// Tests the estimates, and that the learned limit does not drift away from what the backend server can run.
#include "admission/Estimates.h"
#include "admission/tests/GateSimulator.h"
#include "testing/TestSeed.h"

#include <cmath>

namespace skylark {
namespace {

    using namespace std::chrono_literals;

    // The limit after a minute of light load, in which the baseline latency is learned, and a minute of twice the
    // capacity.
    int learnedLimit(int configuredSlots, int backendSlots, uint64_t seed)
    {
        const RankPolicy rank { .target = 500ms };
        GateSimulator gate({ .ranks = { rank }, .slots = configuredSlots }, backendSlots, seed);
        const double capacity = backendSlots / 0.020;
        gate.run({ { 0, 0.2 * capacity, 20ms, 500ms } }, 60s);
        gate.run({ { 0, 2 * capacity, 20ms, 500ms } }, 60s);
        return gate.controller().limit();
    }

    TEST(ConcurrencyLimitTest, StaysNearTheSlotsOfTheBackendServer)
    {
        runWithSeeds(31, [](uint64_t seed) {
            const int withExactSlots = learnedLimit(13, 13, seed);
            EXPECT_GE(withExactSlots, 13);
            EXPECT_LE(withExactSlots, 17);
            const int withTooManySlots = learnedLimit(13, 4, seed);
            EXPECT_GE(withTooManySlots, 4);
            EXPECT_LE(withTooManySlots, 8);
            const int withTooFewSlots = learnedLimit(13, 20, seed);
            EXPECT_GE(withTooFewSlots, 18);
            EXPECT_LE(withTooFewSlots, 25);
        });
    }

    TEST(ConcurrencyLimitTest, SheddingLowersTheLimitByATenthAtMostTenTimesASecond)
    {
        FakeClock clock;
        ConcurrencyLimit limit(20, 1, clock.now());
        limit.recordShed(clock.now());
        limit.recordShed(clock.now());
        EXPECT_EQ(limit.value(), 18);
        for (int i = 0; i < 100; ++i) {
            clock.advance(100ms);
            limit.recordShed(clock.now());
        }
        EXPECT_EQ(limit.value(), 1);
    }

    TEST(ConcurrencyLimitTest, StaysWithinTwiceTheSlots)
    {
        FakeClock clock;
        ConcurrencyLimit limit(4, 1, clock.now());
        for (int i = 0; i < 10'000; ++i)
            limit.recordResponse(0, 10ms, limit.value(), clock.now());
        EXPECT_EQ(limit.value(), 8);
        for (int i = 0; i < 1'000; ++i)
            limit.recordResponse(0, 10ms, 2, clock.now());
        EXPECT_EQ(limit.value(), 4) << "light load does not prove a higher limit";
        limit.reconfigure(3, 1);
        EXPECT_EQ(limit.value(), 3);
    }

    // Guards against a limit that drifts to twice the stated slots when it is first measured under overload, and
    // against one that falls because calls wait for inner calls elsewhere.
    TEST(ConcurrencyLimitTest, StatedLimitChangesOnlyOnShedding)
    {
        FakeClock clock;
        ConcurrencyLimit limit(13, 1, clock.now(), StatedLimit {});
        for (int i = 0; i < 2000; ++i) {
            limit.recordResponse(0, i < 1000 ? 10ms : 200ms, limit.value(), clock.now());
            ASSERT_EQ(limit.value(), 13);
        }
        clock.advance(1s);
        limit.recordShed(clock.now());
        EXPECT_EQ(limit.value(), 11);
        for (int i = 0; i < 1000; ++i)
            limit.recordResponse(0, 10ms, limit.value(), clock.now());
        EXPECT_EQ(limit.value(), 13);
    }

    TEST(EstimatesTest, ArrivalRateFollowsArrivalsAndDecays)
    {
        FakeClock clock;
        RateEstimate rate;
        for (int i = 0; i < 2000; ++i) {
            clock.advance(10ms);
            rate.record(clock.now());
        }
        EXPECT_NEAR(rate.perSecond(clock.now()), 100, 1);
        clock.advance(4s);
        EXPECT_NEAR(rate.perSecond(clock.now()), 100 * std::exp(-2), 1);
    }

    TEST(EstimatesTest, CreditIsBoundedInBothDirections)
    {
        FakeClock clock;
        FloorCredit credit(clock.now());
        clock.advance(1h);
        credit.update(0, 2, 10, clock.now());
        EXPECT_DOUBLE_EQ(credit.secondsBehind(2), 5);
        clock.advance(1h);
        credit.update(10, 2, 10, clock.now());
        EXPECT_FALSE(credit.isBelowFloor());
        EXPECT_NEAR(credit.share(), 1, 1e-9);
        clock.advance(251ms);
        credit.update(0, 2, 10, clock.now());
        EXPECT_TRUE(credit.isBelowFloor());
    }

} // namespace
} // namespace skylark
