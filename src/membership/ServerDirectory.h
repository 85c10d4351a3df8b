// The backend servers as their own entries in the source describe them.
//
// A decision object: entries come in from the source or from a peer, a view for the router comes out. Each entry has
// the source's revision, and the newest wins wherever it came from. Two exceptions: an update of an earlier start of
// the same server is ignored, and where two servers name one address the later start has it.
//
// Entries lapse while the source is away, although their servers live. What is found missing within `returnGrace`
// after the source's return is kept until that time is over and dropped only if it is still missing then.
//
// Bound: mostEntries; further ones are refused and counted.
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
    // The server is slow for this much longer after its start.
    Duration coldFor {};

    bool operator==(const ServerRecord&) const = default;
};

// The state of one key of the source at a revision.
struct ServerEntry {
    InstanceId id;
    Revision revision;
    // Absent where the key was deleted.
    std::optional<ServerRecord> record;
};

struct ServerDirectoryOptions {
    Duration returnGrace { std::chrono::milliseconds(2000) };
    size_t mostEntries { 32768 };
    // Port of the nodes beside the servers.
    uint16_t peerPort { 0 };
    std::map<ZoneName, RegionName> regions;
};

enum class SourceOutage : uint8_t {
    // The source served nobody, so entries may have lapsed though their servers live.
    Everyone,
    // It served other nodes all the while: what it deleted meanwhile holds.
    ThisNode,
};

class ServerDirectory {
public:
    explicit ServerDirectory(ServerDirectoryOptions options);

    // True when something changed that a router acts on.
    bool apply(const ServerEntry& entry, TimePoint now);
    // All entries at one revision: what is absent was deleted.
    bool replaceAll(const std::vector<ServerEntry>& entries, Revision revision, TimePoint now);
    // The source stopped, or began again, to answer this node.
    void noteSourceLost();
    void noteSourceBack(TimePoint now, SourceOutage outage);
    // Deletions may be held back now.
    bool isHoldingBack(TimePoint now) const { return !isGraceOver(now); }
    // Drops entries whose grace is over.
    bool advance(TimePoint now);

    // The server that has this address now; null where there is none.
    const ServerRecord* atAddress(const Endpoint& address) const;
    std::shared_ptr<const MembershipView> view() const;
    // What changed for a router since the revision, deletions of the last minute included, for a peer.
    std::vector<ServerEntry> entriesSince(Revision revision) const;
    Revision revision() const { return m_revision; }
    // Everything up to this revision has been applied.
    void noteRevision(Revision revision) { m_revision = std::max(m_revision, revision); }
    size_t size() const { return m_entries.size(); }
    uint64_t refusedCount() const { return m_refused; }

private:
    struct Entry {
        ServerRecord record;
        Revision revision;
        // Revision of the last change that a router acts on.
        Revision changedAt;
        TimePoint firstSeen;
        // Set while the entry is missing and its grace runs.
        std::optional<Revision> missingSince;
    };
    struct Deletion {
        Revision revision;
        TimePoint at;
    };

    bool remove(const InstanceId& id, Revision revision, TimePoint now);
    bool drop(const InstanceId& id, Revision revision, TimePoint now);
    bool isGraceOver(TimePoint now) const;

    ServerDirectoryOptions m_options;
    std::map<InstanceId, Entry> m_entries;
    std::map<InstanceId, Deletion> m_deletions;
    Revision m_revision;
    bool m_isSourceLost { false };
    std::optional<TimePoint> m_sourceBackAt;
    uint64_t m_refused { 0 };
};

} // namespace skylark
