#include "membership/ServerDirectory.h"

#include "base/SourceEra.h"

#include <algorithm>
#include <tuple>

namespace skylark {

namespace {

    // A peer that asks for changes since an earlier revision gets a listing.
    constexpr Duration deletionRetention = std::chrono::seconds(60);
    // Age of a server that is not cold, so that the router applies no slow start to it.
    constexpr Duration warmServerAge = std::chrono::hours(1);

    bool isCold(const ServerRecord& record) { return record.remainingSlowStart > Duration::zero(); }

    // Heartbeats change only the revision and the remaining cold time. Of the latter only the change between cold and
    // warm affects routing.
    bool isSameForRouting(const ServerRecord& left, const ServerRecord& right)
    {
        return left.incarnation == right.incarnation && left.service == right.service && left.zone == right.zone
            && left.address == right.address && left.slots == right.slots && left.isDraining == right.isDraining
            && isCold(left) == isCold(right);
    }

    TimePoint firstSeen(const ServerRecord& record, TimePoint now)
    {
        return isCold(record) ? now : now - warmServerAge;
    }

    TimePoint coldUntil(const ServerRecord& record, TimePoint now)
    {
        return isCold(record) ? now + record.remainingSlowStart : TimePoint();
    }

    // Of two positions of the same incarnation, prefers the one whose number is known.
    const HeartbeatPosition& laterOf(const HeartbeatPosition& left, const HeartbeatPosition& right)
    {
        const bool isRightLater = std::tie(left.incarnation, left.number) < std::tie(right.incarnation, right.number);
        return isRightLater ? right : left;
    }

} // namespace

ServerDirectory::ServerDirectory(ServerDirectoryOptions options)
    : m_options(std::move(options))
{
}

bool ServerDirectory::apply(const ServerEntry& entry, const EntryContext& context, TimePoint now)
{
    if (!entry.record)
        return removeOrDefer(entry, now);
    const auto found = m_entries.find(entry.id);
    return found == m_entries.end() ? add(entry, context, now) : update(found->second, entry, context, now);
}

bool ServerDirectory::add(const ServerEntry& entry, const EntryContext& context, TimePoint now)
{
    const auto deletion = m_deletions.find(entry.id);
    if (deletion != m_deletions.end() && !isAfterDeletion(entry, deletion->second))
        return false;
    if (entry.revision <= context.knownUpTo)
        return false;
    if (m_entries.size() >= m_options.maxEntries) {
        ++m_refusedCount;
        return false;
    }
    if (deletion != m_deletions.end())
        m_deletions.erase(deletion);
    m_entries.emplace(entry.id,
        Entry { .record = *entry.record,
            .revision = entry.revision,
            .lastChangeRevision = entry.revision,
            .firstSeen = firstSeen(*entry.record, now),
            .coldUntil = coldUntil(*entry.record, now) });
    return true;
}

bool ServerDirectory::isAfterDeletion(const ServerEntry& entry, Deletion& deletion)
{
    const HeartbeatPosition position = entry.record->position();
    if (entry.revision <= deletion.revision) {
        deletion.lastHeartbeat = laterOf(deletion.lastHeartbeat, position);
        return false;
    }
    if (!(position <= deletion.lastHeartbeat))
        return true;
    // A peer that started after the deletion takes the heartbeat for a new one and needs the deletion.
    deletion.lastChangeRevision = std::max(deletion.lastChangeRevision, entry.revision);
    recordDelayed(entry, deletion.lastHeartbeat);
    return false;
}

bool ServerDirectory::update(Entry& current, const ServerEntry& entry, const EntryContext& context, TimePoint now)
{
    Revision newestRevision = current.revision;
    HeartbeatPosition latest = current.record.position();
    if (current.absence) {
        newestRevision = std::max(newestRevision, current.absence->revision);
        latest = laterOf(latest, current.absence->lastHeartbeat);
    }
    const std::partial_ordering order = entry.record->position() <=> latest;
    const bool isNewer = entry.revision > newestRevision;
    if (!isNewer && !(order > 0))
        return false;
    // The last heartbeat before the server went absent is no sign of its return.
    if (order < 0 || (order == 0 && current.absence)) {
        recordDelayed(entry, latest);
        return false;
    }
    const bool isChanged = !isSameForRouting(current.record, *entry.record);
    const bool isNewStart = current.record.incarnation != entry.record->incarnation;
    if (isNewStart || isCold(current.record) != isCold(*entry.record))
        current.firstSeen = firstSeen(*entry.record, now);
    // The same heartbeat from another source does not extend the time.
    if (entry.record->position() != current.record.position()
        || entry.record->remainingSlowStart != current.record.remainingSlowStart)
        current.coldUntil = coldUntil(*entry.record, now);
    current.record = *entry.record;
    current.revision = entry.revision;
    // Peers may have dropped a server that was absent here.
    if (isChanged || current.absence || context.mayHideDeletion)
        current.lastChangeRevision = std::max(current.lastChangeRevision, entry.revision);
    if (isNewer)
        current.absence.reset();
    return isChanged;
}

void ServerDirectory::recordDelayed(const ServerEntry& entry, const HeartbeatPosition& latest)
{
    ++m_delayedHeartbeatCount;
    if (m_delayedHeartbeats.size() < m_options.maxDelayedHeartbeats)
        m_delayedHeartbeats.push_back(
            { .id = entry.id, .revision = entry.revision, .position = entry.record->position(), .latest = latest });
}

bool ServerDirectory::apply(const ServerChanges& changes, TimePoint now)
{
    bool isChanged = false;
    if (eraOf(changes.revision) < eraOf(m_revision)) {
        for (const ServerEntry& entry : changes.entries) {
            if (entry.record)
                isChanged |= apply(entry, { .knownUpTo = m_revision, .mayHideDeletion = true }, now);
        }
        return isChanged;
    }
    startGraceIfNewEra(changes.revision, now);
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
        isChanged |= removeOrDefer({ .id = id, .revision = listing.revision }, now);
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

void ServerDirectory::startGraceIfNewEra(Revision revision, TimePoint now)
{
    if (m_revision != Revision() && eraOf(revision) > eraOf(m_revision))
        m_sourceReturnedAt = now;
}

bool ServerDirectory::removeOrDefer(const ServerEntry& removal, TimePoint now)
{
    const auto found = m_entries.find(removal.id);
    if (found == m_entries.end()) {
        // Recorded all the same: a peer that asks may know the server.
        const auto deletion = m_deletions.find(removal.id);
        if (deletion == m_deletions.end() || deletion->second.revision < removal.revision)
            drop(removal, now);
        else
            deletion->second.lastHeartbeat = laterOf(deletion->second.lastHeartbeat, removal.lastHeartbeat);
        return false;
    }
    Entry& entry = found->second;
    if (entry.revision > removal.revision && !(entry.record.position() <= removal.lastHeartbeat))
        return false;
    if (isGraceOver(now))
        return drop(removal, now);
    if (!entry.absence)
        entry.absence = Absence { .lastListedAt = m_revision };
    entry.absence->revision = std::max(entry.absence->revision, removal.revision);
    entry.absence->lastHeartbeat = laterOf(entry.absence->lastHeartbeat, removal.lastHeartbeat);
    return false;
}

bool ServerDirectory::drop(const ServerEntry& removal, TimePoint now)
{
    if (m_deletions.size() >= m_options.maxEntries) {
        for (const auto& [deletedId, deletion] : m_deletions)
            m_deletionsKnownSince = std::max(m_deletionsKnownSince, deletion.lastChangeRevision);
        m_deletions.clear();
    }
    Deletion& deletion = m_deletions[removal.id];
    deletion.revision = removal.revision;
    deletion.lastChangeRevision = std::max(deletion.lastChangeRevision, removal.revision);
    deletion.lastHeartbeat = laterOf(deletion.lastHeartbeat, removal.lastHeartbeat);
    deletion.deletedAt = now;
    const auto found = m_entries.find(removal.id);
    if (found == m_entries.end())
        return false;
    deletion.lastChangeRevision = std::max(deletion.lastChangeRevision, found->second.lastChangeRevision);
    deletion.lastHeartbeat = laterOf(deletion.lastHeartbeat, found->second.record.position());
    m_entries.erase(found);
    return true;
}

bool ServerDirectory::advance(TimePoint now)
{
    std::erase_if(m_deletions, [this, now](const auto& deletion) {
        if (now - deletion.second.deletedAt <= deletionRetention)
            return false;
        m_deletionsKnownSince = std::max(m_deletionsKnownSince, deletion.second.lastChangeRevision);
        return true;
    });
    if (!isGraceOver(now))
        return false;
    std::vector<ServerEntry> missing;
    for (const auto& [id, entry] : m_entries) {
        if (entry.absence)
            missing.push_back(
                { .id = id, .revision = entry.absence->revision, .lastHeartbeat = entry.absence->lastHeartbeat });
    }
    for (const ServerEntry& removal : missing)
        drop(removal, now);
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
    const ServerRecord* owner = nullptr;
    for (const auto& [id, entry] : m_entries) {
        if (entry.record.address == address && (!owner || hasPrecedence(entry.record, *owner)))
            owner = &entry.record;
    }
    return owner;
}

bool ServerDirectory::setNamedServices(std::set<ServiceName> services)
{
    if (m_namedServices == services)
        return false;
    m_namedServices = std::move(services);
    return !m_entries.empty();
}

bool ServerDirectory::hasPrecedence(const ServerRecord& record, const ServerRecord& other) const
{
    const bool isRecordNamed = isNamed(record.service);
    if (isRecordNamed != isNamed(other.service))
        return isRecordNamed;
    return record.incarnation > other.incarnation;
}

std::shared_ptr<const MembershipView> ServerDirectory::view(const std::set<ZoneName>& evacuatedZones) const
{
    std::map<Endpoint, const ServerRecord*> owners;
    for (const auto& [id, entry] : m_entries) {
        const ServerRecord*& owner = owners[entry.record.address];
        if (!owner || hasPrecedence(entry.record, *owner))
            owner = &entry.record;
    }
    std::vector<InstanceState> instances;
    instances.reserve(m_entries.size());
    for (const auto& [id, entry] : m_entries) {
        const ServerRecord& record = entry.record;
        if (owners.at(record.address) != &record)
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
            .firstSeen = entry.firstSeen,
            .coldUntil = entry.coldUntil,
            .isEvacuated = evacuatedZones.contains(record.zone) });
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
        if (deletion.lastChangeRevision > revision)
            changes.entries.push_back(
                { .id = id, .revision = deletion.revision, .lastHeartbeat = deletion.lastHeartbeat });
    }
    return changes;
}

} // namespace skylark
