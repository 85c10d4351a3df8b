// Tests the distribution failures listed in the design document on a small fleet, without random faults.
#include "Fleet.h"
#include "base/Compression.h"

#include <gtest/gtest.h>

namespace skylark {
namespace {

    using std::chrono::milliseconds;
    using std::chrono::seconds;

    class DistributorTest : public testing::Test {
    protected:
        void startAll(Fleet& fleet, Duration limit = seconds(20))
        {
            fleet.publishVersion();
            for (size_t node = 0; node < fleet.nodes.size(); ++node)
                fleet.start(node);
            fleet.publishLists();
            const auto isReady = [&] {
                return fleet.isConverged() && fleet.haveEqualLists()
                    && std::all_of(fleet.nodes.begin(), fleet.nodes.end(),
                        [](const Fleet::Node& node) { return node.distributor->isServing(); });
            };
            ASSERT_TRUE(fleet.runUntil(isReady, limit)) << fleet.describe();
            fleet.run(seconds(12));
        }
        void expectConvergence(Fleet& fleet, Duration limit)
        {
            EXPECT_TRUE(fleet.runUntil([&] { return fleet.isConverged(); }, limit)) << fleet.describe();
        }
        static size_t countRanksBelow(const Fleet& fleet, const std::string& zone, size_t limit)
        {
            size_t count = 0;
            for (const Fleet::Node& node : fleet.nodes)
                if (node.distributor && node.record.zone == ZoneName(zone)
                    && node.distributor->readers().rank() < limit)
                    ++count;
            return count;
        }
    };

    // A push must reach all nodes through the tree alone, without repair by summaries.
    TEST_F(DistributorTest, PushesReachAllNodesWithinHalfASecondWithoutSummaries)
    {
        Fleet fleet(3, 30, 11, true);
        startAll(fleet);
        fleet.filter = [](size_t, size_t, const Message& message) { return !std::holds_alternative<Summary>(message); };
        fleet.sentByType.clear();
        fleet.publishVersion();
        expectConvergence(fleet, milliseconds(500));
        fleet.run(seconds(1));
        // Each node gets one push; the readers of the three zones also push to the roots.
        const size_t pushes = fleet.sentByType[Message(PushVersion()).index()];
        EXPECT_GE(pushes, 87U);
        EXPECT_LE(pushes, 87U + 3 * (2 + 2) + 10);
    }

    TEST_F(DistributorTest, FailedInteriorNodesAreBypassed)
    {
        Fleet fleet(1, 60, 12, true);
        startAll(fleet);
        const PushTree tree(*fleet.nodes[0].distributor->membership().view(), ZoneName("zone-0"), fleet.version + 1);
        fleet.filter = [](size_t, size_t, const Message& message) { return !std::holds_alternative<Summary>(message); };
        for (size_t position = 1; position <= 3; ++position)
            for (size_t node = 0; node < fleet.nodes.size(); ++node)
                if (fleet.nodes[node].record.id == tree.order()[position]->record.id)
                    fleet.kill(node);
        fleet.publishVersion();
        // After a crash of a reader it takes up to 2.75 s until another node reads.
        ASSERT_TRUE(fleet.runUntil([&] { return fleet.anyNodeHoldsNewest(); }, seconds(4))) << fleet.describe();
        expectConvergence(fleet, milliseconds(900));
    }

    TEST_F(DistributorTest, SummariesRepairLostPushes)
    {
        Fleet fleet(2, 10, 13, true);
        startAll(fleet);
        // Drops the first push to each node of the second half. Responses to requests are pushes as well and are
        // delivered.
        std::set<size_t> nodesWithDroppedPush;
        fleet.filter = [&](size_t, size_t to, const Message& message) {
            const auto* push = std::get_if<PushVersion>(&message);
            return !push || to < 10 || !nodesWithDroppedPush.insert(to).second;
        };
        fleet.publishVersion();
        expectConvergence(fleet, seconds(3));
        EXPECT_GE(nodesWithDroppedPush.size(), 9U);
    }

