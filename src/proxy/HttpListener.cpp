#include "proxy/HttpListener.h"

#include <utility>
#include <vector>

namespace skylark {

namespace {

    constexpr int statusRequestTimeout = 408;
    // Bytes that a caller may send ahead while its request is in progress.
    constexpr size_t maxPipelinedBytes = 64 * 1024;

} // namespace

HttpConnection::HttpConnection(HttpListener& listener, std::unique_ptr<TcpStream> stream)
    : m_listener(listener)
    , m_stream(std::move(stream))
    , m_parser(listener.m_options.limits)
    , m_timer(listener.m_loop, [this] { handleTimeout(); })
{
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
    m_parser.append(bytes);
    if (m_isBusy) {
        if (m_parser.isWithinMessage() && bytes.size() >= maxPipelinedBytes)
            m_stream->stopReading();
        return;
    }
    readNext();
    if (isNewMessage && !m_isBusy && m_stream)
        startTimeout();
}

void HttpConnection::readNext()
{
    try {
        auto request = m_parser.next();
        if (!request) {
            if (m_parser.takeExpectContinue())
                m_stream->write("HTTP/1.1 100 Continue\r\n\r\n");
            return;
        }
        m_timer.stop();
        m_isBusy = true;
        m_keepsAlive = request->keepsAlive;
        m_isHeadRequest = request->method == "HEAD";
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
    std::string text = serialize(response);
    if (m_isHeadRequest)
        text.resize(text.size() - response.body.size());
    m_stream->write(std::move(text));
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
    m_timer.start(m_parser.isWithinMessage() ? options.headerTimeout : options.idleTimeout);
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
    m_stream->write(serialize(response));
    close(true);
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
{
}

HttpListener::~HttpListener() = default;

void HttpListener::accept(std::unique_ptr<TcpStream> stream)
{
    if (m_connections.size() >= m_options.maxConnections)
        return;
    const auto connection = std::make_shared<HttpConnection>(*this, std::move(stream));
    m_connections.insert(connection);
    connection->start();
}

void HttpListener::setLimits(HttpLimits limits, Duration headerTimeout, Duration idleTimeout)
{
    m_options.limits = limits;
    m_options.headerTimeout = headerTimeout;
    m_options.idleTimeout = idleTimeout;
    for (const auto& connection : m_connections)
        connection->m_parser.setLimits(limits);
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
