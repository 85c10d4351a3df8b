#include "proxy/CallLedger.h"

#include <gtest/gtest.h>

namespace skylark {
namespace {

    using namespace std::chrono_literals;

    const TimePoint start = TimePoint() + 1h;

    CallKey key(uint64_t stream) { return { .sender = Incarnation(7), .stream = StreamId(stream) }; }

    // Guards against a second run of a call that comes again over a new connection.
    TEST(CallLedgerTest, RepeatedCallIsJoinedAndThenAnsweredFromTheRecord)
    {
        CallLedger ledger({});
        EXPECT_EQ(ledger.begin(key(1), start + 1s, start), CallArrival::New);
        EXPECT_EQ(ledger.begin(key(1), start + 1s, start), CallArrival::Running);
        const GateReplyPtr reply = makeRefusal(CallOutcome::Unknown, "test", "broken");
        ledger.end(key(1), reply, start + 1s);
        EXPECT_EQ(ledger.begin(key(1), start + 1s, start + 2s), CallArrival::Ended);
        EXPECT_EQ(ledger.reply(key(1)), reply);
        EXPECT_EQ(
            ledger.begin({ .sender = Incarnation(8), .stream = StreamId(1) }, start + 1s, start), CallArrival::New);
    }

    // A refused call is recorded too: its late copy must not run after the caller was told that it did not.
    TEST(CallLedgerTest, EntryIsKeptForTheMarginAfterTheDeadline)
    {
        CallLedger ledger({ .margin = 4s });
        ledger.begin(key(1), start + 3s, start);
        ledger.end(key(1), makeRefusal(CallOutcome::NotRun, "test", "full"), start + 100ms);
        ledger.advance(start + 6900ms);
        EXPECT_EQ(ledger.size(), 1u);
        ledger.advance(start + 7s);
        EXPECT_EQ(ledger.size(), 0u);
    }

    TEST(CallLedgerTest, FullLedgerForgetsNothingAndTakesNothingNew)
    {
        CallLedger ledger({ .capacity = 2 });
        ledger.begin(key(1), start + 1s, start);
        ledger.begin(key(2), start + 1s, start);
        EXPECT_EQ(ledger.begin(key(3), start + 1s, start), CallArrival::NoRoom);
        EXPECT_EQ(ledger.begin(key(1), start + 1s, start), CallArrival::Running);
    }

} // namespace
} // namespace skylark