    TEST_F(DistributorTest, FailedReadersAreReplaced)
    {
        Fleet fleet(1, 12, 14, true);
        startAll(fleet);
        for (size_t node = 0; node < fleet.nodes.size(); ++node)
            if (fleet.nodes[node].distributor->readers().rank() < 3)
                fleet.kill(node);
        fleet.publishVersion();
        expectConvergence(fleet, seconds(4));
    }

    TEST_F(DistributorTest, IdleFleetReadsLittle)
    {
        Fleet fleet(2, 15, 15, true);
        startAll(fleet);
        fleet.run(seconds(20));
        EXPECT_EQ(countRanksBelow(fleet, "zone-0", 3), 3U);
        fleet.watches = fleet.reads = 0;
        fleet.run(seconds(100));
        // Expects about 60 watches: each of the 3 readers of each of the 2 zones starts one in 10 s.
        EXPECT_LE(fleet.watches, 66U);
        EXPECT_GE(fleet.watches, 54U);
        EXPECT_EQ(fleet.reads, 0U);
        fleet.publishVersion();
        fleet.run(seconds(2));
        // One or two readers of each zone read the manifest and the changed texts; the others get them from peers.
        EXPECT_LE(fleet.reads, 16U);
    }

    TEST_F(DistributorTest, SourceOutageLimitsRequestsAndNewNodeStartsFromSnapshot)
    {
        Fleet fleet(2, 5, 16, true);
        startAll(fleet);
        fleet.kill(7);
        fleet.run(seconds(5));
        fleet.setSourceFault(Fleet::SourceFault::Refusing);
        fleet.run(seconds(30));
        fleet.watches = fleet.reads = 0;
        fleet.run(seconds(60));
        // At most 10 nodes make requests, each with a mean backoff of 5 s.
        EXPECT_LE(fleet.watches + fleet.reads, 160U);
        fleet.start(7);
        EXPECT_TRUE(fleet.runUntil([&] { return fleet.holdsNewest(7); }, seconds(3))) << fleet.describe();
        EXPECT_TRUE(fleet.runUntil([&] { return fleet.nodes[7].distributor->isServing(); }, seconds(4)));
    }

    TEST_F(DistributorTest, StaleSourceIsReportedAndNotApplied)
    {
        Fleet fleet(1, 6, 17, true);
        startAll(fleet);
        const SourceState old = fleet.source;
        fleet.publishVersion();
        expectConvergence(fleet, seconds(3));
        fleet.run(seconds(1));
        std::swap(fleet.source.values, const_cast<SourceState&>(old).values);
        const Revision newest = fleet.source.revision;
        fleet.source.revision = old.revision;
        fleet.run(seconds(25));
        EXPECT_GT(fleet.count("source-went-backward"), 0U);
        EXPECT_TRUE(fleet.isConverged());
        // A source restored from a backup publishes a higher version number with a lower revision.
        fleet.source.revision = Revision(newest.value() - 1);
        fleet.publishVersion();
        expectConvergence(fleet, seconds(25));
    }

    TEST_F(DistributorTest, PartitionWithoutTheSourceServesAndCatchesUp)
    {
        Fleet fleet(2, 8, 18, true);
        startAll(fleet);
        for (Fleet::Node& node : fleet.nodes)
            node.group = node.record.zone == ZoneName("zone-1") ? 1 : 0;
        fleet.publishVersion();
        fleet.run(seconds(40));
        for (size_t node = 0; node < fleet.nodes.size(); ++node) {
            EXPECT_EQ(fleet.holdsNewest(node), fleet.nodes[node].group == 0);
            EXPECT_TRUE(fleet.nodes[node].distributor->isServing());
        }
        for (Fleet::Node& node : fleet.nodes)
            node.group = 0;
        expectConvergence(fleet, seconds(3));
    }

    TEST_F(DistributorTest, InvalidVersionIsRejectedAndReportedByPeers)
    {
        Fleet fleet(1, 8, 19, true);
        startAll(fleet);
        fleet.publishVersion(true);
        fleet.run(seconds(6));
        EXPECT_GT(fleet.count("version-rejected"), 0U);
        EXPECT_TRUE(fleet.isConverged());
        size_t nodesThatKnowTheRejection = 0;
        for (const Fleet::Node& node : fleet.nodes)
            if (!node.distributor->rejectedByPeers().empty() || !node.distributor->versions().rejected().empty())
                ++nodesThatKnowTheRejection;
        EXPECT_EQ(nodesThatKnowTheRejection, fleet.nodes.size());
        fleet.publishVersion();
        expectConvergence(fleet, seconds(3));
    }

