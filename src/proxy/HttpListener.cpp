#include "proxy/HttpListener.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace skylark {

namespace {

    constexpr int statusRequestTimeout = 408;
    constexpr int statusUnavailable = 503;
    constexpr const char* memoryRetryAfter = "1";
    constexpr Duration progressCheckInterval = std::chrono::milliseconds(250);
    // Bytes that a caller may send ahead while its request is in progress.
    constexpr size_t maxPipelinedBytes = 64 * 1024;

} // namespace

HttpConnection::HttpConnection(HttpListener& listener, std::unique_ptr<TcpStream> stream)
    : m_listener(listener)
    , m_stream(std::move(stream))
    , m_parser(listener.m_options.limits)
    , m_timer(listener.m_loop, [this] { handleTimeout(); })
    , m_bufferCharge(listener.m_options.memory)
    , m_bodyCharge(listener.m_options.memory)
    , m_progressAt(listener.m_loop.now())
{
    m_parser.setBodyReservation([this](size_t bytes) { return resize(m_bodyCharge, bytes); });
}

void HttpConnection::start()
{
    m_stream->setHandler(*this);
    startTimeout();
    m_stream->startReading();
}

void HttpConnection::onData(std::string_view bytes)
{
    const auto self = shared_from_this();
    const bool isNewMessage = !m_isBusy && !m_parser.isWithinMessage();
    if (!resize(m_bufferCharge, m_parser.bufferedBytes() + bytes.size())) {
        // While a request runs, its response is more important than those that were sent ahead.
        if (m_isBusy)
            m_keepsAlive = false;
        else
            refuse(statusUnavailable);
        return;
    }
    m_parser.append(bytes);
    m_progressAt = m_listener.m_loop.now();
    if (m_isBusy) {
        if (m_parser.bufferedBytes() >= maxPipelinedBytes)
            m_stream->stopReading();
        return;
    }
    readNext();
    if (!m_isBusy && m_stream && (isNewMessage || m_parser.isReadingBody()))
        startTimeout();
}

void HttpConnection::readNext()
{
    try {
        auto request = m_parser.next();
        m_bufferCharge.resize(m_parser.bufferedBytes());
        if (!request) {
            if (m_parser.takeExpectContinue())
                m_stream->write("HTTP/1.1 100 Continue\r\n\r\n");
            return;
        }
        m_timer.stop();
        m_isBusy = true;
        m_keepsAlive = request->keepsAlive;
        m_isHeadRequest = request->method == "HEAD";
        if (m_bodyCharge.bytes() > 0) {
            auto charge = std::make_shared<MemoryCharge>(m_listener.m_options.memory);
            std::swap(*charge, m_bodyCharge);
            request->allocation = std::move(charge);
        }
        m_listener.m_handler(std::move(*request), shared_from_this());
    } catch (const HttpError& error) {
        refuse(error.status());
    }
}

void HttpConnection::respond(HttpResponse response)
{
    if (!m_stream || !m_isBusy)
        return;
    const auto self = shared_from_this();
    m_isBusy = false;
    m_onDisconnect = nullptr;
    response.keepsAlive = m_keepsAlive && !m_listener.m_isDraining && !response.endsWithClose;
    std::string text = serializeHead(response);
    if (m_isHeadRequest || forbidsBody(response.status))
        response.body.clear();
    auto charge = std::make_shared<MemoryCharge>(m_listener.m_options.memory);
    if (!resize(*charge, text.size() + response.body.size())) {
        m_listener.m_options.memory->countClosed();
        TcpStream::reset(std::move(m_stream));
        close(false);
        return;
    }
    write(std::move(text), std::move(response.body), charge);
    m_responseCharge = std::move(charge);
    m_unsentBytes = m_stream->pendingBytes();
    m_progressAt = m_listener.m_loop.now();
    if (!response.keepsAlive) {
        close(true);
        return;
    }
    startTimeout();
    m_stream->startReading();
    if (m_parser.isWithinMessage()) {
        // Posted, so that it does not run within the handler of the previous request.
        m_listener.m_loop.post([weak = weak_from_this()] {
            const auto connection = weak.lock();
            if (connection && connection->m_stream && !connection->m_isBusy)
                connection->readNext();
        });
    }
}

void HttpConnection::write(std::string head, std::string body, const std::shared_ptr<MemoryCharge>& charge)
{
    // A small body is cheaper to copy than to pass to the kernel separately.
    constexpr size_t maxCopiedBytes = size_t { 64 } * 1024;
    if (body.size() <= maxCopiedBytes) {
        m_stream->write(std::move(head) + body, charge);
        return;
    }
    struct ChargedBody {
        std::string body;
        std::shared_ptr<MemoryCharge> charge;
    };
    const auto owner = std::make_shared<const ChargedBody>(ChargedBody { .body = std::move(body), .charge = charge });
    m_stream->write(std::move(head));
    m_stream->writeShared(owner->body, owner);
}

void HttpConnection::finishAndClose()
{
    const auto self = shared_from_this();
    m_onDisconnect = nullptr;
    close(true);
}

void HttpConnection::onEnd(StreamEnd)
{
    const auto self = shared_from_this();
    const auto onDisconnect = std::exchange(m_onDisconnect, nullptr);
    close(false);
    if (onDisconnect)
        onDisconnect();
}

