#include "membership/MembershipTable.h"

#include "base/Invariant.h"

#include <algorithm>

namespace skylark {

namespace {

    // A receiver that is further behind gets the whole list, which is then no larger than a delta.
    constexpr size_t maxHistorySteps = 64;
    constexpr size_t maxHistoryIds = 2048;
    constexpr size_t maxReports = 64;

    Condition conditionOf(bool isLeaving, bool isSuspect)
    {
        if (isLeaving)
            return Condition::Leaving;
        return isSuspect ? Condition::Suspect : Condition::Live;
    }

} // namespace

MembershipTable::MembershipTable(MembershipOptions options)
    : m_options(options)
    , m_view(std::make_shared<const MembershipView>(std::vector<InstanceState> {}))
{
}

bool MembershipTable::isWithinBounds(const ZoneName& zone, size_t newSize) const
{
    size_t total = newSize;
    for (const auto& [name, state] : m_zones)
        total += name == zone ? 0 : state.records.size();
    return total <= m_options.maxInstances && (m_zones.contains(zone) || m_zones.size() < m_options.maxZones);
}

bool MembershipTable::isAcceptable(const ZoneName& zone, const std::vector<InstanceRecord>& records) const
{
    absl::btree_set<std::string_view> ids;
    return std::all_of(records.begin(), records.end(), [&](const InstanceRecord& record) {
        return record.zone == zone && !record.id.value().empty() && ids.insert(record.id.value()).second;
    });
}

ListOutcome MembershipTable::applyList(const ZoneInstanceList& list, TimePoint now)
{
    const Revision current = listRevision(list.zone);
    if (list.revision == current && current != Revision())
        return ListOutcome::Unchanged;
    if (list.revision < current)
        return ListOutcome::WentBackward;
    if (list.revision == Revision() || !isAcceptable(list.zone, list.instances)
        || !isWithinBounds(list.zone, list.instances.size()))
        return ListOutcome::Refused;

    ZoneState& zone = m_zones[list.zone];
    absl::btree_map<InstanceId, InstanceRecord> previousRecords;
    previousRecords.swap(zone.records);
    std::vector<InstanceId> changed;
    for (const InstanceRecord& record : list.instances) {
        zone.records.emplace(record.id, record);
        const auto previous = previousRecords.find(record.id);
        if (previous == previousRecords.end() || previous->second != record)
            changed.push_back(record.id);
        upsert(record, now);
    }
    for (const auto& [id, record] : previousRecords) {
        if (zone.records.contains(id))
            continue;
        changed.push_back(id);
        remove(id, list.zone);
    }
    recordStep(zone, list.revision, std::move(changed));
    return ListOutcome::Applied;
}

ListOutcome MembershipTable::applyDelta(const ZoneListDelta& delta, TimePoint now)
{
    const Revision current = listRevision(delta.zone);
    if (delta.toRevision == current && current != Revision())
        return ListOutcome::Unchanged;
    if (delta.toRevision < current)
        return ListOutcome::WentBackward;
    if (current == Revision() || delta.fromRevision != current)
        return ListOutcome::BaseMismatch;
    ZoneState& zone = m_zones[delta.zone];
    if (!isAcceptable(delta.zone, delta.upserts)
        || !isWithinBounds(delta.zone, zone.records.size() + delta.upserts.size()))
        return ListOutcome::Refused;

    std::vector<InstanceId> changed;
    for (const InstanceRecord& record : delta.upserts) {
        zone.records.insert_or_assign(record.id, record);
        changed.push_back(record.id);
        upsert(record, now);
    }
    for (const InstanceId& id : delta.removals) {
        if (zone.records.erase(id) == 0)
            continue;
        changed.push_back(id);
        remove(id, delta.zone);
    }
    recordStep(zone, delta.toRevision, std::move(changed));
    return ListOutcome::Applied;
}

void MembershipTable::recordStep(ZoneState& zone, Revision to, std::vector<InstanceId> changed)
{
    invariant(zone.revision < to, { .rule = "the revision of a zone's list never decreases", .step = "apply-list" });
    if (zone.revision == Revision() || changed.size() > maxHistoryIds)
        zone.history.clear();
    else
        zone.history.push_back({ .from = zone.revision, .to = to, .changed = std::move(changed) });
    zone.revision = to;
    size_t ids = 0;
    for (const HistoryStep& step : zone.history)
        ids += step.changed.size();
    while (zone.history.size() > maxHistorySteps || ids > maxHistoryIds) {
        ids -= zone.history.front().changed.size();
        zone.history.pop_front();
    }
}

void MembershipTable::resetEntry(Entry& entry, TimePoint now)
{
    entry = Entry { .record = std::move(entry.record), .firstSeen = now, .since = now };
    m_isChanged = true;
}

void MembershipTable::upsert(const InstanceRecord& record, TimePoint now)
{
    Entry& entry = m_entries[record.id];
    const bool isNew = entry.record.id.value().empty();
    // The list lags behind a direct observation of a newer incarnation.
    if (!isNew && entry.record.incarnation > record.incarnation)
        return;
    const bool isRestarted = isNew || entry.record.incarnation < record.incarnation;
    if (entry.record == record)
        return;
    entry.record = record;
    if (isRestarted)
        resetEntry(entry, now);
    updateCondition(entry, now);
    m_isChanged = true;
}

void MembershipTable::remove(const InstanceId& id, const ZoneName& zone)
{
    const auto found = m_entries.find(id);
    // The instance may have moved to a zone whose list arrived first.
    if (found == m_entries.end() || found->second.record.zone != zone)
        return;
    m_entries.erase(found);
    m_idsWithEvidence.erase(id);
    m_isChanged = true;
}

MembershipTable::Entry* MembershipTable::entryForObservation(
    const InstanceId& id, Incarnation incarnation, TimePoint now)
{
    const auto found = m_entries.find(id);
    if (found == m_entries.end() || incarnation < found->second.record.incarnation)
        return nullptr;
    Entry& entry = found->second;
    if (incarnation > entry.record.incarnation) {
        entry.record.incarnation = incarnation;
        entry.record.isLeaving = false;
        resetEntry(entry, now);
    }
    return &entry;
}

bool MembershipTable::hasRecentDirectObservation(const Entry& entry, TimePoint now) const
{
    return entry.lastDirectObservation && now - *entry.lastDirectObservation < m_options.directPrecedence;
}

void MembershipTable::updateCondition(Entry& entry, TimePoint now)
{
    const bool isLeaving = entry.leavingNotice || entry.record.isLeaving || entry.leavingReport;
    const Condition condition = conditionOf(isLeaving, entry.suspicion.has_value());
    if (entry.suspicion || entry.leavingReport || entry.leavingNotice)
        m_idsWithEvidence.insert(entry.record.id);
    if (condition == entry.condition)
        return;
    entry.condition = condition;
    entry.since = now;
    m_isChanged = true;
}

void MembershipTable::observeSuccess(const InstanceId& id, Incarnation incarnation, TimePoint now)
{
    Entry* entry = entryForObservation(id, incarnation, now);
    if (!entry)
        return;
    entry->lastDirectObservation = now;
    if (!entry->suspicion)
        return;
    entry->suspicion.reset();
    updateCondition(*entry, now);
}

void MembershipTable::observeFailure(const InstanceId& id, Incarnation incarnation, TimePoint now)
{
    Entry* entry = entryForObservation(id, incarnation, now);
    if (!entry)
        return;
    entry->lastDirectObservation = now;
    entry->suspicion = Evidence { .observedAt = now, .isDirect = true };
    updateCondition(*entry, now);
}

void MembershipTable::observeLeaving(const InstanceId& id, Incarnation incarnation, TimePoint now)
{
    Entry* entry = entryForObservation(id, incarnation, now);
    if (!entry)
        return;
    entry->lastDirectObservation = now;
    if (!entry->leavingNotice)
        entry->leavingNotice = now;
    updateCondition(*entry, now);
}

void MembershipTable::applyConditionReport(const ConditionReport& report, TimePoint now)
{
    const auto found = m_entries.find(report.subject);
    if (found == m_entries.end() || found->second.record.incarnation != report.incarnation)
        return;
    Entry& entry = found->second;
    const TimePoint observedAt = now - std::clamp(report.age, Duration::zero(), m_options.suspicionLifetime);
    const bool isOlderThanDirectObservation = entry.lastDirectObservation && *entry.lastDirectObservation >= observedAt;
    if (isOlderThanDirectObservation || hasRecentDirectObservation(entry, now)
        || now - observedAt >= m_options.suspicionLifetime)
        return;
    const Evidence evidence { .observedAt = observedAt, .isDirect = false };
    if (report.condition == Condition::Suspect && (!entry.suspicion || entry.suspicion->observedAt < observedAt))
        entry.suspicion = evidence;
    if (report.condition == Condition::Leaving
        && (!entry.leavingReport || entry.leavingReport->observedAt < observedAt))
        entry.leavingReport = evidence;
    updateCondition(entry, now);
}

void MembershipTable::advance(TimePoint now)
{
    const auto hasExpired = [&](const std::optional<Evidence>& evidence) {
        return evidence && now - evidence->observedAt >= m_options.suspicionLifetime;
    };
    for (auto id = m_idsWithEvidence.begin(); id != m_idsWithEvidence.end();) {
        Entry& entry = m_entries.at(*id);
        if (hasExpired(entry.suspicion))
            entry.suspicion.reset();
        if (hasExpired(entry.leavingReport))
            entry.leavingReport.reset();
        updateCondition(entry, now);
        const bool isNoticeNoLongerReported
            = !entry.leavingNotice || now - *entry.leavingNotice >= m_options.directPrecedence;
        const bool hasNoEvidence = !entry.suspicion && !entry.leavingReport && isNoticeNoLongerReported;
        id = hasNoEvidence ? m_idsWithEvidence.erase(id) : std::next(id);
    }
}

void MembershipTable::recordClockGap(TimePoint now)
{
    // Leaving notices are kept: a leaving incarnation does not return.
    for (auto& [id, entry] : m_entries) {
        entry.lastDirectObservation.reset();
        if (!entry.suspicion || !entry.suspicion->isDirect)
            continue;
        entry.suspicion.reset();
        updateCondition(entry, now);
    }
}

bool MembershipTable::publishIfChanged()
{
    if (!m_isChanged)
        return false;
    m_isChanged = false;
    struct Count {
        size_t members { 0 };
        size_t suspects { 0 };
    };
    absl::btree_map<ZoneName, Count> counts;
    for (const auto& [id, entry] : m_entries) {
        Count& count = counts[entry.record.zone];
        ++count.members;
        count.suspects += entry.condition == Condition::Suspect ? 1 : 0;
    }
    std::vector<InstanceState> states;
    states.reserve(m_entries.size());
    for (const auto& [id, entry] : m_entries) {
        const Count& count = counts[entry.record.zone];
        const bool isObserverUnreliable = count.suspects * 2 > count.members;
        const bool isIgnored = entry.condition == Condition::Suspect && isObserverUnreliable;
        states.push_back({ .record = entry.record,
            .condition = isIgnored ? Condition::Live : entry.condition,
            .since = entry.since,
            .firstSeen = entry.firstSeen });
    }
    invariant(states.size() <= m_options.maxInstances,
        { .rule = "the table has at most maxInstances instances", .step = "publish-view" });
    m_view = std::make_shared<const MembershipView>(std::move(states));
    return true;
}

std::vector<ConditionReport> MembershipTable::conditionReports(TimePoint now) const
{
    std::vector<ConditionReport> result;
    const auto add = [&](const Entry& entry, Condition condition, TimePoint observedAt) {
        if (now - observedAt < m_options.directPrecedence)
            result.push_back({ .subject = entry.record.id,
                .incarnation = entry.record.incarnation,
                .condition = condition,
                .age = now - observedAt });
    };
    for (const InstanceId& id : m_idsWithEvidence) {
        const Entry& entry = m_entries.at(id);
        if (entry.suspicion && entry.suspicion->isDirect)
            add(entry, Condition::Suspect, entry.suspicion->observedAt);
        if (entry.leavingNotice)
            add(entry, Condition::Leaving, *entry.leavingNotice);
    }
    std::stable_sort(result.begin(), result.end(),
        [](const ConditionReport& left, const ConditionReport& right) { return left.age < right.age; });
    if (result.size() > maxReports)
        result.resize(maxReports);
    return result;
}

Revision MembershipTable::listRevision(const ZoneName& zone) const
{
    const auto found = m_zones.find(zone);
    return found == m_zones.end() ? Revision() : found->second.revision;
}

std::vector<std::pair<ZoneName, Revision>> MembershipTable::listRevisions() const
{
    std::vector<std::pair<ZoneName, Revision>> result;
    for (const auto& [name, zone] : m_zones)
        result.emplace_back(name, zone.revision);
    return result;
}

Digest MembershipTable::listsDigest() const
{
    std::string text;
    for (const auto& [name, zone] : m_zones)
        text += name.value() + '\0' + std::to_string(zone.revision.value()) + '\0';
    return digestOf(text);
}

std::optional<ZoneListDelta> MembershipTable::deltaSince(const ZoneName& name, Revision from) const
{
    const auto found = m_zones.find(name);
    if (found == m_zones.end())
        return std::nullopt;
    const ZoneState& zone = found->second;
    auto step = std::find_if(
        zone.history.begin(), zone.history.end(), [&](const HistoryStep& candidate) { return candidate.from == from; });
    if (step == zone.history.end())
        return std::nullopt;
    absl::btree_set<InstanceId> changed;
    for (; step != zone.history.end(); ++step)
        changed.insert(step->changed.begin(), step->changed.end());
    ZoneListDelta delta { .zone = name, .fromRevision = from, .toRevision = zone.revision };
    for (const InstanceId& id : changed) {
        const auto record = zone.records.find(id);
        if (record == zone.records.end())
            delta.removals.push_back(id);
        else
            delta.upserts.push_back(record->second);
    }
    return delta;
}

std::optional<ZoneInstanceList> MembershipTable::wholeList(const ZoneName& name) const
{
    const auto found = m_zones.find(name);
    if (found == m_zones.end())
        return std::nullopt;
    ZoneInstanceList list { .zone = name, .revision = found->second.revision };
    list.instances.reserve(found->second.records.size());
    for (const auto& [id, record] : found->second.records)
        list.instances.push_back(record);
    return list;
}

} // namespace skylark
