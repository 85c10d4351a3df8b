// An in-memory key-value source with revisions, watches and injected failures.
#pragma once

#include "base/SourceEra.h"
#include "source/KeyValueSource.h"

#include <condition_variable>
#include <map>
#include <mutex>
#include <optional>

namespace skylark {

// The state that the sources of all nodes share.
class FakeStore {
public:
    void put(const std::string& key, const std::string& value);
    void remove(const std::string& key);
    // From now on listings that may be stale show the present state.
    void freezeStaleListing();
    // restore() brings this state back in a new era. What was written in between is lost, and revisions are reissued.
    void takeCopy();
    void restore();
    // All calls fail while the store is down.
    void setDown(bool isDown);

private:
    friend class FakeSource;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    // The latest change of each key, including deletions.
    std::map<std::string, SourceItem> m_items;
    Revision revision() const { return revisionInEra(m_era, m_revision); }
    uint64_t m_era { 0 };
    uint64_t m_revision { 1 };
    std::map<std::string, SourceItem> m_copiedItems;
    uint64_t m_copiedRevision { 1 };
    bool m_isDown { false };
    std::optional<SourceItems> m_staleListing;
};

class FakeSource final : public KeyValueSource {
public:
    explicit FakeSource(FakeStore& store)
        : m_store(store)
    {
    }
    SourceItems list(const std::string& prefix, ListFreshness freshness) override;
    SourceItems watch(const std::string& prefix, Revision after, Duration wait) override;
    SourceItem read(const std::string& key) override;
    void interrupt() override;
    // From now on watches return only by failing.
    void blockWatches();
    // Each listing takes this long.
    void setListingDelay(Duration delay) { m_listingDelay = delay; }
    // Makes only the calls of this node fail.
    void setSourceFailing(bool isFailing);

private:
    void throwIfUnavailable() const;

    FakeStore& m_store;
    bool m_isInterrupted { false };
    bool m_isFailing { false };
    bool m_blocksWatches { false };
    Duration m_listingDelay {};
};

} // namespace skylark