    TEST_F(DistributorTest, PausedNodeServesOnlyAfterResync)
    {
        Fleet fleet(1, 6, 20, true);
        startAll(fleet);
        fleet.pause(4);
        fleet.run(seconds(3));
        fleet.publishVersion();
        fleet.run(seconds(2));
        // Drops the messages that arrived during the pause; they would deliver the version before the first tick.
        fleet.nodes[4].bufferedEvents.clear();
        fleet.resume(4);
        bool hasServedOld = false;
        const auto isUpToDate = [&] {
            hasServedOld = hasServedOld
                || (fleet.nodes[4].events.back() == "clock-gap" && fleet.nodes[4].distributor->isServing())
                || (fleet.nodes[4].distributor->isServing() && !fleet.holdsNewest(4) && fleet.count("clock-gap") > 0);
            return fleet.holdsNewest(4) && fleet.nodes[4].distributor->isServing();
        };
        EXPECT_TRUE(fleet.runUntil(isUpToDate, seconds(3))) << fleet.describe();
        EXPECT_FALSE(hasServedOld);
        EXPECT_EQ(fleet.count("clock-gap"), 1U);
    }

    TEST_F(DistributorTest, ListChangesReachOtherZonesAsDeltas)
    {
        Fleet fleet(3, 12, 21, true);
        startAll(fleet);
        size_t fullLists = 0;
        size_t deltas = 0;
        fleet.filter = [&](size_t, size_t, const Message& message) {
            if (const auto* update = std::get_if<ListUpdate>(&message))
                ++(update->isFullList ? fullLists : deltas);
            return true;
        };
        fleet.kill(5);
        fleet.publishLists();
        ASSERT_TRUE(fleet.runUntil(
            [&] {
                return fleet.haveEqualLists()
                    && fleet.nodes[0].distributor->membership().view()->instances().size() == 35;
            },
            seconds(5)))
            << fleet.describe();
        EXPECT_EQ(fullLists, 0U);
        EXPECT_GT(deltas, 30U);
    }

    // A starting node must request a lost part again instead of waiting for it forever.
    TEST_F(DistributorTest, LostSnapshotPartIsRequestedAgain)
    {
        Fleet fleet(1, 5, 24, true);
        startAll(fleet);
        fleet.kill(4);
        fleet.setSourceFault(Fleet::SourceFault::Refusing);
        bool isLost = false;
        fleet.filter = [&](size_t, size_t to, const Message& message) {
            const bool isFirst = !isLost && to == 4 && std::holds_alternative<SnapshotPart>(message);
            isLost = isLost || isFirst;
            return !isFirst;
        };
        fleet.start(4);
        EXPECT_TRUE(fleet.runUntil([&] { return fleet.holdsNewest(4); }, seconds(3))) << fleet.describe();
        EXPECT_TRUE(isLost);
    }

    class SingleNodeTest : public testing::Test {
    protected:
        SingleNodeTest()
        {
            DistributorOptions options = optionsForTest(recordForTest("zone-0", 0));
            options.seedPeers = { peer.peer };
            node = std::make_unique<Distributor>(std::move(options), start);
            node->start(start);
        }
        Actions handle(const Message& message, TimePoint now)
        {
            return node->handle(message, { peer.id, peer.incarnation, peer.peer, peer.zone, peer.region }, now);
        }
        // A push from the empty manifest with one section.
        static PushVersion push(uint64_t version, bool hasText)
        {
            const std::string text = "judging " + std::to_string(version);
            const Manifest manifest = manifestOf(version, version, { { "judging", text } });
            PushVersion message { .manifest = { .version = manifest.version,
                                      .revision = manifest.revision,
                                      .digest = manifest.digest(),
                                      .changed = { { SectionName("judging"), digestOf(text) } } } };
            if (hasText)
                message.sections.push_back({ SectionName("judging"), digestOf(text), compress(text) });
            return message;
        }
        static size_t sectionRequests(const Actions& actions)
        {
            return static_cast<size_t>(std::count_if(actions.begin(), actions.end(), [](const Action& action) {
                const auto* send = std::get_if<Send>(&action);
                const auto* request = send ? std::get_if<FetchRequest>(&send->message) : nullptr;
                return request && !request->sections.empty();
            }));
        }

