#include "proxy/tests/FakeSource.h"

#include <thread>

namespace skylark {

void FakeStore::put(const std::string& key, const std::string& value)
{
    const std::lock_guard lock(m_mutex);
    m_items[key] = { .key = key, .value = value, .revision = revisionInEra(m_era, ++m_revision) };
    m_changed.notify_all();
}

void FakeStore::remove(const std::string& key)
{
    const std::lock_guard lock(m_mutex);
    m_items[key] = { .key = key, .revision = revisionInEra(m_era, ++m_revision), .isDeleted = true };
    m_changed.notify_all();
}

void FakeStore::freezeStaleListing()
{
    const std::lock_guard lock(m_mutex);
    SourceItems listing { .revision = revision() };
    for (const auto& [key, item] : m_items) {
        if (!item.isDeleted)
            listing.items.push_back(item);
    }
    m_staleListing = std::move(listing);
}

void FakeStore::takeCopy()
{
    const std::lock_guard lock(m_mutex);
    m_copiedItems = m_items;
    m_copiedRevision = m_revision;
}

void FakeStore::restore()
{
    const std::lock_guard lock(m_mutex);
    ++m_era;
    m_items = m_copiedItems;
    m_revision = m_copiedRevision;
    for (auto& [key, item] : m_items)
        item.revision = revisionInEra(m_era, numberInEra(item.revision));
    m_changed.notify_all();
}

void FakeStore::setDown(bool isDown)
{
    const std::lock_guard lock(m_mutex);
    m_isDown = isDown;
    m_changed.notify_all();
}

void FakeSource::throwIfUnavailable() const
{
    if (m_store.m_isDown || m_isFailing || m_isInterrupted)
        throw Error({ .step = "fake-source", .message = "the fake source rejects the call" });
}

SourceItems FakeSource::list(const std::string& prefix, ListFreshness freshness)
{
    std::this_thread::sleep_for(m_listingDelay);
    const std::lock_guard lock(m_store.m_mutex);
    throwIfUnavailable();
    if (freshness == ListFreshness::MayBeStale && m_store.m_staleListing)
        return *m_store.m_staleListing;
    SourceItems result { .revision = m_store.revision() };
    for (const auto& [key, item] : m_store.m_items) {
        if (key.rfind(prefix, 0) == 0 && !item.isDeleted)
            result.items.push_back(item);
    }
    return result;
}

SourceItems FakeSource::watch(const std::string& prefix, Revision after, Duration wait)
{
    std::unique_lock lock(m_store.m_mutex);
    SourceItems result;
    const auto isDone = [&] {
        throwIfUnavailable();
        if (m_blocksWatches)
            return false;
        if (eraOf(after) != m_store.m_era)
            throw HistoryLost({ .step = "fake-source", .message = "the fake source is in another era" });
        result = { .revision = m_store.revision() };
        for (const auto& [key, item] : m_store.m_items) {
            if (key.rfind(prefix, 0) == 0 && item.revision > after)
                result.items.push_back(item);
        }
        return !result.items.empty();
    };
    m_store.m_changed.wait_for(lock, m_blocksWatches ? std::chrono::hours(1) : wait, isDone);
    return result;
}

SourceItem FakeSource::read(const std::string& key)
{
    const std::lock_guard lock(m_store.m_mutex);
    throwIfUnavailable();
    const auto found = m_store.m_items.find(key);
    if (found != m_store.m_items.end())
        return found->second;
    return { .key = key, .revision = m_store.revision(), .isDeleted = true };
}

void FakeSource::interrupt()
{
    const std::lock_guard lock(m_store.m_mutex);
    m_isInterrupted = true;
    m_store.m_changed.notify_all();
}

void FakeSource::blockWatches()
{
    const std::lock_guard lock(m_store.m_mutex);
    m_blocksWatches = true;
}

void FakeSource::setSourceFailing(bool isFailing)
{
    const std::lock_guard lock(m_store.m_mutex);
    m_isFailing = isFailing;
    m_store.m_changed.notify_all();
}

} // namespace skylark
