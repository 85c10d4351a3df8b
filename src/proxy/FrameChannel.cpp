#include "proxy/FrameChannel.h"

#include "base/Error.h"
#include "base/Log.h"
#include "wire/Codec.h"

#include <algorithm>

namespace skylark {

namespace {

    constexpr double unsentSeconds = 0.01;
    constexpr size_t maxUnsentBytes = 64 * 1024;

} // namespace

size_t unsentBytesFor(double linkBitsPerSecond)
{
    constexpr double bitsPerByte = 8;
    if (linkBitsPerSecond <= 0)
        return maxUnsentBytes;
    const double bytes = std::min<double>(maxUnsentBytes, linkBitsPerSecond / bitsPerByte * unsentSeconds);
    return std::max(FrameQueue::pieceBytes, static_cast<size_t>(bytes));
}

FrameChannel::FrameChannel(EventLoop& loop, const Endpoint& peer, const ConnectOptions& connectOptions,
    Callbacks callbacks, const FrameChannelOptions& options)
    : m_loop(loop)
    , m_callbacks(std::move(callbacks))
    , m_stream(TcpStream::connect(loop, peer, *this, connectOptions))
    , m_link(options.link)
    , m_lastReceived(loop.now())
{
    m_stream->limitUnsentBytes(unsentBytesFor(options.linkBitsPerSecond));
}

FrameChannel::FrameChannel(
    EventLoop& loop, std::unique_ptr<TcpStream> stream, Callbacks callbacks, const FrameChannelOptions& options)
    : m_loop(loop)
    , m_callbacks(std::move(callbacks))
    , m_stream(std::move(stream))
    , m_link(options.link)
    , m_lastReceived(loop.now())
{
    m_stream->setHandler(*this);
    m_stream->limitUnsentBytes(unsentBytesFor(options.linkBitsPerSecond));
    m_stream->startReading();
}

FrameChannel::~FrameChannel()
{
    *m_isAlive = false;
    if (!m_link)
        return;
    m_link->recordDropped(m_queue.pendingBytes());
    m_link->changeWaiting(-static_cast<int64_t>(m_reportedWaiting));
}

void FrameChannel::recordQueued(size_t bytes, size_t messageBytes)
{
    if (m_link)
        m_link->recordQueued(bytes, messageBytes, m_loop.now());
}

void FrameChannel::reportWaiting()
{
    if (!m_link)
        return;
    const size_t waiting = pendingBytes();
    m_link->changeWaiting(static_cast<int64_t>(waiting) - static_cast<int64_t>(m_reportedWaiting));
    m_reportedWaiting = waiting;
}

std::optional<std::string> FrameChannel::encodeFrame(const Message& message) const
{
    try {
        std::string bytes;
        appendFrame(bytes, message, maxProtocolVersion);
        return bytes;
    } catch (const Error& error) {
        logEvent(LogLevel::Error, "peer-message-not-sent",
            { { "peer", m_stream->peerHost() }, { "type", messageTypeName(message.index()) }, { "step", error.step() },
                { "reason", error.message() } });
        return std::nullopt;
    }
}

bool FrameChannel::send(const Message& message)
{
    auto bytes = encodeFrame(message);
    if (!bytes)
        return false;
    recordQueued(bytes->size(), bytes->size());
    const std::shared_ptr<bool> isAlive = m_isAlive;
    m_stream->write(std::move(*bytes));
    if (*isAlive)
        reportWaiting();
    return true;
}

bool FrameChannel::sendWithBody(const Message& head, StreamId stream, uint32_t rank, SharedBody body)
{
    auto bytes = encodeFrame(head);
    if (!bytes)
        return false;
    recordQueued(bytes->size() + body->size(), body->size());
    m_queue.add(stream, rank, std::move(body));
    write(std::move(*bytes));
    return true;
}

void FrameChannel::cancelBody(StreamId stream)
{
    const size_t bytes = m_queue.cancel(stream);
    if (bytes == 0 || !m_link)
        return;
    m_link->recordDropped(bytes);
    reportWaiting();
}

void FrameChannel::write(std::string bytes)
{
    const std::shared_ptr<bool> isAlive = m_isAlive;
    while (true) {
        // A head and small bodies are written together.
        while (m_stream->pendingBytes() == 0 && bytes.size() < FrameQueue::pieceBytes / 2) {
            const auto piece = m_queue.next();
            if (!piece)
                break;
            appendFrame(bytes, *piece, maxProtocolVersion);
        }
        if (bytes.empty())
            break;
        m_stream->write(std::move(bytes));
        if (!*isAlive)
            return;
        if (m_stream->pendingBytes() > 0)
            break;
        bytes.clear();
    }
    reportWaiting();
}

void FrameChannel::onDrained() { write({}); }

void FrameChannel::onConnected()
{
    if (m_callbacks.onConnected)
        m_callbacks.onConnected();
}

void FrameChannel::onData(std::string_view bytes)
{
    const std::shared_ptr<bool> isAlive = m_isAlive;
    m_lastReceived = m_loop.now();
    try {
        m_reader.feed(bytes);
        while (const auto payload = m_reader.next()) {
            if (auto message = decode(*payload))
                m_callbacks.onMessage(std::move(*message));
            if (!*isAlive)
                return;
        }
    } catch (const Error& error) {
        if (!*isAlive)
            return;
        logEvent(LogLevel::Warning, "peer-message-refused",
            { { "peer", m_stream->peerHost() }, { "step", error.step() }, { "reason", error.message() } });
        m_callbacks.onEnd(StreamEnd::Failed);
    }
}

void FrameChannel::onEnd(StreamEnd end) { m_callbacks.onEnd(end); }

HeaderList toHeaderList(const HttpHeaders& headers)
{
    HeaderList list;
    list.reserve(headers.size());
    for (const HttpHeader& header : headers)
        list.emplace_back(header.name, header.value);
    return list;
}

HttpHeaders toHttpHeaders(const HeaderList& headers)
{
    HttpHeaders result;
    result.reserve(headers.size());
    for (const auto& [name, value] : headers)
        result.push_back({ name, value });
    return result;
}

bool BodyAssembler::add(std::string& body, const BodyChunk& chunk) const
{
    if (chunk.offset != body.size() || body.size() + chunk.data.size() > m_maxBytes)
        throw Error(
            { .step = "receive-body", .message = "a body chunk has an unexpected offset, or the body is too large" });
    body += chunk.data;
    return chunk.isLast;
}

} // namespace skylark
