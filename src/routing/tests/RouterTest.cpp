// Tests routing: zones, two choices, slow start, key owners, the other policies and concurrent use.
#include "base/Invariant.h"
#include "routing/tests/RouterFixture.h"

#include <cmath>
#include <rapidcheck/gtest.h>
#include <thread>

namespace skylark {
namespace {

    using namespace std::chrono_literals;

    class RouterTest : public RouterFixture {
    protected:
        std::map<std::string, double> zoneShares()
        {
            std::map<std::string, double> shares;
            for (const auto& line : m_router.explain(ServiceName("pitch"), m_clock.now()))
                shares[line.zone.value()] = line.zoneShare;
            return shares;
        }
        // Reports the given load from each instance, then refreshes.
        void report(const std::map<std::string, LoadHint>& hints)
        {
            for (const auto& [id, hint] : hints)
                callTo(id, false, hint);
            refresh();
        }
    };

    TEST_F(RouterTest, OwnZoneIsPreferredThenTheNearestRegion)
    {
        add("a0", "z1");
        add("b0", "z2");
        add("c0", "z3", "r2");
        add("d0", "z4", "r3");
        add("e0", "z5", "r4");
        for (const char* expected : { "a0", "b0", "d0", "c0", "e0" }) {
            publish();
            EXPECT_EQ(callCounts(100), (std::map<std::string, int> { { expected, 100 } }));
            m_states.erase(expected);
        }
        publish();
        EXPECT_FALSE(choose());
        EXPECT_TRUE(m_router.explain(ServiceName("pitch"), m_clock.now()).empty());
    }

    TEST_F(RouterTest, CallsSpillGraduallyInProportionToTheOverload)
    {
        add("a0", "z1");
        add("b0", "z2");
        add("c0", "z3", "r2");
        publish();
        const LoadHint halfLoad { .inFlight = 5, .limit = 10 };
        const LoadHint overload { .inFlight = 10, .queued = 6, .limit = 10 };
        report({ { "a0", halfLoad }, { "b0", halfLoad } });
        EXPECT_EQ(zoneShares()["z1"], 1);
        // At twice the threshold, half of the demand must leave; each refresh moves at most a fifth of the home share.
        double expected = 1;
        for (int i = 0; i < 3; ++i) {
            report({ { "a0", overload }, { "b0", LoadHint { .limit = 100 } } });
            expected *= 0.8;
            EXPECT_NEAR(zoneShares()["z1"], expected, 0.02);
            EXPECT_NEAR(zoneShares()["z2"], 1 - expected, 0.02) << "the own region has spare capacity";
        }
        // The own region is full, so the next region takes the rest.
        report({ { "a0", overload }, { "b0", halfLoad }, { "c0", LoadHint { .limit = 100 } } });
        EXPECT_GT(zoneShares()["z3"], zoneShares()["z2"]);
        // Other nodes' calls fill all zones, so moving calls would not help.
        report({ { "a0", overload }, { "b0", LoadHint { .inFlight = 40, .limit = 10 } },
            { "c0", LoadHint { .inFlight = 200, .limit = 100 } } });
        EXPECT_EQ(zoneShares()["z1"], 1);
    }

    TEST_F(RouterTest, SpilledCallsReturnWhenTheLoadFalls)
    {
        add("a0", "z1");
        add("b0", "z2");
        publish();
        const LoadHint idle { .limit = 100 };
        for (int i = 0; i < 5; ++i)
            report({ { "a0", LoadHint { .inFlight = 10, .queued = 6, .limit = 10 } }, { "b0", idle } });
        const double shareBefore = zoneShares()["z1"];
        EXPECT_LT(shareBefore, 0.5);
        report({ { "a0", LoadHint { .inFlight = 2, .limit = 10 } }, { "b0", idle } });
        EXPECT_NEAR(zoneShares()["z1"], shareBefore * 1.25, 0.02);
        for (int i = 0; i < 10; ++i)
            report({ { "a0", LoadHint { .inFlight = 2, .limit = 10 } }, { "b0", idle } });
        EXPECT_EQ(zoneShares()["z1"], 1);
    }

