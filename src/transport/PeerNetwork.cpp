#include "transport/PeerNetwork.h"

#include "base/Error.h"
#include "transport/PeerNetworkImpl.h"

#include <algorithm>
#include <sys/epoll.h>
#include <sys/timerfd.h>

namespace skylark {

namespace {
    // A second connection is dialed when the first one carries this many calls. Below that, one connection has hardly
    // any queue.
    constexpr size_t callsBeforeSecondConnection = 16;
    // A connection that the peer is about to close as idle takes no new calls: a call that is sent while the peer
    // closes the connection has an unknown outcome. The margin is idleTimeout divided by this number (5 s by default).
    constexpr int idleMarginDivisor = 12;

    void addToEpoll(int epoll, int fd, uint64_t key)
    {
        epoll_event event {};
        event.events = EPOLLIN;
        event.data.u64 = key;
        if (epoll_ctl(epoll, EPOLL_CTL_ADD, fd, &event) != 0)
            throw Error({ .step = "start-network", .message = "epoll_ctl failed" });
    }
} // namespace

PeerNetwork::Impl::Impl(PeerNetworkOptions options, PeerHandlers handlers, const Clock& clock)
    : m_context(std::make_shared<NetworkContext>(std::move(options), clock))
    , m_handlers(std::move(handlers))
    , m_protocolLog(clock, LogLevel::Warning, "peer-protocol-error")
    , m_silenceLog(clock, LogLevel::Warning, "peer-connection-silent")
    , m_connectionLimitLog(clock, LogLevel::Warning, "peer-connection-refused")
    , m_nextSerial(firstSerial)
    , m_epoll(::epoll_create1(EPOLL_CLOEXEC))
    , m_timer(::timerfd_create(CLOCK_MONOTONIC, TFD_NONBLOCK | TFD_CLOEXEC))
    , m_listener(listenOn(m_context->options.listen))
    , m_lastCheck(clock.now())
    , m_lastRunAt(m_lastCheck)
{
    m_listenAddress = boundEndpoint(m_listener);
    addToEpoll(m_epoll.value(), m_listener.value(), listenerKey);
    addToEpoll(m_epoll.value(), m_context->wakeup.descriptor().value(), wakeupKey);
    addToEpoll(m_epoll.value(), m_timer.value(), timerKey);
    m_thread = std::thread([this] { run(); });
}

PeerNetwork::Impl::~Impl() { close(m_context->clock.now()); }

void PeerNetwork::Impl::post(Task task)
{
    {
        const std::lock_guard lock(m_taskMutex);
        if (m_isLoopDone)
            return;
        m_tasks.push_back(std::move(task));
    }
    m_context->wake();
}

void PeerNetwork::Impl::runOnLoop(const Task& task)
{
    auto taskDone = std::make_shared<std::promise<void>>();
    std::future<void> future = taskDone->get_future();
    post([task, taskDone] {
        task();
        taskDone->set_value();
    });
    taskDone.reset();
    // A loop that has ended discards the task and with it the promise, which also ends the wait.
    future.wait();
}

PeerNetwork::Impl::ConnectionPtr PeerNetwork::Impl::dial(
    const Endpoint& remote, ConnectionPurpose purpose, bool isProbe)
{
    auto connection = std::make_shared<Connection>(m_context, m_nextSerial++, remote, purpose, true);
    connection->loop().isProbe = isProbe;
    auto& connections = m_peers[remote].connectionsFor(purpose);
    const auto dialedCount
        = std::count_if(connections.begin(), connections.end(), [](const auto& c) { return c->isDialed(); });
    if (static_cast<size_t>(dialedCount) >= connectionLimit(purpose))
        connection->loop().isOverLimit = true;
    else
        connections.push_back(connection);
    post([this, connection] { startDial(connection); });
    return connection;
}

void PeerNetwork::Impl::reportSendFailure(const Endpoint& peer)
{
    ++m_context->counters.failedSends;
    if (m_handlers.onSendFailed)
        post([this, peer] { m_handlers.onSendFailed(peer); });
}

bool PeerNetwork::Impl::send(const Endpoint& peer, const Message& message)
{
    ConnectionPtr connection;
    {
        const std::lock_guard lock(m_mutex);
        if (m_isClosing)
            return false;
        const auto entry = m_peers.find(peer);
        if (entry != m_peers.end() && !entry->second.control.empty())
            connection = entry->second.control.front();
        else
            connection = dial(peer, ConnectionPurpose::Control, false);
    }
    if (connection->sendControl(message))
        return true;
    reportSendFailure(peer);
    return false;
}

PeerNetwork::Impl::ConnectionPtr PeerNetwork::Impl::selectCallConnection(
    const Endpoint& gate, ConnectionPtr& dialingConnection)
{
    const TimePoint now = m_context->clock.now();
    const PeerNetworkOptions& options = m_context->options;
    ConnectionPtr best;
    const Duration maxUsableIdleTime = options.idleTimeout - options.idleTimeout / idleMarginDivisor;
    size_t dialedCount = 0;
    if (const auto entry = m_peers.find(gate); entry != m_peers.end()) {
        for (const ConnectionPtr& connection : entry->second.calls) {
            dialedCount += connection->isDialed() ? 1 : 0;
            if (connection->state() == Connection::State::Dialing
                || connection->state() == Connection::State::AwaitingHello)
                dialingConnection = connection;
            if (connection->state() != Connection::State::Ready || connection->isCongested()
                || connection->streamCount() >= options.maxStreamsPerConnection)
                continue;
            if (connection->streamCount() == 0 && connection->lastUsed() + maxUsableIdleTime < now)
                continue;
            if (!best || connection->streamCount() < best->streamCount())
                best = connection;
        }
    }
    const bool isMoreWanted = !best || best->streamCount() >= callsBeforeSecondConnection;
    if (isMoreWanted && !dialingConnection && dialedCount < callConnectionsPerPeer)
        dialingConnection = dial(gate, ConnectionPurpose::Calls, false);
    return best;
}

PeerNetwork::Impl::ConnectionPtr PeerNetwork::Impl::awaitCallConnection(
    std::unique_lock<std::mutex>& lock, const Endpoint& gate, TimePoint deadline, StreamFailure& failure)
{
    ConnectionPtr dialingConnection;
    if (ConnectionPtr connection = selectCallConnection(gate, dialingConnection))
        return connection;
    if (!dialingConnection) {
        failure.message = "all connections to " + gate.toString() + " are full";
        return nullptr;
    }
    const bool isSettled = m_readyOrClosed.wait_until(lock, deadline, [&] {
        const Connection::State state = dialingConnection->state();
        return m_isClosing || state == Connection::State::Ready || state == Connection::State::Closed;
    });
    if (isSettled && dialingConnection->state() == Connection::State::Ready)
        return dialingConnection;
    failure = dialingConnection->closeReason();
    if (failure.step.empty())
        failure = { .step = "connect", .message = "no connection to " + gate.toString() + " before the timeout" };
    return nullptr;
}

std::shared_ptr<ClientStream> PeerNetwork::Impl::openCall(
    const Endpoint& gate, const InstanceId& expectedInstance, CallStart& call, std::string& body, bool isBodyComplete)
{
    auto stream = std::make_shared<Stream>();
    auto client = std::make_shared<ClientStream>(stream);
    StreamFailure failure { .step = "open-call" };
    // A connection may close between its selection and its use. Another attempt is safe because nothing of the call has
    // been sent.
    constexpr int maxAttempts = 3;
    const TimePoint deadline = m_context->clock.now() + m_context->options.connectTimeout;
    for (int attempt = 0; attempt < maxAttempts; ++attempt) {
        ConnectionPtr connection;
        {
            std::unique_lock lock(m_mutex);
            if (m_isClosing)
                failure.message = "this node is stopping";
            else
                connection = awaitCallConnection(lock, gate, deadline, failure);
        }
        if (!connection)
            break;
        const InstanceId& actualInstance = connection->peer().instance;
        if (!expectedInstance.value().empty() && actualInstance != expectedInstance) {
            failure = { .step = "open-call",
                .message
                = gate.toString() + " is instance " + actualInstance.value() + " and not " + expectedInstance.value() };
            break;
        }
        try {
            if (stream->open(connection, call, body, isBodyComplete) == Stream::OpenResult::Opened)
                return client;
            failure.message = "the connection to " + gate.toString() + " closed or filled up";
        } catch (const Error& error) {
            failure = { .step = error.step(), .message = error.message() };
            break;
        }
    }
    failure.outcome = CallOutcome::NotRun;
    stream->failBeforeOpen(std::move(failure));
    return client;
}

void PeerNetwork::Impl::stopAccepting()
{
    runOnLoop([this] { m_listener.reset(); });
}

void PeerNetwork::Impl::close(TimePoint deadline)
{
    {
        const std::lock_guard lock(m_mutex);
        m_isClosing = true;
    }
    m_readyOrClosed.notify_all();
    post([this, deadline] {
        m_listener.reset();
        m_closeDeadline = deadline;
        m_phase = Phase::Flushing;
    });
    if (m_thread.joinable())
        m_thread.join();
}

PeerNetwork::PeerNetwork(PeerNetworkOptions options, PeerHandlers handlers, const Clock& clock)
    : m_impl(std::make_unique<Impl>(std::move(options), std::move(handlers), clock))
{
}

PeerNetwork::~PeerNetwork() = default;

const Endpoint& PeerNetwork::listenAddress() const { return m_impl->listenAddress(); }

bool PeerNetwork::send(const Endpoint& peer, const Message& message) { return m_impl->send(peer, message); }

std::shared_ptr<ClientStream> PeerNetwork::openCall(
    const Endpoint& gate, const InstanceId& expectedInstance, CallStart call, std::string body, bool isBodyComplete)
{
    return m_impl->openCall(gate, expectedInstance, call, body, isBodyComplete);
}

TrafficSnapshot PeerNetwork::traffic() const { return m_impl->traffic(); }

void PeerNetwork::stopAccepting() { m_impl->stopAccepting(); }

void PeerNetwork::close(TimePoint deadline) { m_impl->close(deadline); }

} // namespace skylark
