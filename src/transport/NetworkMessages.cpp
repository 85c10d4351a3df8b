// Processing of received bytes on the network's thread: frames, the Hello exchange and delivery.
#include "base/Error.h"
#include "transport/PeerNetworkImpl.h"

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <sys/socket.h>

namespace skylark {

namespace {
    // A connection reads at most 1 MiB (16 times 64 KiB) per iteration, so that it does not starve the others.
    constexpr int maxReadsPerIteration = 16;
} // namespace

void PeerNetwork::Impl::readFrom(const ConnectionPtr& connection, bool isPeerClosed)
{
    for (int i = 0; i < maxReadsPerIteration; ++i) {
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
        connection->recordReceived(m_context->clock.now());
        detectPause(connection->loop().lastReceived);
        FrameReader& reader = connection->loop().reader;
        reader.feed({ m_readBuffer.data(), static_cast<size_t>(size) });
        while (connection->state() != Connection::State::Closed) {
            const auto payload = reader.next();
            if (!payload)
                break;
            handlePayload(connection, *payload);
        }
        // A short read has emptied the socket, and later bytes raise a new event. The end of the stream raises none if
        // it was reported together with these bytes, so it is read now.
        if (static_cast<size_t>(size) < m_readBuffer.size() && !isPeerClosed)
            return;
    }
    m_connectionsWithUnreadData.push_back(connection->serial());
}

// Records a pause of this thread since the last call, to report it with the calls that are read afterwards.
void PeerNetwork::Impl::detectPause(TimePoint now)
{
    // Far above the longest wait for events, and below the pause of 2 s after which the node checks its own state
    // again.
    constexpr auto minReportedPause = std::chrono::seconds(1);
    // It may take several iterations to read all sockets that received data during the pause.
    constexpr auto pauseReportPeriod = std::chrono::milliseconds(500);
    const Duration gap = now - std::exchange(m_lastRunAt, now);
    if (gap >= minReportedPause) {
        m_lastPauseDuration = gap;
        m_lastPauseEnd = now;
    } else if (m_lastPauseDuration > Duration::zero() && now - m_lastPauseEnd > pauseReportPeriod) {
        m_lastPauseDuration = Duration::zero();
    }
}

void PeerNetwork::Impl::closeOnProtocolError(const ConnectionPtr& connection, const Error& error)
{
    ++m_context->counters.protocolErrors;
    m_protocolLog.write({ { "peer", connection->describe() }, { "step", error.step() }, { "error", error.message() },
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
            .advice = "check which program connects to this port" });
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
    const uint32_t minVersion = std::max(hello.minProtocol, options.minProtocol);
    const uint32_t maxVersion = std::min(hello.maxProtocol, options.maxProtocol);
    if (minVersion > maxVersion) {
        // The dialing side reads the versions of this node from its Hello and reports the mismatch as well.
        if (!connection->isDialed())
            connection->sendHello(m_listenAddress);
        throw Error({ .step = "hello",
            .peer = hello.listenAddress.toString(),
            .message = "instance " + hello.instance.value() + " speaks protocol versions "
                + std::to_string(hello.minProtocol) + " to " + std::to_string(hello.maxProtocol) + " and this node "
                + std::to_string(options.minProtocol) + " to " + std::to_string(options.maxProtocol),
            .advice = "upgrade the older of the two nodes" });
    }
    connection->applyHello(hello, maxVersion);
    Connection::LoopState& loop = connection->loop();
    if (!connection->isDialed()) {
        connection->sendHello(m_listenAddress);
        connection->becomeReady();
        return registerAccepted(connection);
    }
    connection->becomeReady();
    {
        // Waiters check the state with the mutex held, so locking it here prevents a lost wakeup.
        const std::lock_guard lock(m_mutex);
    }
    m_readyOrClosed.notify_all();
    if (std::exchange(loop.isProbe, false) && m_handlers.onPeerProbe)
        m_handlers.onPeerProbe(connection->remote(), true);
    if (loop.isOverLimit)
        closeConnection(connection, { .step = "probe", .message = "the probe has finished" });
}

void PeerNetwork::Impl::registerAccepted(const ConnectionPtr& connection)
{
    ConnectionPtr excessConnection;
    {
        const std::lock_guard lock(m_mutex);
        auto& connections = m_peers[connection->remote()].connectionsFor(connection->purpose());
        size_t acceptedCount = 0;
        for (const ConnectionPtr& other : connections) {
            if (other->isDialed())
                continue;
            ++acceptedCount;
            if (!excessConnection || other->loop().lastReceived < excessConnection->loop().lastReceived)
                excessConnection = other;
        }
        connections.push_back(connection);
        if (acceptedCount < connectionLimit(connection->purpose()))
            excessConnection.reset();
    }
    m_readyOrClosed.notify_all();
    // The peer observes the same limit, so it has abandoned one of its earlier connections, most likely the one that
    // has been inactive longest.
    if (excessConnection) {
        ++m_context->counters.refusedConnections;
        closeConnection(excessConnection, { .step = "limit", .message = "the peer opened another connection" });
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
    case Connection::AcceptResult::InvalidId:
        throw Error({ .step = "call-start",
            .message = "stream id " + std::to_string(call.stream.value()) + " is not a new one of the peer" });
    case Connection::AcceptResult::TooManyStreams:
        return connection->sendForStream(
            Refusal { .stream = call.stream, .step = "transport", .reason = "too many calls on one connection" });
    case Connection::AcceptResult::Accepted:
        break;
    }
    auto server = std::make_shared<ServerStream>(
        std::move(stream), std::move(call), connection->loop().lastReceived, m_lastPauseDuration, connection->peer());
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
        // Any received byte shows that the connection works, so a Pong needs no handling.
        return;
    } else if (auto* call = std::get_if<CallStart>(&message)) {
        handleCall(connection, std::move(*call));
    } else if (auto* chunk = std::get_if<BodyChunk>(&message)) {
        deliver(connection, *chunk, [&](Stream& stream) { stream.handleChunk(std::move(*chunk)); });
    } else if (auto* window = std::get_if<WindowUpdate>(&message)) {
        deliver(connection, *window, [&](Stream& stream) { stream.handleWindowUpdate(window->bytes); });
    } else if (auto* answer = std::get_if<AnswerStart>(&message)) {
        deliver(connection, *answer, [&](Stream& stream) { stream.handleResponse(std::move(*answer)); });
    } else if (auto* refusal = std::get_if<Refusal>(&message)) {
        deliver(connection, *refusal, [&](Stream& stream) { stream.handleRefusal(std::move(*refusal)); });
    } else if (auto* cancel = std::get_if<Cancel>(&message)) {
        deliver(connection, *cancel, [&](Stream& stream) { stream.handleCancel(); });
    } else if (m_handlers.onMessage) {
        m_handlers.onMessage(std::move(message), connection->peer());
    }
}

} // namespace skylark
