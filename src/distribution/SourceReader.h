// Keeps track of what a reader asks the configuration source: one watch at a time and the keys to read.
//
// A changed key is wanted from a due time on, so that a reader of higher rank waits a moment for a peer to
// deliver the value and reads it only if it did not come. Failed reads are wanted again after a backoff.
// Bounds: 8 reads at once and one entry for each wanted key, at most 4,352.
#pragma once

#include "base/Backoff.h"
#include "distribution/Action.h"

#include <absl/container/btree_map.h>
#include <functional>
#include <optional>

namespace skylark {

constexpr const char* sourcePrefix = "skylarkbay/";
constexpr const char* manifestKey = "skylarkbay/manifest";

std::string instancesKey(const ZoneName& zone);
std::string sectionKey(const SectionName& name, const Digest& digest);
// The zone of an instance list's key; empty for other keys.
std::optional<ZoneName> zoneOfKey(const std::string& key);

class SourceReader {
public:
    static constexpr Duration watchWait { std::chrono::seconds(10) };
    // An answer that did not come by then is counted as a failure, in case the daemon lost it.
    static constexpr Duration responseTimeout { std::chrono::seconds(15) };
    static constexpr size_t maxReadsAtOnce = 8;
    static constexpr size_t maxScheduledReads = 4352;

    bool isWatching() const { return m_watch.has_value(); }
    Watch beginWatch(Revision after, TimePoint now);
    // False where the number is not that of the current watch.
    bool completeWatch(uint64_t number);

    // Wants the value of a key as of a revision or later; an earlier due time replaces a later one.
    void scheduleRead(const std::string& key, Revision revision, TimePoint due);
    // Drops the wanted keys for which this says that they are no longer needed, and gives the reads that are
    // due, as long as tryRead() lets them.
    std::vector<ReadKey> dueReads(TimePoint now, const std::function<bool(const std::string&, Revision)>& isNeeded,
        const std::function<bool()>& tryRead);
    // The key of a finished read; empty where the number is unknown. It is no longer wanted, unless the answer
    // is older than the revision that a watch named: a lagging replica gave it, and it is read again later.
    std::optional<std::string> completeRead(uint64_t number, Revision responseRevision, TimePoint now, Random& random);
    // As completeRead(), but the key is wanted again later.
    std::optional<std::string> failRead(uint64_t number, TimePoint now, Random& random);
    // The numbers of actions that got no answer in time; the first is the watch if isWatch.
    struct TimedOut {
        std::optional<uint64_t> watch;
        std::vector<uint64_t> reads;
    };
    TimedOut timedOut(TimePoint now) const;
    size_t scheduledReadCount() const { return m_scheduledReads.size(); }
    // The source answers again: the keys that wait for the end of a backoff are due.
    void endBackoff(TimePoint now);
    // Forgets all requests, as after a pause of this process; late answers are then ignored.
    void reset();

private:
    std::optional<std::string> takeRead(uint64_t number);

    struct ScheduledRead {
        Revision revision;
        TimePoint due;
        bool isReading { false };
        int failures { 0 };
    };
    struct Request {
        uint64_t number { 0 };
        std::string key;
        TimePoint sent;
    };
    static void scheduleRetry(ScheduledRead& scheduled, TimePoint now, Random& random);

    uint64_t m_lastNumber { 0 };
    std::optional<Request> m_watch;
    std::vector<Request> m_reads;
    absl::btree_map<std::string, ScheduledRead> m_scheduledReads;
};

} // namespace skylark
