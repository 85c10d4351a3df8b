#include "proxy/CallDeduplicator.h"

#include <gtest/gtest.h>

namespace skylark {
namespace {

    using namespace std::chrono_literals;

    const TimePoint start = TimePoint() + 1h;

    CallKey key(uint64_t stream) { return { .sender = Incarnation(7), .stream = StreamId(stream) }; }

    // Guards against a second run of a call that is resent over a new connection.
    TEST(CallDeduplicatorTest, RepeatedCallIsJoinedAndThenAnsweredFromTheStoredReply)
    {
        CallDeduplicator deduplicator({});
        EXPECT_EQ(deduplicator.begin(key(1), start + 1s, start), CallArrival::New);
        EXPECT_EQ(deduplicator.begin(key(1), start + 1s, start), CallArrival::Running);
        const GateReplyPtr reply = makeRefusal(CallOutcome::Unknown, "test", "broken");
        deduplicator.end(key(1), reply, start + 1s);
        EXPECT_EQ(deduplicator.begin(key(1), start + 1s, start + 2s), CallArrival::Ended);
        EXPECT_EQ(deduplicator.reply(key(1)), reply);
        EXPECT_EQ(deduplicator.begin({ .sender = Incarnation(8), .stream = StreamId(1) }, start + 1s, start),
            CallArrival::New);
    }

    // A refused call is recorded too: a late copy must not run after the refusal was reported to the caller.
    TEST(CallDeduplicatorTest, EntryIsKeptForTheMarginAfterTheDeadline)
    {
        CallDeduplicator deduplicator({ .margin = 4s });
        deduplicator.begin(key(1), start + 3s, start);
        deduplicator.end(key(1), makeRefusal(CallOutcome::NotRun, "test", "full"), start + 100ms);
        deduplicator.advance(start + 6900ms);
        EXPECT_EQ(deduplicator.size(), 1u);
        deduplicator.advance(start + 7s);
        EXPECT_EQ(deduplicator.size(), 0u);
    }

    TEST(CallDeduplicatorTest, FullDeduplicatorKeepsItsEntriesAndRejectsNewCalls)
    {
        CallDeduplicator deduplicator({ .capacity = 2 });
        deduplicator.begin(key(1), start + 1s, start);
        deduplicator.begin(key(2), start + 1s, start);
        EXPECT_EQ(deduplicator.begin(key(3), start + 1s, start), CallArrival::CapacityExceeded);
        EXPECT_EQ(deduplicator.begin(key(1), start + 1s, start), CallArrival::Running);
    }

    // Guards against kept replies that fill the memory, and against a second run of a call whose reply was not kept.
    TEST(CallDeduplicatorTest, LargeReplyBeyondTheBoundIsStoredAsUnknown)
    {
        CallDeduplicator deduplicator({ .maxReplyBytes = 150, .margin = 4s });
        const auto makeReply = [] {
            return std::make_shared<const GateReply>(
                GateResponse { .response = { .status = 200, .body = std::string(100, 'x') } });
        };
        for (const uint64_t stream : { 1, 2 }) {
            deduplicator.begin(key(stream), start + 1s, start);
            deduplicator.end(key(stream), makeReply(), start);
        }
        EXPECT_TRUE(std::holds_alternative<GateResponse>(*deduplicator.reply(key(1))));
        EXPECT_EQ(deduplicator.begin(key(2), start + 1s, start), CallArrival::Ended);
        ASSERT_TRUE(std::holds_alternative<GateRefusal>(*deduplicator.reply(key(2))));
        EXPECT_EQ(std::get<GateRefusal>(*deduplicator.reply(key(2))).outcome, CallOutcome::Unknown);
        // The bytes of expired entries are free again.
        deduplicator.begin(key(3), start + 7s, start + 6s);
        deduplicator.end(key(3), makeReply(), start + 6s);
        EXPECT_TRUE(std::holds_alternative<GateResponse>(*deduplicator.reply(key(3))));
    }

} // namespace
} // namespace skylark
