// Keeps this node's configuration and membership equal to the fleet's.
//
// A decision object for one thread. Call start() once, then handle() for each message from a peer,
// the answer functions for each Watch and ReadKey action, sendFailed() for a Send that failed, and tick()
// every 100 ms. Each returns the actions to execute in order. It combines ReaderSelector (who reads the
// source), SourceReader (what is read), SpreadTree and PushTracker (push), VersionStore (what is applied),
// MembershipTable (who is there) and anti-entropy repair by summaries. A message costs its own size; a new
// version costs one sort of the zone and one compression of the changed sections; see distribution/bench.
//
// Calls may be served while isServing() is true. It turns false at the start and after a pause of this
// process, until the source and peers were asked again.
#pragma once

#include "base/Random.h"
#include "distribution/Action.h"
#include "distribution/PushTracker.h"
#include "distribution/ReaderSelector.h"
#include "distribution/Snapshot.h"
#include "distribution/SourceReader.h"
#include "distribution/VersionStore.h"
#include "membership/MembershipTable.h"

#include <absl/container/btree_set.h>

namespace skylark {

// The peer that a message came from, as it stated in its Hello.
struct PeerIdentity {
    InstanceId id;
    Incarnation incarnation;
    // Where it listens, not the source port of the connection.
    Endpoint endpoint;
    ZoneName zone;
    RegionName region;
};

struct DistributorOptions {
    // This node as the platform's list will show it.
    InstanceRecord self;
    // Peers to ask at the start, before any list is held; may be empty.
    std::vector<Endpoint> seedPeers;
    // Zones whose lists a starting node reads from the source besides its own, when no peer gave them. Lists of
    // zones that are not named come from peers, or from the zone's reader once it watches the source.
    std::vector<ZoneName> zones;
    // Throws Error for an unusable manifest.
    std::function<Manifest(std::string_view)> parseManifest;
    VersionStoreOptions versions;
    MembershipOptions membership {};
    ReaderOptions readers {};
    PushOptions push {};
    Duration summaryInterval { std::chrono::seconds(1) };
    // Instead of it while no version is held.
    Duration emptyInterval { std::chrono::milliseconds(300) };
    Duration publishInterval { std::chrono::milliseconds(200) };
    // The longest time between ticks that does not count as a pause of the process.
    Duration clockGap { std::chrono::seconds(2) };
    Duration startupHold { std::chrono::seconds(3) };
    // When a starting node that got no list from its peers reads its zone's list from the source: after the
    // delay and a random part of the spread. The spread keeps a fleet that starts at once within what the
    // source serves, since the first nodes that read pass the list on.
    Duration bootstrapDelay { std::chrono::seconds(2) };
    Duration bootstrapSpread { std::chrono::seconds(10) };
    // The spread of a node that has no peers to ask; it does not wait for the delay.
    Duration loneBootstrapSpread { std::chrono::milliseconds(500) };
    uint64_t seed { 1 };
};

using Actions = std::vector<Action>;

class Distributor {
public:
    Distributor(DistributorOptions options, TimePoint now);

    Actions start(TimePoint now);
    Actions tick(TimePoint now);
    Actions handle(const Message& message, const PeerIdentity& from, TimePoint now);
    // A peer could not be reached; the id may be empty.
    Actions sendFailed(const InstanceId& peer, const Endpoint& endpoint, TimePoint now);

    Actions watchAnswered(uint64_t number, const WatchAnswer& answer, TimePoint now);
    Actions watchFailed(uint64_t number, const std::string& reason, TimePoint now);
    Actions readAnswered(uint64_t number, const ReadAnswer& answer, TimePoint now);
    Actions readFailed(uint64_t number, const std::string& reason, TimePoint now);

    // Whether requests may be served with the current version.
    bool isServing() const { return m_isServing; }
    // The daemon's own observations of peers go here; the view is published by tick().
    MembershipTable& membership() { return m_table; }
    const MembershipTable& membership() const { return m_table; }
    const VersionStore& versions() const { return m_store; }
    const ReaderSelector& readers() const { return m_selector; }
    // Whether this node reads the source now.
    bool isReader() const { return m_isReader; }
    // What is known of the readers of each zone, this one included.
    std::vector<FreshnessMark> marks(TimePoint now) const;
    // Versions that peers have rejected, newest last; at most 64.
    const std::deque<RejectedVersion>& rejectedByPeers() const { return m_rejectedByPeers; }

private:
    struct ZoneMark {
        InstanceId reader;
        Revision revision;
        TimePoint attempt;
        std::optional<TimePoint> success;
    };
    // The time before this node serves, at the start and after a pause.
    struct Hold {
        TimePoint since;
        // Peers that answered; at most 3 are counted.
        absl::btree_set<InstanceId> answered;
    };
    struct Peer {
        InstanceId id;
        Endpoint endpoint;
        VersionOrder holds;
    };

    // Distributor.cpp: time, peers and summaries.
    void enter(TimePoint now);
    Actions leave();
    void resume(TimePoint now);
    void beginHold(TimePoint now);
    void updateHold(TimePoint now);
    void publishView(TimePoint now);
    bool isCrossingRound();
    void gossip(TimePoint now);
    void sendSummary(const InstanceId& to, const Endpoint& endpoint, bool isReply, TimePoint now);
    std::optional<Peer> randomPeer();
    std::optional<Peer> randomPeer(bool isOwnZone);
    std::optional<Peer> randomMember(bool isOwnZone);
    bool hasFreshMark(TimePoint now) const;
    void send(const InstanceId& to, const Endpoint& endpoint, Message message);
    void report(LogLevel level, const std::string& event, LogFields fields);
    // For events that a peer or the source can cause at will.
    void reportSeldom(const std::string& event, LogFields fields, TimePoint now);

