#include "proxy/HttpListener.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace skylark {

namespace {

    // A caller that has more unread bytes of responses gets no further request started.
    constexpr size_t maxUnsentResponseBytes = size_t { 256 } * 1024;
    constexpr int statusRequestTimeout = 408;
    constexpr int statusUnavailable = 503;
    constexpr const char* memoryRetryAfter = "1";
    constexpr Duration progressCheckInterval = std::chrono::milliseconds(250);
    // Bytes that a caller may send ahead while its request is in progress.
    constexpr size_t maxPipelinedBytes = 64 * 1024;

} // namespace

HttpExchange::HttpExchange(std::weak_ptr<HttpConnection> connection, const HttpRequest& request, bool mayStartEarly)
    : m_connection(std::move(connection))
    , m_keepsAlive(request.keepsAlive)
    , m_isHeadRequest(request.method == "HEAD")
    , m_mayStartEarly(mayStartEarly)
{
}

void HttpExchange::respond(HttpResponse response)
{
    if (const auto connection = m_connection.lock())
        connection->respond(*this, std::move(response));
}

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
    if (m_refusal)
        return;
    const bool isNewMessage = !isBusy() && !m_parser.isWithinMessage();
    if (!resize(m_bufferCharge, m_parser.bufferedBytes() + bytes.size())) {
        refuseInTurn(statusUnavailable);
        return;
    }
    m_parser.append(bytes);
    m_progressAt = m_listener.m_loop.now();
    readNext();
    if (!m_stream)
        return;
    if (isBusy() && m_parser.bufferedBytes() >= maxPipelinedBytes)
        m_stream->stopReading();
    if (!isBusy() && (isNewMessage || m_parser.isReadingBody()))
        startTimeout();
}

bool HttpConnection::canReadNext() const
{
    if (!m_stream || m_refusal || m_heldRequest || m_stream->pendingBytes() > maxUnsentResponseBytes)
        return false;
    if (m_exchanges.empty())
        return true;
    return m_exchanges.size() < m_listener.m_options.maxStarted && m_exchanges.back()->m_keepsAlive
        && !m_listener.m_isDraining;
}

void HttpConnection::readNext()
{
    // A handler may respond at once, within startRequest().
    if (std::exchange(m_isReading, true))
        return;
    while (canReadNext() && readOne()) { }
    m_isReading = false;
}

bool HttpConnection::readOne()
{
    try {
        auto request = m_parser.next();
        m_bufferCharge.resize(m_parser.bufferedBytes());
        if (!request) {
            if (m_exchanges.empty() && m_parser.takeExpectContinue())
                m_stream->write("HTTP/1.1 100 Continue\r\n\r\n");
            return false;
        }
        if (m_bodyCharge.bytes() > 0) {
            auto charge = std::make_shared<MemoryCharge>(m_listener.m_options.memory);
            std::swap(*charge, m_bodyCharge);
            request->allocation = std::move(charge);
        }
        const auto& mayStartEarly = m_listener.m_options.mayStartEarly;
        const bool mustWait = !m_exchanges.empty()
            && !(mayStartEarly && mayStartEarly(*request)
                && std::all_of(m_exchanges.begin(), m_exchanges.end(),
                    [](const auto& exchange) { return exchange->m_mayStartEarly; }));
        if (mustWait) {
            m_heldRequest = std::move(*request);
            return false;
        }
        startRequest(std::move(*request));
        return true;
    } catch (const HttpError& error) {
        refuseInTurn(error.status());
        return false;
    }
}

void HttpConnection::startRequest(HttpRequest request)
{
    m_timer.stop();
    const auto& mayStartEarly = m_listener.m_options.mayStartEarly;
    const auto exchange
        = std::make_shared<HttpExchange>(weak_from_this(), request, mayStartEarly && mayStartEarly(request));
    m_exchanges.push_back(exchange);
    m_listener.m_handler(std::move(request), exchange);
}

void HttpConnection::refuseInTurn(int status)
{
    if (isBusy())
        m_refusal = status;
    else
        refuse(status);
}

