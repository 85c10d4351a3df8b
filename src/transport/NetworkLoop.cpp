// What the network's thread runs: epoll events, received messages, timers and the stages of closing.
#include "base/Error.h"
#include "transport/PeerNetworkImpl.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <sys/timerfd.h>
#include <unistd.h>

namespace skylark {

namespace {
    using std::chrono::milliseconds;

    constexpr size_t readBytes = size_t { 64 } * 1024;
    // A connection yields to the others after 1 MiB.
    constexpr int readsPerTurn = 16;
    constexpr int acceptsPerTurn = 64;
    constexpr auto checkInterval = milliseconds(50);
    constexpr auto closingInterval = milliseconds(5);
    constexpr auto idleInterval = milliseconds(500);
    // A later check means that the process was paused, and what arrived meanwhile is not read yet.
    constexpr auto pauseThreshold = milliseconds(250);
    constexpr auto acceptedHelloTimeout = std::chrono::seconds(1);
    // Time for peers to close their side once all is sent.
    constexpr auto finishTimeout = milliseconds(200);

    std::string describe(const Connection& connection)
    {
        return connection.remote().host.empty() ? "an accepted connection" : connection.remote().toString();
    }

    void drain(int fd)
    {
        uint64_t count = 0;
        [[maybe_unused]] const ssize_t size = ::read(fd, &count, sizeof(count));
    }
} // namespace

void PeerNetwork::Impl::run()
{
    constexpr int eventsPerTurn = 128;
    std::array<epoll_event, eventsPerTurn> events {};
    m_readBuffer.resize(readBytes);
    while (m_phase != Phase::Stopped) {
        const int count = ::epoll_wait(m_epoll.value(), events.data(), eventsPerTurn, waitMilliseconds());
        std::vector<uint64_t> unread;
        unread.swap(m_unread);
        for (int i = 0; i < count; ++i)
            handleEvent(events[i].data.u64, events[i].events);
        for (const uint64_t serial : unread)
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
    if (!m_unread.empty())
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

bool PeerNetwork::Impl::makeRoom()
{
    if (m_connections.size() < m_context->options.maximumConnections)
        return true;
    ConnectionPtr oldest;
    for (const auto& [serial, connection] : m_connections) {
        const bool isIdle = connection->state() == Connection::State::Ready && connection->streamCount() == 0
            && connection->isFlushed();
        if (isIdle && (!oldest || connection->lastUsed() < oldest->lastUsed()))
            oldest = connection;
    }
    ++m_context->counters.refusedConnections;
    if (oldest) {
        closeConnection(oldest, { .step = "limit", .message = "closed as the longest idle one for a new connection" });
        return true;
    }
    m_limitLog.write({ { "limit", std::to_string(m_context->options.maximumConnections) } });
    return false;
}

bool PeerNetwork::Impl::watch(const ConnectionPtr& connection, FileDescriptor socket)
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
        if (faults && faults->faultFor(connection->remote(), m_context->options.region, {}).isCut)
            throw Error({ .step = "connect", .message = "cut by the fault injector" });
        if (!makeRoom())
            throw Error({ .step = "connect", .message = "this node has no room for another connection" });
        if (!watch(connection, startConnect(connection->remote())))
            throw Error({ .step = "connect", .message = "epoll refused the socket" });
    } catch (const Error& error) {
        closeConnection(connection, { .step = error.step(), .message = error.message() });
    }
}

void PeerNetwork::Impl::acceptConnections()
{
    for (int i = 0; i < acceptsPerTurn && m_listener; ++i) {
        FileDescriptor socket = acceptFrom(m_listener);
        if (!socket) {
            // Without descriptors the listener stays readable; closing an idle connection frees one.
            if (errno == EMFILE || errno == ENFILE)
                makeRoom();
            return;
        }
        if (!makeRoom())
            continue;
        uint64_t serial = 0;
        {
            const std::lock_guard lock(m_mutex);
            serial = m_nextSerial++;
        }
        const auto connection
            = std::make_shared<Connection>(m_context, serial, Endpoint {}, ConnectionPurpose::Control, false);
        connection->setState(Connection::State::Greeting);
        watch(connection, std::move(socket));
    }
}

void PeerNetwork::Impl::handleEvent(uint64_t serial, uint32_t events)
{
    if (serial == listenerKey)
        return acceptConnections();
    if (serial == wakeupKey)
        return drain(m_context->wakeup.value());
    if (serial == timerKey)
        return drain(m_timer.value());
    const auto entry = m_connections.find(serial);
    // Closed earlier in the same turn.
    if (entry == m_connections.end())
        return;
    const ConnectionPtr connection = entry->second;
    if (connection->state() == Connection::State::Dialing)
        finishDial(connection);
    if (events & EPOLLOUT)
        connection->flush();
    if (events & (EPOLLIN | EPOLLHUP | EPOLLERR))
        readFrom(connection, (events & (EPOLLRDHUP | EPOLLHUP | EPOLLERR)) != 0);
}

void PeerNetwork::Impl::finishDial(const ConnectionPtr& connection)
{
    const int error = pendingError(connection->loop().socket);
    if (error != 0)
        return closeConnection(connection, { .step = "connect", .message = std::strerror(error) });
    connection->setState(Connection::State::Greeting);
    connection->sendHello(m_listenAddress);
}

void PeerNetwork::Impl::readFrom(const ConnectionPtr& connection, bool isEndNear)
{
    for (int i = 0; i < readsPerTurn; ++i) {
        const FileDescriptor& socket = connection->loop().socket;
        if (!socket)
            return;
        const ssize_t size = ::recv(socket.value(), m_readBuffer.data(), m_readBuffer.size(), 0);
        if (size < 0 && (errno == EAGAIN || errno == EINTR))
            return;
        if (size <= 0) {
            const char* message = size == 0 ? "the peer closed the connection" : std::strerror(errno);
            return closeConnection(connection, { .step = "connection", .message = message });
        }
        connection->noteReceived(m_context->clock.now());
        FrameReader& reader = connection->loop().reader;
        try {
            reader.feed({ m_readBuffer.data(), static_cast<size_t>(size) });
            while (connection->state() != Connection::State::Closed) {
                const auto payload = reader.next();
                if (!payload)
                    break;
                handlePayload(connection, *payload);
            }
        } catch (const Error& error) {
            return refuseProtocol(connection, error);
        }
        // A short read has emptied the socket; later bytes raise a new event. An end that came with the
        // bytes does not, so it is read at once.
        if (static_cast<size_t>(size) < m_readBuffer.size() && !isEndNear)
            return;
    }
    m_unread.push_back(connection->serial());
}

void PeerNetwork::Impl::refuseProtocol(const ConnectionPtr& connection, const Error& error)
{
    ++m_context->counters.protocolErrors;
    m_protocolLog.write({ { "peer", describe(*connection) }, { "step", error.step() }, { "error", error.message() },
        { "advice", error.advice() } });
    closeConnection(connection, { .step = error.step(), .message = error.message() });
}

void PeerNetwork::Impl::handlePayload(const ConnectionPtr& connection, std::string_view payload)
{
    std::optional<Message> message = decode(payload);
    if (!message) {
        ++m_context->counters.unknownMessages;
        return;
    }
    const bool isHello = std::holds_alternative<Hello>(*message);
    const bool isReady = connection->state() == Connection::State::Ready;
    if (isHello == isReady) {
        throw Error({ .step = "hello",
            .message = isReady ? "a second Hello" : "the first message is not a Hello",
            .advice = "check what connects to this port" });
    }
    if (isHello)
        handleHello(connection, std::get<Hello>(*message));
    m_context->counters.countReceived(connection->purpose(), message->index(), payload.size() + frameHeaderBytes);
    if (!isHello)
        handleMessage(connection, std::move(*message));
}

void PeerNetwork::Impl::handleHello(const ConnectionPtr& connection, const Hello& hello)
{
    const PeerNetworkOptions& options = m_context->options;
    const uint32_t lowest = std::max(hello.protocolMinimum, options.protocolMinimum);
    const uint32_t highest = std::min(hello.protocolMaximum, options.protocolMaximum);
    if (lowest > highest) {
        // The dialing side learns our versions from our Hello.
        if (!connection->isDialed())
            connection->sendHello(m_listenAddress);
        throw Error({ .step = "hello",
            .peer = hello.listenAddress.toString(),
            .message = "instance " + hello.instance.value() + " speaks protocol versions "
                + std::to_string(hello.protocolMinimum) + " to " + std::to_string(hello.protocolMaximum)
                + " and this node " + std::to_string(options.protocolMinimum) + " to "
                + std::to_string(options.protocolMaximum),
            .advice = "update the older of the two" });
    }
    connection->adoptHello(hello, highest);
    Connection::LoopState& loop = connection->loop();
    if (!connection->isDialed()) {
        connection->sendHello(m_listenAddress);
        connection->becomeReady();
        return registerAccepted(connection);
    }
    connection->becomeReady();
    {
        // Waiters check the state with the mutex held.
        const std::lock_guard lock(m_mutex);
    }
    m_readyOrClosed.notify_all();
    if (std::exchange(loop.isProbe, false) && m_handlers.onPeerProbe)
        m_handlers.onPeerProbe(connection->remote(), true);
    if (loop.isSurplus)
        closeConnection(connection, { .step = "probe", .message = "the probe is done" });
}

void PeerNetwork::Impl::registerAccepted(const ConnectionPtr& connection)
{
    ConnectionPtr excess;
    {
        const std::lock_guard lock(m_mutex);
        auto& connections = m_peers[connection->remote()].of(connection->purpose());
        size_t accepted = 0;
        for (const ConnectionPtr& other : connections) {
            if (other->isDialed())
                continue;
            ++accepted;
            if (!excess || other->loop().lastReceived < excess->loop().lastReceived)
                excess = other;
        }
        connections.push_back(connection);
        if (accepted < connectionLimit(connection->purpose()))
            excess.reset();
    }
    m_readyOrClosed.notify_all();
    // The peer keeps to the limit as well, so it has given up one of those it opened before: most likely
    // the one that has been quiet for longest.
    if (excess) {
        ++m_context->counters.refusedConnections;
        closeConnection(excess, { .step = "limit", .message = "the peer opened another connection" });
    }
}

void PeerNetwork::Impl::handleCall(const ConnectionPtr& connection, CallStart&& call)
{
    if (m_phase != Phase::Running) {
        return connection->sendForStream(
            Refusal { .stream = call.stream, .step = "transport", .reason = "this node is stopping" });
    }
    std::shared_ptr<Stream> stream;
    switch (connection->acceptStream(call, stream)) {
    case Connection::Accepted::WrongId:
        throw Error({ .step = "call-start",
            .message = "stream id " + std::to_string(call.stream.value()) + " is not a new one of the peer" });
    case Connection::Accepted::TooMany:
        return connection->sendForStream(
            Refusal { .stream = call.stream, .step = "transport", .reason = "too many calls on one connection" });
    case Connection::Accepted::Yes:
        break;
    }
    auto server = std::make_shared<ServerStream>(
        std::move(stream), std::move(call), connection->loop().lastReceived, connection->peer());
    if (m_handlers.onCall)
        m_handlers.onCall(std::move(server));
}

template <typename Frame, typename Handler>
void PeerNetwork::Impl::deliver(const ConnectionPtr& connection, const Frame& frame, const Handler& handler)
{
    if (const auto stream = connection->findStream(frame.stream))
        handler(*stream);
    else
        ++m_context->counters.lateFrames;
}

void PeerNetwork::Impl::handleMessage(const ConnectionPtr& connection, Message&& message)
{
    if (const auto* ping = std::get_if<Ping>(&message)) {
        connection->sendForStream(Pong { ping->nonce });
    } else if (std::holds_alternative<Pong>(message)) {
        // Any received byte counts, so there is nothing more to do.
        return;
    } else if (auto* call = std::get_if<CallStart>(&message)) {
        handleCall(connection, std::move(*call));
    } else if (auto* chunk = std::get_if<BodyChunk>(&message)) {
        deliver(connection, *chunk, [&](Stream& stream) { stream.handleChunk(std::move(*chunk)); });
    } else if (auto* window = std::get_if<WindowUpdate>(&message)) {
        deliver(connection, *window, [&](Stream& stream) { stream.handleWindow(window->bytes); });
    } else if (auto* answer = std::get_if<AnswerStart>(&message)) {
        deliver(connection, *answer, [&](Stream& stream) { stream.handleAnswer(std::move(*answer)); });
    } else if (auto* refusal = std::get_if<Refusal>(&message)) {
        deliver(connection, *refusal, [&](Stream& stream) { stream.handleRefusal(std::move(*refusal)); });
    } else if (auto* cancel = std::get_if<Cancel>(&message)) {
        deliver(connection, *cancel, [&](Stream& stream) { stream.handleCancel(); });
    } else if (m_handlers.onMessage) {
        m_handlers.onMessage(std::move(message), connection->peer());
    }
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
        // The check of an idle loop comes late as well, and then there is no connection to mistake.
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
        const bool isConnected = connection->state() == Connection::State::Greeting;
        return closeConnection(connection,
            { .step = isConnected ? "hello" : "connect",
                .message = isConnected ? "no Hello from the peer in time" : "no connection to the peer in time" });
    }
    if (connection->streamCount() == 0 && connection->lastUsed() + options.idleClose <= now)
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
        m_silenceLog.write({ { "peer", describe(*connection) } });
        return closeConnection(
            connection, { .step = "ping", .message = "the connection went silent", .isSilentConnection = true });
    }
    const std::optional<TimePoint> since = connection->owedSince();
    if (!since || now - *since < options.silenceBeforePing)
        return;
    pingSentAt = now;
    connection->sendForStream(Ping { .nonce = connection->serial() });
}

void PeerNetwork::Impl::releaseDelayed(TimePoint now)
{
    std::optional<TimePoint> next;
    for (const auto& [serial, connection] : m_connections) {
        const std::optional<TimePoint> due = connection->releaseDelayed(now);
        if (due && (!next || *due < *next))
            next = due;
    }
    if (!next)
        return;
    const Duration wait = std::max<Duration>(*next - now, std::chrono::microseconds(1));
    const auto seconds = std::chrono::floor<std::chrono::seconds>(wait);
    itimerspec when {};
    when.it_value = { .tv_sec = seconds.count(), .tv_nsec = (wait - seconds).count() };
    timerfd_settime(m_timer.value(), 0, &when, nullptr);
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
