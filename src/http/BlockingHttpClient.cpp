#include "http/BlockingHttpClient.h"

#include "base/Log.h"

#include <algorithm>

namespace skylark {

namespace {

    using Deadline = std::chrono::steady_clock::time_point;

} // namespace

BlockingHttpClient::BlockingHttpClient(BlockingHttpClientOptions options)
    : m_options(std::move(options))
    , m_interrupt("start-http-client")
{
}

BlockingHttpClient::~BlockingHttpClient() = default;

void BlockingHttpClient::fail(const std::string& message) const
{
    throw Error({ .step = "http-get", .peer = m_options.server.toString(), .message = message });
}

void BlockingHttpClient::connect()
{
    auto socket = std::make_unique<BlockingSocket>(m_options.server, m_interrupt.descriptor());
    const Deadline deadline = std::chrono::steady_clock::now() + m_options.connectTimeout;
    if (const char* reason = socket->awaitConnect(deadline))
        fail(std::string("cannot connect: ") + reason);
    m_socket = std::move(socket);
    m_parser = std::make_unique<ResponseParser>(m_options.limits);
}

void BlockingHttpClient::closeUnusableConnection()
{
    const bool wasIdleForLong = std::chrono::steady_clock::now() - m_lastUsedAt > m_options.maxIdleTime;
    if (m_socket && (wasIdleForLong || m_socket->isStale()))
        m_socket.reset();
}

ReceivedResponse BlockingHttpClient::get(const std::string& target, Duration timeout, Duration holdTime)
{
    const std::string request = serialize(
        HttpRequest { .method = "GET", .target = target, .headers = { { "Host", m_options.server.toString() } } });
    const Duration expectedTime = std::min(timeout, holdTime + m_options.keptConnectionTimeout);
    closeUnusableConnection();
    if (m_socket) {
        if (auto received = sendOnKeptConnection(request, timeout, expectedTime))
            return std::move(*received);
    }
    connect();
    return send(request, timeout, expectedTime);
}

std::optional<ReceivedResponse> BlockingHttpClient::sendOnKeptConnection(
    const std::string& request, Duration timeout, Duration expectedTime)
{
    try {
        return send(request, m_isServerSlow ? timeout : expectedTime, expectedTime);
    } catch (const Error& error) {
        if (m_firstByteTime || m_isServerSlow)
            throw;
        logEvent(LogLevel::Info, "kept-connection-replaced",
            { { "server", m_options.server.toString() }, { "reason", error.message() } });
        return std::nullopt;
    }
}

ReceivedResponse BlockingHttpClient::send(const std::string& request, Duration timeout, Duration expectedTime)
{
    const TimePoint startedAt = std::chrono::steady_clock::now();
    m_firstByteTime.reset();
    try {
        if (const char* reason = m_socket->sendAll(request, startedAt + timeout))
            fail(reason);
        ReceivedResponse received = receive(startedAt + timeout);
        m_isServerSlow = *m_firstByteTime - startedAt > expectedTime;
        m_lastUsedAt = std::chrono::steady_clock::now();
        // Bytes behind the response belong to no request, and the next response would begin with them.
        if (!received.response.keepsAlive || m_parser->isWithinMessage())
            m_socket.reset();
        return received;
    } catch (const Error&) {
        m_socket.reset();
        throw;
    }
}

ReceivedResponse BlockingHttpClient::receive(Deadline firstByteDeadline)
{
    std::string bytes;
    bool isClosed = false;
    Deadline deadline = firstByteDeadline;
    while (!isClosed) {
        bytes.clear();
        if (const char* reason = m_socket->receive(bytes, isClosed, deadline))
            fail(reason);
        const TimePoint now = std::chrono::steady_clock::now();
        if (!m_firstByteTime && !bytes.empty())
            m_firstByteTime = now;
        deadline = now + m_options.progressTimeout;
        m_parser->append(bytes);
        if (auto response = m_parser->next())
            return { .response = std::move(*response), .transferTime = now - *m_firstByteTime };
    }
    if (auto response = m_parser->finish()) {
        response->keepsAlive = false;
        return { .response = std::move(*response),
            .transferTime = std::chrono::steady_clock::now() - *m_firstByteTime };
    }
    fail("the server closed the connection before the response was complete");
}

} // namespace skylark
