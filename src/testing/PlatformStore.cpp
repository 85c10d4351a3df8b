#include "testing/PlatformStore.h"

#include "membership/InstanceListJson.h"

#include <set>

namespace skylark {

namespace {

    // A delayed notification is released after this time even if no second change follows.
    constexpr Duration maxNotificationDelay = std::chrono::seconds(1);

} // namespace

Revision PlatformStore::put(const std::string& key, std::string value, TimePoint now)
{
    if (value.size() > maxValueBytes)
        throw Error({ .step = "publish", .message = key + " is larger than 1 MB" });
    if (!m_state.keys.contains(key) && m_state.keys.size() >= maxKeys)
        throw Error({ .step = "publish", .message = "the stand-in holds its most keys" });
    m_state.revision = Revision(m_state.revision.value() + 1);
    const Revision revision = m_state.revision;
    m_state.keys[key] = { std::make_shared<const std::string>(std::move(value)), revision };
    notify({ .key = key, .keyRevision = revision }, now);
    return revision;
}

Revision PlatformStore::remove(const std::string& key, TimePoint now)
{
    if (m_state.keys.erase(key) > 0) {
        m_state.revision = Revision(m_state.revision.value() + 1);
        notify({ .key = key, .keyRevision = m_state.revision, .isDeleted = true }, now);
    }
    return m_state.revision;
}

void PlatformStore::notify(ChangeNotification notification, TimePoint now)
{
    if (m_areUpdatesCrossed && !m_delayedNotification) {
        m_delayedNotification = std::make_shared<const ChangeNotification>(std::move(notification));
        m_delayedSince = now;
        return;
    }
    const Revision storeRevision = notification.keyRevision;
    addNotification(std::move(notification), storeRevision);
    releaseDelayedNotification();
}

void PlatformStore::addNotification(ChangeNotification notification, Revision storeRevision)
{
    const auto [position, isNew] = m_state.notificationOfKey.try_emplace(notification.key, storeRevision);
    if (!isNew) {
        m_state.notifications.erase(position->second);
        position->second = storeRevision;
    }
    m_state.notifications[storeRevision] = std::move(notification);
}

void PlatformStore::releaseDelayedNotification()
{
    if (!m_delayedNotification)
        return;
    // Watchers may have passed the revision of the change, so the notification gets a new store revision.
    m_state.revision = Revision(m_state.revision.value() + 1);
    addNotification(*m_delayedNotification, m_state.revision);
    m_delayedNotification = nullptr;
}

const PlatformStore::Entry* PlatformStore::find(const std::string& key) const
{
    const auto entry = visible().keys.find(key);
    return entry == visible().keys.end() ? nullptr : &entry->second;
}

std::vector<ChangedKey> PlatformStore::changesAfter(const std::string& prefix, Revision after) const
{
    std::vector<ChangedKey> changes;
    const State& state = visible();
    if (after == Revision(0)) {
        for (auto entry = state.keys.lower_bound(prefix); entry != state.keys.end() && entry->first.starts_with(prefix);
             ++entry)
            changes.push_back({ .key = entry->first, .revision = entry->second.revision });
        return changes;
    }
    for (auto notification = state.notifications.upper_bound(after); notification != state.notifications.end();
         ++notification) {
        const ChangeNotification& item = notification->second;
        if (item.key.starts_with(prefix))
            changes.push_back({ .key = item.key, .revision = item.keyRevision, .isDeleted = item.isDeleted });
    }
    return changes;
}

void PlatformStore::setInstance(const InstanceRecord& record, TimePoint now)
{
    if (!m_registeredInstances.contains(record.id) && m_registeredInstances.size() >= maxInstances)
        throw Error({ .step = "register-instance", .message = "the stand-in holds its most instances" });
    m_registeredInstances[record.id] = record;
    queueChange({ .record = record }, now);
}

bool PlatformStore::removeInstance(const InstanceId& id, TimePoint now)
{
    const auto instance = m_registeredInstances.find(id);
    if (instance == m_registeredInstances.end())
        return false;
    queueChange({ .record = instance->second, .isRemoval = true }, now);
    m_registeredInstances.erase(instance);
    return true;
}

void PlatformStore::queueChange(InstanceChange change, TimePoint now)
{
    // Changes are published in order. If the lag was shortened, this change waits for the earlier ones.
    change.due = now + m_listLag;
    m_pendingChanges.push_back(std::move(change));
}

void PlatformStore::setStale(bool isStale)
{
    if (isStale && !m_staleState)
        m_staleState = std::make_shared<const State>(m_state);
    else if (!isStale)
        m_staleState = nullptr;
}

void PlatformStore::setCrossUpdates(bool areCrossed, TimePoint now)
{
    advance(now);
    m_areUpdatesCrossed = areCrossed;
    if (!areCrossed)
        releaseDelayedNotification();
}

void PlatformStore::advance(TimePoint now)
{
    if (m_delayedNotification && now - m_delayedSince >= maxNotificationDelay)
        releaseDelayedNotification();
    std::set<ZoneName> changedZones;
    while (!m_pendingChanges.empty() && m_pendingChanges.front().due <= now) {
        const InstanceChange change = std::move(m_pendingChanges.front());
        m_pendingChanges.pop_front();
        auto& instances = m_listedInstances[change.record.zone];
        if (change.isRemoval)
            instances.erase(change.record.id);
        else
            instances[change.record.id] = change.record;
        changedZones.insert(change.record.zone);
    }
    for (const ZoneName& zone : changedZones) {
        ZoneInstanceList list { .zone = zone };
        for (const auto& [id, record] : m_listedInstances[zone])
            list.instances.push_back(record);
        put("skylarkbay/instances/" + zone.value(), instanceListToJson(list), now);
    }
}

} // namespace skylark