    // DistributorMessages.cpp: what peers send.
    void on(const Summary& summary, const PeerIdentity& from, TimePoint now);
    void on(const PushVersion& push, const PeerIdentity& from, TimePoint now);
    void on(const PushAck& acknowledgement, const PeerIdentity& from, TimePoint now);
    void on(const FetchRequest& request, const PeerIdentity& from, TimePoint now);
    void on(const SnapshotPart& part, const PeerIdentity& from, TimePoint now);
    void on(const SectionBatch& batch, const PeerIdentity& from, TimePoint now);
    void on(const ListUpdate& update, const PeerIdentity& from, TimePoint now);
    void on(const ConditionReportBatch& batch, const PeerIdentity& from, TimePoint now);
    void on(const Leaving& leaving, const PeerIdentity& from, TimePoint now);
    template <typename Other> void on(const Other&, const PeerIdentity&, TimePoint) { }
    void noteMark(const FreshnessMark& mark, TimePoint now);
    void noteRejectedByPeer(const RejectedVersion& rejected, const InstanceId& peer);
    std::vector<SectionText> unpack(
        const std::vector<CompressedSection>& sections, const PeerIdentity& from, TimePoint now);
    void answerLists(const FetchRequest& request, const PeerIdentity& from, TimePoint now);

    // DistributorRepair.cpp: pushes, and requests for what is missing.
    // The depth at which an applied version is pushed on; 0 for one that came by repair. Without a depth it is
    // not pushed: it came in a snapshot, and the others ask for theirs.
    void concludeOffer(OfferOutcome outcome, std::optional<uint32_t> depth, TimePoint now);
    void push(const std::vector<PushTarget>& targets);
    PushVersion pushMessage(VersionNumber baseVersion, const Digest& baseDigest) const;
    std::vector<CompressedSection> pack(const std::vector<SectionDigest>& sections) const;
    void spreadList(const ListUpdate& update, bool isOrigin);
    ListUpdate listUpdate(const ZoneName& zone, Revision from) const;
    void requestVersion(const Peer& from, bool wantsLists, TimePoint now);
    void requestSnapshot(const Peer& from, bool wantsLists, TimePoint now);
    void requestLists(const InstanceId& to, const Endpoint& endpoint, TimePoint now);
    void requestSections(const InstanceId& to, const Endpoint& endpoint, TimePoint now);
    void repairPending(TimePoint now);
    // A peer that was heard to hold this version or a newer one; any peer where there is none.
    std::optional<Peer> randomHolder(VersionOrder wanted);
    void continueSnapshots(TimePoint now);
    std::vector<std::pair<ZoneName, Revision>> heldLists() const;

    // DistributorSource.cpp: what the source gives.
    void driveSource(TimePoint now);
    bool isKeyNeeded(const std::string& key, Revision revision, const absl::btree_set<std::string>& sections) const;
    absl::btree_set<std::string> missingKeys() const;
    Revision watchStart() const;
    void wantChanged(const SourceChange& changed, TimePoint now);
    void concludeWatchFailure(const std::string& reason, TimePoint now);
    void onManifest(const ReadAnswer& answer, TimePoint now);
    void onInstances(const ZoneName& zone, const ReadAnswer& answer, TimePoint now);
    void reportBackward(const std::string& what, Revision found, Revision held, TimePoint now);

    DistributorOptions m_options;
    Random m_random;
    MembershipTable m_table;
    VersionStore m_store;
    ReaderSelector m_selector;
    SourceReader m_source;
    PushTracker m_pushes;
    SnapshotServer m_snapshots;
    SnapshotReceiver m_snapshot;
    Actions m_actions;

    TimePoint m_lastEntry;
    TimePoint m_nextSummary;
    TimePoint m_nextPublish;
    Duration m_publishWait {};
    std::optional<Hold> m_hold;
    bool m_isServing { false };
    // Other zones than the own one; at most as many as the table holds zones.
    absl::btree_map<ZoneName, ZoneMark> m_zoneMarks;
    std::deque<RejectedVersion> m_rejectedByPeers;
    // Peers that were heard of last, newest last; at most 8. They stand in where the list is of no use.
    std::deque<Peer> m_acquaintances;
    TimePoint m_lastHeard;
    uint64_t m_round { 0 };
    uint64_t m_crossing { 0 };
    // By event; the events are a fixed set.
    absl::btree_map<std::string, TimePoint> m_lastReports;

    // The push of the current version, compressed once for all children.
    std::optional<PushVersion> m_push;
    // The manifest that this node read from the source itself.
    Digest m_originDigest;
    // Depth of the push that brought the pending version.
    uint32_t m_pendingDepth { 0 };
    TimePoint m_versionAsked;
    VersionOrder m_versionAskedFor;
    TimePoint m_listsAsked;
    TimePoint m_sectionsAsked;
    TimePoint m_snapshotRetry;

    // The list of the own zone was asked of the source at the start, and an answer came.
    bool m_isListRead { false };
    bool m_isReader { false };
    TimePoint m_bootstrapDue;
    // Where the next watch starts; empty until this node has watched since it became a reader.
    std::optional<Revision> m_watchAfter;
    Revision m_sourceRevision;
};

} // namespace skylark