        const TimePoint start { std::chrono::hours(1) };
        const InstanceRecord peer { recordForTest("zone-0", 1) };
        std::unique_ptr<Distributor> node;
    };

    TEST_F(SingleNodeTest, LostSectionsAreRequestedAgain)
    {
        EXPECT_EQ(sectionRequests(handle(push(1, false), start)), 1U);
        EXPECT_EQ(sectionRequests(node->tick(start + milliseconds(400))), 0U);
        EXPECT_EQ(sectionRequests(node->tick(start + milliseconds(600))), 1U);
    }

    TEST_F(SingleNodeTest, DoesNotServeWhileAPeerHoldsANewerVersion)
    {
        handle(push(1, true), start);
        const FreshnessMark mark { .zone = ZoneName("zone-0"), .reader = peer.id, .sourceRevision = Revision(5) };
        handle(Summary { .version = VersionNumber(5), .manifestRevision = Revision(5), .marks = { mark } }, start);
        EXPECT_EQ(node->versions().currentOrder().version, VersionNumber(1));
        EXPECT_FALSE(node->isServing());
        handle(push(5, true), start + milliseconds(50));
        EXPECT_TRUE(node->isServing());
    }

    TEST_F(SingleNodeTest, BootstrapReadsTheListsOfTheNamedZones)
    {
        DistributorOptions options = optionsForTest(recordForTest("zone-0", 0));
        options.zones = { ZoneName("zone-0"), ZoneName("zone-3") };
        Distributor nodeWithoutPeers(std::move(options), start);
        nodeWithoutPeers.start(start);
        std::set<std::string> keys;
        for (const Action& action : nodeWithoutPeers.tick(start + milliseconds(500)))
            if (const auto* read = std::get_if<ReadKey>(&action))
                keys.insert(read->key);
        EXPECT_EQ(keys, (std::set<std::string> { "skylarkbay/instances/zone-0", "skylarkbay/instances/zone-3" }));
    }

    TEST_F(DistributorTest, LeavingIsAcceptedOnlyFromTheInstanceItself)
    {
        Fleet fleet(1, 4, 22, true);
        startAll(fleet);
        Distributor& node = *fleet.nodes[0].distributor;
        const InstanceRecord& leaver = fleet.nodes[1].record;
        const InstanceRecord& other = fleet.nodes[2].record;
        const auto conditionOfLeaver = [&] {
            fleet.run(milliseconds(400));
            return node.membership().view()->find(leaver.id)->condition;
        };
        const Leaving leaving { .instance = leaver.id, .incarnation = leaver.incarnation };
        node.handle(leaving, { other.id, other.incarnation, other.peer, other.zone, other.region }, fleet.now);
        EXPECT_EQ(conditionOfLeaver(), Condition::Live);
        node.handle(leaving, { leaver.id, leaver.incarnation, leaver.peer, leaver.zone, leaver.region }, fleet.now);
        EXPECT_EQ(conditionOfLeaver(), Condition::Leaving);
    }

    // Frequent observations must not rebuild the whole view for each event.
    TEST_F(DistributorTest, ViewIsPublishedAtMostEvery200Milliseconds)
    {
        Fleet fleet(1, 10, 23, true);
        startAll(fleet);
        const size_t before = fleet.nodes[0].publishedViews;
        for (int step = 0; step < 100; ++step) {
            // Each step changes the condition of a peer.
            MembershipTable& table = fleet.nodes[0].distributor->membership();
            if (step % 2 == 0)
                table.observeFailure(fleet.nodes[1].record.id, Incarnation(1), fleet.now);
            else
                table.observeSuccess(fleet.nodes[1].record.id, Incarnation(1), fleet.now);
            fleet.run(milliseconds(20));
        }
        EXPECT_GE(fleet.nodes[0].publishedViews - before, 5U);
        EXPECT_LE(fleet.nodes[0].publishedViews - before, 11U);
    }

} // namespace
} // namespace skylark
