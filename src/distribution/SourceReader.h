// Tracks the requests of a reader to the configuration source: one watch at a time and the keys to read.
//
// The read of a changed key has a due time, so that a reader of higher rank waits for a peer to deliver the value and
// reads it only if it did not arrive. Failed reads are retried after a backoff. At most 8 reads are in flight, and at
// most 4,352 keys are scheduled; further ones are ignored.
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
// Returns the zone of an instance list's key; empty for other keys.
std::optional<ZoneName> zoneOfKey(const std::string& key);

class SourceReader {
public:
    static constexpr Duration watchWait { std::chrono::seconds(10) };
    // A request without a response for this time counts as failed, in case the daemon lost the response.
    static constexpr Duration responseTimeout { std::chrono::seconds(15) };
    static constexpr size_t maxConcurrentReads = 8;
    static constexpr size_t maxScheduledReads = 4352;

    bool isWatching() const { return m_watch.has_value(); }
    Watch beginWatch(Revision after, TimePoint now);
    // Returns false if the number is not that of the current watch.
    bool completeWatch(uint64_t number);

    // Schedules a read of a key's value at this revision or later. An earlier due time replaces a later one, unless the
    // key waits for the end of a backoff.
    void scheduleRead(const std::string& key, Revision revision, TimePoint due);
    // Drops the scheduled keys for which isNeeded() is false and returns the reads that are due, as long as tryRead()
    // allows them.
    std::vector<ReadKey> dueReads(TimePoint now, const std::function<bool(const std::string&, Revision)>& isNeeded,
        const std::function<bool()>& tryRead);
    // Returns the key of a finished read; empty if the number is unknown. The key is no longer scheduled, unless the
    // response is older than the revision that a watch reported: it came from a lagging replica, and the read is
    // retried.
    std::optional<std::string> completeRead(uint64_t number, Revision responseRevision, TimePoint now, Random& random);
    // As completeRead(), but the read is always retried later.
    std::optional<std::string> failRead(uint64_t number, TimePoint now, Random& random);
    // The numbers of the requests that got no response in time.
    struct TimedOutRequests {
        std::optional<uint64_t> watch;
        std::vector<uint64_t> reads;
    };
    TimedOutRequests timedOutRequests(TimePoint now) const;
    size_t scheduledReadCount() const { return m_scheduledReads.size(); }
    // Makes the reads that wait for the end of a backoff due now, since the source responds again.
    void endBackoff(TimePoint now);
    // Drops all requests, as after a pause of this process; late responses are then ignored.
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
        TimePoint sentTime;
    };
    static void scheduleRetry(ScheduledRead& scheduled, TimePoint now, Random& random);

    uint64_t m_lastNumber { 0 };
    std::optional<Request> m_watch;
    std::vector<Request> m_reads;
    absl::btree_map<std::string, ScheduledRead> m_scheduledReads;
};

} // namespace skylark
