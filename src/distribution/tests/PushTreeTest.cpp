#include "distribution/PushTracker.h"

#include "Fleet.h"

#include <gtest/gtest.h>

namespace skylark {
namespace {

    using std::chrono::milliseconds;

    const TimePoint start { std::chrono::hours(1) };
    const Digest digest { .high = 1, .low = 2 };

    std::shared_ptr<const MembershipView> viewOf(size_t zones, size_t perZone, const std::string& suspect = "")
    {
        std::vector<InstanceState> states;
        for (size_t index = 0; index < zones * perZone; ++index) {
            InstanceState state { .record = recordForTest("zone-" + std::to_string(index % zones), index) };
            if (state.record.id.value() == suspect)
                state.condition = Condition::Suspect;
            states.push_back(state);
        }
        return std::make_shared<const MembershipView>(std::move(states));
    }

    // Every member but the root must be the child of exactly one member; otherwise a push misses members.
    TEST(PushTreeTest, ReachesEveryMemberOnce)
    {
        const ZoneName zone("zone-0");
        for (const size_t size : { 1, 2, 8, 9, 10, 74, 300 }) {
            const auto view = viewOf(1, size);
            const PushTree tree(*view, zone, 42);
            std::multiset<InstanceId> children;
            for (const InstanceState* member : tree.order())
                for (const InstanceState* child : tree.childrenOf(member->record.id))
                    children.insert(child->record.id);
            EXPECT_EQ(children.size(), size - 1);
            EXPECT_EQ(std::set<InstanceId>(children.begin(), children.end()).size(), size - 1);
            EXPECT_FALSE(children.contains(tree.roots(1)[0]->record.id));
        }
    }

    TEST(PushTreeTest, OrderDependsOnTheSeedAndNotOnConditions)
    {
        const ZoneName zone("zone-0");
        const auto idsOf = [&](const MembershipView& view, uint64_t seed) {
            std::vector<InstanceId> ids;
            const PushTree tree(view, zone, seed);
            for (const InstanceState* member : tree.order())
                ids.push_back(member->record.id);
            return ids;
        };
        const auto view = viewOf(1, 100);
        EXPECT_EQ(idsOf(*view, 1), idsOf(*viewOf(1, 100, "zone-0-n5"), 1));
        EXPECT_NE(idsOf(*view, 1), idsOf(*view, 2));
        EXPECT_EQ(firstInPushOrder(*view, zone, 1, 3), PushTree(*view, zone, 1).roots(3));
    }

    class PushTrackerTest : public testing::Test {
    protected:
        PushTracker tracker(size_t position, PushOptions options = {}) const
        {
            return { options, order[position]->record.id, ZoneName("zone-0") };
        }
        std::shared_ptr<const MembershipView> view { viewOf(3, 200) };
        PushTree tree { *view, ZoneName("zone-0"), 42 };
        const std::vector<const InstanceState*>& order { tree.order() };
    };

    TEST_F(PushTrackerTest, OriginPushesToTwoNodesOfItsZoneAndOneOfEachOtherZone)
    {
        PushTracker origin = tracker(150);
        const auto targets = origin.begin(view, 42, digest, 0, PushOrigin::Source, start);
        ASSERT_EQ(targets.size(), 4U);
        EXPECT_EQ(targets[0].id, order[0]->record.id);
        EXPECT_EQ(targets[1].id, order[1]->record.id);
        EXPECT_EQ(tracker(150).begin(view, 42, digest, 0, PushOrigin::Parent, start).size(), 0U);
        EXPECT_EQ(tracker(3).begin(view, 42, digest, 0, PushOrigin::Parent, start).size(), 8U);
    }

    // A leaf that got a version by repair must push it to its zone. Without that, the rest of the zone depended on
    // summaries and took more than 3 s to converge (RandomizedFleetTest, seed 30179).
    TEST_F(PushTrackerTest, RepairedNodePushesToTheRootsOfItsOwnZone)
    {
        const auto targets = tracker(150).begin(view, 42, digest, 0, PushOrigin::Repair, start);
        ASSERT_EQ(targets.size(), 2U);
        EXPECT_EQ(targets[0].id, order[0]->record.id);
        EXPECT_EQ(targets[1].id, order[1]->record.id);
    }

    TEST_F(PushTrackerTest, PushesToTheChildrenOfASilentChild)
    {
        PushTracker root = tracker(0);
        root.begin(view, 42, digest, 0, PushOrigin::Parent, start);
        for (size_t position = 2; position <= 8; ++position)
            root.recordAcknowledgement(order[position]->record.id, digest);
        EXPECT_TRUE(root.expire(start + milliseconds(299)).empty());
        const auto replacements = root.expire(start + milliseconds(300));
        ASSERT_EQ(replacements.size(), 8U);
        for (size_t index = 0; index < replacements.size(); ++index)
            EXPECT_EQ(replacements[index].id, order[9 + index]->record.id);
        // An unreachable grandchild is replaced immediately.
        EXPECT_EQ(root.replaceUnreachable(order[9]->record.id, start + milliseconds(310)).size(), 8U);
        EXPECT_TRUE(root.replaceUnreachable(order[9]->record.id, start + milliseconds(320)).empty());
    }

    TEST_F(PushTrackerTest, AcknowledgementOfAnotherVersionIsIgnored)
    {
        PushTracker root = tracker(0);
        root.begin(view, 42, digest, 0, PushOrigin::Parent, start);
        root.recordAcknowledgement(order[1]->record.id, Digest { .high = 9 });
        EXPECT_EQ(root.outstandingCount(), 8U);
        root.recordAcknowledgement(order[1]->record.id, digest);
        EXPECT_EQ(root.outstandingCount(), 7U);
    }

    // The children of a suspect child must not wait until its acknowledgement times out.
    TEST_F(PushTrackerTest, SuspectChildIsBypassedImmediately)
    {
        const auto viewWithSuspect = viewOf(3, 200, order[1]->record.id.value());
        const auto targets = tracker(0).begin(viewWithSuspect, 42, digest, 0, PushOrigin::Parent, start);
        EXPECT_EQ(targets.size(), 16U);
    }

    TEST_F(PushTrackerTest, TriesAtMostThreeNodesOfAnUnreachableZone)
    {
        PushTracker origin = tracker(150);
        origin.begin(view, 42, digest, 0, PushOrigin::Source, start);
        const auto others = firstInPushOrder(*view, ZoneName("zone-1"), 42, 3);
        const auto second = origin.replaceUnreachable(others[0]->record.id, start);
        ASSERT_EQ(second.size(), 1U);
        EXPECT_EQ(second[0].id, others[1]->record.id);
        EXPECT_EQ(origin.replaceUnreachable(others[1]->record.id, start).size(), 1U);
        EXPECT_TRUE(origin.replaceUnreachable(others[2]->record.id, start).empty());
    }

    TEST_F(PushTrackerTest, OutstandingPushesAndDepthAreBounded)
    {
        PushTracker root = tracker(0, { .maxOutstanding = 20, .maxDepth = 2 });
        root.begin(view, 42, digest, 0, PushOrigin::Parent, start);
        root.expire(start + milliseconds(300));
        EXPECT_EQ(root.outstandingCount(), 20U);
        EXPECT_TRUE(root.expire(start + milliseconds(600)).empty());
    }

} // namespace
} // namespace skylark
