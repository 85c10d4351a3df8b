// Tests the calls that the watcher makes to a scripted source and the events that it reports to its consumer.
#include "source/SourceWatcher.h"

#include <deque>
#include <gtest/gtest.h>

namespace skylark {
namespace {

    using namespace std::chrono_literals;

    // Responds to calls from a script; without an entry a watch ends without a change.
    class ScriptedSource final : public KeyValueSource {
    public:
        using Step = std::function<SourceItems(const std::string& call)>;

        void expect(Step step)
        {
            const std::lock_guard lock(m_mutex);
            m_script.push_back(std::move(step));
        }
        SourceItems list(const std::string& prefix, ListFreshness freshness) override
        {
            return next((freshness == ListFreshness::Latest ? "list " : "list-stale ") + prefix);
        }
        SourceItems watch(const std::string& prefix, Revision after, Duration) override
        {
            return next("watch " + prefix + " " + std::to_string(after.value()));
        }
        SourceItem read(const std::string& key) override { return { .key = key, .isDeleted = true }; }
        void interrupt() override { }
        std::vector<std::string> calls()
        {
            const std::lock_guard lock(m_mutex);
            return m_calls;
        }

    private:
        SourceItems next(const std::string& call)
        {
            Step step;
            {
                const std::lock_guard lock(m_mutex);
                m_calls.push_back(call);
                if (m_script.empty())
                    return { .revision = Revision(1) };
                step = m_script.front();
                m_script.pop_front();
            }
            return step(call);
        }

        std::mutex m_mutex;
        std::deque<Step> m_script;
        std::vector<std::string> m_calls;
    };

    class RecordingConsumer final : public SourceConsumer {
    public:
        void onListing(const SourceItems& items) override
        {
            record("listing " + std::to_string(items.revision.value()));
        }
        void onChanges(const SourceItems& changes) override
        {
            record("changes " + std::to_string(changes.items.size()));
        }
        void onLost(const std::string&) override { record("lost"); }
        void onRecovered() override { record("recovered"); }
        void onCall(const SourceCallResult&) override { }
        // Waits at most 2 s until this many events have come.
        std::vector<std::string> events(size_t count)
        {
            std::unique_lock lock(m_mutex);
            m_changed.wait_for(lock, 2s, [&] { return m_events.size() >= count; });
            return m_events;
        }

    private:
        void record(std::string event)
        {
            const std::lock_guard lock(m_mutex);
            m_events.push_back(std::move(event));
            m_changed.notify_all();
        }
        std::mutex m_mutex;
        std::condition_variable m_changed;
        std::vector<std::string> m_events;
    };

    SourceItems items(uint64_t revision, size_t count = 1)
    {
        return { .items = std::vector<SourceItem>(count), .revision = Revision(revision) };
    }

    SourceWatcherOptions options(Duration interval = 1ms)
    {
        return { .prefix = "a/", .minInterval = interval, .retry = { .initial = 1ms, .maximum = 5ms } };
    }

    // Guards against a starting fleet whose nodes all request a current listing, which costs the source more than a
    // stale one, and against a change that is missed between a stale listing and the watch.
    TEST(SourceWatcherTest, WatchContinuesFromTheStaleFirstListing)
    {
        ScriptedSource source;
        RecordingConsumer consumer;
        SystemClock clock;
        source.expect([](const auto&) { return items(7); });
        source.expect([](const auto&) { return items(12, 3); });
        {
            const SourceWatcher watcher(source, consumer, options(), clock);
            EXPECT_EQ(consumer.events(2), (std::vector<std::string> { "listing 7", "changes 3" }));
            while (source.calls().size() < 3)
                std::this_thread::sleep_for(1ms);
        }
        const auto calls = source.calls();
        EXPECT_EQ(std::vector<std::string>(calls.begin(), calls.begin() + 3),
            (std::vector<std::string> { "list-stale a/", "watch a/ 7", "watch a/ 12" }));
    }

    TEST(SourceWatcherTest, LostHistoryCausesANewListing)
    {
        ScriptedSource source;
        RecordingConsumer consumer;
        SystemClock clock;
        source.expect([](const auto&) { return items(7); });
        source.expect([](const auto&) -> SourceItems { throw HistoryLost({ .message = "gone" }); });
        source.expect([](const auto& call) {
            EXPECT_EQ(call, "list a/") << "the second listing must not be stale";
            return items(20);
        });
        const SourceWatcher watcher(source, consumer, options(), clock);
        EXPECT_EQ(consumer.events(2), (std::vector<std::string> { "listing 7", "listing 20" }));
    }

    // The consumer receives one event for the start of an outage and one for its end, and no change is skipped.
    TEST(SourceWatcherTest, OutageIsReportedOnceAndTheWatchContinues)
    {
        ScriptedSource source;
        RecordingConsumer consumer;
        SystemClock clock;
        source.expect([](const auto&) { return items(7); });
        for (int i = 0; i < 3; ++i)
            source.expect([](const auto&) -> SourceItems { throw Error({ .message = "down" }); });
        source.expect([](const auto& call) {
            EXPECT_EQ(call, "watch a/ 7");
            return items(8);
        });
        const SourceWatcher watcher(source, consumer, options(), clock);
        EXPECT_EQ(consumer.events(4), (std::vector<std::string> { "listing 7", "lost", "recovered", "changes 1" }));
    }