void HttpConnection::startTimeout()
{
    const HttpListenerOptions& options = m_listener.m_options;
    // A body may take long as long as it advances; each received part starts the timeout again.
    const bool isReadingHead = m_parser.isWithinMessage() && !m_parser.isReadingBody();
    m_timer.start(isReadingHead ? options.headerTimeout : options.idleTimeout);
}

void HttpConnection::handleTimeout()
{
    const auto self = shared_from_this();
    if (m_isBusy)
        return;
    if (m_parser.isWithinMessage())
        refuse(statusRequestTimeout);
    else
        close(true);
}

void HttpConnection::refuse(int status)
{
    HttpResponse response { .status = status, .keepsAlive = false };
    if (status == statusUnavailable) {
        response.headers.push_back({ "Retry-After", memoryRetryAfter });
        if (MemoryBudget* memory = m_listener.m_options.memory) {
            memory->countRefused();
            m_listener.m_memoryLog.write({ { "action", "refused" }, { "caller", peerHost() },
                { "charged_bytes", std::to_string(memory->chargedBytes()) } });
        }
    }
    m_stream->write(serialize(response));
    close(true);
}

bool HttpConnection::resize(MemoryCharge& charge, size_t bytes)
{
    while (!charge.resize(bytes)) {
        if (!m_listener.closeStalled(*this))
            return false;
    }
    return true;
}

void HttpConnection::checkProgress(TimePoint now)
{
    const size_t unsentBytes = m_stream ? m_stream->pendingBytes() : 0;
    if (unsentBytes != m_unsentBytes)
        m_progressAt = now;
    m_unsentBytes = unsentBytes;
}

void HttpConnection::closeStalled()
{
    const auto self = shared_from_this();
    m_listener.m_memoryLog.write({ { "action", "closed" }, { "caller", peerHost() },
        { "reading", isReadingRequest() ? "true" : "false" }, { "body_bytes", std::to_string(m_bodyCharge.bytes()) },
        { "unsent_bytes", std::to_string(m_stream->pendingBytes()) } });
    m_listener.m_options.memory->countClosed();
    const bool isReader = hasUnsentResponse();
    // The stream frees the response when it has closed, which is before the loop handles further events.
    if (m_responseCharge)
        m_responseCharge->release();
    if (isReader) {
        TcpStream::reset(std::move(m_stream));
        close(false);
    } else {
        refuse(statusRequestTimeout);
    }
    m_bodyCharge.release();
    m_bufferCharge.release();
}

void HttpConnection::close(bool mustFlush)
{
    if (!m_stream)
        return;
    m_timer.stop();
    m_isBusy = false;
    if (mustFlush)
        TcpStream::closeAfterFlush(std::move(m_stream));
    m_stream.reset();
    m_listener.m_connections.erase(shared_from_this());
}

HttpListener::HttpListener(EventLoop& loop, HttpListenerOptions options, Handler handler)
    : m_loop(loop)
    , m_options(std::move(options))
    , m_handler(std::move(handler))
    , m_listener(loop, m_options.address, [this](std::unique_ptr<TcpStream> stream) { accept(std::move(stream)); })
    , m_progressTimer(loop,
          [this] {
              for (const auto& connection : m_connections)
                  connection->checkProgress(m_loop.now());
          })
    , m_memoryLog(loop.clock(), LogLevel::Warning, "caller-memory-exceeded")
{
    if (m_options.memory)
        m_progressTimer.startRepeating(progressCheckInterval);
}

HttpListener::~HttpListener() = default;

void HttpListener::accept(std::unique_ptr<TcpStream> stream)
{
    if (m_connections.size() >= m_options.maxConnections && !closeLongestIdle())
        return;
    const auto connection = std::make_shared<HttpConnection>(*this, std::move(stream));
    m_connections.insert(connection);
    connection->start();
}

bool HttpListener::closeStalled(const HttpConnection& requester)
{
    const TimePoint stalledSince = m_loop.now() - m_options.minStall;
    HttpConnection* longest = nullptr;
    for (const auto& connection : m_connections) {
        if (connection.get() != &requester && connection->isReclaimable() && connection->m_progressAt <= stalledSince
            && (!longest || connection->m_progressAt < longest->m_progressAt))
            longest = connection.get();
    }
    if (longest)
        longest->closeStalled();
    return longest != nullptr;
}

bool HttpListener::closeLongestIdle()
{
    HttpConnection* longest = nullptr;
    for (const auto& connection : m_connections) {
        if (connection->isIdle() && (!longest || connection->m_progressAt < longest->m_progressAt))
            longest = connection.get();
    }
    if (!longest)
        return false;
    const auto connection = longest->shared_from_this();
    connection->close(false);
    return true;
}

void HttpListener::setLimits(HttpLimits limits, Duration headerTimeout, Duration idleTimeout)
{
    m_options.limits = limits;
    m_options.headerTimeout = headerTimeout;
    m_options.idleTimeout = idleTimeout;
}

void HttpListener::closeIdle()
{
    std::vector<std::shared_ptr<HttpConnection>> idle;
    for (const auto& connection : m_connections) {
        if (!connection->isBusy() && !connection->isReadingRequest())
            idle.push_back(connection);
    }
    for (const auto& connection : idle)
        connection->finishAndClose();
}

} // namespace skylark
