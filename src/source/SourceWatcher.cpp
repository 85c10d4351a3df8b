#include "source/SourceWatcher.h"

#include "base/Log.h"

#include <algorithm>
#include <utility>

namespace skylark {

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
    , m_random(m_options.seed)
    , m_backoff(m_options.retry)
    , m_longestRetry(m_options.retry.maximum)
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

void SourceWatcher::resume(Revision known)
{
    {
        const std::lock_guard lock(m_mutex);
        m_isSuspended = false;
        m_known = known;
    }
    m_wakeup.notify_all();
}

void SourceWatcher::setLongestRetry(Duration longest)
{
    const std::lock_guard lock(m_mutex);
    m_longestRetry = longest;
}

Duration SourceWatcher::nextRetry()
{
    const std::lock_guard lock(m_mutex);
    m_backoff.setMaximum(m_longestRetry);
    return m_backoff.next(m_random);
}

bool SourceWatcher::pause(Duration wait)
{
    std::unique_lock lock(m_mutex);
    m_wakeup.wait_for(lock, wait, [this] { return m_isStopping; });
    m_wakeup.wait(lock, [this] { return m_isStopping || !m_isSuspended; });
    m_revision = std::max(m_revision, m_known);
    return !m_isStopping;
}

void SourceWatcher::run()
{
    Duration wait {};
    while (pause(wait)) {
        const TimePoint began = m_clock.now();
        try {
            const bool isFirst = !m_hasListed;
            if (m_needsListing)
                listAll();
            else
                watchOnce();
            // What the first listing lacks is fetched at once: until then calls go to servers that are gone.
            wait = isFirst ? Duration(0) : std::max(Duration(0), m_options.leastInterval - (m_clock.now() - began));
        } catch (const HistoryLost&) {
            m_needsListing = true;
            m_consumer.onCall(SourceCall::Watch, true);
            wait = m_random.upTo(m_options.leastInterval / 2);
        } catch (const Error& error) {
            const SourceCall call = m_needsListing ? SourceCall::List : SourceCall::Watch;
            logEvent(LogLevel::Warning, "source-call-failed",
                { { "call", sourceCallName(call) }, { "ms", millisecondsText(m_clock.now() - began) },
                    { "reason", error.what() } });
            m_consumer.onCall(call, false);
            noteFailure(error.what());
            wait = nextRetry();
        }
    }
}

void SourceWatcher::listAll()
{
    const bool mayBeStale = !m_hasListed;
    const SourceItems all
        = m_source.list(m_options.prefix, mayBeStale ? ListFreshness::MayBeStale : ListFreshness::Latest);
    m_consumer.onCall(mayBeStale ? SourceCall::ListStale : SourceCall::List, true);
    noteSuccess();
    m_revision = all.revision;
    m_hasListed = true;
    m_needsListing = false;
    m_lastChange = m_clock.now();
    m_consumer.onListing(all);
}

void SourceWatcher::watchOnce()
{
    // While the source is lost a call only asks whether it is back.
    const SourceItems changes
        = m_source.watch(m_options.prefix, m_revision, m_isLost ? Duration(0) : m_options.watchWait);
    m_consumer.onCall(SourceCall::Watch, true);
    noteSuccess();
    m_revision = std::max(m_revision, changes.revision);
    const TimePoint now = m_clock.now();
    if (!changes.items.empty()) {
        m_lastChange = now;
        m_consumer.onChanges(changes);
    } else if (now - m_lastChange > m_options.silenceLimit) {
        m_needsListing = true;
    }
}

void SourceWatcher::noteFailure(const std::string& reason)
{
    if (!std::exchange(m_isLost, true))
        m_consumer.onLost(reason);
}

void SourceWatcher::noteSuccess()
{
    m_backoff.reset();
    if (std::exchange(m_isLost, false))
        m_consumer.onBack();
}

} // namespace skylark
