// Tests until when a gate counts its server as cold.
#include "admission/ColdServerState.h"

#include <gtest/gtest.h>

namespace skylark {
namespace {

    using namespace std::chrono_literals;

    const TimePoint start = TimePoint() + 1h;

    ColdEntry entry(uint64_t incarnation, uint64_t heartbeat, Duration remaining)
    {
        return {
            .incarnation = Incarnation(incarnation), .heartbeat = HeartbeatNumber(heartbeat), .remaining = remaining
        };
    }

    class ColdServerStateTest : public testing::Test {
    protected:
        ColdServerStateTest() { state.setColdStart(3s); }
        // The server is known to be warm at `start` + 10 s.
        void makeWarm()
        {
            state.recordEntry(entry(1, 1, 0s), start);
            state.confirmEntry(start + 9s);
            ASSERT_FALSE(state.isCold(start + 10s));
        }

        ColdServerState state { start };
    };

    // Guards against a burst after a power loss: the gate starts together with its server and may read the entry that
    // the server wrote before the loss.
    TEST_F(ColdServerStateTest, EntryFromBeforeTheProcessStartedDoesNotEndTheColdState)
    {
        state.recordEntry(entry(1, 7, 0s), start + 100ms);
        state.confirmEntry(start + 1500ms);
        EXPECT_TRUE(state.isCold(start + 1600ms));
        EXPECT_EQ(state.cause(start + 1600ms), ColdCause::ProcessStarted);
        state.confirmEntry(start + 2100ms);
        EXPECT_FALSE(state.isCold(start + 2200ms)) << "the entry has been current for a heartbeat interval";
    }

    TEST_F(ColdServerStateTest, WithoutTheSourceTheColdStateLastsForTheColdStart)
    {
        EXPECT_TRUE(state.isCold(start + 2999ms));
        EXPECT_FALSE(state.isCold(start + 3s));
    }

    // Guards against an entry that extends the cold state each time it is read.
    TEST_F(ColdServerStateTest, RepeatedEntryDoesNotExtendTheColdState)
    {
        makeWarm();
        state.recordEntry(entry(1, 2, 2s), start + 10s);
        state.recordEntry(entry(1, 2, 2s), start + 11s);
        EXPECT_EQ(state.cause(start + 11s), ColdCause::Entry);
        EXPECT_EQ(state.remaining(start + 11s), Duration(1s));
        EXPECT_FALSE(state.isCold(start + 12s));
    }

    TEST_F(ColdServerStateTest, LaterHeartbeatWithoutColdTimeEndsTheStateOfAnEntry)
    {
        makeWarm();
        state.recordEntry(entry(1, 2, 3s), start + 10s);
        EXPECT_TRUE(state.isCold(start + 11s));
        state.recordEntry(entry(1, 3, 0s), start + 11s);
        EXPECT_FALSE(state.isCold(start + 11s));
    }

    TEST_F(ColdServerStateTest, NewStartOfTheServerIsCold)
    {
        makeWarm();
        state.recordEntry(entry(2, 1, 0s), start + 10s);
        EXPECT_EQ(state.cause(start + 11s), ColdCause::ServerStarted);
        EXPECT_FALSE(state.isCold(start + 13s));
    }

    // Guards against a cold time that passes while the server is still down.
    TEST_F(ColdServerStateTest, AfterLostConnectionsTheTimeCountsFromTheFirstContact)
    {
        makeWarm();
        state.recordConnectionsLost(start + 10s);
        state.confirmEntry(start + 20s);
        EXPECT_EQ(state.cause(start + 20s), ColdCause::ConnectionsLost);
        state.recordContact(start + 20s);
        EXPECT_TRUE(state.isCold(start + 22s));
        state.recordContact(start + 22s);
        EXPECT_FALSE(state.isCold(start + 23s)) << "further contacts do not extend the time";
    }

    // Guards against an old, short remaining time that replaces an assumption made after it.
    TEST_F(ColdServerStateTest, ShortEntryDoesNotShortenAnAssumption)
    {
        makeWarm();
        state.recordEvacuationEnded(start + 10s);
        state.recordEntry(entry(1, 2, 100ms), start + 10100ms);
        EXPECT_EQ(state.cause(start + 11s), ColdCause::EvacuationEnded);
        EXPECT_TRUE(state.isCold(start + 12900ms));
    }

    TEST_F(ColdServerStateTest, WithoutAColdStartNothingIsAssumed)
    {
        state.setColdStart(0s);
        EXPECT_FALSE(state.isCold(start));
    }

} // namespace
} // namespace skylark
