#include "membership/MembershipTable.h"

#include "base/Random.h"

#include <gtest/gtest.h>
#include <map>

namespace skylark {
namespace {

    using std::chrono::seconds;

    const ZoneName zoneA("zone-a");
    const TimePoint start { std::chrono::hours(1) };

    InstanceRecord record(const std::string& id, uint64_t incarnation = 1, bool isLeaving = false)
    {
        return { .id = InstanceId(id),
            .incarnation = Incarnation(incarnation),
            .peer = { .host = "127.0.0.1", .port = 7000 },
            .service = ServiceName("pitch"),
            .zone = zoneA,
            .region = RegionName("region-1"),
            .isLeaving = isLeaving };
    }

    ZoneInstanceList listOf(uint64_t revision, std::vector<InstanceRecord> records)
    {
        return { .zone = zoneA, .revision = Revision(revision), .instances = std::move(records) };
    }

    ConditionReport conditionReport(
        const std::string& id, Condition condition, Duration age = {}, uint64_t incarnation = 1)
    {
        return {
            .subject = InstanceId(id), .incarnation = Incarnation(incarnation), .condition = condition, .age = age
        };
    }

    class MembershipTableTest : public testing::Test {
    protected:
        // Returns Gone if the instance is not in the view.
        Condition conditionOf(const std::string& id)
        {
            m_table.publishIfChanged();
            const InstanceState* state = m_table.view()->find(InstanceId(id));
            return state ? state->condition : Condition::Gone;
        }
        void fail(const std::string& id, TimePoint at) { m_table.observeFailure(InstanceId(id), Incarnation(1), at); }
        void succeed(const std::string& id, TimePoint at)
        {
            m_table.observeSuccess(InstanceId(id), Incarnation(1), at);
        }

        MembershipTable m_table { MembershipOptions {} };
        std::vector<InstanceRecord> m_fiveRecords { record("a"), record("b"), record("c"), record("d"), record("e") };
    };

    TEST_F(MembershipTableTest, ListRevisionNeverDecreases)
    {
        EXPECT_EQ(m_table.applyList(listOf(5, m_fiveRecords), start), ListOutcome::Applied);
        EXPECT_EQ(m_table.applyList(listOf(4, {}), start), ListOutcome::WentBackward);
        EXPECT_EQ(m_table.applyList(listOf(5, {}), start), ListOutcome::Unchanged);
        EXPECT_EQ(conditionOf("a"), Condition::Live);
        EXPECT_EQ(m_table.applyList(listOf(6, { record("b") }), start), ListOutcome::Applied);
        EXPECT_EQ(conditionOf("a"), Condition::Gone);
    }

    TEST_F(MembershipTableTest, InvalidListIsRejectedWhole)
    {
        EXPECT_EQ(m_table.applyList(listOf(1, { record("a"), record("a") }), start), ListOutcome::Refused);
        InstanceRecord otherZone = record("b");
        otherZone.zone = ZoneName("zone-b");
        EXPECT_EQ(m_table.applyList(listOf(1, { record("a"), otherZone }), start), ListOutcome::Refused);
        MembershipTable smallTable({ .maxInstances = 4 });
        EXPECT_EQ(smallTable.applyList(listOf(1, m_fiveRecords), start), ListOutcome::Refused);
        EXPECT_EQ(m_table.listRevision(zoneA), Revision());
    }

    TEST_F(MembershipTableTest, SuspicionEndsWithSuccessOrAfterThirtySeconds)
    {
        m_table.applyList(listOf(1, m_fiveRecords), start);
        fail("a", start);
        fail("b", start);
        EXPECT_EQ(conditionOf("a"), Condition::Suspect);
        succeed("a", start + seconds(1));
        EXPECT_EQ(conditionOf("a"), Condition::Live);
        m_table.advance(start + seconds(29));
        EXPECT_EQ(conditionOf("b"), Condition::Suspect);
        m_table.advance(start + seconds(30));
        EXPECT_EQ(conditionOf("b"), Condition::Live);
    }

