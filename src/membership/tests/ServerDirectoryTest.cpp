#include "membership/ServerDirectory.h"

#include "base/SourceEra.h"

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

    // Another service at the address of server "1".
    ServerEntry otherServiceAtFirstAddress(const std::string& id, uint64_t revision, uint64_t incarnation)
    {
        ServerEntry result = entry(id, revision, incarnation);
        result.record->address = { "10.0.0.1", 80 };
        result.record->service = ServiceName("other");
        return result;
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

    ServerEntry heartbeat(const std::string& id, uint64_t revision, uint64_t number, bool isDraining = false)
    {
        ServerEntry result = entry(id, revision, 1, isDraining);
        result.record->heartbeat = HeartbeatNumber(number);
        return result;
    }

    size_t listedCount(const ServerDirectory& directory) { return directory.view()->instances().size(); }

    // Guards against a zone whose servers become cold again without a new start: the router and the peers would take
    // them for warm ones.
    TEST(ServerDirectoryTest, BecomingColdOrWarmAffectsRoutingAndReachesPeers)
    {
        const auto withCold = [](uint64_t revision, uint64_t number, Duration cold) {
            ServerEntry result = heartbeat("1", revision, number);
            result.record->remainingSlowStart = cold;
            return result;
        };
        ServerDirectory directory({});
        directory.apply(listing({ withCold(1, 1, 0s) }, 1), start);
        EXPECT_TRUE(directory.apply(changes({ withCold(2, 2, 3s) }, 1, 2), start + 1s));
        EXPECT_EQ(directory.changesSince(Revision(1)).entries.size(), 1u);
        EXPECT_EQ(directory.view()->instances().front().coldUntil, start + 4s);
        EXPECT_EQ(directory.view()->instances().front().firstSeen, start + 1s);
        EXPECT_FALSE(directory.apply(changes({ withCold(3, 3, 1500ms) }, 2, 3), start + 2500ms));
        EXPECT_TRUE(directory.changesSince(Revision(2)).entries.empty());
        EXPECT_TRUE(directory.apply(changes({ withCold(4, 4, 0s) }, 3, 4), start + 4s));
        EXPECT_EQ(directory.changesSince(Revision(3)).entries.size(), 1u);
        EXPECT_LE(directory.view()->instances().front().coldUntil, start + 4s);
    }

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

    // Guards against calls to a server that has left: the source executed a heartbeat seconds after the removal of the
    // server's entry, and its revision was newer than that of the removal.
    TEST(ServerDirectoryTest, DelayedHeartbeatDoesNotRestoreAServerThatLeft)
    {
        ServerDirectory directory({});
        directory.apply(listing({ heartbeat("1", 5, 7) }, 5), start);
        directory.apply(changes({ deletion("1", 6) }, 5, 6), start);
        EXPECT_FALSE(directory.apply(changes({ heartbeat("1", 7, 6) }, 6, 7), start));
        EXPECT_FALSE(directory.apply(changes({ heartbeat("1", 8, 7) }, 7, 8), start)) << "the same heartbeat again";
        EXPECT_FALSE(directory.apply(heartbeat("1", 8, 7), start)) << "a read of the key";
        EXPECT_FALSE(directory.apply(listing({ heartbeat("1", 8, 7) }, 9), start)) << "a listing";
        EXPECT_EQ(listedCount(directory), 0u);
        EXPECT_EQ(directory.revision(), Revision(9));
    }

    // Guards against a server that stays out of use after its entry expired while it could not reach the source.
    TEST(ServerDirectoryTest, LaterHeartbeatOrStartRestoresAServerWhoseEntryWasDeleted)
    {
        ServerDirectory directory({});
        directory.apply(listing({ heartbeat("1", 5, 7), heartbeat("2", 5, 7) }, 5), start);
        directory.apply(changes({ deletion("1", 6), deletion("2", 6) }, 5, 6), start);
        ServerEntry laterStart = heartbeat("2", 9, 1);
        laterStart.record->incarnation = Incarnation(2);
        EXPECT_TRUE(directory.apply(changes({ heartbeat("1", 7, 8), laterStart }, 6, 9), start));
        EXPECT_EQ(listedCount(directory), 2u);
    }

    // Guards against a delayed heartbeat from an earlier start after the later start has left.
    TEST(ServerDirectoryTest, DelayedHeartbeatOfAnEarlierStartDoesNotRestoreAServerThatLeft)
    {
        ServerDirectory directory({});
        directory.apply(listing({ entry("1", 5, 20) }, 5), start);
        directory.apply(changes({ deletion("1", 6), entry("1", 7, 10) }, 5, 7), start);
        EXPECT_EQ(listedCount(directory), 0u);
    }

    // Guards against new requests to a draining server whose earlier heartbeat the source executed late.
    TEST(ServerDirectoryTest, DelayedHeartbeatDoesNotEndDraining)
    {
        ServerDirectory directory({});
        directory.apply(listing({ heartbeat("1", 5, 7, true) }, 5), start);
        EXPECT_FALSE(directory.apply(changes({ heartbeat("1", 6, 6) }, 5, 6), start));
        EXPECT_EQ(directory.view()->find(InstanceId("1"))->condition, Condition::Leaving);
        EXPECT_TRUE(directory.apply(changes({ deletion("1", 7) }, 6, 7), start));
        EXPECT_EQ(listedCount(directory), 0u);
    }

    // Guards against a server that is kept because a delayed heartbeat ended the wait for its return after an outage.
    TEST(ServerDirectoryTest, DelayedHeartbeatIsNoReturnAfterAnOutage)
    {
        ServerDirectory directory({ .returnGrace = 2s });
        directory.apply(listing({ heartbeat("1", 5, 7), heartbeat("2", 5, 7) }, 5), start);
        directory.recordSourceLost();
        directory.recordSourceReturn(start, SourceOutage::AllNodes);
        directory.apply(changes({ deletion("1", 6), deletion("2", 7) }, 5, 7), start);
        directory.apply(changes({ heartbeat("1", 8, 7), heartbeat("2", 9, 8) }, 7, 9), start);
        EXPECT_EQ(listedCount(directory), 2u);
        EXPECT_TRUE(directory.advance(start + 2s));
        EXPECT_EQ(directory.view()->find(InstanceId("1")), nullptr);
        EXPECT_NE(directory.view()->find(InstanceId("2")), nullptr);
    }

    // The same at a follower that was told a later heartbeat with the deletion than it had seen.
    TEST(ServerDirectoryTest, DelayedHeartbeatIsNoReturnIfThePeerToldALaterOne)
    {
        ServerDirectory follower({ .returnGrace = 2s });
        follower.apply(listing({ heartbeat("1", 5, 1) }, 5), start);
        follower.recordSourceLost();
        ServerEntry toldDeletion = deletion("1", 8);
        toldDeletion.lastHeartbeat = { .incarnation = Incarnation(1), .number = HeartbeatNumber(7) };
        follower.apply(changes({ toldDeletion }, 5, 8), start);
        EXPECT_EQ(listedCount(follower), 1u) << "deferred while the source is lost";
        follower.recordSourceReturn(start, SourceOutage::ThisNode);
        follower.apply(heartbeat("1", 9, 4), start);
        EXPECT_TRUE(follower.advance(start));
        EXPECT_FALSE(follower.apply(heartbeat("1", 10, 5), start));
        EXPECT_EQ(listedCount(follower), 0u);
    }

    // Guards against a follower that uses a server that has left: it took a delayed heartbeat for a new one, since the
    // node that it follows passes heartbeats on only if they change something.
    TEST(ServerDirectoryTest, PeerCorrectsADelayedHeartbeatThatItsFollowerTookForNew)
    {
        ServerDirectory reader({});
        ServerDirectory follower({});
        reader.apply(listing({ heartbeat("1", 5, 1), heartbeat("2", 5, 1) }, 5), start);
        follower.apply(reader.changesSince({}), start);
        reader.apply(changes({ heartbeat("1", 6, 8), heartbeat("2", 7, 8), deletion("1", 8) }, 5, 8), start);
        reader.apply(changes({ heartbeat("2", 9, 9, true) }, 8, 9), start);
        // The follower reads two delayed heartbeats before it hears of what came before them.
        follower.apply(heartbeat("1", 10, 4), start);
        follower.apply(heartbeat("2", 11, 4), start);
        reader.apply(changes({ heartbeat("1", 10, 4), heartbeat("2", 11, 4) }, 9, 11), start);
        follower.apply(reader.changesSince(follower.revision()), start);
        EXPECT_EQ(follower.view()->find(InstanceId("1")), nullptr);
        EXPECT_EQ(follower.view()->find(InstanceId("2"))->condition, Condition::Leaving);
        EXPECT_FALSE(follower.apply(heartbeat("1", 12, 5), start)) << "the deletion tells the last heartbeat";
    }

    // The same if the follower started after the deletion, which its listing does not tell.
    TEST(ServerDirectoryTest, PeerCorrectsADelayedHeartbeatThatAStartedFollowerTookForNew)
    {
        ServerDirectory reader({});
        reader.apply(listing({ heartbeat("1", 5, 7) }, 5), start);
        reader.apply(changes({ deletion("1", 8) }, 5, 9), start);
        ServerDirectory follower({});
        follower.apply(listing({}, 9), start);
        EXPECT_TRUE(follower.apply(heartbeat("1", 10, 4), start));
        reader.apply(changes({ heartbeat("1", 10, 4) }, 9, 10), start);
        EXPECT_TRUE(follower.apply(reader.changesSince(follower.revision()), start));
        EXPECT_EQ(listedCount(follower), 0u);
    }

    // A directory that knows that server "1" drains and ignores a delayed heartbeat, at revision 12. Heartbeats of
    // server "2" follow, so that a node that lists the source passes the revision of the delayed one.
    ServerDirectory directoryWithDelayedHeartbeat()
    {
        ServerDirectory directory({});
        directory.apply(listing({ heartbeat("1", 9, 1), heartbeat("2", 10, 1) }, 10), start);
        directory.apply(changes({ heartbeat("1", 11, 3, true), heartbeat("1", 12, 2) }, 10, 12), start);
        directory.apply(changes({ heartbeat("2", 13, 2) }, 12, 13), start);
        return directory;
    }

    Condition conditionOf(const ServerDirectory& directory, const std::string& id)
    {
        const auto view = directory.view();
        const InstanceState* state = view->find(InstanceId(id));
        return state ? state->condition : Condition::Gone;
    }

    // Guards against a started node that uses a draining server until it is gone: it lists the delayed heartbeat, which
    // the node that it follows has ignored, and the server's later heartbeats change nothing there.
    TEST(ServerDirectoryTest, PeerCorrectsADelayedHeartbeatThatItsFollowerListed)
    {
        ServerDirectory reader = directoryWithDelayedHeartbeat();
        ServerDirectory follower({});
        follower.apply(listing({ heartbeat("1", 12, 2), heartbeat("2", 13, 2) }, 13), start);
        EXPECT_EQ(conditionOf(follower, "1"), Condition::Live);
        EXPECT_TRUE(follower.apply(reader.changesSince(follower.revision()), start));
        EXPECT_EQ(conditionOf(follower, "1"), Condition::Leaving);
    }

    // The same if the follower asks only after the server's next heartbeat.
    TEST(ServerDirectoryTest, PeerCorrectsAListedDelayedHeartbeatAfterTheNextOne)
    {
        ServerDirectory reader = directoryWithDelayedHeartbeat();
        ServerDirectory follower({});
        follower.apply(listing({ heartbeat("1", 12, 2), heartbeat("2", 13, 2) }, 13), start);
        reader.apply(changes({ heartbeat("1", 14, 4, true), heartbeat("2", 15, 3) }, 13, 15), start);
        EXPECT_TRUE(follower.apply(reader.changesSince(follower.revision()), start));
        EXPECT_EQ(conditionOf(follower, "1"), Condition::Leaving);
        // The source's entry is right again, so a follower that is up to date is told nothing.
        EXPECT_TRUE(reader.changesSince(Revision(15)).entries.empty());
    }

    // The same if the follower asks a node that has not seen the delayed heartbeat itself and reads the source next.
    TEST(ServerDirectoryTest, NextReaderCorrectsAListedDelayedHeartbeat)
    {
        const ServerDirectory reader = directoryWithDelayedHeartbeat();
        ServerDirectory next({});
        next.apply(listing({ heartbeat("1", 11, 3, true), heartbeat("2", 10, 1) }, 11), start);
        next.apply(reader.changesSince(next.revision()), start);
        ServerDirectory follower({});
        follower.apply(listing({ heartbeat("1", 12, 2), heartbeat("2", 13, 2) }, 13), start);
        ServerDirectory lateFollower = follower;
        EXPECT_TRUE(follower.apply(next.changesSince(follower.revision()), start));
        EXPECT_EQ(conditionOf(follower, "1"), Condition::Leaving);
        next.apply(changes({ heartbeat("1", 14, 4, true) }, 13, 14), start);
        EXPECT_TRUE(lateFollower.apply(next.changesSince(lateFollower.revision()), start));
        EXPECT_EQ(conditionOf(lateFollower, "1"), Condition::Leaving);
    }

    // The same for a server that has left: its delayed heartbeat is listed until it expires.
    TEST(ServerDirectoryTest, PeerCorrectsAListedDelayedHeartbeatOfAServerThatLeft)
    {
        ServerDirectory reader({});
        reader.apply(listing({ heartbeat("1", 9, 3), heartbeat("2", 10, 1) }, 10), start);
        reader.apply(changes({ deletion("1", 11), heartbeat("1", 12, 2), heartbeat("2", 13, 2) }, 10, 13), start);
        ServerDirectory follower({});
        follower.apply(listing({ heartbeat("1", 12, 2), heartbeat("2", 13, 2) }, 13), start);
        EXPECT_EQ(conditionOf(follower, "1"), Condition::Live);
        EXPECT_TRUE(follower.apply(reader.changesSince(follower.revision()), start));
        EXPECT_EQ(conditionOf(follower, "1"), Condition::Gone);
        // A node that follows this one has listed the same.
        ServerDirectory next({});
        next.apply(listing({ heartbeat("1", 12, 2), heartbeat("2", 13, 2) }, 13), start);
        EXPECT_TRUE(next.apply(follower.changesSince(next.revision()), start));
        EXPECT_EQ(conditionOf(next, "1"), Condition::Gone);
    }

    // Guards against a server that is missing for good after its return: the followed node has listed a delayed
    // heartbeat that the follower ignored, so the server's next heartbeat changes nothing there.
    TEST(ServerDirectoryTest, FollowerLearnsOfAReturnThatIsNoChangeForItsPeer)
    {
        ServerDirectory follower({});
        follower.apply(listing({ heartbeat("1", 9, 3) }, 10), start);
        follower.apply(changes({ deletion("1", 11), heartbeat("1", 12, 2) }, 10, 13), start);
        ServerDirectory peer({});
        peer.apply(listing({ heartbeat("1", 12, 2) }, 13), start);
        EXPECT_FALSE(peer.apply(changes({ heartbeat("1", 14, 4) }, 13, 14), start));
        EXPECT_EQ(conditionOf(follower, "1"), Condition::Gone);
        EXPECT_TRUE(follower.apply(peer.changesSince(follower.revisionForRequest()), start));
        EXPECT_EQ(conditionOf(follower, "1"), Condition::Live);
        EXPECT_EQ(follower.revisionForRequest(), Revision(14));
    }

    // Guards against ignoring entries of peers that do not tell the number of a heartbeat.
    TEST(ServerDirectoryTest, RevisionDecidesIfTheHeartbeatIsUnknown)
    {
        ServerDirectory directory({});
        directory.apply(listing({ heartbeat("1", 5, 7) }, 5), start);
        EXPECT_TRUE(directory.apply(entry("1", 6, 1, true), start));
        EXPECT_FALSE(directory.apply(entry("1", 5, 1), start));
        EXPECT_TRUE(directory.apply(deletion("1", 7), start));
        EXPECT_TRUE(directory.apply(entry("1", 8), start));
    }

    // Guards against an ignored heartbeat that nobody can find in the logs afterwards.
    TEST(ServerDirectoryTest, DelayedHeartbeatsAreReportedOnce)
    {
        ServerDirectory directory({});
        directory.apply(listing({ heartbeat("1", 5, 7) }, 5), start);
        directory.apply(changes({ heartbeat("1", 6, 6) }, 5, 6), start);
        const std::vector<DelayedHeartbeat> delayed = directory.takeDelayedHeartbeats();
        ASSERT_EQ(delayed.size(), 1u);
        EXPECT_EQ(delayed.front().id, InstanceId("1"));
        EXPECT_EQ(delayed.front().revision, Revision(6));
        EXPECT_EQ(delayed.front().position.number, HeartbeatNumber(6));
        EXPECT_EQ(delayed.front().latest.number, HeartbeatNumber(7));
        EXPECT_TRUE(directory.takeDelayedHeartbeats().empty());
        EXPECT_EQ(directory.delayedHeartbeatCount(), 1u);
    }

    // Guards against calls to the former server at an address that another server now uses.
    TEST(ServerDirectoryTest, AddressBelongsToTheLaterStart)
    {
        ServerDirectory directory({});
        directory.apply(entry("1", 5, 20), start);
        directory.apply(otherServiceAtFirstAddress("2", 6, 30), start);
        EXPECT_EQ(directory.atAddress({ "10.0.0.1", 80 })->service, ServiceName("other"));
        EXPECT_EQ(listedCount(directory), 1u);
    }

    // Guards against a server that nobody can call: another writer of the source registered a service that no
    // configuration names at the server's address, with a later start.
    TEST(ServerDirectoryTest, EntryOfAnUnnamedServiceTakesNoAddress)
    {
        for (const bool isForeignFirst : { false, true }) {
            ServerDirectory directory({});
            directory.setNamedServices({ ServiceName("work") });
            const ServerEntry foreign = otherServiceAtFirstAddress("0", 5, 30);
            if (isForeignFirst)
                directory.apply(foreign, start);
            directory.apply(entry("1", 6, 20), start);
            if (!isForeignFirst)
                directory.apply(foreign, start);
            EXPECT_EQ(directory.atAddress({ "10.0.0.1", 80 })->id, InstanceId("1"));
            EXPECT_NE(directory.view()->find(InstanceId("1")), nullptr);
            EXPECT_EQ(listedCount(directory), 1u);
        }
    }

    // Guards against calls to the former server at an address once the configuration names the service of the new one.
    TEST(ServerDirectoryTest, AddressPassesToTheLaterStartWhenItsServiceIsNamed)
    {
        ServerDirectory directory({});
        directory.apply(entry("1", 5, 20), start);
        directory.apply(otherServiceAtFirstAddress("2", 6, 30), start);
        EXPECT_EQ(directory.atAddress({ "10.0.0.1", 80 })->id, InstanceId("2")) << "no configuration yet";
        EXPECT_TRUE(directory.setNamedServices({ ServiceName("work") }));
        EXPECT_EQ(directory.atAddress({ "10.0.0.1", 80 })->id, InstanceId("1"));
        EXPECT_FALSE(directory.setNamedServices({ ServiceName("work") }));
        EXPECT_TRUE(directory.setNamedServices({ ServiceName("other"), ServiceName("work") }));
        EXPECT_EQ(directory.atAddress({ "10.0.0.1", 80 })->id, InstanceId("2"));
        EXPECT_EQ(directory.view()->find(InstanceId("1")), nullptr);
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

    ServerEntry withHeartbeat(ServerEntry result, Revision revision, uint64_t number)
    {
        result.revision = revision;
        result.record->heartbeat = HeartbeatNumber(number);
        return result;
    }

    ServerChanges listingInEra(std::vector<ServerEntry> entries, uint64_t era, uint64_t revision)
    {
        ServerChanges changes = listing(std::move(entries), 0);
        changes.revision = revisionInEra(era, revision);
        return changes;
    }

    // Guards against servers that are taken out of use because the copy from which the source was restored lacks them.
    TEST(ServerDirectoryTest, ServersThatTheCopyLacksAreKeptUntilTheyWriteAgain)
    {
        ServerDirectory directory({});
        directory.apply(listing({ entry("1", 100), entry("2", 101) }, 101), start);
        EXPECT_FALSE(directory.apply(listingInEra({ entry("1", 0) }, 1, 20), start + 1s));
        EXPECT_EQ(directory.size(), 2u);
        EXPECT_EQ(eraOf(directory.revision()), 1u);
        EXPECT_TRUE(directory.mayDeferDeletions(start + 2900ms));
        EXPECT_TRUE(directory.advance(start + 3s)) << "the server did not write its entry again";
        EXPECT_EQ(directory.size(), 1u);
    }

    TEST(ServerDirectoryTest, ServerThatWritesAgainInTheNewEraStays)
    {
        ServerDirectory directory({});
        directory.apply(listing({ withHeartbeat(entry("1", 0), Revision(100), 7) }, 101), start);
        directory.apply(listingInEra({}, 1, 20), start + 1s);
        directory.apply({ .entries = { withHeartbeat(entry("1", 0), revisionInEra(1, 21), 8) },
                            .since = revisionInEra(1, 20),
                            .revision = revisionInEra(1, 21) },
            start + 2s);
        EXPECT_FALSE(directory.advance(start + 1h));
        EXPECT_EQ(directory.size(), 1u);
    }

    // Guards against a server that has left and is used again because the copy still has its entry.
    TEST(ServerDirectoryTest, OldEntryInTheCopyRestoresNoServerThatLeft)
    {
        ServerDirectory directory({});
        directory.apply(listing({ withHeartbeat(entry("1", 0), Revision(100), 7) }, 101), start);
        directory.apply(
            { .entries = { deletion("1", 105) }, .since = Revision(101), .revision = Revision(105) }, start);
        EXPECT_EQ(directory.size(), 0u);
        directory.apply(listingInEra({ withHeartbeat(entry("1", 0), revisionInEra(1, 19), 6) }, 1, 20), start + 1s);
        EXPECT_EQ(directory.size(), 0u);
        directory.apply({ .entries = { withHeartbeat(entry("1", 0), revisionInEra(1, 21), 8) },
                            .since = revisionInEra(1, 20),
                            .revision = revisionInEra(1, 21) },
            start + 2s);
        EXPECT_EQ(directory.size(), 1u) << "a later heartbeat restores it";
    }

    // Guards against a peer that was not reached by the restore yet and takes servers out of use here.
    TEST(ServerDirectoryTest, ListingOfAnEarlierEraDeletesNothing)
    {
        ServerDirectory directory({});
        directory.apply(listing({ withHeartbeat(entry("1", 0), Revision(100), 7) }, 101), start);
        directory.apply(listingInEra({ withHeartbeat(entry("1", 0), revisionInEra(1, 19), 6) }, 1, 20), start + 1s);
        ServerChanges earlier = listing({}, 150);
        earlier.isFromPeer = true;
        EXPECT_FALSE(directory.apply(earlier, start + 1h));
        EXPECT_EQ(directory.size(), 1u);
        EXPECT_EQ(directory.revision(), revisionInEra(1, 20));
        EXPECT_FALSE(directory.advance(start + 1h));
    }

    // Guards against a read of the local server's key that takes the server out of use before the first listing.
    TEST(ServerDirectoryTest, MissingKeyInANewEraIsDeferred)
    {
        ServerDirectory directory({});
        directory.apply(listing({ entry("1", 100) }, 101), start);
        directory.apply(ServerEntry { .id = InstanceId("1"), .revision = revisionInEra(1, 20) }, start + 1s);
        EXPECT_EQ(directory.size(), 1u);
    }

    TEST(ServerDirectoryTest, ViewMarksTheServersOfEvacuatedZones)
    {
        ServerDirectory directory({});
        directory.apply(listing({ entry("1", 100) }, 101), start);
        EXPECT_FALSE(directory.view()->instances().front().isEvacuated);
        const auto view = directory.view({ ZoneName("z") });
        EXPECT_TRUE(view->instances().front().isEvacuated);
        EXPECT_EQ(view->instances().front().condition, Condition::Live);
    }

} // namespace
} // namespace skylark
