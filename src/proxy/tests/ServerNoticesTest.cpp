// Tests what a caller's node remembers of the servers' notices.
#include "proxy/ServerNotices.h"

#include <gtest/gtest.h>

namespace skylark {
namespace {

    using namespace std::chrono_literals;

    const TimePoint start = TimePoint() + 1h;
    const ServiceName service("work");

    ServerNotices::Server server(const std::string& id, uint64_t incarnation = 1)
    {
        return { .id = InstanceId(id), .incarnation = Incarnation(incarnation), .service = service };
    }

    ServerNotice limitNotice(const std::string& text)
    {
        return readServerNotice({ { HttpConventions().serverLimit, text } }, HttpConventions());
    }

    MembershipView viewOf(const std::string& id, uint64_t incarnation)
    {
        return MembershipView({ { .record = { .id = InstanceId(id), .incarnation = Incarnation(incarnation) } } });
    }

    // Guards against a faulty server whose limit is no usable number.
    TEST(ServerNoticesTest, OnlyFiniteNumbersFromZeroOnAreLimits)
    {
        EXPECT_EQ(limitNotice("39.6").rateNotice, RateNotice::Named);
        EXPECT_EQ(limitNotice("39.6").rate, 39.6);
        EXPECT_EQ(limitNotice("0").rateNotice, RateNotice::Named);
        for (const char* text : { "", " ", "-1", "-0.5", "nan", "inf", "1e999", "12x", "1,5" })
            EXPECT_EQ(limitNotice(text).rateNotice, RateNotice::Invalid) << text;
        EXPECT_EQ(readServerNotice({}, HttpConventions()).rateNotice, RateNotice::None);
    }

    // Guards against an urgent call that is kept from a cold server because the server refused a less urgent one.
    TEST(ServerNoticesTest, PauseHoldsForItsRankAndLessUrgentOnes)
    {
        ServerNotices notices;
        notices.pause(server("a"), start + 1s, start, 1);
        EXPECT_TRUE(notices.unusable(service, start, 0).empty());
        EXPECT_EQ(notices.unusable(service, start, 1).size(), 1u);
        EXPECT_EQ(notices.unusable(service, start, 2).size(), 1u);
        EXPECT_EQ(notices.shortestPause(service, start, 0), std::nullopt);
        EXPECT_EQ(notices.shortestPause(service, start, 20), Duration(1s));
        notices.pause(server("a"), start + 500ms, start);
        EXPECT_EQ(notices.unusable(service, start, 0).size(), 1u);
    }

    TEST(ServerNoticesTest, LimitHoldsUntilAnAnswerWithoutIt)
    {
        ServerNotices notices;
        notices.record(server("a"), limitNotice("5"), start);
        notices.record(server("a"), limitNotice("-1"), start);
        EXPECT_EQ(notices.rate(InstanceId("a"), Incarnation(1)), 5);
        notices.pause(server("a"), start + 1s, start);
        notices.record(server("a"), {}, start);
        EXPECT_EQ(notices.rate(InstanceId("a"), Incarnation(1)), std::nullopt);
        EXPECT_TRUE(notices.unusable(service, start).empty());
        EXPECT_EQ(notices.size(), 0u);
    }

    // Guards against requests to a server that has answered that it leaves, while its entry still says that it is
    // ready.
    TEST(ServerNoticesTest, LeavingServerGetsNoRequestsUntilItStartsAgain)
    {
        ServerNotices notices;
        const ServerNotice leaving = readServerNotice({ { HttpConventions().serverLeaving, "1" } }, HttpConventions());
        notices.record(server("a"), leaving, start);
        notices.record(server("a"), {}, start + 1s);
        notices.update(viewOf("a", 1));
        notices.update(viewOf("b", 1));
        EXPECT_EQ(notices.unusable(service, start + 1h), std::vector { InstanceId("a") });
        EXPECT_EQ(notices.shortestPause(service, start), std::nullopt);
        notices.update(viewOf("a", 2));
        EXPECT_TRUE(notices.unusable(service, start + 1h).empty());
        EXPECT_FALSE(readServerNotice({ { HttpConventions().serverLeaving, "0" } }, HttpConventions()).isLeaving);
    }

    TEST(ServerNoticesTest, PausedServerGetsNoRequestsUntilTheTimeHasPassed)
    {
        ServerNotices notices;
        notices.pause(server("a"), start + 300ms, start);
        notices.pause(server("b"), start + 700ms, start);
        EXPECT_EQ(notices.unusable(service, start).size(), 2u);
        EXPECT_EQ(notices.shortestPause(service, start), Duration(300ms));
        EXPECT_EQ(notices.unusable(service, start + 300ms), std::vector { InstanceId("b") });
        EXPECT_TRUE(notices.unusable(ServiceName("other"), start).empty());
        EXPECT_EQ(notices.shortestPause(service, start + 1s), std::nullopt);
    }

    // Guards against a limit of a former process that binds its successor under the same id.
    TEST(ServerNoticesTest, NoticesEndWithTheStartOfTheServer)
    {
        ServerNotices notices;
        notices.record(server("a", 1), limitNotice("5"), start);
        notices.pause(server("a", 1), start + 10s, start);
        notices.update(viewOf("a", 1));
        EXPECT_EQ(notices.size(), 1u);
        notices.update(viewOf("a", 2));
        EXPECT_EQ(notices.size(), 0u);
        notices.record(server("a", 2), limitNotice("7"), start);
        notices.record(server("a", 1), limitNotice("5"), start);
        EXPECT_EQ(notices.rate(InstanceId("a"), Incarnation(2)), 7);
    }

    TEST(ServerNoticesTest, TableIsBounded)
    {
        ServerNotices notices;
        for (int i = 0; i < 5000; ++i)
            notices.record(server(std::to_string(i)), limitNotice("1"), start + std::chrono::milliseconds(i));
        EXPECT_EQ(notices.size(), 4096u);
        EXPECT_EQ(notices.rate(InstanceId("0"), Incarnation(1)), std::nullopt);
        EXPECT_EQ(notices.rate(InstanceId("4999"), Incarnation(1)), 1);
    }

} // namespace
} // namespace skylark
