// Directory of the backend servers, built from the entries that they register in the source.
//
// - The directory takes entries from the source or from a peer and provides a view for the router.
// - The directory does no I/O.
// - Each entry has the source's revision; the newest one wins, whichever way it arrived.
// - An update from an earlier start of the same server is ignored, even if its revision is newer.
// - If two servers register the same address, it belongs to the later start.
// - Entries expire during an outage of the source although their servers are alive. An entry that is missing within
//   `returnGrace` after the source's return is therefore kept until that time ends and dropped only if still missing.
// - At most maxEntries entries are kept; further ones are refused and counted.
//
// Invariant: a directory with revision() r knows every change up to r; deletions that it defers are known too. A peer
// asks for the changes since its revision, so a revision that is raised past an unknown deletion keeps a server that
// has left for good. Only apply(ServerChanges) raises the revision, and only if the changes leave no gap.
#pragma once

#include "membership/MembershipView.h"

#include <algorithm>
#include <map>
#include <optional>
#include <set>

namespace skylark {

struct ServerRecord {
    InstanceId id;
    // Start of the backend server; a later start is higher.
    Incarnation incarnation;
    ServiceName service;
    ZoneName zone;
    Endpoint address;
    int slots { 1 };
    bool isDraining { false };
    // Remaining time for which the server is slow after its start.
    Duration remainingSlowStart {};

    bool operator==(const ServerRecord&) const = default;
};

// The state of one key of the source at a revision.
struct ServerEntry {
    InstanceId id;
    Revision revision;
    // Absent if the key was deleted.
    std::optional<ServerRecord> record;
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

struct ServerDirectoryOptions {
    Duration returnGrace { std::chrono::milliseconds(2000) };
    size_t maxEntries { 32768 };
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
        return apply(entry, { .knownUpTo = m_revision, .mayHideDeletion = true }, now);
    }
    // Applies all changes, and raises the revision unless changes between it and `since` are missing. Returns true if
    // routing is affected.
    bool apply(const ServerChanges& changes, TimePoint now);
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
    std::shared_ptr<const MembershipView> view() const;
    // Returns the changes since the revision that affect routing, for a peer; a listing if deletions since then are no
    // longer known.
    ServerChanges changesSince(Revision revision) const;
    // The revision up to which every change is known.
    Revision revision() const { return m_revision; }
    size_t size() const { return m_entries.size(); }
    uint64_t refusedCount() const { return m_refusedCount; }

private:
    // A server that is missing at `revision` and was still listed at `lastListedAt`. The revision of the deletion
    // itself is not known, since listings and peers report it later.
    struct Absence {
        Revision lastListedAt;
        Revision revision;
    };
    struct Entry {
        ServerRecord record;
        Revision revision;
        // Revision of the last change that affects routing.
        Revision lastChangeRevision;
        TimePoint firstSeen;
        // Set while the entry is missing and its grace period runs.
        std::optional<Absence> absence;
    };
    struct Deletion {
        Revision revision;
        TimePoint deletedAt;
    };

    struct EntryContext {
        // A server that is not listed and whose entry is no newer was deleted since.
        Revision knownUpTo;
        // The server may have been deleted and listed again, unseen, so its entry counts as changed.
        bool mayHideDeletion { false };
    };
    bool apply(const ServerEntry& entry, const EntryContext& context, TimePoint now);
    // Deletes the entry, or marks it as missing while deletions are deferred. Returns true if it was deleted.
    bool removeOrDefer(const InstanceId& id, Revision revision, TimePoint now);
    bool drop(const InstanceId& id, Revision revision, TimePoint now);
    // Drops the entries that are not among those of the listing.
    bool removeAbsent(const ServerChanges& listing, TimePoint now);
    // Limits what the directory tells peers to the time before the first deletion that it defers.
    Revision revisionForPeers() const;
    bool isGraceOver(TimePoint now) const;

    ServerDirectoryOptions m_options;
    std::map<InstanceId, Entry> m_entries;
    std::map<InstanceId, Deletion> m_deletions;
    Revision m_revision;
    // Every deletion after this revision is in m_deletions.
    Revision m_deletionsKnownSince;
    bool m_isSourceLost { false };
    std::optional<TimePoint> m_sourceReturnedAt;
    uint64_t m_refusedCount { 0 };
};

} // namespace skylark
