// Tests the policy LeastExpectedTime with zones and servers that differ in load, speed and faults.
#include "routing/tests/RouterFixture.h"

namespace skylark {
namespace {

    using namespace std::chrono_literals;

    class ExpectedTimeTest : public RouterFixture {
    protected:
        std::string chosenInstance(const std::vector<InstanceId>& excluded = {})
        {
            const auto choice = m_leastTimeRouter.choose(
                { .service = ServiceName("pitch"), .excluded = excluded }, m_random, m_clock.now());
            return choice ? choice->instance.value() : "";
        }
        // Makes one answered call to the instance, whose gate reports the given load.
        void reportLoad(const std::string& id, LoadHint load, bool isFault = false)
        {
            std::vector<InstanceId> others;
            for (const auto& [otherId, entry] : m_states) {
                if (otherId != id)
                    others.emplace_back(otherId);
            }
            const auto choice = m_leastTimeRouter.choose(
                { .service = ServiceName("pitch"), .excluded = others }, m_random, m_clock.now());
            ASSERT_TRUE(choice && choice->instance.value() == id);
            m_leastTimeRouter.recordCallStarted(*choice);
            m_leastTimeRouter.recordCallFinished(*choice,
                { .outcome = CallOutcome::Answered, .isFault = isFault, .latency = 50ms, .load = load }, m_clock.now());
        }
        static LoadHint load(uint32_t inFlight, uint32_t queued, Duration service = 50ms)
        {
            return { .inFlight = inFlight, .queued = queued, .limit = 10, .meanServiceTime = service };
        }

        Router m_leastTimeRouter { RouterOptions {
            .zone = ZoneName("z1"), .region = RegionName("r1"), .policy = LeastExpectedTime {} } };
    };

    TEST_F(ExpectedTimeTest, OwnZoneIsUsedUntilItsServersQueueCalls)
    {
        add("near", "z1");
        add("far", "z2");
        publish(m_leastTimeRouter);
        reportLoad("near", load(9, 0));
        reportLoad("far", load(0, 0));
        EXPECT_EQ(chosenInstance(), "near");
        reportLoad("near", load(10, 15));
        EXPECT_EQ(chosenInstance(), "far");
        // The report expires, so the own zone is used again.
        m_clock.advance(2s);
        EXPECT_EQ(chosenInstance(), "near");
    }

    // Guards against an overloaded zone that sends large calls to other zones although sending small ones would be
    // enough, and against calls that miss their target to save traffic between zones.
    TEST_F(ExpectedTimeTest, SmallCallsAreSentToOtherZonesFirst)
    {
        add("near", "z1");
        add("far", "z2");
        publish(m_leastTimeRouter);
        reportLoad("near", load(10, 15));
        reportLoad("far", load(0, 0));
        const auto chosenFor = [this](uint64_t bytes, Duration target) {
            return m_leastTimeRouter
                .choose({ .service = ServiceName("pitch"), .expectedBytes = ByteCount(bytes), .target = target },
                    m_random, m_clock.now())
                ->instance.value();
        };
        EXPECT_EQ(chosenFor(1024, 2s), "far");
        EXPECT_EQ(chosenFor(10 * 1024, 2s), "near");
        // About 145 ms in the own zone misses the target, so the size of the call no longer matters.
        EXPECT_EQ(chosenFor(10 * 1024, 100ms), "far");
    }

    TEST_F(ExpectedTimeTest, FastServerWithLoadIsPreferredToASlowIdleOne)
    {
        add("fast", "z1");
        add("slow", "z1");
        publish(m_leastTimeRouter);
        reportLoad("fast", load(6, 0, 50ms));
        reportLoad("slow", load(0, 0, 250ms));
        EXPECT_EQ(chosenInstance(), "fast");
    }

    // Guards against a faulty server that attracts calls because it fails quickly and so looks idle.
    TEST_F(ExpectedTimeTest, FailingIdleServerIsAvoided)
    {
        add("grey", "z1");
        add("sound", "z1");
        publish(m_leastTimeRouter);
        for (int i = 0; i < 20; ++i)
            reportLoad("grey", load(0, 0, 5ms), i % 2 == 0);
        reportLoad("sound", load(2, 0, 5ms));
        EXPECT_EQ(chosenInstance(), "sound");
    }

    TEST_F(ExpectedTimeTest, ExcludedAndLeavingInstancesGetNoCalls)
    {
        add("a", "z1");
        add("b", "z1");
        m_states["b"].condition = Condition::Leaving;
        publish(m_leastTimeRouter);
        EXPECT_EQ(chosenInstance(), "a");
        EXPECT_EQ(chosenInstance({ InstanceId("a") }), "a");
    }

    // A node without load reports distributes its calls evenly over equal servers.
    TEST_F(ExpectedTimeTest, EqualServersShareTheCalls)
    {
        for (const char* id : { "a", "b", "c", "d" })
            add(id, "z1");
        publish(m_leastTimeRouter);
        std::map<std::string, int> counts;
        for (int i = 0; i < 4000; ++i)
            ++counts[chosenInstance()];
        for (const auto& [id, count] : counts)
            EXPECT_NEAR(count, 1000, 150) << id;
    }

    // The own zone has 50 of the 200 instances and gets all calls, since it is not overloaded.
    TEST_F(ExpectedTimeTest, CallsToALargeServiceAreSpreadOverTheOwnZone)
    {
        for (int i = 0; i < 200; ++i)
            add("i" + std::to_string(i), "z" + std::to_string(i % 4));
        publish(m_leastTimeRouter);
        std::map<std::string, int> counts;
        for (int i = 0; i < 4000; ++i)
            ++counts[chosenInstance()];
        EXPECT_GT(counts.size(), 45u);
    }

} // namespace
} // namespace skylark
