#include "membership/ServerDirectory.h"

#include "base/SourceEra.h"

#include <algorithm>
#include <initializer_list>
#include <tuple>

namespace skylark {

namespace {

    // A peer that asks for changes since an earlier revision gets a listing.
    constexpr Duration deletionRetention = std::chrono::seconds(60);
    // The number of hidden servers up to which they are told and asked for again and again. A source that was restored
    // from a copy hides all servers until they write again, which is too much for each exchange.
    constexpr size_t maxHiddenServers = 64;
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

    // Returns the lowest of the candidates above `revision`; zero if there is none.
    Revision firstAfter(Revision revision, std::initializer_list<Revision> candidates)
    {
        Revision first;
        for (const Revision candidate : candidates) {
            if (candidate > revision && (first == Revision() || candidate < first))
                first = candidate;
        }
        return first;
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
            .delayedRevision = entry.delayedRevision,
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
    deletion.delayedRevision = firstAfter(deletion.revision, { deletion.delayedRevision, entry.revision });
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
    if (!isNewer && !std::is_gt(order)) {
        if (std::is_eq(order))
            current.delayedRevision = firstAfter(newestRevision, { current.delayedRevision, entry.delayedRevision });
        return false;
    }
    // The last heartbeat before the server went absent is no sign of its return.
    if (std::is_lt(order) || (std::is_eq(order) && current.absence)) {
        current.delayedRevision = firstAfter(newestRevision, { current.delayedRevision, entry.revision });
        recordDelayed(entry, latest);
        return false;
    }
    const bool wasHidden = current.isHidden();
    // If the later heartbeat has the earlier revision, the present one is delayed.
    current.delayedRevision
        = firstAfter(entry.revision, { current.delayedRevision, entry.delayedRevision, current.revision });
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
    // Peers may have dropped a server that was absent here, or listed a delayed heartbeat.
    if (isChanged || current.absence || context.mayHideDeletion || wasHidden)
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
    std::set<InstanceId> hiddenIds;
    for (const ServerEntry& entry : listing.entries)
        (entry.record ? presentIds : hiddenIds).insert(entry.id);
    std::vector<InstanceId> absentIds;
    for (const auto& [id, entry] : m_entries) {
        if (!presentIds.contains(id))
            absentIds.push_back(id);
    }
    bool isChanged = false;
    for (const InstanceId& id : absentIds)
        isChanged |= removeOrDefer({ .id = id, .revision = listing.revision }, now);
    // The source has no item of these servers any more.
    for (auto& [id, deletion] : m_deletions) {
        if (!presentIds.contains(id) && !hiddenIds.contains(id) && deletion.delayedRevision <= listing.revision)
            deletion.delayedRevision = Revision();
    }
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
        if (deletion == m_deletions.end() || deletion->second.revision < removal.revision) {
            drop(removal, now);
        } else {
            deletion->second.lastHeartbeat = laterOf(deletion->second.lastHeartbeat, removal.lastHeartbeat);
            deletion->second.delayedRevision
                = firstAfter(deletion->second.revision, { deletion->second.delayedRevision, removal.delayedRevision });
        }
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
    entry.delayedRevision = firstAfter(
        std::max(entry.revision, entry.absence->revision), { entry.delayedRevision, removal.delayedRevision });
    entry.absence->lastHeartbeat = laterOf(entry.absence->lastHeartbeat, removal.lastHeartbeat);
    return false;
}

bool ServerDirectory::drop(const ServerEntry& removal, TimePoint now)
{
    if (m_deletions.size() >= m_options.maxEntries) {
        for (const auto& [deletedId, deletion] : m_deletions)
            m_deletionsKnownSince
                = std::max({ m_deletionsKnownSince, deletion.lastChangeRevision, deletion.delayedRevision });
        m_deletions.clear();
    }
    Deletion& deletion = m_deletions[removal.id];
    deletion.revision = removal.revision;
    deletion.lastChangeRevision = std::max(deletion.lastChangeRevision, removal.revision);
    deletion.lastHeartbeat = laterOf(deletion.lastHeartbeat, removal.lastHeartbeat);
    deletion.delayedRevision = firstAfter(removal.revision, { deletion.delayedRevision, removal.delayedRevision });
    deletion.deletedAt = now;
    const auto found = m_entries.find(removal.id);
    if (found == m_entries.end())
        return false;
    deletion.lastChangeRevision = std::max(deletion.lastChangeRevision, found->second.lastChangeRevision);
    // An entry that was written after the deletion is a delayed heartbeat, or it would not be dropped.
    deletion.delayedRevision = firstAfter(
        removal.revision, { deletion.delayedRevision, found->second.delayedRevision, found->second.revision });
    deletion.lastHeartbeat = laterOf(deletion.lastHeartbeat, found->second.record.position());
    m_entries.erase(found);
    return true;
}

bool ServerDirectory::advance(TimePoint now)
{
    std::erase_if(m_deletions, [this, now](const auto& deletion) {
        if (now - deletion.second.deletedAt <= deletionRetention)
            return false;
        m_deletionsKnownSince
            = std::max({ m_deletionsKnownSince, deletion.second.lastChangeRevision, deletion.second.delayedRevision });
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

Revision ServerDirectory::revisionForRequest() const
{
    Revision first = m_revision;
    size_t hiddenServers = 0;
    const auto consider = [&](const auto& state) {
        if (!state.isHidden())
            return;
        ++hiddenServers;
        first = std::min(first, Revision(state.delayedRevision.value() - 1));
    };
    for (const auto& [id, entry] : m_entries)
        consider(entry);
    for (const auto& [id, deletion] : m_deletions)
        consider(deletion);
    return hiddenServers <= maxHiddenServers ? first : m_revision;
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
    size_t hiddenServers = 0;
    const auto mustTell = [&hiddenServers](bool isChanged, bool isHidden) {
        hiddenServers += isHidden ? 1 : 0;
        return isChanged || (isHidden && hiddenServers <= maxHiddenServers);
    };
    for (const auto& [id, entry] : m_entries) {
        if (mustTell(changes.isListing || entry.lastChangeRevision > revision, entry.isHidden()))
            changes.entries.push_back({ .id = id,
                .revision = entry.revision,
                .record = entry.record,
                .delayedRevision = entry.delayedRevision });
    }
    // A listing names the hidden deletions too: the peer may have listed these servers.
    for (const auto& [id, deletion] : m_deletions) {
        if (mustTell(!changes.isListing && deletion.lastChangeRevision > revision, deletion.isHidden()))
            changes.entries.push_back({ .id = id,
                .revision = deletion.revision,
                .lastHeartbeat = deletion.lastHeartbeat,
                .delayedRevision = deletion.delayedRevision });
    }
    return changes;
}

} // namespace skylark
