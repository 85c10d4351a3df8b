#include "membership/ServerDirectory.h"

#include <gtest/gtest.h>

namespace skylark {
namespace {

    using namespace std::chrono_literals;

    const TimePoint start = TimePoint() + 1h;

    ServerEntry entry(const std::string& id, uint64_t revision, uint64_t incarnation = 1, bool isDraining = false)
    {
        const InstanceId instance(id);
        return { .id = instance,
            .revision = Revision(revision),
            .record = ServerRecord { .id = instance,
                .incarnation = Incarnation(incarnation),
                .service = ServiceName("work"),
                .zone = ZoneName("z"),
                .address = { "10.0.0." + id, 80 },
                .slots = 4,
                .isDraining = isDraining } };
    }

    ServerEntry deletion(const std::string& id, uint64_t revision)
    {
        return { .id = InstanceId(id), .revision = Revision(revision) };
    }

    ServerChanges listing(std::vector<ServerEntry> entries, uint64_t revision)
    {
        return { .entries = std::move(entries), .revision = Revision(revision), .isListing = true };
    }

    ServerChanges changes(std::vector<ServerEntry> entries, uint64_t since, uint64_t revision)
    {
        return { .entries = std::move(entries), .since = Revision(since), .revision = Revision(revision) };
    }

    size_t listedCount(const ServerDirectory& directory) { return directory.view()->instances().size(); }

    TEST(ServerDirectoryTest, NewestRevisionWinsInAnyOrderOfArrival)
    {
        ServerDirectory directory({ .peerPort = 7000 });
        EXPECT_TRUE(directory.apply(entry("1", 5, 1, true), start));
        EXPECT_FALSE(directory.apply(entry("1", 4), start));
        EXPECT_EQ(directory.view()->find(InstanceId("1"))->condition, Condition::Leaving);
        EXPECT_EQ(directory.view()->find(InstanceId("1"))->record.peer, (Endpoint { "10.0.0.1", 7000 }));
        EXPECT_TRUE(directory.apply(deletion("1", 6), start));
        // An older entry from a peer does not restore the server.
        EXPECT_FALSE(directory.apply(entry("1", 5), start));
        EXPECT_EQ(listedCount(directory), 0u);
    }

    TEST(ServerDirectoryTest, HeartbeatsDoNotAffectRouting)
    {
        ServerDirectory directory({});
        EXPECT_TRUE(directory.apply(listing({ entry("1", 5) }, 5), start));
        EXPECT_FALSE(directory.apply(changes({ entry("1", 6) }, 5, 6), start));
        EXPECT_EQ(directory.revision(), Revision(6));
    }

    // Guards against a late heartbeat from an earlier start of a server that restarted with the same id.
    TEST(ServerDirectoryTest, EarlierStartIsIgnored)
    {
        ServerDirectory directory({});
        directory.apply(entry("1", 5, 20), start);
        EXPECT_FALSE(directory.apply(entry("1", 6, 10, true), start));
        EXPECT_FALSE(directory.atAddress({ "10.0.0.1", 80 })->isDraining);
    }

    // Guards against calls to the former server at an address that another server now uses.
    TEST(ServerDirectoryTest, AddressBelongsToTheLaterStart)
    {
        ServerDirectory directory({});
        directory.apply(entry("1", 5, 20), start);
        ServerEntry laterServer = entry("2", 6, 30);
        laterServer.record->address = { "10.0.0.1", 80 };
        laterServer.record->service = ServiceName("other");
        directory.apply(laterServer, start);
        EXPECT_EQ(directory.atAddress({ "10.0.0.1", 80 })->service, ServiceName("other"));
        EXPECT_EQ(listedCount(directory), 1u);
    }

    // Guards against a node that drops all servers when their entries expire during an outage of the source.
    TEST(ServerDirectoryTest, EntriesExpiredDuringAnOutageHaveAGracePeriod)
    {
        ServerDirectory directory({ .returnGrace = 2300ms });
        directory.apply(entry("1", 5), start);
        directory.apply(entry("2", 6), start);
        directory.recordSourceLost();
        EXPECT_FALSE(directory.advance(start + 60s));
        directory.recordSourceReturn(start + 60s, SourceOutage::AllNodes);
        EXPECT_FALSE(directory.apply(listing({}, 9), start + 60s));
        EXPECT_EQ(listedCount(directory), 2u);
        directory.apply(entry("1", 11), start + 61s);
        EXPECT_FALSE(directory.advance(start + 62s));
        EXPECT_TRUE(directory.advance(start + 62300ms));
        EXPECT_EQ(listedCount(directory), 1u);
        EXPECT_NE(directory.atAddress({ "10.0.0.1", 80 }), nullptr);
    }