    // Closed-loop model: the demand is 1.5 times the zone's limit, and the other zone serves only the spilled calls.
    TEST_F(RouterTest, SpillSettlesAtTheThresholdWithoutOscillation)
    {
        add("a0", "z1");
        add("b0", "z2");
        publish();
        double lowestShare = 1;
        double highestShare = 0;
        for (int i = 0; i < 60; ++i) {
            const auto load = static_cast<uint32_t>(std::lround(150 * zoneShares()["z1"]));
            report({ { "a0", LoadHint { .inFlight = load, .limit = 100 } },
                { "b0", LoadHint { .inFlight = 150 - load, .limit = 100 } } });
            if (i >= 30) {
                lowestShare = std::min(lowestShare, zoneShares()["z1"]);
                highestShare = std::max(highestShare, zoneShares()["z1"]);
            }
        }
        EXPECT_NEAR(lowestShare, 0.8 / 1.5, 0.03);
        EXPECT_NEAR(highestShare, 0.8 / 1.5, 0.03);
    }

    TEST_F(RouterTest, NewInstanceRampsUpFromATenthOfItsShare)
    {
        for (int i = 0; i < 9; ++i)
            add("a" + std::to_string(i), "z1");
        m_states["new"] = state("new", "z1");
        m_states["new"].firstSeen = m_clock.now();
        publish();
        // With a call in flight at each other instance, the new instance wins each comparison.
        std::vector<Choice> callsInFlight;
        for (int i = 0; i < 9; ++i) {
            std::vector<InstanceId> others { InstanceId("new") };
            for (const Choice& choice : callsInFlight)
                others.push_back(choice.instance);
            callsInFlight.push_back(*choose(true, others));
            m_router.recordCallStarted(callsInFlight.back());
        }
        constexpr int calls = 20'000;
        const auto share = [&] { return callCounts(calls)["new"] / (calls / 10.0); };
        EXPECT_NEAR(share(), 0.1, 0.03);
        m_clock.advance(5s);
        EXPECT_NEAR(share(), 0.55, 0.1);
        m_clock.advance(5s);
        for (const Choice& choice : callsInFlight)
            finish(choice);
        EXPECT_NEAR(share(), 1, 0.1);
    }