    TEST_F(MembershipTableTest, DirectObservationOverridesConditionReportsForTenSeconds)
    {
        m_table.applyList(listOf(1, m_fiveRecords), start);
        succeed("a", start);
        m_table.applyConditionReport(conditionReport("a", Condition::Suspect), start + seconds(9));
        EXPECT_EQ(conditionOf("a"), Condition::Live);
        // Evidence that is older than the direct observation is ignored.
        m_table.applyConditionReport(conditionReport("a", Condition::Suspect, seconds(12)), start + seconds(11));
        EXPECT_EQ(conditionOf("a"), Condition::Live);
        m_table.applyConditionReport(conditionReport("a", Condition::Suspect), start + seconds(11));
        EXPECT_EQ(conditionOf("a"), Condition::Suspect);
    }

    TEST_F(MembershipTableTest, LiveReportNeitherRestoresADroppedInstanceNorEndsLeaving)
    {
        m_table.applyList(listOf(1, m_fiveRecords), start);
        m_table.applyList(listOf(2, { record("b") }), start);
        m_table.applyConditionReport(conditionReport("a", Condition::Live), start);
        EXPECT_EQ(conditionOf("a"), Condition::Gone);
        m_table.applyList(listOf(3, { record("b"), record("c", 1, true) }), start);
        m_table.applyConditionReport(conditionReport("c", Condition::Live), start);
        EXPECT_EQ(conditionOf("c"), Condition::Leaving);
    }

    TEST_F(MembershipTableTest, HigherIncarnationOverridesReportsOfTheLowerOne)
    {
        m_table.applyList(listOf(1, m_fiveRecords), start);
        fail("a", start);
        m_table.observeLeaving(InstanceId("b"), Incarnation(1), start);
        m_table.observeSuccess(InstanceId("a"), Incarnation(2), start + seconds(1));
        m_table.observeSuccess(InstanceId("b"), Incarnation(2), start + seconds(1));
        EXPECT_EQ(conditionOf("a"), Condition::Live);
        EXPECT_EQ(conditionOf("b"), Condition::Live);
        fail("a", start + seconds(2));
        m_table.applyConditionReport(conditionReport("b", Condition::Leaving), start + seconds(20));
        EXPECT_EQ(conditionOf("a"), Condition::Live);
        EXPECT_EQ(conditionOf("b"), Condition::Live);
        // An outdated list does not restore the lower incarnation.
        m_table.applyList(listOf(2, { record("a", 1, true), record("b") }), start + seconds(21));
        EXPECT_EQ(conditionOf("a"), Condition::Live);
        EXPECT_EQ(m_table.view()->find(InstanceId("a"))->record.incarnation, Incarnation(2));
    }

    TEST_F(MembershipTableTest, LeavingNoticeOverridesTheListAndSuccesses)
    {
        m_table.applyList(listOf(1, m_fiveRecords), start);
        m_table.observeLeaving(InstanceId("a"), Incarnation(1), start);
        m_table.applyList(listOf(2, m_fiveRecords), start);
        succeed("a", start + seconds(1));
        m_table.recordClockGap(start + seconds(40));
        m_table.advance(start + seconds(50));
        EXPECT_EQ(conditionOf("a"), Condition::Leaving);
    }

    TEST_F(MembershipTableTest, SuspicionOfMostOfAZoneIsIgnored)
    {
        m_table.applyList(listOf(1, m_fiveRecords), start);
        fail("a", start);
        fail("b", start);
        EXPECT_EQ(conditionOf("a"), Condition::Suspect);
        fail("c", start);
        EXPECT_EQ(conditionOf("a"), Condition::Live);
        succeed("c", start);
        EXPECT_EQ(conditionOf("a"), Condition::Suspect);
    }

    TEST_F(MembershipTableTest, ClockGapDropsDirectObservations)
    {
        m_table.applyList(listOf(1, m_fiveRecords), start);
        fail("a", start);
        m_table.applyConditionReport(conditionReport("b", Condition::Suspect), start);
        succeed("c", start);
        m_table.recordClockGap(start + seconds(5));
        EXPECT_EQ(conditionOf("a"), Condition::Live);
        EXPECT_EQ(conditionOf("b"), Condition::Suspect);
        // The success before the gap no longer overrides condition reports.
        m_table.applyConditionReport(conditionReport("c", Condition::Suspect), start + seconds(5));
        EXPECT_EQ(conditionOf("c"), Condition::Suspect);
    }

