#include "proxy/FrameChannel.h"

#include "base/Error.h"
#include "base/Log.h"
#include "wire/Codec.h"

namespace skylark {

namespace {

    constexpr size_t chunkBytes = 64 * 1024;

} // namespace

FrameChannel::FrameChannel(EventLoop& loop, const Endpoint& peer, const ConnectOptions& options, Callbacks callbacks)
    : m_loop(loop)
    , m_callbacks(std::move(callbacks))
    , m_stream(TcpStream::connect(loop, peer, *this, options))
    , m_lastReceived(loop.now())
{
}

FrameChannel::FrameChannel(EventLoop& loop, std::unique_ptr<TcpStream> stream, Callbacks callbacks)
    : m_loop(loop)
    , m_callbacks(std::move(callbacks))
    , m_stream(std::move(stream))
    , m_lastReceived(loop.now())
{
    m_stream->setHandler(*this);
    m_stream->startReading();
}

void FrameChannel::send(const Message& message)
{
    std::string bytes;
    appendFrame(bytes, message, maxProtocolVersion);
    m_stream->write(std::move(bytes));
}

void FrameChannel::sendWithBody(const Message& head, StreamId stream, std::string_view body)
{
    std::string bytes;
    appendFrame(bytes, head, maxProtocolVersion);
    for (size_t offset = 0; offset < body.size(); offset += chunkBytes) {
        const std::string_view part = body.substr(offset, chunkBytes);
        appendFrame(bytes,
            BodyChunk { .stream = stream,
                .offset = offset,
                .data = std::string(part),
                .isLast = offset + part.size() == body.size() },
            maxProtocolVersion);
    }
    m_stream->write(std::move(bytes));
}

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
