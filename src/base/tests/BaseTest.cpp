// Tests the basic types and utilities that all other libraries use.
#include "base/Backoff.h"
#include "base/Digest.h"
#include "base/Error.h"
#include "base/Invariant.h"
#include "base/RcuCell.h"
#include "base/Settings.h"
#include "base/TokenBucket.h"
#include "testing/FakeClock.h"

#include <gtest/gtest.h>
#include <thread>

namespace skylark {
namespace {

    using namespace std::chrono_literals;

    TEST(EndpointTest, RejectsTextWithoutPort)
    {
        EXPECT_EQ(Endpoint::fromString("127.0.0.1:80").port, 80);
        for (const char* text : { "", "127.0.0.1", ":80", "h:", "h:x", "h:65536", "h:80x" })
            EXPECT_THROW(Endpoint::fromString(text), Error) << text;
    }

    TEST(DigestTest, HexRoundTripsAndRejectsOtherText)
    {
        const Digest digest = digestOf("section");
        EXPECT_EQ(Digest::fromHex(digest.hex()), digest);
        EXPECT_NE(digestOf("sectioN"), digest);
        EXPECT_THROW(Digest::fromHex("12"), Error);
        EXPECT_THROW(Digest::fromHex(std::string(32, 'g')), Error);
    }

    TEST(InvariantTest, FalseConditionThrowsAndIsCounted)
    {
        const uint64_t before = violationCount();
        invariant(true, { .rule = "held", .step = "test" });
        EXPECT_THROW(invariant(false, { .rule = "broken", .step = "test", .peer = "p" }), InvariantViolation);
        EXPECT_EQ(violationCount(), before + 1);
    }

    TEST(BackoffTest, StaysWithinTheMaximum)
    {
        Random random(1);
        Backoff backoff({ .initial = 100ms, .maximum = 1s });
        for (int attempt = 0; attempt < 100; ++attempt)
            EXPECT_LE(backoff.next(random), 1s);
    }

    TEST(BackoffTest, DelayIsAtLeastTheMinimumShareOfItsCeiling)
    {
        Random random(1);
        Backoff backoff({ .initial = 1s, .maximum = 1s, .minimumShare = 0.5 });
        for (int attempt = 0; attempt < 100; ++attempt) {
            const Duration delay = backoff.next(random);
            EXPECT_GE(delay, 500ms);
            EXPECT_LE(delay, 1s);
        }
    }

    TEST(TokenBucketTest, AllowsBurstThenRate)
    {
        FakeClock clock;
        TokenBucket bucket({ .perSecond = 2, .burst = 3 }, clock.now());
        int tokensTaken = 0;
        for (int second = 0; second < 10; ++second) {
            while (bucket.tryTake(clock.now()))
                ++tokensTaken;
            clock.advance(1s);
        }
        EXPECT_EQ(tokensTaken, 3 + 9 * 2);
    }

    TEST(SettingsReaderTest, UnknownKeySuggestsNearestName)
    {
        const auto object = nlohmann::json::parse(R"({"deadlin": "1s"})");
        SettingsReader reader(object, "");
        reader.duration("deadline", 1s, 0s, 10s);
        try {
            reader.finish();
            FAIL() << "the unknown key was accepted";
        } catch (const Error& error) {
            EXPECT_EQ(error.advice(), "did you mean \"deadline\"?");
        }
    }

    TEST(SettingsReaderTest, RejectsValuesOutOfRangeOrWithoutUnit)
    {
        const auto object = nlohmann::json::parse(R"({"a": 11, "b": "5", "c": "20s", "d": 1})");
        SettingsReader reader(object, "/x");
        EXPECT_THROW(reader.integer("a", std::nullopt, 0, 10), Error);
        EXPECT_THROW(reader.duration("b", std::nullopt, 0s, 10s), Error);
        EXPECT_THROW(reader.duration("c", std::nullopt, 0s, 10s), Error);
        EXPECT_THROW(reader.text("d"), Error);
        EXPECT_THROW(reader.text("missing"), Error);
    }

    TEST(DurationTest, FormattedDurationsRoundTrip)
    {
        for (const Duration duration : { Duration(0), Duration(1ms), Duration(1500ms), Duration(2h) })
            EXPECT_EQ(parseDuration(formatDuration(duration)), duration);
        EXPECT_FALSE(parseDuration("-1s"));
        EXPECT_FALSE(parseDuration("inf"));
    }

    TEST(RcuCellTest, ReadersNeverAccessReleasedValue)
    {
        RcuCell<std::vector<int>> cell;
        EXPECT_EQ(cell.load(), nullptr);
        cell.store(std::make_shared<const std::vector<int>>(100, 0));
        std::atomic<bool> isDone { false };
        std::vector<std::thread> readers;
        for (int reader = 0; reader < 4; ++reader) {
            readers.emplace_back([&] {
                while (!isDone.load()) {
                    const auto value = cell.load();
                    EXPECT_EQ(value->front(), value->back());
                }
            });
        }
        for (int version = 1; version <= 200; ++version)
            cell.store(std::make_shared<const std::vector<int>>(100, version));
        isDone = true;
        for (std::thread& reader : readers)
            reader.join();
    }

} // namespace
} // namespace skylark
