#include "membership/ServerDirectory.h"

#include <algorithm>

namespace skylark {

namespace {

    // Long enough that no peer without the source requests changes since an earlier revision and misses the deletion.
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

bool ServerDirectory::apply(const ServerEntry& entry, TimePoint now)
{
    m_revision = std::max(m_revision, entry.revision);
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
    const bool isChanged = !isSameForRouting(current.record, *entry.record);
    if (current.record.incarnation != entry.record->incarnation)
        current.firstSeen = firstSeen;
    current.record = *entry.record;
    current.revision = entry.revision;
    if (isChanged)
        current.lastChangeRevision = entry.revision;
    current.missingSince.reset();
    return isChanged;
}

bool ServerDirectory::replaceAll(const std::vector<ServerEntry>& entries, Revision revision, TimePoint now)
{
    bool isChanged = false;
    std::set<InstanceId> presentIds;
    for (const ServerEntry& entry : entries) {
        presentIds.insert(entry.id);
        isChanged |= apply(entry, now);
    }
    std::vector<InstanceId> absentIds;
    for (const auto& [id, entry] : m_entries) {
        if (!presentIds.contains(id))
            absentIds.push_back(id);
    }
    for (const InstanceId& id : absentIds)
        isChanged |= removeOrDefer(id, revision, now);
    m_revision = std::max(m_revision, revision);
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
    if (found == m_entries.end() || found->second.revision > revision)
        return false;
    if (isGraceOver(now))
        return drop(id, revision, now);
    found->second.missingSince = revision;
    return false;
}

bool ServerDirectory::drop(const InstanceId& id, Revision revision, TimePoint now)
{
    m_deletions[id] = { .revision = revision, .deletedAt = now };
    return m_entries.erase(id) > 0;
}

bool ServerDirectory::advance(TimePoint now)
{
    std::erase_if(
        m_deletions, [now](const auto& deletion) { return now - deletion.second.deletedAt > deletionRetention; });
    if (!isGraceOver(now))
        return false;
    std::vector<InstanceId> missingIds;
    for (const auto& [id, entry] : m_entries) {
        if (entry.missingSince)
            missingIds.push_back(id);
    }
    // Uses the current revision, since peers may already have all other changes up to it.
    for (const InstanceId& id : missingIds)
        drop(id, m_revision, now);
    return !missingIds.empty();
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

std::vector<ServerEntry> ServerDirectory::entriesSince(Revision revision) const
{
    std::vector<ServerEntry> entries;
    for (const auto& [id, entry] : m_entries) {
        if (entry.lastChangeRevision > revision)
            entries.push_back({ .id = id, .revision = entry.revision, .record = entry.record });
    }
    for (const auto& [id, deletion] : m_deletions) {
        if (deletion.revision > revision)
            entries.push_back({ .id = id, .revision = deletion.revision });
    }
    return entries;
}

} // namespace skylark
