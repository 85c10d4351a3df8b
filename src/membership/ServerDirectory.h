// Directory of the backend servers, built from the entries that they register in the source.
//
// - The directory takes entries from the source or from a peer and provides a view for the router.
// - The directory does no I/O.
// - Each entry has the source's revision and the position of the heartbeat that wrote it. The source may execute a
//   write seconds after later ones, so among the entries of one server the latest heartbeat wins, and the revision
//   decides only between entries of equal or unknown position.
// - A server that has left returns only with a heartbeat that is later than all those known before. A delayed heartbeat
//   from before is ignored and counted.
// - If two servers register the same address, it belongs to the later start. An entry of a service that the
//   configuration does not name may come from another writer of the source: it takes no address from a server of a
//   named service.
// - Entries expire during an outage of the source although their servers are alive. An entry that is missing within
//   `returnGrace` after the source's return is therefore kept until that time ends and dropped only if still missing.
// - A source that was restored from a copy has lost the latest entries; its servers write them again. The first
// revision
//   of a new era (base/SourceEra.h) therefore counts as the source's return after an outage for all nodes. Changes of
//   an earlier era that arrive later delete nothing.
// - At most maxEntries entries are kept; further ones are refused and counted.
//
// Invariant: a directory with revision() r knows every change up to r; deletions that it defers are known too. A peer
// asks for the changes since its revision, so a revision that is raised past an unknown deletion keeps a server that
// has left for good. Only apply(ServerChanges) raises the revision, and only if the changes leave no gap.
//
// A listing breaks the invariant where the source's item of a key is a delayed heartbeat: it hides the later heartbeats
// or the deletion before it. Until the source's item is right again, two rules repair this:
// - A directory that ignored the item tells every peer what it knows of this server, whatever the peer's revision is.
//   It tells it once more when the item is right.
// - It asks peers for the changes since before the item, because a peer that has listed the item does not count the
//   server's next heartbeat as a change.
#pragma once

#include "membership/MembershipView.h"

#include <algorithm>
#include <compare>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace skylark {

// Position of a heartbeat among all those of one server id.
struct HeartbeatPosition {
    Incarnation incarnation;
    // Unknown if a peer of an earlier release sent the entry.
    std::optional<HeartbeatNumber> number;

    bool operator==(const HeartbeatPosition&) const = default;
    // Unordered if the incarnations are equal and a number is unknown.
    std::partial_ordering operator<=>(const HeartbeatPosition& other) const
    {
        if (incarnation != other.incarnation)
            return incarnation <=> other.incarnation;
        if (!number || !other.number)
            return std::partial_ordering::unordered;
        return *number <=> *other.number;
    }
};

struct ServerRecord {
    InstanceId id;
    // Start of the backend server; a later start is higher.
    Incarnation incarnation;
    // Number of the heartbeat that wrote the entry, if known.
    std::optional<HeartbeatNumber> heartbeat;
    ServiceName service;
    ZoneName zone;
    Endpoint address;
    int slots { 1 };
    bool isDraining { false };
    // Remaining time for which the server is slow after its start.
    Duration remainingSlowStart {};

    HeartbeatPosition position() const { return { .incarnation = incarnation, .number = heartbeat }; }
    bool operator==(const ServerRecord&) const = default;
};

// The state of one key of the source at a revision.
struct ServerEntry {
    InstanceId id;
    Revision revision;
    // Absent if the key was deleted.
    std::optional<ServerRecord> record;
    // For a deletion: the latest heartbeat of the server that the sender knows, if any.
    HeartbeatPosition lastHeartbeat;
    // From a peer: the first revision after `revision` at which the source's item of the key was a delayed heartbeat,
    // so that a listing hides this state; zero if it does not.
    Revision delayedRevision {};
};

// The servers' entries for a range of revisions.
struct ServerChanges {
    std::vector<ServerEntry> entries;
    // The entries hold the last state of each server that changed after `since` and up to `revision`, deletions
    // included. Ignored in a listing.
    Revision since;
    Revision revision;
    // The entries are all servers at the revision; an absent server is deleted.
    bool isListing { false };
    // From changesSince() of a peer, which leaves out heartbeats and deletions that a later entry replaced.
    bool isFromPeer { false };
};

// A heartbeat that the source executed after a later one of the same server, so that the directory ignored it.
struct DelayedHeartbeat {
    InstanceId id;
    Revision revision;
    HeartbeatPosition position;
    // The latest heartbeat of the server.
    HeartbeatPosition latest;
};

struct ServerDirectoryOptions {
    Duration returnGrace { std::chrono::milliseconds(2000) };
    size_t maxEntries { 32768 };
    // Delayed heartbeats that are kept for takeDelayedHeartbeats(); further ones are only counted.
    size_t maxDelayedHeartbeats { 32 };
    // Peer port of the nodes that run next to the servers.
    uint16_t peerPort { 0 };
    std::map<ZoneName, RegionName> regions;
};

enum class SourceOutage : uint8_t {
    // The source served no node, so entries may have expired although their servers are alive.
    AllNodes,
    // The source kept serving other nodes, so its deletions during the outage are valid.
    ThisNode,
};

class ServerDirectory {
public:
    explicit ServerDirectory(ServerDirectoryOptions options);

