// Tests the limits of a gate whose backend server is cold, names a rate, or both.
#include "admission/RequestPacer.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <vector>

namespace skylark {
namespace {

    using namespace std::chrono_literals;

    const TimePoint start = TimePoint() + 1h;

    RequestPacer coldPacer(double rate, TimePoint now, Duration coldStart = 1h)
    {
        RequestPacer pacer(now);
        pacer.setColdPolicy({ .requestsPerSecond = rate, .coldStart = coldStart });
        pacer.update(0, now);
        return pacer;
    }

    size_t mostWithin(const std::vector<TimePoint>& times, Duration window)
    {
        size_t most = 0;
        size_t first = 0;
        for (size_t last = 0; last < times.size(); ++last) {
            while (times[first] <= times[last] - window)
                ++first;
            most = std::max(most, last - first + 1);
        }
        return most;
    }

    // Guards against a crash of a cold server under a flood that follows a pause, when the bucket is full.
    TEST(RequestPacerTest, FloodStaysBelowTheBoundInAnySecond)
    {
        for (const double rate : { 0.5, 2.0, 9.2, 40.0 }) {
            RequestPacer pacer = coldPacer(rate, start);
            std::vector<TimePoint> sent;
            for (TimePoint now = start; now < start + 30s; now += 1ms) {
                const bool isIdle = (now - start) % 7s < 3s;
                if (!isIdle && pacer.startRequest(now))
                    sent.push_back(now);
            }
            const double bound = 1.5 * rate + 8;
            // The requests of 100 ms more may arrive within the same second.
            EXPECT_LE(static_cast<double>(mostWithin(sent, 1100ms)), bound) << rate;
            EXPECT_GE(static_cast<double>(mostWithin(sent, 1s)), rate) << rate << ": the server bears more";
        }
    }

    // Guards against two bursts within a second: one of each process of the gate.
    TEST(RequestPacerTest, BoundHoldsWhenTheGateRestartsWithinTheSecond)
    {
        for (Duration restartAt = 100ms; restartAt < 1s; restartAt += 50ms) {
            RequestPacer pacer = coldPacer(9.2, start);
            std::vector<TimePoint> sent;
            const TimePoint floodFrom = start + 3s;
            for (TimePoint now = floodFrom; now < floodFrom + 3s; now += 1ms) {
                if (now == floodFrom + restartAt)
                    pacer = coldPacer(9.2, now);
                if (pacer.startRequest(now))
                    sent.push_back(now);
            }
            EXPECT_LE(mostWithin(sent, 1s), 21u) << restartAt / 1ms;
        }
    }

    // Guards against a bound that holds for one of the two limits only.
    TEST(RequestPacerTest, TheLowerOfBothRatesDecides)
    {
        for (const double named : { 2.0, 30.0 }) {
            RequestPacer pacer = coldPacer(9.2, start);
            pacer.setNamedRate(named, start);
            std::vector<TimePoint> sent;
            for (TimePoint now = start; now < start + 20s; now += 1ms) {
                if (pacer.startRequest(now))
                    sent.push_back(now);
            }
            EXPECT_LE(mostWithin(sent, 1s), 21u) << named;
            EXPECT_LE(static_cast<double>(mostWithin(sent, 4s)), 1.5 * 4 * named + 5) << named;
            EXPECT_GE(sent.size(), static_cast<size_t>(19 * std::min(named, 9.2))) << named;
        }
    }

    // Guards against requests that were written while the server restarted and reach it together with new ones.
    TEST(RequestPacerTest, RequestsOnTheirWayCountAgainstTheLimit)
    {
        RequestPacer pacer(start);
        pacer.setColdPolicy({ .requestsPerSecond = 10, .coldStart = 1h });
        pacer.update(5, start);
        EXPECT_FALSE(pacer.hasRoom(start + 500ms));
        EXPECT_TRUE(pacer.hasRoom(start + 700ms));
    }

    TEST(RequestPacerTest, WithoutAColdRateNothingIsLimited)
    {
        RequestPacer pacer = coldPacer(0, start);
        for (int i = 0; i < 1000; ++i)
            EXPECT_TRUE(pacer.startRequest(start));
        EXPECT_EQ(pacer.delayForSender(start), Duration(0));
    }

    // Guards against senders that stay away for seconds after the server has become warm.
    TEST(RequestPacerTest, SendersWaitNoLongerThanTheColdState)
    {
        RequestPacer pacer = coldPacer(2, start, 3s);
        for (uint64_t sender = 1; sender <= 50; ++sender)
            pacer.recordSender(Incarnation(sender), start + 2500ms);
        EXPECT_EQ(pacer.delayForSender(start + 2500ms), Duration(500ms));
        EXPECT_TRUE(pacer.update(0, start + 3s));
        EXPECT_EQ(pacer.delayForSender(start + 3s), Duration(0));
    }

} // namespace
} // namespace skylark