    // In a zone of two, a second draw after the old instance always ends in the scan of all members. The scan must not
    // pick the new instance either.
    TEST_F(RouterTest, NewInstanceBesideASingleOldOneIsNotPreferred)
    {
        add("old", "z1");
        m_states["new"] = state("new", "z1");
        m_states["new"].firstSeen = m_clock.now();
        publish();
        m_router.recordCallStarted(*choose(true, { InstanceId("new") }));
        EXPECT_NEAR(callCounts(10'000)["new"], 10'000 / 11, 150);
    }

    TEST_F(RouterTest, InstancesThatAreAllNewShareEvenly)
    {
        for (int i = 0; i < 4; ++i) {
            add("a" + std::to_string(i), "z1");
            m_states["a" + std::to_string(i)].firstSeen = m_clock.now();
        }
        publish();
        for (const auto& [id, count] : callCounts(4000))
            EXPECT_NEAR(count, 1000, 150) << id;
    }

    TEST_F(RouterTest, InstancesThatAreAllNewAreStillCompared)
    {
        for (const std::string id : { "a0", "a1" }) {
            add(id, "z1");
            m_states[id].firstSeen = m_clock.now();
        }
        publish();
        for (const char* id : { "a0", "a1" })
            callTo(id, false);
        for (int i = 0; i < 5; ++i)
            m_router.recordCallStarted(*choose(true, { InstanceId("a1") }));
        EXPECT_EQ(callCounts(100), (std::map<std::string, int> { { "a1", 100 } }));
    }

    TEST_F(RouterTest, QuickFailuresDoNotAttractCalls)
    {
        add("a0", "z1");
        add("a1", "z1");
        publish();
        for (const char* id : { "a0", "a1" })
            callTo(id, false);
        for (int i = 0; i < 20; ++i) {
            const auto choice = choose(true, { InstanceId("a1") });
            m_router.recordCallStarted(*choice);
            finish(*choice, true, std::nullopt, 10us);
        }
        const auto lines = m_router.explain(ServiceName("pitch"), m_clock.now());
        EXPECT_GE(lines[0].score, lines[1].score);
    }

    TEST_F(RouterTest, FinishingACallThatDidNotBeginViolatesAnInvariant)
    {
        add("a0", "z1");
        publish();
        EXPECT_THROW(finish(*choose()), InvariantViolation);
    }

    // With two instances, TwoChoices always picks the better one. A simple model predicts which one that is.
    RC_GTEST_FIXTURE_PROP(
        RouterTest, TwoChoicesPickTheInstanceThatTheModelPredicts, (const std::vector<uint8_t>& actions, uint64_t seed))
    {
        m_random = Random(seed);
        struct Model {
            double inFlight { 0 };
            double latency { 0 };
            LoadHint hint;
            TimePoint hintAt;
            TimePoint answeredAt;
        };
        m_states.clear();
        add("a0", "z1");
        add("a1", "z1");
        Router router({ .zone = ZoneName("z1"), .region = RegionName("r1") });
        publish(router);
        std::map<std::string, Model> models;
        std::vector<Choice> runningCalls;
        const RoutingRequest request { .service = ServiceName("pitch") };
        for (const std::string id : { "a0", "a1" }) {
            const std::vector<InstanceId> excluded { InstanceId(id == "a0" ? "a1" : "a0") };
            const auto choice
                = router.choose({ .service = ServiceName("pitch"), .excluded = excluded }, m_random, m_clock.now());
            router.recordCallStarted(*choice);
            router.recordCallFinished(*choice, { .latency = 10ms }, m_clock.now());
            models[id] = { .latency = 0.01, .answeredAt = m_clock.now() };
        }
        router.advance(m_clock.now()); // the service's mean is now 10 ms and is not recomputed
        const auto scoreOf = [&](const Model& model) {
            const double age = std::chrono::duration<double>(m_clock.now() - model.hintAt).count();
            const double hintWeight = model.hint.limit ? std::max(0.0, 1 - age) : 0;
            const double queued = std::min<double>(model.hint.queued, (model.inFlight + 1) / 2);
            const double latencyWeight
                = std::exp(-std::chrono::duration<double>(m_clock.now() - model.answeredAt).count() / 10);
            return (model.inFlight + hintWeight * queued + 1)
                * (latencyWeight * model.latency + (1 - latencyWeight) * 0.01);
        };
        for (const uint8_t action : actions) {
            m_clock.advance(std::chrono::milliseconds(action));
            if (action % 2 == 0 || runningCalls.empty()) {
                const auto choice = router.choose(request, m_random, m_clock.now());
                const std::string id = choice->instance.value();
                const double otherScore = scoreOf(models[id == "a0" ? "a1" : "a0"]);
                RC_ASSERT(scoreOf(models[id]) <= otherScore * (1 + 1e-9));
                router.recordCallStarted(*choice);
                ++models[id].inFlight;
                runningCalls.push_back(*choice);
                continue;
            }
            const Choice choice = runningCalls[action % runningCalls.size()];
            runningCalls.erase(runningCalls.begin() + static_cast<int>(action % runningCalls.size()));
            Model& model = models[choice.instance.value()];
            model.hint = { .inFlight = action / 8u, .queued = action % 16u, .limit = 16 };
            model.hintAt = model.answeredAt = m_clock.now();
            const Duration latency = std::chrono::milliseconds(1 + action / 4);
            model.latency += 0.1 * (std::chrono::duration<double>(latency).count() - model.latency);
            --model.inFlight;
            router.recordCallFinished(choice, { .latency = latency, .load = model.hint }, m_clock.now());
        }
    }

    TEST_F(RouterTest, KeyHasTheSameOwnerOnAllNodesUntilTheOwnerIsGone)
    {
        for (int i = 0; i < 10; ++i)
            add("a" + std::to_string(i), i % 2 ? "z1" : "z2");
        publish();
        Router otherRouter({ .zone = ZoneName("z2"), .region = RegionName("r1") });
        publish(otherRouter);
        std::map<std::string, std::string> owners;
        for (int i = 0; i < 500; ++i) {
            const std::string key = "key" + std::to_string(i);
            owners[key] = m_router.ownerOf(ServiceName("pitch"), key, m_clock.now())->instance.value();
            EXPECT_EQ(otherRouter.ownerOf(ServiceName("pitch"), key, m_clock.now())->instance.value(), owners[key]);
        }
        m_states["a3"].condition = Condition::Suspect;
        m_states["a4"].condition = Condition::Leaving;
        publish();
        const std::vector<InstanceId> excluded { InstanceId("a3") };
        std::map<std::string, int> counts;
        for (const auto& [key, owner] : owners) {
            const auto choice = m_router.choose(
                { .service = ServiceName("pitch"), .excluded = excluded, .isIdempotent = false, .idempotencyKey = key },
                m_random, m_clock.now());
            EXPECT_EQ(choice->instance.value(), owner);
            EXPECT_EQ(choice->reason, ChoiceReason::OwnerOfKey);
            ++counts[owner];
        }
        for (const auto& [id, count] : counts)
            EXPECT_NEAR(count, 50, 30) << id;
        m_states.erase("a4");
        publish();
        for (const auto& [key, owner] : owners) {
            const auto newOwner = m_router.ownerOf(ServiceName("pitch"), key, m_clock.now());
            EXPECT_EQ(newOwner->instance.value() == owner, owner != "a4");
        }
    }

    TEST_F(RouterTest, ScorePoliciesFollowTheScoresOfTheLastRefresh)
    {
        add("a0", "z1");
        add("a1", "z1");
        Router bestScoreRouter({ .zone = ZoneName("z1"), .region = RegionName("r1"), .policy = BestScore {} });
        Router proportionalRouter(
            { .zone = ZoneName("z1"), .region = RegionName("r1"), .policy = ScoreProportional {} });
        for (Router* router : { &bestScoreRouter, &proportionalRouter }) {
            publish(*router);
            const RoutingRequest request { .service = ServiceName("pitch") };
            std::map<std::string, int> counts;
            const auto callMany = [&] {
                counts.clear();
                for (int i = 0; i < 2000; ++i) {
                    const auto choice = router->choose(request, m_random, m_clock.now());
                    ++counts[choice->instance.value()];
                    router->recordCallStarted(*choice);
                    const bool isFirst = choice->instance.value() == "a0";
                    router->recordCallFinished(*choice, { .latency = isFirst ? 40ms : 10ms }, m_clock.now());
                }
            };
            callMany();
            m_clock.advance(1s);
            router->advance(m_clock.now());
            callMany();
            if (router == &bestScoreRouter) {
                EXPECT_EQ(counts.size(), 1u);
            } else {
                // Latency has 3 of 10 parts of the weight, and 10 ms scores 4 times as high as 40 ms: 7.75 to 10.
                EXPECT_NEAR(counts["a0"], 2000 * 7.75 / 17.75, 120);
            }
        }
    }

    // Runs choices, reports and view updates concurrently; also run under ThreadSanitizer.
    TEST_F(RouterTest, ThreadsShareARouter)
    {
        for (int i = 0; i < 6; ++i)
            add("a" + std::to_string(i), i < 3 ? "z1" : "z2");
        publish();
        const uint64_t violationsBefore = violationCount();
        std::atomic<bool> isDone = false;
        std::atomic<int> choices = 0;
        std::vector<std::thread> threads;
        for (uint64_t t = 0; t < 4; ++t) {
            threads.emplace_back([&, t] {
                Random random(t);
                for (int i = 0; !isDone; ++i) {
                    const TimePoint now = m_clock.now() + std::chrono::milliseconds(i);
                    const auto choice = m_router.choose({ .service = ServiceName("pitch") }, random, now);
                    m_router.recordCallStarted(*choice);
                    const LoadHint hint { .inFlight = static_cast<uint32_t>(random.below(20)), .limit = 10 };
                    m_router.recordCallFinished(
                        *choice, { .isFault = random.below(3) == 0, .latency = 1ms, .load = hint }, now);
                    ++choices;
                }
            });
        }
        for (int i = 0; i < 200; ++i) {
            m_states["a5"].record.incarnation = Incarnation(static_cast<uint64_t>(i));
            publish();
            m_router.advance(m_clock.now() + std::chrono::seconds(i));
            m_router.explain(ServiceName("pitch"), m_clock.now());
        }
        while (choices < 1000)
            std::this_thread::yield();
        isDone = true;
        for (std::thread& thread : threads)
            thread.join();
        EXPECT_EQ(violationCount(), violationsBefore);
        for (const auto& line : m_router.explain(ServiceName("pitch"), m_clock.now()))
            EXPECT_EQ(line.inFlight, 0) << line.instance.value();
    }

} // namespace
} // namespace skylark
