// Follows the source on a thread of its own: lists the prefix once, then watches for changes.
//
// - The first listing may be stale, since otherwise a fleet whose nodes start together would read everything from the
//   source simultaneously. The watch from its revision returns the rest; only that watch confirms the node's state.
// - The consumer is called on the watcher's thread.
// - A watch that ends with a change is followed by the next one no sooner than minInterval after it began, since the
//   source counts each call and the heartbeats of servers would end each watch immediately.
// - After a failure the thread waits with backoff and continues from the revision that it holds.
//
// It lists again instead of watching in these cases:
// - The source no longer has the history.
// - An outage lasted at least relistAfter. A watch after an outage returns every version of a configuration in
//   between, which takes seconds on a slow link, while more versions arrive.
// - In the response to a watch, the changes that a later change of the same key replaces have more bytes than the last
//   listing.
// - No change came for maxSilence, although heartbeats should.
#pragma once

#include "base/Backoff.h"
#include "base/Clock.h"
#include "source/KeyValueSource.h"

#include <atomic>
#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <thread>

namespace skylark {

enum class SourceCall : uint8_t {
    List,
    ListStale,
    Watch,
};

const char* sourceCallName(SourceCall call);

struct SourceCallResult {
    SourceCall call { SourceCall::Watch };
    bool isAnswered { false };
    // For an answered call, how old the content was when it had arrived.
    Duration age {};
};

class SourceConsumer {
public:
    virtual ~SourceConsumer() = default;
    // Receives everything under the prefix.
    virtual void onListing(const SourceItems& items) = 0;
    virtual void onChanges(const SourceItems& changes) = 0;
    virtual void onLost(const std::string& reason) = 0;
    virtual void onRecovered() = 0;
    virtual void onCall(const SourceCallResult& result) = 0;
    // Everything that was current at this time has been passed on.
    virtual void onDelivered(TimePoint) { }
};

struct SourceWatcherOptions {
    std::string prefix;
    // Maximum time that one watch waits for a change.
    Duration watchWait { std::chrono::milliseconds(500) };
    Duration minInterval { std::chrono::milliseconds(400) };
    Duration maxSilence { std::chrono::seconds(6) };
    Duration relistAfter { std::chrono::seconds(2) };
    BackoffOptions retry {
        .initial = std::chrono::milliseconds(200), .maximum = std::chrono::milliseconds(800), .minimumShare = 0.5
    };
    // A process that has just started waits at least this long between two watches, so that its owner can decide
    // whether it reads at all, and waits startWait for the first change of an empty source.
    Duration startPause { std::chrono::milliseconds(300) };
    Duration startPeriod { std::chrono::seconds(5) };
    Duration startWait { std::chrono::seconds(3) };
    uint64_t seed { 1 };
};

class SourceWatcher {
public:
    // Starts the thread. The source, the consumer and the clock must outlive the watcher.
    SourceWatcher(KeyValueSource& source, SourceConsumer& consumer, SourceWatcherOptions options, const Clock& clock);
    // Interrupts a blocked call and joins the thread.
    ~SourceWatcher();

    // Makes no calls from now on; a watch in progress is not interrupted. Thread-safe.
    void suspend();
    // Continues from this revision, up to which the node knows everything. Thread-safe.
    void resume(Revision knownRevision);
    // Sets the maximum delay after consecutive failures, from the next failure on. Thread-safe.
    void setMaxRetryDelay(Duration maxDelay);
    // Ends the delay after a failure: the source is probably back. Thread-safe.
    void retryNow();

private:
    void run();
    void listAll();
    void watchOnce();
    Duration watchWait() const;
    Duration pauseAfter(TimePoint callStartedAt, bool wasFirst) const;
    void recordFailure(const std::string& reason);
    void recordSuccess();
    // Returns false when the watcher stops.
    // After a failure the wait also ends with retryNow().
    bool waitBeforeNextCall(Duration wait, bool hasFailed);
    Duration nextRetryDelay();

    KeyValueSource& m_source;
    SourceConsumer& m_consumer;
    const SourceWatcherOptions m_options;
    const Clock& m_clock;
    const TimePoint m_startedAt;
    Random m_random;
    Backoff m_backoff;
    Duration m_maxRetryDelay;
    bool m_needsListing { true };
    bool m_hasListed { false };
    bool m_hasWatched { false };
    bool m_isSourceLost { false };
    TimePoint m_sourceLostAt;
    // Size of the last listing.
    ByteCount m_listedBytes;
    Revision m_revision;
    // Revision of the last items that the consumer received. Later ones up to m_revision brought no change.
    Revision m_deliveredRevision;
    TimePoint m_lastChange;
    std::mutex m_mutex;
    std::condition_variable m_wakeup;
    bool m_isStopping { false };
    bool m_isSuspended { false };
    bool m_mustRetry { false };
    Revision m_knownRevision;
    std::thread m_thread;
};

} // namespace skylark