    // Applies one entry. It says nothing about other servers, so the revision stays. Returns true if the change
    // affects routing.
    bool apply(const ServerEntry& entry, TimePoint now)
    {
        startGraceIfNewEra(entry.revision, now);
        return apply(entry, { .knownUpTo = m_revision, .mayHideDeletion = true }, now);
    }
    // Applies all changes, and raises the revision unless changes between it and `since` are missing. Returns true if
    // routing is affected.
    bool apply(const ServerChanges& changes, TimePoint now);
    // Sets the services that the configuration names; before the first call every service counts as named. Returns true
    // if routing may be affected.
    bool setNamedServices(std::set<ServiceName> services);
    // Records that the source stopped responding to this node.
    void recordSourceLost();
    // Records that the source responds to this node again.
    void recordSourceReturn(TimePoint now, SourceOutage outage);
    // True during an outage of the source and the grace period after it, when deletions are deferred.
    bool mayDeferDeletions(TimePoint now) const { return !isGraceOver(now); }
    // Drops missing entries whose grace period has ended.
    bool advance(TimePoint now);

    // Returns the server that currently has this address, or null.
    const ServerRecord* atAddress(const Endpoint& address) const;
    std::shared_ptr<const MembershipView> view(const std::set<ZoneName>& evacuatedZones = {}) const;
    // Returns the changes since the revision that affect routing, for a peer; a listing if deletions since then are no
    // longer known.
    ServerChanges changesSince(Revision revision) const;
    // The revision up to which every change is known.
    Revision revision() const { return m_revision; }
    // The revision since which to ask a peer for changes.
    Revision revisionForRequest() const;
    size_t size() const { return m_entries.size(); }
    uint64_t refusedCount() const { return m_refusedCount; }
    // Returns the heartbeats that were ignored since the last call, for the log.
    std::vector<DelayedHeartbeat> takeDelayedHeartbeats() { return std::exchange(m_delayedHeartbeats, {}); }
    uint64_t delayedHeartbeatCount() const { return m_delayedHeartbeatCount; }

private:
    // A server that is missing at `revision` and was still listed at `lastListedAt`. The revision of the deletion
    // itself is not known, since listings and peers report it later.
    struct Absence {
        Revision lastListedAt;
        Revision revision;
        // Only a later heartbeat is a sign of the server's return.
        HeartbeatPosition lastHeartbeat;
    };
    struct Entry {
        ServerRecord record;
        Revision revision;
        // Revision of the last change that affects routing.
        Revision lastChangeRevision;
        // As in ServerEntry.
        Revision delayedRevision;
        // Age of the server for the slow start; counts anew when the server becomes cold.
        TimePoint firstSeen;
        TimePoint coldUntil;
        // Set while the entry is missing and its grace period runs.
        std::optional<Absence> absence;

        bool isHidden() const { return delayedRevision > revision; }
    };
    struct Deletion {
        Revision revision;
        // Revision of the last change of the key after which peers need the deletion.
        Revision lastChangeRevision;
        // As in ServerEntry.
        Revision delayedRevision;
        // Only a later heartbeat restores the server.
        HeartbeatPosition lastHeartbeat;
        TimePoint deletedAt;

        bool isHidden() const { return delayedRevision > revision; }
    };

    struct EntryContext {
        // A server that is not listed and whose entry is no newer was deleted since.
        Revision knownUpTo;
        // The server may have been deleted and listed again, unseen, so its entry counts as changed.
        bool mayHideDeletion { false };
    };
    bool apply(const ServerEntry& entry, const EntryContext& context, TimePoint now);
    bool add(const ServerEntry& entry, const EntryContext& context, TimePoint now);
    bool update(Entry& current, const ServerEntry& entry, const EntryContext& context, TimePoint now);
    // Returns true if the entry restores the deleted server. Otherwise records what it tells of the server.
    bool isAfterDeletion(const ServerEntry& entry, Deletion& deletion);
    void recordDelayed(const ServerEntry& entry, const HeartbeatPosition& latest);
    // Both take an entry without a record. The first one marks the server as missing while deletions are deferred.
    // Returns true if it was deleted.
    bool removeOrDefer(const ServerEntry& removal, TimePoint now);
    bool drop(const ServerEntry& removal, TimePoint now);
    // Drops the entries that are not among those of the listing.
    bool removeAbsent(const ServerChanges& listing, TimePoint now);
    // Limits what the directory tells peers to the time before the first deletion that it defers.
    Revision revisionForPeers() const;
    bool isGraceOver(TimePoint now) const;
    void startGraceIfNewEra(Revision revision, TimePoint now);
    bool isNamed(const ServiceName& service) const { return !m_namedServices || m_namedServices->contains(service); }
    // True if the address of both records belongs to `record` and not to `other`.
    bool hasPrecedence(const ServerRecord& record, const ServerRecord& other) const;

    ServerDirectoryOptions m_options;
    std::map<InstanceId, Entry> m_entries;
    std::map<InstanceId, Deletion> m_deletions;
    std::optional<std::set<ServiceName>> m_namedServices;
    Revision m_revision;
    // Every deletion after this revision is in m_deletions.
    Revision m_deletionsKnownSince;
    bool m_isSourceLost { false };
    std::optional<TimePoint> m_sourceReturnedAt;
    uint64_t m_refusedCount { 0 };
    std::vector<DelayedHeartbeat> m_delayedHeartbeats;
    uint64_t m_delayedHeartbeatCount { 0 };
};

} // namespace skylark
