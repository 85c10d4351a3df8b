#include "proxy/BackendConnection.h"

#include "proxy/ResponseKind.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>
#include <absl/strings/strip.h>

namespace skylark {

namespace {

    // The server runs on the same instance.
    constexpr ConnectOptions connectOptions { .connectTimeout = std::chrono::milliseconds(1000) };

} // namespace

BackendConnection::BackendConnection(
    EventLoop& loop, const Endpoint& server, const HttpConventions& httpConventions, ClosedCallback onIdleClosed)
    : m_loop(loop)
    , m_httpConventions(httpConventions)
    , m_onIdleClosed(std::move(onIdleClosed))
    , m_stream(TcpStream::connect(loop, server, *this, connectOptions))
    , m_parser({})
{
}

void BackendConnection::send(BackendRequest request, ResultCallback onResult)
{
    m_request = std::move(request);
    m_onResult = std::move(onResult);
    m_isReusable = false;
    if (m_request.isHeadRequest)
        m_parser.expectNoBody();
    if (m_stream->isConnected())
        writeRequest();
}

void BackendConnection::close()
{
    m_onResult = nullptr;
    m_isReusable = false;
    m_stream.reset();
}

void BackendConnection::onConnected()
{
    if (m_onResult)
        writeRequest();
}

void BackendConnection::writeRequest()
{
    m_stream->write(std::move(m_request.bytes));
    if (const auto message = std::exchange(m_request.message, nullptr); message && !message->body.empty())
        m_stream->writeShared(message->body, message);
}

void BackendConnection::onData(std::string_view bytes)
{
    const auto self = shared_from_this();
    if (!m_onResult) {
        close();
        m_onIdleClosed(self);
        return;
    }
    m_parser.append(bytes);
    try {
        while (m_onResult) {
            auto response = m_parser.next();
            if (!response)
                return;
            if (isOwnResponse(*response))
                acceptResponse(std::move(*response));
        }
    } catch (const HttpError& error) {
        finish(BackendFailure { .reason = error.message() });
    }
}

void BackendConnection::onEnd(StreamEnd end)
{
    const auto self = shared_from_this();
    if (!m_onResult) {
        close();
        m_onIdleClosed(self);
        return;
    }
    if (end == StreamEnd::NotConnected) {
        finish(BackendUnreachable {});
        return;
    }
    // A response without a length is complete only after an orderly close, and only if the server has accepted the
    // whole request: otherwise the close may be that of a server that failed in the middle of both.
    const bool hasAcceptedRequest = !m_stream->hasWriteError() && m_stream->undeliveredBytes() == 0;
    auto response = end == StreamEnd::Closed && hasAcceptedRequest ? m_parser.finish() : std::nullopt;
    if (response && isOwnResponse(*response)) {
        response->keepsAlive = false;
        acceptResponse(std::move(*response));
        return;
    }
    const char* reason = "the server closed the connection";
    if (end != StreamEnd::Closed)
        reason = "the server reset the connection";
    else if (!hasAcceptedRequest)
        reason = "the server closed the connection before it had accepted the whole request";
    finish(BackendFailure { .reason = reason, .isConnectionLost = true });
}

bool BackendConnection::isOwnResponse(const HttpResponse& response) const
{
    if (const std::string* id = findHeader(response.headers, m_httpConventions.requestId))
        return *id == m_request.requestId;
    // A server that rejects a request may not have read its id.
    return !m_hasAnswered && statesNotExecuted(response, m_httpConventions);
}

void BackendConnection::acceptResponse(HttpResponse response)
{
    recordKeepAlive(response);
    m_hasAnswered = true;
    // A server that responds early may still read, and what follows would not be the rest of the request's body.
    m_isReusable = response.keepsAlive && !m_parser.isWithinMessage() && m_stream->pendingBytes() == 0
        && !m_stream->hasWriteError();
    m_idleSince = m_loop.now();
    finish(BackendResponse { std::move(response) });
}

void BackendConnection::recordKeepAlive(const HttpResponse& response)
{
    const std::string* parameters = findHeader(response.headers, "Keep-Alive");
    if (!parameters)
        return;
    for (absl::string_view part : absl::StrSplit(*parameters, ',')) {
        part = absl::StripAsciiWhitespace(part);
        int seconds = 0;
        if (absl::ConsumePrefix(&part, "timeout=") && absl::SimpleAtoi(part, &seconds) && seconds > 0)
            m_keepAliveTimeout = std::chrono::seconds(seconds);
    }
}

void BackendConnection::finish(BackendResult result)
{
    const auto self = shared_from_this();
    if (!m_isReusable)
        m_stream.reset();
    const ResultCallback onResult = std::exchange(m_onResult, nullptr);
    onResult(self, std::move(result));
}

} // namespace skylark
