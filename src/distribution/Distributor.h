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

namespace skylark {

// The peer that a message came from, as it stated in its Hello.
struct PeerInfo {
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
    // Zones whose lists are read from the source at the start, when no peer gave them.
    std::vector<ZoneName> zones;
    // Throws Error for an unusable manifest.
    std::function<Manifest(std::string_view)> parseManifest;
    VersionStoreOptions versions;
    MembershipOptions membership {};
    ReaderOptions readers {};
    PushOptions push {};
    Duration summaryInterval { std::chrono::seconds(1) };
    Duration publishInterval { std::chrono::milliseconds(200) };
    // The longest time between ticks that does not count as a pause of the process.
    Duration clockGap { std::chrono::seconds(2) };
    Duration startupHold { std::chrono::seconds(3) };
    uint64_t seed { 1 };
};

using Actions = std::vector<Action>;

class Distributor {
public:
    Distributor(DistributorOptions options, TimePoint now);

    Actions start(TimePoint now);
    Actions tick(TimePoint now);
    Actions handle(const Message& message, const PeerInfo& from, TimePoint now);
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
    // What is known of the readers of each zone, this one included.
    std::vector<FreshnessMark> marks(TimePoint now) const;
    // Versions that peers have rejected, newest last; at most 64.
    const std::deque<RejectedVersion>& rejectedByPeers() const { return m_rejectedByPeers; }

private:
    struct ZoneMark {
        InstanceId reader;
        Revision revision;
        TimePoint attempt;
        TimePoint success;
    };
    struct HandleMessage;

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
    bool m_isServing { false };
    std::deque<RejectedVersion> m_rejectedByPeers;
};

} // namespace skylark