void HttpConnection::respond(HttpExchange& exchange, HttpResponse response)
{
    if (!m_stream || exchange.m_response)
        return;
    const auto self = shared_from_this();
    exchange.m_onDisconnect = nullptr;
    exchange.m_charge = std::make_shared<MemoryCharge>(m_listener.m_options.memory);
    if (!resize(*exchange.m_charge, response.body.size())) {
        m_listener.m_options.memory->countClosed();
        TcpStream::reset(std::move(m_stream));
        close(false);
        return;
    }
    exchange.m_response = std::move(response);
    flush();
}

void HttpConnection::flush()
{
    while (m_stream && !m_exchanges.empty() && m_exchanges.front()->m_response) {
        const auto exchange = m_exchanges.front();
        m_exchanges.pop_front();
        writeResponse(*exchange);
    }
    if (!m_stream)
        return;
    if (m_refusal && !isBusy()) {
        refuse(*m_refusal);
        return;
    }
    if (!isBusy())
        startTimeout();
    m_stream->startReading();
    if (m_heldRequest || m_parser.isWithinMessage()) {
        // Posted, so that it does not run within the handler of the previous request.
        m_listener.m_loop.post([weak = weak_from_this()] {
            if (const auto connection = weak.lock())
                connection->proceed();
        });
    }
}

void HttpConnection::onDrained()
{
    const auto self = shared_from_this();
    proceed();
}

void HttpConnection::proceed()
{
    if (m_stream && m_heldRequest && m_exchanges.empty())
        startRequest(*std::exchange(m_heldRequest, std::nullopt));
    readNext();
}

void HttpConnection::writeResponse(HttpExchange& exchange)
{
    HttpResponse& response = *exchange.m_response;
    // A stopping node answers what it has started.
    response.keepsAlive
        = exchange.m_keepsAlive && !(m_listener.m_isDraining && m_exchanges.empty()) && !response.endsWithClose;
    std::string text = serializeHead(response);
    if (exchange.m_isHeadRequest || forbidsBody(response.status))
        response.body.clear();
    // Moved, so that a handler that keeps the exchange does not keep the charge.
    const std::shared_ptr<MemoryCharge> charge = std::move(exchange.m_charge);
    write(std::move(text), std::move(response.body), charge);
    std::erase_if(m_responseCharges, [](const auto& unsent) { return unsent.expired(); });
    m_responseCharges.push_back(charge);
    m_unsentBytes = m_stream->pendingBytes();
    m_progressAt = m_listener.m_loop.now();
    if (!response.keepsAlive)
        close(true);
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
    close(true);
}

void HttpConnection::onEnd(StreamEnd)
{
    const auto self = shared_from_this();
    const auto callbacks = endExchanges();
    close(false);
    for (const auto& onDisconnect : callbacks)
        onDisconnect();
}

std::vector<std::function<void()>> HttpConnection::endExchanges()
{
    std::vector<std::function<void()>> callbacks;
    for (const auto& exchange : std::exchange(m_exchanges, {})) {
        if (exchange->m_onDisconnect)
            callbacks.push_back(std::exchange(exchange->m_onDisconnect, nullptr));
    }
    m_heldRequest.reset();
    return callbacks;
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
    if (isBusy())
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
    // The stream frees the responses when it has closed, which is before the loop handles further events.
    for (const auto& unsent : m_responseCharges) {
        if (const auto charge = unsent.lock())
            charge->release();
    }
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
    m_timer.stop();
    // Posted, since the connection may be closed within the callbacks of another call.
    if (auto callbacks = endExchanges(); !callbacks.empty()) {
        m_listener.m_loop.post([callbacks = std::move(callbacks)] {
            for (const auto& onDisconnect : callbacks)
                onDisconnect();
        });
    }
    if (mustFlush && m_stream)
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
    // Connections that are being closed still have their descriptors.
    if (m_connections.size() + m_loop.pendingCloses() >= m_options.maxConnections && !closeLongestIdle())
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
    for (const auto& connection : m_connections)
        connection->m_parser.setLimits(limits);
}

void HttpListener::closeIdle()
{
    std::vector<std::shared_ptr<HttpConnection>> idle;
    for (const auto& connection : m_connections) {
        // A part of a request behind an unsent response counts as not read.
        if (!connection->isBusy() && (!connection->isReadingRequest() || connection->hasUnsentResponse()))
            idle.push_back(connection);
    }
    for (const auto& connection : idle)
        connection->finishAndClose();
}

} // namespace skylark
