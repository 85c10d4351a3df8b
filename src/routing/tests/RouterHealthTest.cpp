// Guards against calls to failing or leaving instances, and against a router that ejects so many instances that too few
// are left.
#include "routing/tests/RouterFixture.h"

#include <set>

namespace skylark {
namespace {

    using namespace std::chrono_literals;

    class RouterHealthTest : public RouterFixture {
    protected:
        void addZone(int count)
        {
            for (int i = 0; i < count; ++i)
                add("a" + std::to_string(i), "z1");
            publish();
        }
        void fail(const std::string& id)
        {
            for (int i = 0; i < 5; ++i)
                callTo(id, true);
        }
        std::string conditionOf(const std::string& id)
        {
            for (const auto& line : m_router.explain(ServiceName("pitch"), m_clock.now())) {
                if (line.instance.value() == id)
                    return line.condition;
            }
            return "missing";
        }
    };

    TEST_F(RouterHealthTest, FiveFailuresInARowEjectAnInstanceUntilAProbeSucceeds)
    {
        addZone(3);
        fail("a0");
        EXPECT_EQ(conditionOf("a0"), "ejected");
        EXPECT_EQ(callCounts(200).count("a0"), 0u);
        m_clock.advance(1s);
        EXPECT_NE(choose(false)->reason, ChoiceReason::Probe)
            << "a failed probe would fail a call that cannot be retried";
        const auto probe = choose();
        ASSERT_EQ(probe->reason, ChoiceReason::Probe);
        EXPECT_EQ(probe->instance.value(), "a0");
        m_router.recordCallStarted(*probe);
        EXPECT_EQ(callCounts(200).count("a0"), 0u) << "one probe at a time";
        finish(*probe);
        EXPECT_EQ(conditionOf("a0"), "live");
        EXPECT_GT(callCounts(200)["a0"], 20);
    }

    TEST_F(RouterHealthTest, ProbeWithoutResultIsFollowedByAnother)
    {
        addZone(3);
        fail("a0");
        m_clock.advance(1s);
        const auto cancelledProbe = choose();
        ASSERT_EQ(cancelledProbe->reason, ChoiceReason::Probe);
        m_router.recordCallStarted(*cancelledProbe);
        m_router.recordCallFinished(*cancelledProbe, { .outcome = CallOutcome::Unknown }, m_clock.now());
        EXPECT_EQ(choose()->reason, ChoiceReason::Probe);
        EXPECT_NE(choose()->reason, ChoiceReason::Probe) << "a probe that was chosen but not sent counts as in flight";
        m_clock.advance(30s);
        EXPECT_EQ(choose()->reason, ChoiceReason::Probe);
    }

    TEST_F(RouterHealthTest, EjectionDoublesUpToThirtySecondsAndIsResetAfterThirtySecondsInUse)
    {
        addZone(3);
        fail("a0");
        for (const Duration expected : { 1s, 2s, 4s, 8s, 16s, 30s, 30s }) {
            m_clock.advance(expected - 1ms);
            EXPECT_NE(choose()->reason, ChoiceReason::Probe) << expected.count();
            m_clock.advance(1ms);
            const auto probe = choose();
            ASSERT_EQ(probe->reason, ChoiceReason::Probe) << expected.count();
            m_router.recordCallStarted(*probe);
            finish(*probe, true);
        }
        m_clock.advance(30s);
        const auto probe = choose();
        m_router.recordCallStarted(*probe);
        finish(*probe);
        m_clock.advance(31s);
        fail("a0");
        m_clock.advance(1s);
        EXPECT_EQ(choose()->reason, ChoiceReason::Probe);
    }

    TEST_F(RouterHealthTest, AtMostAThirdOfTheInstancesIsEjected)
    {
        addZone(7);
        for (int i = 0; i < 7; ++i)
            fail("a" + std::to_string(i));
        int ejectedCount = 0;
        for (const auto& line : m_router.explain(ServiceName("pitch"), m_clock.now()))
            ejectedCount += line.condition == "ejected";
        EXPECT_EQ(ejectedCount, 2);
    }

    TEST_F(RouterHealthTest, InterruptedFailuresAndRefusalsDoNotEject)
    {
        addZone(3);
        for (int i = 0; i < 20; ++i)
            callTo("a0", i % 5 != 4);
        EXPECT_EQ(conditionOf("a0"), "live");
        for (int i = 0; i < 20; ++i) {
            const auto choice = choose();
            m_router.recordCallStarted(*choice);
            m_router.recordCallFinished(*choice, { .outcome = CallOutcome::NotRun }, m_clock.now());
        }
        for (const auto& line : m_router.explain(ServiceName("pitch"), m_clock.now()))
            EXPECT_EQ(line.condition, "live");
    }

