#include "source/SourceWatcher.h"

#include "base/Log.h"

#include <absl/container/flat_hash_set.h>
#include <algorithm>
#include <string_view>
#include <utility>

namespace skylark {

namespace {

    struct ItemBytes {
        // Bytes of the last item of each key.
        uint64_t latest { 0 };
        // Bytes of items that a later item of the same key replaces.
        uint64_t replaced { 0 };
    };

    ItemBytes bytesOf(const std::vector<SourceItem>& items)
    {
        ItemBytes bytes;
        absl::flat_hash_set<std::string_view> keys;
        for (auto item = items.rbegin(); item != items.rend(); ++item)
            (keys.insert(item->key).second ? bytes.latest : bytes.replaced) += item->key.size() + item->value.size();
        return bytes;
    }

} // namespace

const char* sourceCallName(SourceCall call)
{
    switch (call) {
    case SourceCall::List:
        return "list";
    case SourceCall::ListStale:
        return "list-stale";
    case SourceCall::Watch:
        return "watch";
    }
    return "unknown";
}

SourceWatcher::SourceWatcher(
    KeyValueSource& source, SourceConsumer& consumer, SourceWatcherOptions options, const Clock& clock)
    : m_source(source)
    , m_consumer(consumer)
    , m_options(std::move(options))
    , m_clock(clock)
    , m_startedAt(clock.now())
    , m_random(m_options.seed)
    , m_backoff(m_options.retry)
    , m_maxRetryDelay(m_options.retry.maximum)
    , m_lastChange(clock.now())
    , m_thread([this] { run(); })
{
}

SourceWatcher::~SourceWatcher()
{
    {
        const std::lock_guard lock(m_mutex);
        m_isStopping = true;
    }
    m_wakeup.notify_all();
    m_source.interrupt();
    m_thread.join();
}

void SourceWatcher::suspend()
{
    const std::lock_guard lock(m_mutex);
    m_isSuspended = true;
}

void SourceWatcher::resume(Revision knownRevision)
{
    {
        const std::lock_guard lock(m_mutex);
        m_isSuspended = false;
        m_knownRevision = knownRevision;
    }
    m_wakeup.notify_all();
}

void SourceWatcher::setMaxRetryDelay(Duration maxDelay)
{
    const std::lock_guard lock(m_mutex);
    m_maxRetryDelay = maxDelay;
}

void SourceWatcher::retryNow()
{
    {
        const std::lock_guard lock(m_mutex);
        m_mustRetry = true;
    }
    m_wakeup.notify_all();
}

Duration SourceWatcher::nextRetryDelay()
{
    const std::lock_guard lock(m_mutex);
    m_mustRetry = false;
    m_backoff.setMaximum(m_maxRetryDelay);
    return m_backoff.next(m_random);
}

Duration SourceWatcher::watchWait() const
{
    // While the source is lost, the call only checks whether it is back, so it does not wait for a change.
    if (m_isSourceLost)
        return Duration(0);
    const bool isEmpty = m_listedBytes.value() == 0 && !m_hasWatched;
    return isEmpty ? std::max(m_options.startWait, m_options.watchWait) : m_options.watchWait;
}

Duration SourceWatcher::pauseAfter(TimePoint callStartedAt, bool wasFirst) const
{
    // The first listing may be stale. What it lacks is fetched immediately: until then calls go to servers that have
    // left.
    if (wasFirst)
        return Duration(0);
    const TimePoint now = m_clock.now();
    const Duration pause = std::max(Duration(0), m_options.minInterval - (now - callStartedAt));
    const bool isStarting = now - m_startedAt < m_options.startPeriod;
    return isStarting ? std::max(pause, std::min(m_options.startPause, m_options.minInterval)) : pause;
}

bool SourceWatcher::waitBeforeNextCall(Duration wait, bool hasFailed)
{
    std::unique_lock lock(m_mutex);
    m_wakeup.wait_for(lock, wait, [this, hasFailed] { return m_isStopping || (hasFailed && m_mustRetry); });
    m_wakeup.wait(lock, [this] { return m_isStopping || !m_isSuspended; });
    m_revision = std::max(m_revision, m_knownRevision);
    m_deliveredRevision = std::max(m_deliveredRevision, m_knownRevision);
    return !m_isStopping;
}

void SourceWatcher::run()
{
    Duration wait {};
    bool hasFailed = false;
    while (waitBeforeNextCall(wait, hasFailed)) {
        hasFailed = false;
        const TimePoint startedAt = m_clock.now();
        try {
            const bool isFirst = !m_hasListed;
            if (m_needsListing)
                listAll();
            else
                watchOnce();
            wait = pauseAfter(startedAt, isFirst);
        } catch (const HistoryLost&) {
            m_needsListing = true;
            m_consumer.onCall({ .call = SourceCall::Watch, .isAnswered = true });
            wait = m_random.upTo(m_options.minInterval / 2);
        } catch (const Error& error) {
            const SourceCall call = m_needsListing ? SourceCall::List : SourceCall::Watch;
            logEvent(LogLevel::Warning, "source-call-failed",
                { { "call", sourceCallName(call) }, { "ms", millisecondsText(m_clock.now() - startedAt) },
                    { "reason", error.what() } });
            m_consumer.onCall({ .call = call });
            recordFailure(error.what());
            hasFailed = true;
            wait = nextRetryDelay();
        }
    }
}

void SourceWatcher::listAll()
{
    const bool mayBeStale = !m_hasListed;
    const SourceItems listing
        = m_source.list(m_options.prefix, mayBeStale ? ListFreshness::MayBeStale : ListFreshness::Latest);
    const TimePoint currentAt = m_clock.now() - listing.transferTime;
    m_consumer.onCall({ .call = mayBeStale ? SourceCall::ListStale : SourceCall::List,
        .isAnswered = true,
        .age = listing.transferTime });
    recordSuccess();
    m_listedBytes = ByteCount(bytesOf(listing.items).latest);
    m_revision = listing.revision;
    m_deliveredRevision = listing.revision;
    m_hasListed = true;
    m_needsListing = false;
    m_lastChange = m_clock.now();
    m_consumer.onListing(listing);
    if (!mayBeStale)
        m_consumer.onDelivered(currentAt);
}

void SourceWatcher::watchOnce()
{
    SourceItems changes = m_source.watch(m_options.prefix, m_revision, watchWait());
    m_hasWatched = true;
    const TimePoint now = m_clock.now();
    m_consumer.onCall({ .call = SourceCall::Watch, .isAnswered = true, .age = changes.transferTime });
    recordSuccess();
    m_revision = std::max(m_revision, changes.revision);
    if (!changes.items.empty()) {
        m_lastChange = now;
        m_needsListing = bytesOf(changes.items).replaced > m_listedBytes.value();
        changes.since = std::exchange(m_deliveredRevision, m_revision);
        m_consumer.onChanges(changes);
    } else if (now - m_lastChange > m_options.maxSilence) {
        m_needsListing = true;
    }
    m_consumer.onDelivered(now - changes.transferTime);
}

void SourceWatcher::recordFailure(const std::string& reason)
{
    if (!std::exchange(m_isSourceLost, true)) {
        m_sourceLostAt = m_clock.now();
        m_consumer.onLost(reason);
    }
    if (m_clock.now() - m_sourceLostAt >= m_options.relistAfter)
        m_needsListing = true;
}

void SourceWatcher::recordSuccess()
{
    m_backoff.reset();
    if (std::exchange(m_isSourceLost, false))
        m_consumer.onRecovered();
}

} // namespace skylark