    TEST_F(MembershipTableTest, ConditionReportsAreDirectRecentAndBounded)
    {
        std::vector<InstanceRecord> records;
        for (int index = 0; index < 200; ++index)
            records.push_back(record("n" + std::to_string(index)));
        m_table.applyList(listOf(1, records), start);
        m_table.applyConditionReport(conditionReport("n199", Condition::Suspect), start);
        fail("n198", start);
        EXPECT_EQ(m_table.conditionReports(start + seconds(9)).size(), 1U);
        EXPECT_TRUE(m_table.conditionReports(start + seconds(10)).empty());
        for (int index = 0; index < 90; ++index)
            fail("n" + std::to_string(index), start + std::chrono::milliseconds(index));
        const std::vector<ConditionReport> reports = m_table.conditionReports(start + seconds(1));
        ASSERT_EQ(reports.size(), 64U);
        EXPECT_EQ(reports.front().subject, InstanceId("n89"));
    }

    TEST_F(MembershipTableTest, ViewIsRebuiltOnlyAfterAChange)
    {
        m_table.applyList(listOf(1, m_fiveRecords), start);
        EXPECT_TRUE(m_table.publishIfChanged());
        const auto viewBefore = m_table.view();
        succeed("a", start);
        m_table.applyList(listOf(2, m_fiveRecords), start);
        EXPECT_FALSE(m_table.publishIfChanged());
        EXPECT_EQ(m_table.view(), viewBefore);
    }

    TEST_F(MembershipTableTest, DeltaAppliesOnlyToItsBaseRevision)
    {
        const ZoneListDelta delta {
            .zone = zoneA, .fromRevision = Revision(3), .toRevision = Revision(5), .upserts = { record("z") }
        };
        EXPECT_EQ(m_table.applyDelta(delta, start), ListOutcome::BaseMismatch);
        m_table.applyList(listOf(2, m_fiveRecords), start);
        EXPECT_EQ(m_table.applyDelta(delta, start), ListOutcome::BaseMismatch);
        EXPECT_EQ(conditionOf("z"), Condition::Gone);
        m_table.applyList(listOf(3, m_fiveRecords), start);
        EXPECT_EQ(m_table.applyDelta(delta, start), ListOutcome::Applied);
        EXPECT_EQ(m_table.applyDelta(delta, start), ListOutcome::Unchanged);
        EXPECT_EQ(conditionOf("z"), Condition::Live);
    }

    // Guards against deltas that lose or restore entries: a follower that applies deltas from random earlier revisions
    // must have the same list as a plain map that is edited directly.
    TEST(DeltaMergeTest, EqualsAPlainMap)
    {
        Random random(20260401);
        for (int round = 0; round < 30; ++round) {
            MembershipTable leader { MembershipOptions {} };
            MembershipTable follower { MembershipOptions {} };
            std::map<InstanceId, InstanceRecord> reference;
            size_t deltaCount = 0;
            for (uint64_t revision = 1; revision <= 120; ++revision) {
                for (uint64_t edits = random.below(6); edits > 0; --edits) {
                    const std::string id = "n" + std::to_string(random.below(40));
                    if (random.below(3) == 0)
                        reference.erase(InstanceId(id));
                    else
                        reference.insert_or_assign(
                            InstanceId(id), record(id, 1 + random.below(3), random.below(4) == 0));
                }
                std::vector<InstanceRecord> records;
                for (const auto& [id, entry] : reference)
                    records.push_back(entry);
                ASSERT_EQ(leader.applyList(listOf(revision, records), start), ListOutcome::Applied);
                if (random.below(8) != 0)
                    continue;
                if (const auto delta = leader.deltaSince(zoneA, follower.listRevision(zoneA))) {
                    ASSERT_EQ(follower.applyDelta(*delta, start), ListOutcome::Applied);
                    ++deltaCount;
                } else {
                    ASSERT_EQ(follower.applyList(*leader.wholeList(zoneA), start), ListOutcome::Applied);
                }
                ASSERT_EQ(follower.wholeList(zoneA)->instances, records);
                ASSERT_EQ(follower.listsDigest(), leader.listsDigest());
            }
            EXPECT_GT(deltaCount, 0U);
        }
    }

} // namespace
} // namespace skylark
