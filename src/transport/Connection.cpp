#include "transport/Connection.h"

#include "base/Error.h"
#include "base/Invariant.h"

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <sys/socket.h>

namespace skylark {

namespace {
    // Above this many queued bytes, body waits in its stream so that short messages are not queued behind it.
    constexpr size_t congestionThresholdBytes = size_t { 512 } * 1024;
    // Flow control does not cover call starts, response starts and window updates; only the number of streams bounds
    // them. The connection is closed above this limit, so that a peer that reads none of them cannot exhaust the
    // memory.
    constexpr size_t maxCallQueueBytes = size_t { 8 } * 1024 * 1024;
} // namespace

NetworkContext::NetworkContext(PeerNetworkOptions networkOptions, const Clock& networkClock)
    : options(std::move(networkOptions))
    , clock(networkClock)
{
}

NetworkContext::~NetworkContext() = default;

Connection::Connection(
    std::shared_ptr<NetworkContext> context, uint64_t serial, Endpoint remote, ConnectionPurpose purpose, bool isDialed)
    : m_context(std::move(context))
    , m_serial(serial)
    , m_isDialed(isDialed)
    , m_remote(std::move(remote))
    , m_purpose(purpose)
    // The dialing side assigns odd stream ids and the accepting side even ones, so that they never collide.
    , m_nextStream(isDialed ? 1 : 2)
    , m_lastUsed(m_context->clock.now())
{
    m_loop.startedAt = m_lastUsed;
    m_loop.lastReceived = m_lastUsed;
}

std::string Connection::describe() const
{
    return m_remote.host.empty() ? "an accepted connection" : m_remote.toString();
}

StreamFailure Connection::closeReason() const
{
    const std::lock_guard lock(m_mutex);
    return m_closeReason;
}

bool Connection::isCongested() const
{
    const std::lock_guard lock(m_mutex);
    return queuedBytes() > congestionThresholdBytes;
}

TimePoint Connection::lastUsed() const
{
    const std::lock_guard lock(m_mutex);
    return m_lastUsed;
}

void Connection::appendMessage(std::string& frames, const Message& message)
{
    const size_t bytes = appendFrame(frames, message, m_version.load(std::memory_order_relaxed));
    m_context->counters.countSent(m_purpose, message.index(), bytes);
}

void Connection::recordReplyExpected()
{
    if (!std::exchange(m_isReplyExpected, true))
        m_awaitingReplySince = m_lastUsed;
}

bool Connection::sendControl(const Message& message)
{
    std::string frame;
    const size_t bytes = appendFrame(frame, message, m_version.load(std::memory_order_relaxed));
    const std::lock_guard lock(m_mutex);
    if (state() == State::Closed || queuedBytes() + bytes > m_context->options.maxQueuedBytes)
        return false;
    if (state() != State::Ready) {
        m_pendingMessages.push_back(message);
        m_pendingMessageBytes += bytes;
        return true;
    }
    m_context->counters.countSent(m_purpose, message.index(), bytes);
    write(frame);
    recordReplyExpected();
    return true;
}

bool Connection::openStream(const std::shared_ptr<Stream>& stream, CallStart& call, BodyChunk* firstChunk)
{
    const std::lock_guard lock(m_mutex);
    if (state() != State::Ready || queuedBytes() > congestionThresholdBytes
        || m_streams.size() >= m_context->options.maxStreamsPerConnection)
        return false;
    call.stream = StreamId(m_nextStream);
    std::string frames;
    appendMessage(frames, call);
    if (firstChunk) {
        firstChunk->stream = call.stream;
        appendMessage(frames, std::move(*firstChunk));
    }
    m_nextStream += 2;
    const uint64_t startOffset = m_writtenBytes;
    const bool isWritten = write(frames);
    if (m_streams.empty())
        m_awaitingReplySince = m_lastUsed;
    m_streams.emplace(call.stream,
        OpenStream { .stream = stream, .startOffset = isWritten ? std::optional(startOffset) : std::nullopt });
    m_streamCount = m_streams.size();
    ++m_context->counters.openStreams;
    return true;
}

bool Connection::sendChunk(const BodyChunk& chunk, const std::shared_ptr<Stream>& stream)
{
    std::string frame;
    const std::lock_guard lock(m_mutex);
    if (state() != State::Ready)
        return false;
    if (queuedBytes() > congestionThresholdBytes) {
        m_streamsAwaitingSpace.push_back(stream);
        return false;
    }
    appendMessage(frame, chunk);
    write(frame);
    return true;
}

void Connection::sendFrames(std::string_view frames)
{
    const std::lock_guard lock(m_mutex);
    if (state() == State::Ready)
        write(frames);
}

void Connection::removeStream(StreamId id)
{
    const std::lock_guard lock(m_mutex);
    if (m_streams.erase(id) == 0)
        return;
    m_streamCount = m_streams.size();
    --m_context->counters.openStreams;
}

bool Connection::write(std::string_view frames)
{
    m_lastUsed = m_context->clock.now();
    if (m_context->options.faults && applyFault(frames))
        return false;
    writeToSocket(frames);
    return true;
}

void Connection::writeToSocket(std::string_view frames)
{
    m_writtenBytes += frames.size();
    if (m_fd < 0)
        return;
    if (m_queue.empty()) {
        const ssize_t sent = ::send(m_fd, frames.data(), frames.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
        if (sent > 0) {
            m_sentBytes += static_cast<size_t>(sent);
            frames.remove_prefix(static_cast<size_t>(sent));
        } else if (sent < 0 && errno != EAGAIN && errno != EINTR) {
            failConnection(std::strerror(errno));
        }
    }
    // The socket was full and its event is edge-triggered, so epoll reports when it is writable again.
    m_queue.append(frames);
    if (m_purpose == ConnectionPurpose::Calls && queuedBytes() > maxCallQueueBytes)
        failConnection("the peer does not read its answers");
}

bool Connection::applyFault(std::string_view frames)
{
    const FaultInjector& faults = *m_context->options.faults;
    const TrafficFault fault = faults.faultFor(m_remote, m_context->options.region, m_peer.region);
    if (fault.isDisconnected) {
        failConnection("cut by the fault injector");
        return true;
    }
    if (fault.isDropped)
        return true;
    if (fault.delay == Duration::zero() && m_delayed.empty())
        return false;
    TimePoint due = m_lastUsed + fault.delay;
    if (m_delayed.empty())
        ++m_context->delayedConnections;
    else
        due = std::max(due, m_delayed.back().first);
    m_delayed.emplace_back(due, frames);
    m_delayedBytes += frames.size();
    m_context->wake();
    return true;
}

void Connection::failConnection(const char* reason)
{
    if (m_closeReason.step.empty())
        m_closeReason = { .step = "connection", .message = reason };
    // The network's thread reads the end of the stream and closes the connection.
    if (m_fd >= 0)
        ::shutdown(m_fd, SHUT_RDWR);
}

void Connection::attach(FileDescriptor socket)
{
    const std::lock_guard lock(m_mutex);
    m_loop.socket = std::move(socket);
    m_fd = m_loop.socket.value();
}

void Connection::sendHello(const Endpoint& listenAddress)
{
    const PeerNetworkOptions& options = m_context->options;
    std::string frame;
    appendMessage(frame,
        Hello { .minProtocol = options.minProtocol,
            .maxProtocol = options.maxProtocol,
            .instance = options.instance,
            .incarnation = options.incarnation,
            .zone = options.zone,
            .region = options.region,
            .listenAddress = listenAddress,
            .purpose = m_purpose });
    const std::lock_guard lock(m_mutex);
    write(frame);
}

void Connection::applyHello(const Hello& hello, uint32_t version)
{
    const std::lock_guard lock(m_mutex);
    m_peer = { .instance = hello.instance,
        .incarnation = hello.incarnation,
        .zone = hello.zone,
        .region = hello.region,
        .endpoint = hello.listenAddress };
    if (!m_isDialed) {
        m_remote = hello.listenAddress;
        m_purpose = hello.purpose;
    }
    m_version = version;
}

void Connection::becomeReady()
{
    const std::lock_guard lock(m_mutex);
    setState(State::Ready);
    std::string frames;
    for (const Message& message : std::exchange(m_pendingMessages, {}))
        appendMessage(frames, message);
    m_pendingMessageBytes = 0;
    if (frames.empty())
        return;
    write(frames);
    recordReplyExpected();
}

void Connection::flush()
{
    std::vector<std::weak_ptr<Stream>> streamsToResume;
    {
        const std::lock_guard lock(m_mutex);
        while (m_fd >= 0 && m_queuePosition < m_queue.size()) {
            const ssize_t sent = ::send(
                m_fd, m_queue.data() + m_queuePosition, m_queue.size() - m_queuePosition, MSG_NOSIGNAL | MSG_DONTWAIT);
            if (sent < 0) {
                if (errno != EAGAIN && errno != EINTR)
                    failConnection(std::strerror(errno));
                break;
            }
            m_sentBytes += static_cast<size_t>(sent);
            m_queuePosition += static_cast<size_t>(sent);
        }
        // close() relies on this count to prove that a call did not run.
        invariant(m_fd < 0 || m_sentBytes + m_queue.size() - m_queuePosition == m_writtenBytes,
            { .rule = "every written byte is sent or queued", .step = "flush", .peer = m_remote.toString() });
        // The rest of the queue is moved only after half of it is sent, which bounds the cost of moving.
        if (m_queuePosition * 2 >= m_queue.size()) {
            m_queue.erase(0, m_queuePosition);
            m_queuePosition = 0;
            if (m_queue.empty())
                m_queue.shrink_to_fit();
        }
        if (queuedBytes() <= congestionThresholdBytes)
            streamsToResume.swap(m_streamsAwaitingSpace);
    }
    for (const auto& weakStream : streamsToResume) {
        if (const auto stream = weakStream.lock())
            stream->resume();
    }
}

std::optional<TimePoint> Connection::releaseDelayed(TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    if (m_delayed.empty())
        return std::nullopt;
    while (!m_delayed.empty() && m_delayed.front().first <= now) {
        const std::string frames = std::move(m_delayed.front().second);
        m_delayed.pop_front();
        m_delayedBytes -= frames.size();
        writeToSocket(frames);
    }
    if (!m_delayed.empty())
        return m_delayed.front().first;
    --m_context->delayedConnections;
    return std::nullopt;
}

std::shared_ptr<Stream> Connection::findStream(StreamId id) const
{
    const std::lock_guard lock(m_mutex);
    const auto entry = m_streams.find(id);
    return entry == m_streams.end() ? nullptr : entry->second.stream;
}

Connection::AcceptResult Connection::acceptStream(const CallStart& call, std::shared_ptr<Stream>& stream)
{
    const std::lock_guard lock(m_mutex);
    const uint64_t id = call.stream.value();
    const bool isOdd = id % 2 == 1;
    if (id <= m_lastPeerStream || isOdd == m_isDialed)
        return AcceptResult::InvalidId;
    m_lastPeerStream = id;
    if (m_streams.size() >= m_context->options.maxStreamsPerConnection)
        return AcceptResult::TooManyStreams;
    stream = std::make_shared<Stream>(shared_from_this(), call.stream, call.hasBody);
    if (m_streams.empty())
        m_awaitingReplySince = m_context->clock.now();
    m_streams.emplace(call.stream, OpenStream { .stream = stream, .startOffset = std::nullopt });
    m_streamCount = m_streams.size();
    ++m_context->counters.openStreams;
    return AcceptResult::Accepted;
}

std::optional<TimePoint> Connection::awaitingReplySince() const
{
    const std::lock_guard lock(m_mutex);
    if (m_streams.empty() && !m_isReplyExpected)
        return std::nullopt;
    return std::max(m_awaitingReplySince, m_loop.lastReceived);
}

void Connection::recordReceived(TimePoint now)
{
    m_loop.lastReceived = now;
    m_loop.pingSentAt.reset();
    const std::lock_guard lock(m_mutex);
    m_isReplyExpected = false;
    m_lastUsed = now;
}

bool Connection::isFlushed() const
{
    std::vector<std::shared_ptr<Stream>> streams;
    {
        const std::lock_guard lock(m_mutex);
        if (queuedBytes() > 0)
            return false;
        for (const auto& [id, entry] : m_streams)
            streams.push_back(entry.stream);
    }
    return std::none_of(streams.begin(), streams.end(), [](const auto& stream) { return stream->hasUnsentBody(); });
}

void Connection::finishSending()
{
    const std::lock_guard lock(m_mutex);
    if (m_fd >= 0)
        ::shutdown(m_fd, SHUT_WR);
}

bool Connection::close(const StreamFailure& reason)
{
    absl::flat_hash_map<StreamId, OpenStream> streams;
    StreamFailure failure;
    uint64_t sentBytes = 0;
    bool isControlLost = false;
    {
        const std::lock_guard lock(m_mutex);
        if (state() == State::Closed)
            return false;
        if (m_closeReason.step.empty())
            m_closeReason = reason;
        setState(State::Closed);
        m_fd = -1;
        m_loop.socket.reset();
        streams.swap(m_streams);
        m_streamCount = 0;
        m_context->counters.openStreams -= streams.size();
        sentBytes = m_sentBytes;
        failure = m_closeReason;
        isControlLost = m_purpose == ConnectionPurpose::Control && (queuedBytes() > 0 || m_isReplyExpected);
        if (!m_delayed.empty())
            --m_context->delayedConnections;
        m_delayed.clear();
        m_queue.clear();
        m_pendingMessages.clear();
        m_queuePosition = m_pendingMessageBytes = m_delayedBytes = 0;
    }
    for (const auto& [id, entry] : streams) {
        failure.outcome
            = entry.startOffset && sentBytes <= *entry.startOffset ? CallOutcome::NotRun : CallOutcome::Unknown;
        entry.stream->handleConnectionLoss(failure);
    }
    return isControlLost;
}

} // namespace skylark
