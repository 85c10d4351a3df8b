// Keeps this node's configuration and membership in sync with the fleet.
//
// The class does no I/O and is not thread-safe. Call start() once, then:
// - handle() for each message from a peer,
// - watchSucceeded() or watchFailed() for each Watch, readSucceeded() or readFailed() for each ReadKey,
// - sendFailed() for each Send that failed,
// - tick() every 100 ms.
// Each call returns the actions to execute in order.
//
// The Distributor combines these parts with anti-entropy repair, in which peers exchange summaries of what they hold:
// - ReaderSelector decides which nodes read the source,
// - SourceReader tracks requests to the source,
// - PushTree and PushTracker push new versions,
// - VersionStore decides which versions are applied,
// - MembershipTable tracks the instances.
//
// Handling a message takes time linear in its size. A new version takes one sort of the zone and one compression
// of the changed sections; see distribution/bench.
//
// The node may serve calls while isServing() is true. It is false after the start and after a pause of this
// process, until the node has synchronized with the source and its peers or maxResyncTime has passed.
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

// The sender of a message, as stated in its Hello.
struct PeerIdentity {
    InstanceId id;
    Incarnation incarnation;
    // The address where the peer listens, not the source port of the connection.
    Endpoint endpoint;
    ZoneName zone;
    RegionName region;
};

struct DistributorOptions {
    // The record of this node, as the platform's instance list will contain it.
    InstanceRecord self;
    // Peers to query at the start, before the node holds an instance list; may be empty.
    std::vector<Endpoint> seedPeers;
    // Zones, besides its own, whose instance lists a starting node reads from the source if no peer has sent them.
    // Lists of other zones come from peers, or from the zone's reader once it watches the source.
    std::vector<ZoneName> zones;
    // Throws Error if the manifest is invalid.
    std::function<Manifest(std::string_view)> parseManifest;
    VersionStoreOptions versions;
    MembershipOptions membership {};
    ReaderOptions readers {};
    PushOptions push {};
    Duration summaryInterval { std::chrono::seconds(1) };
    // Replaces summaryInterval while the node holds no version.
    Duration summaryIntervalWithoutVersion { std::chrono::milliseconds(300) };
    Duration publishInterval { std::chrono::milliseconds(200) };
    // A longer time between two calls counts as a pause of the process.
    Duration maxTickInterval { std::chrono::seconds(2) };
    Duration maxResyncTime { std::chrono::seconds(3) };
    // A starting node that received no list from its peers reads its zone's list from the source after
    // bootstrapDelay plus a random part of bootstrapJitter. The jitter keeps the load of a fleet that starts
    // simultaneously within the source's capacity, since the first nodes that read the list send it to the others.
    Duration bootstrapDelay { std::chrono::seconds(2) };
    Duration bootstrapJitter { std::chrono::seconds(10) };
    // The jitter of a node that has no peers to query; such a node does not wait for bootstrapDelay.
    Duration bootstrapJitterWithoutPeers { std::chrono::milliseconds(500) };
    uint64_t seed { 1 };
};

using Actions = std::vector<Action>;

class Distributor {
public:
    Distributor(DistributorOptions options, TimePoint now);

    Actions start(TimePoint now);
    Actions tick(TimePoint now);
    Actions handle(const Message& message, const PeerIdentity& from, TimePoint now);
    // Reports that a peer could not be reached; the id may be empty.
    Actions sendFailed(const InstanceId& peer, const Endpoint& endpoint, TimePoint now);

    Actions watchSucceeded(uint64_t number, const WatchResponse& response, TimePoint now);
    Actions watchFailed(uint64_t number, const std::string& reason, TimePoint now);
    Actions readSucceeded(uint64_t number, const ReadResponse& response, TimePoint now);
    Actions readFailed(uint64_t number, const std::string& reason, TimePoint now);

    // Whether the node may serve requests with the current version.
    bool isServing() const { return m_isServing; }
    // The daemon records its own observations of peers in this table; tick() publishes the view.
    MembershipTable& membership() { return m_table; }
    const MembershipTable& membership() const { return m_table; }
    const VersionStore& versions() const { return m_store; }
    const ReaderSelector& readers() const { return m_selector; }
    // Whether this node currently reads the source.
    bool isReader() const { return m_isReader; }
    // The freshness marks of all zones, including this node's own zone.
    std::vector<FreshnessMark> marks(TimePoint now) const;
    // Versions that peers rejected, newest last; at most 64.
    const std::deque<RejectedVersion>& rejectedByPeers() const { return m_rejectedByPeers; }

private:
    struct ZoneMark {
        InstanceId reader;
        Revision revision;
        TimePoint lastAttempt;
        std::optional<TimePoint> lastSuccess;
    };
    // The state of the synchronization that precedes serving, at the start and after a pause.
    struct Resync {
        TimePoint startTime;
        // Peers that have sent a summary; at most 3 are counted.
        absl::btree_set<InstanceId> responders;
    };
    struct Peer {
        InstanceId id;
        Endpoint endpoint;
        VersionOrder version;
    };

    // Distributor.cpp: timers, peer selection and summaries.

