#include "membership/ServerDirectory.h"

#include <algorithm>

namespace skylark {

namespace {

    // A peer that asks for changes since an earlier revision gets a listing.
    constexpr Duration deletionRetention = std::chrono::seconds(60);
    // Age of a server that is not cold, so that the router applies no slow start to it.
    constexpr Duration warmServerAge = std::chrono::hours(1);

    // Heartbeats change only the revision, which does not affect routing.
    bool isSameForRouting(const ServerRecord& left, const ServerRecord& right)
    {
        return left.incarnation == right.incarnation && left.service == right.service && left.zone == right.zone
            && left.address == right.address && left.slots == right.slots && left.isDraining == right.isDraining;
    }

} // namespace

ServerDirectory::ServerDirectory(ServerDirectoryOptions options)
    : m_options(std::move(options))
{
}

bool ServerDirectory::apply(const ServerEntry& entry, const EntryContext& context, TimePoint now)
{
    if (!entry.record)
        return removeOrDefer(entry.id, entry.revision, now);
    if (const auto deletion = m_deletions.find(entry.id); deletion != m_deletions.end()) {
        if (deletion->second.revision >= entry.revision)
            return false;
        m_deletions.erase(deletion);
    }
    const auto found = m_entries.find(entry.id);
    const TimePoint firstSeen = entry.record->remainingSlowStart > Duration::zero() ? now : now - warmServerAge;
    if (found == m_entries.end()) {
        if (entry.revision <= context.knownUpTo)
            return false;
        if (m_entries.size() >= m_options.maxEntries) {
            ++m_refusedCount;
            return false;
        }
        m_entries.emplace(entry.id,
            Entry { .record = *entry.record,
                .revision = entry.revision,
                .lastChangeRevision = entry.revision,
                .firstSeen = firstSeen });
        return true;
    }
    Entry& current = found->second;
    if (current.revision >= entry.revision || current.record.incarnation > entry.record->incarnation)
        return false;
    if (current.absence && current.absence->revision >= entry.revision)
        return false;
    const bool isChanged = !isSameForRouting(current.record, *entry.record);
    if (current.record.incarnation != entry.record->incarnation)
        current.firstSeen = firstSeen;
    current.record = *entry.record;
    current.revision = entry.revision;
    // Peers may have dropped a server that was absent here.
    if (isChanged || current.absence || context.mayHideDeletion)
        current.lastChangeRevision = entry.revision;
    current.absence.reset();
    return isChanged;
}

bool ServerDirectory::apply(const ServerChanges& changes, TimePoint now)
{
    bool isChanged = false;
    const bool isNewerListing = changes.isListing && changes.revision >= m_revision;
    const EntryContext context { .knownUpTo = isNewerListing ? Revision() : m_revision,
        .mayHideDeletion = changes.isFromPeer };
    for (const ServerEntry& entry : changes.entries)
        isChanged |= apply(entry, context, now);
    if (changes.isListing) {
        isChanged |= removeAbsent(changes, now);
        // A server that came and went between two listings leaves no deletion here, but a peer may know it.
        m_deletionsKnownSince = std::max(m_deletionsKnownSince, changes.revision);
    }
    if (changes.isListing || changes.since <= m_revision)
        m_revision = std::max(m_revision, changes.revision);
    return isChanged;
}

bool ServerDirectory::removeAbsent(const ServerChanges& listing, TimePoint now)
{
    std::set<InstanceId> presentIds;
    for (const ServerEntry& entry : listing.entries)
        presentIds.insert(entry.id);
    std::vector<InstanceId> absentIds;
    for (const auto& [id, entry] : m_entries) {
        if (!presentIds.contains(id))
            absentIds.push_back(id);
    }
    bool isChanged = false;
    for (const InstanceId& id : absentIds)
        isChanged |= removeOrDefer(id, listing.revision, now);
    return isChanged;
}

void ServerDirectory::recordSourceLost()
{
    m_isSourceLost = true;
    m_sourceReturnedAt.reset();
}

void ServerDirectory::recordSourceReturn(TimePoint now, SourceOutage outage)
{
    if (!m_isSourceLost)
        return;
    m_isSourceLost = false;
    if (outage == SourceOutage::AllNodes)
        m_sourceReturnedAt = now;
}

bool ServerDirectory::isGraceOver(TimePoint now) const
{
    return !m_isSourceLost && (!m_sourceReturnedAt || now >= *m_sourceReturnedAt + m_options.returnGrace);
}

bool ServerDirectory::removeOrDefer(const InstanceId& id, Revision revision, TimePoint now)
{
    const auto found = m_entries.find(id);
    if (found == m_entries.end()) {
        // Recorded all the same: a peer that asks may know the server.
        const auto deletion = m_deletions.find(id);
        if (deletion == m_deletions.end() || deletion->second.revision < revision)
            drop(id, revision, now);
        return false;
    }
    if (found->second.revision > revision)
        return false;
    if (isGraceOver(now))
        return drop(id, revision, now);
    if (!found->second.absence)
        found->second.absence = Absence { .lastListedAt = m_revision };
    found->second.absence->revision = std::max(found->second.absence->revision, revision);
    return false;
}

bool ServerDirectory::drop(const InstanceId& id, Revision revision, TimePoint now)
{
    if (m_deletions.size() >= m_options.maxEntries) {
        for (const auto& [deletedId, deletion] : m_deletions)
            m_deletionsKnownSince = std::max(m_deletionsKnownSince, deletion.revision);
        m_deletions.clear();
    }
    m_deletions[id] = { .revision = revision, .deletedAt = now };
    return m_entries.erase(id) > 0;
}

bool ServerDirectory::advance(TimePoint now)
{
    std::erase_if(m_deletions, [this, now](const auto& deletion) {
        if (now - deletion.second.deletedAt <= deletionRetention)
            return false;
        m_deletionsKnownSince = std::max(m_deletionsKnownSince, deletion.second.revision);
        return true;
    });
    if (!isGraceOver(now))
        return false;
    std::vector<std::pair<InstanceId, Revision>> missing;
    for (const auto& [id, entry] : m_entries) {
        if (entry.absence)
            missing.emplace_back(id, entry.absence->revision);
    }
    for (const auto& [id, revision] : missing)
        drop(id, revision, now);
    return !missing.empty();
}

Revision ServerDirectory::revisionForPeers() const
{
    Revision revision = m_revision;
    for (const auto& [id, entry] : m_entries) {
        if (entry.absence)
            revision = std::min(revision, entry.absence->lastListedAt);
    }
    return revision;
}

const ServerRecord* ServerDirectory::atAddress(const Endpoint& address) const
{
    const ServerRecord* latestRecord = nullptr;
    for (const auto& [id, entry] : m_entries) {
        if (entry.record.address == address && (!latestRecord || latestRecord->incarnation < entry.record.incarnation))
            latestRecord = &entry.record;
    }
    return latestRecord;
}

std::shared_ptr<const MembershipView> ServerDirectory::view() const
{
    std::map<Endpoint, const ServerRecord*> latestByAddress;
    for (const auto& [id, entry] : m_entries) {
        const ServerRecord*& record = latestByAddress[entry.record.address];
        if (!record || record->incarnation < entry.record.incarnation)
            record = &entry.record;
    }
    std::vector<InstanceState> instances;
    instances.reserve(m_entries.size());
    for (const auto& [id, entry] : m_entries) {
        const ServerRecord& record = entry.record;
        if (latestByAddress.at(record.address) != &record)
            continue;
        const auto region = m_options.regions.find(record.zone);
        instances.push_back({ .record = { .id = id,
                                  .incarnation = record.incarnation,
                                  .peer = { record.address.host, m_options.peerPort },
                                  .service = record.service,
                                  .zone = record.zone,
                                  .region = region == m_options.regions.end() ? RegionName() : region->second,
                                  .isLeaving = record.isDraining },
            .condition = record.isDraining ? Condition::Leaving : Condition::Live,
            .since = entry.firstSeen,
            .firstSeen = entry.firstSeen });
    }
    return std::make_shared<const MembershipView>(std::move(instances));
}

ServerChanges ServerDirectory::changesSince(Revision revision) const
{
    ServerChanges changes { .since = revision,
        .revision = revisionForPeers(),
        .isListing = revision < m_deletionsKnownSince,
        .isFromPeer = true };
    for (const auto& [id, entry] : m_entries) {
        if (changes.isListing || entry.lastChangeRevision > revision)
            changes.entries.push_back({ .id = id, .revision = entry.revision, .record = entry.record });
    }
    if (changes.isListing)
        return changes;
    for (const auto& [id, deletion] : m_deletions) {
        if (deletion.revision > revision)
            changes.entries.push_back({ .id = id, .revision = deletion.revision });
    }
    return changes;
}

} // namespace skylark
