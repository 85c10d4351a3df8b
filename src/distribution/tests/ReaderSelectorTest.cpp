#include "distribution/ReaderSelector.h"

#include "Fleet.h"

#include <gtest/gtest.h>

namespace skylark {
namespace {

    using std::chrono::milliseconds;
    using std::chrono::seconds;

    const TimePoint start { std::chrono::hours(1) };
    const ZoneName zone("zone-0");

    class ReaderSelectorTest : public testing::Test {
    protected:
        ReaderSelectorTest()
        {
            std::vector<InstanceState> states;
            for (size_t index = 0; index < 40; ++index)
                states.push_back({ .record = recordForTest("zone-0", index) });
            view = std::make_unique<MembershipView>(states);
            for (const InstanceState& state : states)
                idsByRank.push_back(state.record.id);
            std::sort(idsByRank.begin(), idsByRank.end(), [](const InstanceId& left, const InstanceId& right) {
                return readerPriority(left, zone) < readerPriority(right, zone);
            });
        }
        ReaderSelector selector(size_t rank) const
        {
            ReaderSelector result({}, idsByRank[rank], zone, start);
            result.setView(*view);
            EXPECT_EQ(result.rank(), rank);
            return result;
        }
        FreshnessMark markBy(size_t rank, Duration sinceAttempt, Duration sinceSuccess) const
        {
            return { .zone = zone,
                .reader = idsByRank[rank],
                .sourceRevision = Revision(9),
                .sinceAttempt = sinceAttempt,
                .sinceSuccess = sinceSuccess };
        }

        std::unique_ptr<MembershipView> view;
        std::vector<InstanceId> idsByRank;
    };

    TEST_F(ReaderSelectorTest, ThreeLowestRanksReadInitially)
    {
        for (size_t rank = 0; rank < 6; ++rank)
            EXPECT_EQ(selector(rank).shouldWatch(start + seconds(1)), rank < 3);
    }

    TEST_F(ReaderSelectorTest, HigherRanksStartToReadAfterLongerSilence)
    {
        ReaderSelector rank3 = selector(3);
        ReaderSelector rank10 = selector(10);
        EXPECT_FALSE(rank3.shouldWatch(start + milliseconds(2749)));
        EXPECT_TRUE(rank3.shouldWatch(start + milliseconds(2750)));
        EXPECT_FALSE(rank10.shouldWatch(start + milliseconds(4499)));
        rank10.recordMark(markBy(3, {}, {}), start + milliseconds(4400));
        EXPECT_FALSE(rank10.shouldWatch(start + milliseconds(4600)));
        EXPECT_TRUE(rank10.shouldWatch(start + milliseconds(4400 + 4500)));
    }

    TEST_F(ReaderSelectorTest, ReplacementReaderStopsOnlyForAReaderOfLowerRank)
    {
        ReaderSelector replacement = selector(5);
        TimePoint now = start + seconds(4);
        EXPECT_TRUE(replacement.shouldWatch(now));
        replacement.recordOwnAttempt(now);
        EXPECT_TRUE(replacement.shouldWatch(now));
        replacement.recordMark(markBy(8, {}, {}), now);
        EXPECT_TRUE(replacement.shouldWatch(now));
        replacement.recordMark(markBy(4, {}, {}), now);
        EXPECT_FALSE(replacement.shouldWatch(now));
    }

    TEST_F(ReaderSelectorTest, AttemptsWithoutSuccessAddReadersUpToEight)
    {
        ReaderSelector rank3 = selector(3);
        const auto recordFailedAttempt
            = [&](TimePoint now) { rank3.recordMark(markBy(0, {}, std::chrono::hours(24)), now); };
        for (const auto& [elapsed, wanted] :
            std::vector<std::pair<int, size_t>> { { 9, 3 }, { 19, 3 }, { 20, 4 }, { 30, 5 }, { 69, 8 }, { 600, 8 } }) {
            recordFailedAttempt(start + seconds(elapsed));
            EXPECT_EQ(rank3.wantedReaders(start + seconds(elapsed)), wanted) << elapsed;
            EXPECT_EQ(rank3.shouldWatch(start + seconds(elapsed)), wanted > 3) << elapsed;
        }
        rank3.recordMark(markBy(2, {}, {}), start + seconds(601));
        EXPECT_EQ(rank3.wantedReaders(start + seconds(601)), 3U);
        EXPECT_FALSE(rank3.shouldWatch(start + seconds(601)));
    }

    TEST_F(ReaderSelectorTest, FailuresBackOffAndReadsAreLimited)
    {
        ReaderSelector reader = selector(0);
        Random random(1);
        Duration maxDelay {};
        for (int failure = 0; failure < 200; ++failure) {
            reader.recordOwnFailure(start, random);
            maxDelay = std::max(maxDelay, reader.nextAttempt() - start);
            EXPECT_LE(reader.nextAttempt() - start, seconds(10));
        }
        EXPECT_GT(maxDelay, seconds(8));
        reader.recordOwnSuccess(Revision(5), start);
        EXPECT_EQ(reader.nextAttempt(), start);
        int reads = 0;
        while (reader.tryRead(start))
            ++reads;
        EXPECT_EQ(reads, 20);
        EXPECT_FALSE(reader.tryRead(start + milliseconds(400)));
        EXPECT_TRUE(reader.tryRead(start + milliseconds(500)));
    }

    TEST_F(ReaderSelectorTest, MarkReportsNewestValuesAndIsDroppedAfterPause)
    {
        ReaderSelector node = selector(20);
        EXPECT_FALSE(node.mark(start));
        node.recordMark(markBy(0, seconds(1), seconds(4)), start);
        node.recordMark(markBy(1, seconds(3), seconds(2)), start);
        const auto mark = node.mark(start + seconds(1));
        EXPECT_EQ(mark->reader, idsByRank[0]);
        EXPECT_EQ(mark->sinceAttempt, seconds(2));
        EXPECT_EQ(mark->sinceSuccess, seconds(3));
        node.resetAfterPause(start + seconds(9));
        EXPECT_FALSE(node.mark(start + seconds(9)));
        EXPECT_FALSE(node.shouldWatch(start + seconds(10)));
    }

} // namespace
} // namespace skylark
