// The loop of the network's thread: epoll events, connections, timers and shutdown.
#include "base/Error.h"
#include "transport/PeerNetworkImpl.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <sys/epoll.h>
#include <sys/timerfd.h>
#include <unistd.h>

namespace skylark {

namespace {
    using std::chrono::milliseconds;

    constexpr size_t readBufferBytes = size_t { 64 } * 1024;
    constexpr int maxAcceptsPerIteration = 64;
    // Longest waits for events: with connections, while the network closes, and without connections.
    constexpr auto checkInterval = milliseconds(50);
    constexpr auto closingInterval = milliseconds(5);
    constexpr auto idleInterval = milliseconds(500);
    // A longer gap between two checks means that the process was paused. Data that arrived meanwhile is not read yet.
    constexpr auto pauseThreshold = milliseconds(250);
    constexpr auto acceptedHelloTimeout = std::chrono::seconds(1);
    // Time for peers to close their side after everything is sent.
    constexpr auto finishTimeout = milliseconds(200);

    void clearEventCount(int fd)
    {
        uint64_t count = 0;
        [[maybe_unused]] const ssize_t size = ::read(fd, &count, sizeof(count));
    }
} // namespace

void PeerNetwork::Impl::run()
{
    constexpr int maxEventsPerIteration = 128;
    std::array<epoll_event, maxEventsPerIteration> events {};
    m_readBuffer.resize(readBufferBytes);
    while (m_phase != Phase::Stopped) {
        detectPause(m_context->clock.now());
        const int count = ::epoll_wait(m_epoll.value(), events.data(), maxEventsPerIteration, waitMilliseconds());
        std::vector<uint64_t> serialsToRead;
        serialsToRead.swap(m_connectionsWithUnreadData);
        for (int i = 0; i < count; ++i)
            handleEvent(events[i].data.u64, events[i].events);
        for (const uint64_t serial : serialsToRead)
            handleEvent(serial, EPOLLIN | EPOLLRDHUP);
        runTasks();
        const TimePoint now = m_context->clock.now();
        if (m_context->delayedConnections > 0)
            releaseDelayed(now);
        if (now - m_lastCheck >= checkInterval)
            checkTimers(now);
        if (m_phase != Phase::Running)
            advancePhase(now);
    }
}

int PeerNetwork::Impl::waitMilliseconds() const
{
    if (!m_connectionsWithUnreadData.empty())
        return 0;
    if (m_phase != Phase::Running)
        return closingInterval.count();
    return m_connections.empty() ? idleInterval.count() : checkInterval.count();
}

void PeerNetwork::Impl::runTasks()
{
    std::vector<Task> tasks;
    {
        const std::lock_guard lock(m_taskMutex);
        tasks.swap(m_tasks);
    }
    for (const Task& task : tasks)
        task();
}

bool PeerNetwork::Impl::ensureConnectionSlot()
{
    if (m_connections.size() < m_context->options.maxConnections)
        return true;
    ConnectionPtr longestIdle;
    for (const auto& [serial, connection] : m_connections) {
        const bool isIdle = connection->state() == Connection::State::Ready && connection->streamCount() == 0
            && connection->isFlushed();
        if (isIdle && (!longestIdle || connection->lastUsed() < longestIdle->lastUsed()))
            longestIdle = connection;
    }
    ++m_context->counters.refusedConnections;
    if (longestIdle) {
        closeConnection(
            longestIdle, { .step = "limit", .message = "closed as the longest idle one for a new connection" });
        return true;
    }
    m_connectionLimitLog.write({ { "limit", std::to_string(m_context->options.maxConnections) } });
    return false;
}

bool PeerNetwork::Impl::registerConnection(const ConnectionPtr& connection, FileDescriptor socket)
{
    epoll_event event {};
    event.events = EPOLLIN | EPOLLOUT | EPOLLRDHUP | EPOLLET;
    event.data.u64 = connection->serial();
    const int fd = socket.value();
    connection->attach(std::move(socket));
    if (epoll_ctl(m_epoll.value(), EPOLL_CTL_ADD, fd, &event) != 0)
        return false;
    m_connections.emplace(connection->serial(), connection);
    ++m_context->counters.openConnections;
    return true;
}

void PeerNetwork::Impl::startDial(const ConnectionPtr& connection)
{
    const FaultInjector* faults = m_context->options.faults;
    try {
        if (faults && faults->faultFor(connection->remote(), m_context->options.region, {}).isDisconnected)
            throw Error({ .step = "connect", .message = "cut by the fault injector" });
        if (!ensureConnectionSlot())
            throw Error({ .step = "connect", .message = "this node has no room for another connection" });
        if (!registerConnection(connection, startConnect(connection->remote())))
            throw Error({ .step = "connect", .message = "epoll refused the socket" });
    } catch (const Error& error) {
        closeConnection(connection, { .step = error.step(), .message = error.message() });
    }
}

void PeerNetwork::Impl::acceptConnections()
{
    for (int i = 0; i < maxAcceptsPerIteration && m_listener; ++i) {
        FileDescriptor socket = acceptFrom(m_listener);
        if (!socket) {
            // The listener stays readable when the process has no file descriptor left; closing an idle connection
            // frees one.
            if (errno == EMFILE || errno == ENFILE)
                ensureConnectionSlot();
            return;
        }
        if (!ensureConnectionSlot())
            continue;
        uint64_t serial = 0;
        {
            const std::lock_guard lock(m_mutex);
            serial = m_nextSerial++;
        }
        const auto connection
            = std::make_shared<Connection>(m_context, serial, Endpoint {}, ConnectionPurpose::Control, false);
        connection->setState(Connection::State::AwaitingHello);
        registerConnection(connection, std::move(socket));
    }
}

void PeerNetwork::Impl::handleEvent(uint64_t serial, uint32_t events)
{
    if (serial == listenerKey)
        return acceptConnections();
    if (serial == wakeupKey)
        return clearEventCount(m_context->wakeup.descriptor().value());
    if (serial == timerKey)
        return clearEventCount(m_timer.value());
    const auto entry = m_connections.find(serial);
    // The connection was closed earlier in this iteration.
    if (entry == m_connections.end())
        return;
    const ConnectionPtr connection = entry->second;
    if (connection->state() == Connection::State::Dialing)
        finishDial(connection);
    try {
        if (events & EPOLLOUT)
            connection->flush();
        if (events & (EPOLLIN | EPOLLHUP | EPOLLERR))
            readFrom(connection, (events & (EPOLLRDHUP | EPOLLHUP | EPOLLERR)) != 0);
    } catch (const Error& error) {
        closeOnProtocolError(connection, error);
    }
}

void PeerNetwork::Impl::finishDial(const ConnectionPtr& connection)
{
    const int error = pendingError(connection->loop().socket);
    if (error != 0)
        return closeConnection(connection, { .step = "connect", .message = std::strerror(error) });
    connection->setState(Connection::State::AwaitingHello);
    connection->sendHello(m_listenAddress);
}

void PeerNetwork::Impl::closeConnection(const ConnectionPtr& connection, const StreamFailure& reason)
{
    const bool isControlLost = connection->close(reason);
    const Endpoint remote = connection->remote();
    const bool isProbeWanted = reason.isSilentConnection && m_phase == Phase::Running;
    if (m_connections.erase(connection->serial()) > 0)
        --m_context->counters.openConnections;
    {
        const std::lock_guard lock(m_mutex);
        if (const auto entry = m_peers.find(remote); entry != m_peers.end()) {
            std::erase(entry->second.calls, connection);
            std::erase(entry->second.control, connection);
            if (entry->second.calls.empty() && entry->second.control.empty())
                m_peers.erase(entry);
        }
        if (isProbeWanted)
            dial(remote, connection->purpose(), true);
    }
    m_readyOrClosed.notify_all();
    if (isControlLost) {
        ++m_context->counters.failedSends;
        if (m_handlers.onSendFailed)
            m_handlers.onSendFailed(remote);
    }
    if (std::exchange(connection->loop().isProbe, false) && m_handlers.onPeerProbe)
        m_handlers.onPeerProbe(remote, false);
}

void PeerNetwork::Impl::checkTimers(TimePoint now)
{
    const Duration gap = now - std::exchange(m_lastCheck, now);
    std::vector<ConnectionPtr> connections;
    connections.reserve(m_connections.size());
    for (const auto& [serial, connection] : m_connections)
        connections.push_back(connection);
    for (const ConnectionPtr& connection : connections) {
        Connection::LoopState& loop = connection->loop();
        // An idle loop also checks late, but then there is no connection whose timers could be wrong.
        if (gap > pauseThreshold) {
            loop.startedAt += gap;
            if (loop.pingSentAt)
                loop.pingSentAt = now;
        }
        checkConnection(connection, now);
    }
}

void PeerNetwork::Impl::checkConnection(const ConnectionPtr& connection, TimePoint now)
{
    const PeerNetworkOptions& options = m_context->options;
    if (connection->state() != Connection::State::Ready) {
        const Duration limit = connection->isDialed() ? options.connectTimeout : Duration(acceptedHelloTimeout);
        if (now - connection->loop().startedAt < limit)
            return;
        const bool isConnected = connection->state() == Connection::State::AwaitingHello;
        return closeConnection(connection,
            { .step = isConnected ? "hello" : "connect",
                .message = isConnected ? "no Hello from the peer in time" : "no connection to the peer in time" });
    }
    if (connection->streamCount() == 0 && connection->lastUsed() + options.idleTimeout <= now)
        return closeConnection(connection, { .step = "idle", .message = "the connection was idle" });
    checkSilence(connection, now);
}

void PeerNetwork::Impl::checkSilence(const ConnectionPtr& connection, TimePoint now)
{
    const PeerNetworkOptions& options = m_context->options;
    auto& pingSentAt = connection->loop().pingSentAt;
    if (pingSentAt) {
        if (now - *pingSentAt < options.pingTimeout)
            return;
        ++m_context->counters.silentConnections;
        m_silenceLog.write({ { "peer", connection->describe() } });
        return closeConnection(
            connection, { .step = "ping", .message = "the connection went silent", .isSilentConnection = true });
    }
    const std::optional<TimePoint> since = connection->awaitingReplySince();
    if (!since || now - *since < options.silenceBeforePing)
        return;
    pingSentAt = now;
    connection->sendForStream(Ping { .nonce = connection->serial() });
}

void PeerNetwork::Impl::releaseDelayed(TimePoint now)
{
    std::optional<TimePoint> nextDue;
    for (const auto& [serial, connection] : m_connections) {
        const std::optional<TimePoint> due = connection->releaseDelayed(now);
        if (due && (!nextDue || *due < *nextDue))
            nextDue = due;
    }
    if (!nextDue)
        return;
    const Duration wait = std::max<Duration>(*nextDue - now, std::chrono::microseconds(1));
    const auto seconds = std::chrono::floor<std::chrono::seconds>(wait);
    itimerspec timerSpec {};
    timerSpec.it_value = { .tv_sec = seconds.count(), .tv_nsec = (wait - seconds).count() };
    timerfd_settime(m_timer.value(), 0, &timerSpec, nullptr);
}

void PeerNetwork::Impl::advancePhase(TimePoint now)
{
    const bool isOverdue = now >= m_closeDeadline;
    if (m_phase == Phase::Flushing && !isOverdue) {
        const bool isFlushed = std::all_of(
            m_connections.begin(), m_connections.end(), [](const auto& entry) { return entry.second->isFlushed(); });
        if (!isFlushed)
            return;
        for (const auto& [serial, connection] : m_connections)
            connection->finishSending();
        m_phase = Phase::Finishing;
        m_closeDeadline = std::min(m_closeDeadline, now + finishTimeout);
    }
    if (m_connections.empty() || isOverdue)
        closeAll();
}

void PeerNetwork::Impl::closeAll()
{
    while (!m_connections.empty()) {
        const ConnectionPtr connection = m_connections.begin()->second;
        closeConnection(connection, { .step = "close", .message = "this node stopped" });
    }
    m_phase = Phase::Stopped;
    const std::lock_guard lock(m_taskMutex);
    m_isLoopDone = true;
    m_tasks.clear();
}

} // namespace skylark