    // Records the time of a call and detects a pause of this process.
    void beginCall(TimePoint now);
    Actions takeActions();
    void resume(TimePoint now);
    void beginResync(TimePoint now);
    void updateResync(TimePoint now);
    void publishView(TimePoint now);
    bool isCrossZoneRound();
    void gossip(TimePoint now);
    void sendSummary(const InstanceId& to, const Endpoint& endpoint, bool isReply, TimePoint now);
    std::optional<Peer> randomPeer();
    std::optional<Peer> randomPeer(bool isOwnZone);
    std::optional<Peer> randomMember(bool isOwnZone);
    bool hasFreshMark(TimePoint now) const;
    void send(const InstanceId& to, const Endpoint& endpoint, Message message);
    void report(LogLevel level, const std::string& event, LogFields fields);
    // For events that a peer or the source can trigger at any rate.
    void reportRateLimited(const std::string& event, LogFields fields, TimePoint now);

    // DistributorMessages.cpp: handlers of messages from peers.
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
    void recordMark(const FreshnessMark& mark, TimePoint now);
    void recordRejectedByPeer(const RejectedVersion& rejected, const InstanceId& peer);
    std::vector<SectionText> decompressSections(
        const std::vector<CompressedSection>& sections, const PeerIdentity& from, TimePoint now);
    void sendNewerLists(const FetchRequest& request, const PeerIdentity& from, TimePoint now);

    // DistributorRepair.cpp: pushes, and requests for missing data.

    // The depth is that of this node in the push of the version, or 0 if the version came by repair or from the source.
    // Without a depth, an applied version is pushed only if this node read its manifest from the source. Otherwise, it
    // came in a snapshot, and other nodes request their own, or it was deferred until now.
    void handleOfferOutcome(OfferOutcome outcome, std::optional<uint32_t> depth, TimePoint now);
    void push(const std::vector<PushTarget>& targets);
    PushVersion pushMessage(VersionNumber baseVersion, const Digest& baseDigest) const;
    std::vector<CompressedSection> compressSections(const std::vector<SectionDigest>& sections) const;
    void pushList(const ListUpdate& update, bool isOrigin);
    ListUpdate listUpdate(const ZoneName& zone, Revision from) const;
    void requestVersion(const Peer& from, bool wantsLists, TimePoint now);
    void requestSnapshot(const Peer& from, bool wantsLists, TimePoint now);
    void requestLists(const InstanceId& to, const Endpoint& endpoint, TimePoint now);
    void requestSections(const InstanceId& to, const Endpoint& endpoint, TimePoint now);
    void repairPending(TimePoint now);
    // Returns a recent peer that holds this version or a newer one, or any peer if there is none.
    std::optional<Peer> randomHolder(VersionOrder minVersion);
    void continueSnapshots(TimePoint now);
    std::vector<std::pair<ZoneName, Revision>> heldListRevisions() const;

    // DistributorSource.cpp: watches and reads of the source.
    void updateSourceRequests(TimePoint now);
    bool isKeyNeeded(const std::string& key, Revision revision, const absl::btree_set<std::string>& sectionKeys) const;
    absl::btree_set<std::string> missingKeys() const;
    Revision watchStart() const;
    void scheduleChangedKey(const SourceChange& changed, TimePoint now);
    void handleWatchFailure(const std::string& reason, TimePoint now);
    void onManifest(const ReadResponse& response, TimePoint now);
    void onInstances(const ZoneName& zone, const ReadResponse& response, TimePoint now);
    void reportRevisionRegression(const std::string& what, Revision found, Revision held, TimePoint now);

    DistributorOptions m_options;
    Random m_random;
    MembershipTable m_table;
    VersionStore m_store;
    ReaderSelector m_selector;
    SourceReader m_source;
    PushTracker m_pushes;
    SnapshotServer m_snapshotServer;
    SnapshotReceiver m_snapshotReceiver;
    Actions m_actions;

    TimePoint m_lastCallTime;
    TimePoint m_nextSummary;
    TimePoint m_nextPublish;
    Duration m_publishWait {};
    std::optional<Resync> m_resync;
    bool m_isServing { false };
    // The marks of other zones; bounded by MembershipOptions::maxZones.
    absl::btree_map<ZoneName, ZoneMark> m_zoneMarks;
    std::deque<RejectedVersion> m_rejectedByPeers;
    // Senders of the latest summaries, newest last; at most 8. They are queried when the instance list is unusable.
    std::deque<Peer> m_recentPeers;
    TimePoint m_lastMessageTime;
    uint64_t m_round { 0 };
    uint64_t m_crossZoneRound { 0 };
    // Keyed by event name; the set of events is fixed.
    absl::btree_map<std::string, TimePoint> m_lastReports;

    // The push of the current version, compressed once and sent to all children.
    std::optional<PushVersion> m_pushMessage;
    // Digest of the manifest that this node itself read from the source.
    Digest m_originDigest;
    // Depth of the push that delivered the pending version.
    uint32_t m_pendingDepth { 0 };
    TimePoint m_versionRequestTime;
    VersionOrder m_requestedVersion;
    TimePoint m_listsRequestTime;
    TimePoint m_sectionsRequestTime;
    TimePoint m_snapshotRetryTime;

    // Whether the source has responded to a read of the own zone's list.
    bool m_isListRead { false };
    bool m_isReader { false };
    TimePoint m_bootstrapDue;
    // Revision after which the next watch starts; empty until a watch has succeeded since this node became a reader.
    std::optional<Revision> m_watchAfter;
    Revision m_sourceRevision;
};

} // namespace skylark
