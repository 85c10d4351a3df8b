#include "base/Error.h"
#include "base/Invariant.h"
#include "distribution/Distributor.h"
#include "membership/InstanceListJson.h"

#include <algorithm>

namespace skylark {

namespace {

    // A reader of rank r waits r times this delay before it reads a changed key. In that time the value usually
    // arrives from the reader of rank 0.
    constexpr Duration readDelayPerRank = std::chrono::milliseconds(150);
    // The list of another zone is read only if that zone's readers do not send it, for example because the zone is
    // down.
    constexpr Duration otherZoneReadDelay = std::chrono::seconds(3);
    constexpr Duration unknownZoneReadDelay = std::chrono::milliseconds(500);
    // The peers that sent a manifest are asked for its texts first; the source is read after this delay.
    constexpr Duration sectionReadDelay = std::chrono::milliseconds(600);

    std::string textOf(Revision revision) { return std::to_string(revision.value()); }

} // namespace

Revision Distributor::watchStart() const
{
    if (m_watchAfter)
        return *m_watchAfter;
    const Revision listRevision = m_table.listRevision(m_options.self.zone);
    if (!m_store.current() || listRevision == Revision())
        return {};
    // The node holds everything up to the older of the two revisions; the watch lists the keys changed since then.
    return std::min(listRevision, m_store.currentOrder().revision);
}

absl::btree_set<std::string> Distributor::missingKeys() const
{
    absl::btree_set<std::string> keys;
    for (const SectionDigest& section : m_store.missingSections())
        keys.insert(sectionKey(section.name, section.digest));
    return keys;
}

bool Distributor::isKeyNeeded(
    const std::string& key, Revision revision, const absl::btree_set<std::string>& sectionKeys) const
{
    const std::optional<ZoneName> zone = zoneOfKey(key);
    const auto& zones = m_options.zones;
    const bool isBootstrapZone
        = zone && (*zone == m_options.self.zone || std::find(zones.begin(), zones.end(), *zone) != zones.end());
    const bool isBootstrap = isBootstrapZone && m_table.listRevision(*zone) == Revision();
    if (isBootstrap)
        return true;
    if (!m_isReader)
        return false;
    if (zone)
        return m_table.listRevision(*zone) < revision;
    if (key != manifestKey)
        return sectionKeys.contains(key);
    const std::optional<Manifest> pending = m_store.pending();
    const Revision heldRevision = std::max(m_store.currentOrder().revision, pending ? pending->revision : Revision());
    return revision == Revision() || heldRevision < revision;
}

void Distributor::updateSourceRequests(TimePoint now)
{
    const SourceReader::TimedOutRequests timedOut = m_source.timedOutRequests(now);
    if (timedOut.watch && m_source.completeWatch(*timedOut.watch))
        handleWatchFailure("the source did not respond in time", now);
    for (const uint64_t number : timedOut.reads)
        m_source.failRead(number, now, m_random);

    const ZoneName& ownZone = m_options.self.zone;
    const bool hasList = m_table.listRevision(ownZone) != Revision();
    if (!hasList && !m_isListRead && now >= m_bootstrapDue) {
        m_source.scheduleRead(instancesKey(ownZone), Revision(), now);
        for (const ZoneName& zone : m_options.zones)
            m_source.scheduleRead(instancesKey(zone), Revision(), now);
    }
    m_isReader = (hasList || m_isListRead) && m_selector.shouldWatch(now);
    if (!m_isReader)
        m_watchAfter.reset();
    else
        m_selector.recordOwnAttempt(now);
    const bool isWatchDue = m_isReader && !m_source.isWatching() && now >= m_selector.nextAttempt();
    if (isWatchDue && m_selector.tryRead(now))
        m_actions.emplace_back(m_source.beginWatch(watchStart(), now));

    const absl::btree_set<std::string> sectionKeys = missingKeys();
    if (m_isReader)
        for (const std::string& key : sectionKeys)
            m_source.scheduleRead(key, Revision(), now + sectionReadDelay);
    const auto isNeeded
        = [&](const std::string& key, Revision revision) { return isKeyNeeded(key, revision, sectionKeys); };
    for (ReadKey& read : m_source.dueReads(now, isNeeded, [&] { return m_selector.tryRead(now); }))
        m_actions.emplace_back(std::move(read));
}

void Distributor::reportRevisionRegression(const std::string& what, Revision found, Revision held, TimePoint now)
{
    reportRateLimited("source-went-backward",
        { { "what", what }, { "found", textOf(found) }, { "held", textOf(held) },
            { "advice", "a stale replica responded or the source was restored from a backup; older data is ignored" } },
        now);
}

void Distributor::handleWatchFailure(const std::string& reason, TimePoint now)
{
    m_selector.recordOwnFailure(now, m_random);
    reportRateLimited("watch-failed", { { "reason", reason } }, now);
}

Actions Distributor::watchFailed(uint64_t number, const std::string& reason, TimePoint now)
{
    beginCall(now);
    if (m_source.completeWatch(number))
        handleWatchFailure(reason, now);
    return takeActions();
}

void Distributor::scheduleChangedKey(const SourceChange& changed, TimePoint now)
{
    if (changed.isDeleted)
        return;
    const Duration delay = readDelayPerRank * static_cast<int64_t>(m_selector.rank());
    if (changed.key == manifestKey) {
        m_source.scheduleRead(changed.key, changed.revision, now + delay);
        return;
    }
    const std::optional<ZoneName> zone = zoneOfKey(changed.key);
    if (zone == m_options.self.zone) {
        m_source.scheduleRead(changed.key, changed.revision, now + delay);
    } else if (zone && m_selector.rank() == 0) {
        const bool isUnknown = m_table.listRevision(*zone) == Revision();
        m_source.scheduleRead(
            changed.key, changed.revision, now + (isUnknown ? unknownZoneReadDelay : otherZoneReadDelay));
    }
}

Actions Distributor::watchSucceeded(uint64_t number, const WatchResponse& response, TimePoint now)
{
    beginCall(now);
    if (!m_source.completeWatch(number))
        return takeActions();
    const std::optional<FreshnessMark> mark = m_selector.mark(now);
    const Revision newestKnown = std::max({ m_sourceRevision, mark ? mark->sourceRevision : Revision(),
        m_store.currentOrder().revision, m_watchAfter.value_or(Revision()) });
    if (response.revision < newestKnown) {
        reportRevisionRegression("watch", response.revision, newestKnown, now);
        m_selector.recordOwnFailure(now, m_random);
        // A source restored from a backup may hold a version with a higher number and a lower revision.
        m_source.scheduleRead(manifestKey, Revision(), now);
    } else {
        m_selector.recordOwnSuccess(response.revision, now);
        m_sourceRevision = response.revision;
        m_watchAfter = response.revision;
        m_source.endBackoff(now);
    }
    for (const SourceChange& changed : response.changed)
        scheduleChangedKey(changed, now);
    updateSourceRequests(now);
    updateResync(now);
    return takeActions();
}

Actions Distributor::readFailed(uint64_t number, const std::string& reason, TimePoint now)
{
    beginCall(now);
    if (const std::optional<std::string> key = m_source.failRead(number, now, m_random))
        reportRateLimited("read-failed", { { "key", *key }, { "reason", reason } }, now);
    return takeActions();
}

Actions Distributor::readSucceeded(uint64_t number, const ReadResponse& response, TimePoint now)
{
    beginCall(now);
    const std::optional<std::string> key = m_source.completeRead(number, response.revision, now, m_random);
    if (!key)
        return takeActions();
    const std::optional<ZoneName> zone = zoneOfKey(*key);
    if (zone == m_options.self.zone)
        m_isListRead = true;
    if (!response.isFound)
        reportRateLimited("key-not-found", { { "key", *key } }, now);
    else if (*key == manifestKey)
        onManifest(response, now);
    else if (zone)
        onInstances(*zone, response, now);
    else
        handleOfferOutcome(m_store.offerTexts({ { .text = response.value } }, now), m_pendingDepth, now);
    updateSourceRequests(now);
    updateResync(now);
    return takeActions();
}

void Distributor::onManifest(const ReadResponse& response, TimePoint now)
{
    Manifest manifest;
    try {
        manifest = m_options.parseManifest(response.value);
    } catch (const InvariantViolation&) {
        throw;
    } catch (const Error& error) {
        reportRateLimited("manifest-unusable",
            { { "revision", textOf(response.revision) }, { "error", error.what() },
                { "advice", "the last valid version stays active; publish a corrected manifest" } },
            now);
        return;
    }
    manifest.revision = response.revision;
    const VersionOrder foundOrder { .version = manifest.version, .revision = manifest.revision };
    const VersionOrder currentOrder = m_store.currentOrder();
    if (foundOrder < currentOrder) {
        reportRevisionRegression("manifest", foundOrder.revision, currentOrder.revision, now);
        return;
    }
    const OfferOutcome outcome = m_store.offer(manifest, {}, now);
    if (outcome == OfferOutcome::Pending || outcome == OfferOutcome::Applied)
        m_originDigest = manifest.digest();
    if (outcome == OfferOutcome::Pending)
        m_pendingDepth = 0;
    handleOfferOutcome(outcome, 0, now);
    if (outcome != OfferOutcome::Pending)
        return;
    for (const std::string& key : missingKeys())
        m_source.scheduleRead(key, Revision(), now);
}

void Distributor::onInstances(const ZoneName& zone, const ReadResponse& response, TimePoint now)
{
    const Revision previousRevision = m_table.listRevision(zone);
    ZoneInstanceList list;
    try {
        list = instanceListFromJson(zone, response.revision, response.value);
    } catch (const Error& error) {
        reportRateLimited("list-unusable", { { "zone", zone.value() }, { "error", error.what() } }, now);
        return;
    }
    switch (m_table.applyList(list, now)) {
    case ListOutcome::Applied:
        pushList(listUpdate(zone, previousRevision), true);
        break;
    case ListOutcome::WentBackward:
        reportRevisionRegression("instances/" + zone.value(), response.revision, previousRevision, now);
        break;
    case ListOutcome::Refused:
        reportRateLimited("list-refused", { { "zone", zone.value() } }, now);
        break;
    case ListOutcome::Unchanged:
    case ListOutcome::BaseMismatch:
        break;
    }
}

} // namespace skylark