    // Guards against calls to a server that has left: a node that alone was cut off from the source deferred each
    // deletion after its return. In a simulated day in which some nodes were cut off from the source, requests still
    // went to a server after it had left.
    TEST(ServerDirectoryTest, DeletionsApplyImmediatelyIfOtherNodesHadTheSource)
    {
        ServerDirectory directory({ .returnGrace = 2s });
        directory.apply(entry("1", 5), start);
        directory.apply(entry("2", 6), start);
        directory.recordSourceLost();
        EXPECT_FALSE(directory.apply(deletion("1", 8), start)) << "not while the node has no source";
        directory.recordSourceReturn(start, SourceOutage::ThisNode);
        EXPECT_TRUE(directory.apply(deletion("2", 10), start));
        EXPECT_TRUE(directory.advance(start));
        EXPECT_EQ(listedCount(directory), 0u);
    }

    TEST(ServerDirectoryTest, DeletionWithoutAnOutageAppliesImmediately)
    {
        ServerDirectory directory({});
        directory.apply(entry("1", 5), start);
        directory.recordSourceLost();
        directory.recordSourceReturn(start, SourceOutage::AllNodes);
        EXPECT_TRUE(directory.apply(deletion("1", 7), start + 5s));
        EXPECT_EQ(listedCount(directory), 0u);
    }

    TEST(ServerDirectoryTest, PeerReceivesMissingChanges)
    {
        ServerDirectory directory({});
        directory.apply(listing({ entry("1", 5) }, 5), start);
        directory.apply(changes({ entry("2", 6), deletion("1", 8) }, 5, 8), start);
        ServerDirectory peer({});
        peer.apply(listing({ entry("1", 5) }, 5), start);
        peer.apply(directory.changesSince(peer.revision()), start);
        EXPECT_EQ(listedCount(peer), 1u);
        EXPECT_NE(peer.atAddress({ "10.0.0.2", 80 }), nullptr);
        EXPECT_EQ(peer.revision(), Revision(8));
    }

    // Guards against a peer that requests changes since its revision and never receives a deferred deletion.
    TEST(ServerDirectoryTest, PeerReceivesADeferredDeletion)
    {
        ServerDirectory directory({ .returnGrace = 2s });
        ServerDirectory peer({});
        directory.apply(listing({ entry("1", 5) }, 5), start);
        peer.apply(directory.changesSince({}), start);
        directory.recordSourceLost();
        directory.recordSourceReturn(start, SourceOutage::AllNodes);
        directory.apply(changes({ deletion("1", 7) }, 5, 9), start);
        EXPECT_EQ(directory.revision(), Revision(9));
        peer.apply(directory.changesSince(peer.revision()), start);
        EXPECT_EQ(listedCount(peer), 1u);
        directory.apply(changes({}, 9, 12), start);
        EXPECT_TRUE(directory.advance(start + 2s));
        peer.apply(directory.changesSince(peer.revision()), start + 2s);
        EXPECT_EQ(listedCount(peer), 0u);
        EXPECT_EQ(peer.revision(), Revision(12));
    }

    // Guards against a server that a peer keeps for good: the asked node started after the deletion and has no record
    // of it.
    TEST(ServerDirectoryTest, PeerLearnsOfADeletionBeforeTheAskedNodeStarted)
    {
        ServerDirectory peer({});
        peer.apply(listing({ entry("1", 5), entry("2", 6) }, 116), start);
        ServerDirectory started({});
        started.apply(listing({ entry("2", 6) }, 125), start);
        peer.apply(started.changesSince(peer.revision()), start);
        EXPECT_EQ(peer.atAddress({ "10.0.0.1", 80 }), nullptr);
        EXPECT_EQ(peer.revision(), Revision(125));
    }

    // The same after the asked node has forgotten the deletion.
    TEST(ServerDirectoryTest, PeerLearnsOfADeletionThatTheAskedNodeNoLongerRemembers)
    {
        ServerDirectory directory({});
        directory.apply(listing({ entry("1", 5), entry("2", 6) }, 10), start);
        ServerDirectory peer({});
        peer.apply(directory.changesSince({}), start);
        directory.apply(changes({ deletion("1", 11) }, 10, 11), start);
        directory.advance(start + 2min);
        peer.apply(directory.changesSince(peer.revision()), start + 2min);
        EXPECT_EQ(peer.atAddress({ "10.0.0.1", 80 }), nullptr);
    }

    // Guards against a revision raised past a change that was not received: the change is never asked for again.
    TEST(ServerDirectoryTest, ChangesAfterAGapDoNotRaiseTheRevision)
    {
        ServerDirectory directory({});
        directory.apply(listing({ entry("1", 5) }, 10), start);
        EXPECT_TRUE(directory.apply(changes({ entry("2", 21) }, 20, 21), start));
        EXPECT_EQ(directory.revision(), Revision(10));
        EXPECT_TRUE(directory.apply(entry("3", 30), start));
        EXPECT_EQ(directory.revision(), Revision(10));
    }

    TEST(ServerDirectoryTest, RefusesEntriesBeyondTheBound)
    {
        ServerDirectory directory({ .maxEntries = 1 });
        directory.apply(entry("1", 5), start);
        EXPECT_FALSE(directory.apply(entry("2", 6), start));
        EXPECT_EQ(directory.refusedCount(), 1u);
    }

} // namespace
} // namespace skylark
