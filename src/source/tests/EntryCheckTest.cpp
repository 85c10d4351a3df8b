// Tests when a node reads its server's entry itself, and the thread that reads it.
#include "source/EntryCheckSchedule.h"
#include "source/KeyReader.h"

#include <future>
#include <gtest/gtest.h>

namespace skylark {
namespace {

    using namespace std::chrono_literals;

    const TimePoint start = TimePoint() + 1h;

    TEST(EntryCheckTest, FreshKnowledgeNeedsNoRead)
    {
        EntryCheckSchedule schedule({ .maxAge = 800ms });
        EXPECT_FALSE(schedule.startIfDue(start, start + 800ms));
        EXPECT_TRUE(schedule.startIfDue(start, start + 801ms));
    }

    // Guards against a call to the source at each tick while one is in progress.
    TEST(EntryCheckTest, OneReadIsInProgressAtATime)
    {
        EntryCheckSchedule schedule({ .maxAge = 800ms });
        EXPECT_TRUE(schedule.startIfDue(start, start + 1s));
        EXPECT_FALSE(schedule.startIfDue(start, start + 2s));
        schedule.recordResult(start + 1s, start + 2s);
        EXPECT_TRUE(schedule.startIfDue(start, start + 2s)) << "the entry is a second old again";
    }

    // Guards against an entry that is taken for as new as the end of a slow read.
    TEST(EntryCheckTest, EntryIsAsOldAsItsRequest)
    {
        EntryCheckSchedule schedule({ .maxAge = 800ms });
        EXPECT_TRUE(schedule.startIfDue(start, start + 1s));
        schedule.recordResult(start + 1s, start + 1700ms);
        EXPECT_FALSE(schedule.startIfDue(start, start + 1800ms));
        EXPECT_TRUE(schedule.startIfDue(start, start + 1801ms));
    }

    // Guards against a fleet that calls a source that turns it away at each tick.
    TEST(EntryCheckTest, FailedReadIsRepeatedAfterADelay)
    {
        EntryCheckSchedule schedule({ .maxAge = 800ms, .retryDelay = 1s });
        EXPECT_TRUE(schedule.startIfDue(start, start + 1s));
        schedule.recordResult(std::nullopt, start + 2s);
        EXPECT_FALSE(schedule.startIfDue(start, start + 2900ms));
        EXPECT_TRUE(schedule.startIfDue(start, start + 3s));
    }

    class OneKeySource final : public KeyValueSource {
    public:
        SourceItems list(const std::string&, ListFreshness) override { return {}; }
        SourceItems watch(const std::string&, Revision, Duration) override { return {}; }
        SourceItem read(const std::string& key) override
        {
            if (key == "refused")
                throw Error({ .step = "read", .message = "refused" });
            return { .key = key, .value = "value" };
        }
        void interrupt() override { }
    };

    TEST(KeyReaderTest, ReportsItemsAndFailures)
    {
        OneKeySource source;
        const SystemClock clock;
        std::promise<KeyReadResult> first;
        std::promise<KeyReadResult> second;
        int results = 0;
        KeyReader reader(
            source, clock, [&](const KeyReadResult& result) { (results++ == 0 ? first : second).set_value(result); });
        reader.request("refused");
        EXPECT_FALSE(first.get_future().get().item);
        reader.request("key");
        EXPECT_EQ(second.get_future().get().item->value, "value");
    }

} // namespace
} // namespace skylark