    // Guards against a node on a slow link that, after a long outage, fetches every version that it missed. That takes
    // so long that the next versions arrive meanwhile. Such an outage arises when the store silently drops the
    // requests of some machines. A large run with this fault reported a CONFIG violation.
    TEST(SourceWatcherTest, LongOutageEndsWithAListing)
    {
        ScriptedSource source;
        RecordingConsumer consumer;
        SystemClock clock;
        source.expect([](const auto&) { return items(7); });
        for (int i = 0; i < 3; ++i)
            source.expect([](const auto&) -> SourceItems {
                std::this_thread::sleep_for(20ms);
                throw Error({ .message = "down" });
            });
        source.expect([](const auto& call) {
            EXPECT_EQ(call, "list a/");
            return items(30);
        });
        SourceWatcherOptions relistingOptions = options();
        relistingOptions.relistAfter = 30ms;
        const SourceWatcher watcher(source, consumer, relistingOptions, clock);
        EXPECT_EQ(consumer.events(4), (std::vector<std::string> { "listing 7", "lost", "recovered", "listing 30" }));
    }

    // Guards against a node that falls behind when configurations change in quick succession, each response being
    // larger than the one before.
    TEST(SourceWatcherTest, WatchWithMoreReplacedBytesThanAListingIsFollowedByAListing)
    {
        ScriptedSource source;
        RecordingConsumer consumer;
        SystemClock clock;
        const SourceItem small { .key = "a/server", .value = "x", .revision = Revision(5) };
        const SourceItem large { .key = "a/configuration", .value = std::string(1000, 'x'), .revision = Revision(6) };
        source.expect([&](const auto&) { return SourceItems { .items = { small, large }, .revision = Revision(7) }; });
        source.expect([&](const auto&) { return SourceItems { .items = { large, large }, .revision = Revision(9) }; });
        source.expect([&](const auto& call) {
            EXPECT_EQ(call, "watch a/ 9") << "a listing would not be smaller";
            return SourceItems { .items = { large, large, large }, .revision = Revision(12) };
        });
        source.expect([](const auto& call) {
            EXPECT_EQ(call, "list a/");
            return items(15);
        });
        const SourceWatcher watcher(source, consumer, options(), clock);
        EXPECT_EQ(
            consumer.events(4), (std::vector<std::string> { "listing 7", "changes 2", "changes 3", "listing 15" }));
    }

    // Guards against a starting fleet that calls the source several times a node before the nodes have decided who
    // reads.
    TEST(SourceWatcherTest, StartingProcessWaitsBetweenItsFirstCalls)
    {
        ScriptedSource source;
        RecordingConsumer consumer;
        SystemClock clock;
        for (uint64_t i = 0; i < 100; ++i)
            source.expect([i](const auto&) {
                // Longer than the interval, so that the next call would follow at once.
                std::this_thread::sleep_for(20ms);
                return items(i + 1);
            });
        SourceWatcherOptions startOptions = options(15ms);
        startOptions.startPause = 15ms;
        {
            const SourceWatcher watcher(source, consumer, startOptions, clock);
            std::this_thread::sleep_for(210ms);
        }
        // A listing and then a watch each 35 ms.
        EXPECT_GE(source.calls().size(), 3u);
        EXPECT_LE(source.calls().size(), 8u);
    }

    TEST(SourceWatcherTest, RetryNowEndsTheDelayAfterAFailure)
    {
        ScriptedSource source;
        RecordingConsumer consumer;
        SystemClock clock;
        source.expect([](const auto&) { return items(7); });
        source.expect([](const auto&) -> SourceItems { throw Error({ .message = "down" }); });
        source.expect([](const auto&) { return items(8); });
        SourceWatcherOptions slowOptions = options();
        slowOptions.retry = { .initial = 30s, .maximum = 30s, .minimumShare = 1 };
        SourceWatcher watcher(source, consumer, slowOptions, clock);
        watcher.setMaxRetryDelay(30s);
        EXPECT_EQ(consumer.events(2).size(), 2u);
        std::this_thread::sleep_for(20ms);
        EXPECT_EQ(source.calls().size(), 2u);
        watcher.retryNow();
        EXPECT_EQ(consumer.events(4), (std::vector<std::string> { "listing 7", "lost", "recovered", "changes 1" }));
    }

    // Guards against one call per heartbeat of each server.
    TEST(SourceWatcherTest, CallsAreAtLeastAnIntervalApart)
    {
        ScriptedSource source;
        RecordingConsumer consumer;
        SystemClock clock;
        for (uint64_t i = 0; i < 100; ++i)
            source.expect([i](const auto&) { return items(i + 1); });
        {
            const SourceWatcher watcher(source, consumer, options(50ms), clock);
            std::this_thread::sleep_for(320ms);
        }
        EXPECT_GE(source.calls().size(), 3u);
        EXPECT_LE(source.calls().size(), 9u);
    }

} // namespace
} // namespace skylark