    TEST_F(RouterHealthTest, SuccessRateBelowHalfOfTheServiceMeanEjects)
    {
        addZone(4);
        for (int i = 0; i < 200; ++i) {
            callTo("a0", i % 5 != 0); // never five failures in a row
            for (const char* id : { "a1", "a2", "a3" })
                callTo(id, false);
        }
        EXPECT_EQ(conditionOf("a0"), "live");
        refresh();
        EXPECT_EQ(conditionOf("a0"), "ejected");
        EXPECT_EQ(conditionOf("a1"), "live");
    }

    TEST_F(RouterHealthTest, InstanceThatLeavesByViewOrHintGetsNoNewCalls)
    {
        addZone(3);
        callTo("a0", false, LoadHint { .limit = 10, .isLeaving = true });
        m_states["a1"].condition = Condition::Leaving;
        publish();
        EXPECT_EQ(callCounts(100), (std::map<std::string, int> { { "a2", 100 } }));
        m_states["a2"].record.isLeaving = true;
        publish();
        EXPECT_FALSE(choose()) << "a leaving instance is no last resort";
    }

    TEST_F(RouterHealthTest, RestartedInstanceStartsWithNewStatistics)
    {
        addZone(3);
        const auto oldChoice = choose(true, { InstanceId("a1"), InstanceId("a2") });
        m_router.recordCallStarted(*oldChoice);
        callTo("a0", false, LoadHint { .limit = 10, .isLeaving = true });
        m_states["a0"].record.incarnation = Incarnation(2);
        publish();
        EXPECT_EQ(conditionOf("a0"), "live");
        finish(*oldChoice, false, LoadHint { .isLeaving = true }); // report of the old process
        EXPECT_EQ(conditionOf("a0"), "live");
        EXPECT_GT(callCounts(200)["a0"], 20);
    }

    TEST_F(RouterHealthTest, SuspectInstanceIsUsedOnlyWhenAllLookUnhealthy)
    {
        addZone(3);
        m_states["a0"].condition = Condition::Suspect;
        publish();
        EXPECT_EQ(callCounts(100).count("a0"), 0u);
        for (auto& [id, entry] : m_states)
            entry.condition = Condition::Suspect;
        publish();
        EXPECT_EQ(choose()->reason, ChoiceReason::LastResort);
        EXPECT_EQ(callCounts(300).size(), 3u);
        EXPECT_EQ(choose(true, { InstanceId("a0"), InstanceId("a2") })->instance.value(), "a1");
    }

    TEST_F(RouterHealthTest, ExcludedInstanceIsUsedOnlyWhenThereIsNoOther)
    {
        addZone(2);
        add("b0", "z2");
        publish();
        EXPECT_EQ(choose(true, { InstanceId("a0") })->instance.value(), "a1");
        EXPECT_EQ(choose(true, { InstanceId("a0"), InstanceId("a1") })->instance.value(), "b0");
        EXPECT_TRUE(choose(true, { InstanceId("a0"), InstanceId("a1"), InstanceId("b0") }));
    }

    // Guards against calls to an evacuated zone by a path that does not look at the health of an instance: a probe of
    // an ejected instance, the last resort, and the owner of an idempotency key.
    TEST_F(RouterHealthTest, InstancesOfAnEvacuatedZoneAreNeverChosen)
    {
        add("a0", "z1");
        add("a1", "z1");
        add("a2", "z1");
        add("b0", "z2");
        publish();
        fail("a0");
        m_clock.advance(1s);
        for (const char* id : { "a0", "a1", "a2" })
            m_states[id].isEvacuated = true;
        publish();
        EXPECT_EQ(callCounts(100), (std::map<std::string, int> { { "b0", 100 } }));
        for (int i = 0; i < 50; ++i) {
            const std::string key = "key" + std::to_string(i);
            EXPECT_EQ(m_router.ownerOf(ServiceName("pitch"), key, m_clock.now())->instance.value(), "b0");
            EXPECT_EQ(choose(true, { InstanceId("b0") })->instance.value(), "b0");
        }
        m_states["b0"].condition = Condition::Suspect;
        publish();
        EXPECT_EQ(choose()->instance.value(), "b0") << "the last resort";
        m_states["b0"].isEvacuated = true;
        publish();
        EXPECT_FALSE(choose());
        EXPECT_FALSE(m_router.ownerOf(ServiceName("pitch"), "key", m_clock.now()));
        for (auto& [id, state] : m_states)
            state.isEvacuated = false;
        publish();
        EXPECT_GT(callCounts(100)["a1"], 0);
    }

} // namespace
} // namespace skylark
