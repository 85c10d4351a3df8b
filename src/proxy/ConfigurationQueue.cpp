#include "proxy/ConfigurationQueue.h"

#include <algorithm>

namespace skylark {

namespace {

    constexpr Duration checkInterval = std::chrono::milliseconds(25);
    constexpr int maxWaitShare = 6;

} // namespace

ConfigurationQueue::ConfigurationQueue(EventLoop& loop, ConfigurationQueueOptions options, Callback onExpired)
    : m_loop(loop)
    , m_options(options)
    , m_onExpired(std::move(onExpired))
    , m_timer(loop, [this] { expire(); })
{
}

void ConfigurationQueue::add(HttpRequest request, const std::shared_ptr<HttpExchange>& caller, Duration callerTimeout)
{
    const TimePoint now = m_loop.now();
    caller->setDisconnectCallback([this, disconnected = caller.get()] {
        m_requests.remove_if([disconnected](const Waiting& entry) { return entry.caller.get() == disconnected; });
    });
    m_requests.push_back({ .request = std::move(request),
        .caller = caller,
        .receivedAt = now,
        .waitUntil = now + std::min(m_options.maxWait, callerTimeout / maxWaitShare) });
    if (!m_timer.isActive())
        m_timer.startRepeating(checkInterval);
}

void ConfigurationQueue::release(const Callback& onReady)
{
    std::list<Waiting> ready;
    ready.swap(m_requests);
    m_timer.stop();
    for (Waiting& entry : ready)
        onReady(std::move(entry.request), entry.caller, entry.receivedAt);
}

void ConfigurationQueue::expire()
{
    std::list<Waiting> expired;
    for (auto entry = m_requests.begin(); entry != m_requests.end();) {
        const auto current = entry++;
        if (m_loop.now() >= current->waitUntil)
            expired.splice(expired.end(), m_requests, current);
    }
    if (m_requests.empty())
        m_timer.stop();
    for (Waiting& entry : expired)
        m_onExpired(std::move(entry.request), entry.caller, entry.receivedAt);
}

} // namespace skylark
