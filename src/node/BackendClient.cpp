#include "node/BackendClient.h"

#include "base/Error.h"

#include <absl/strings/match.h>
#include <absl/strings/str_format.h>
#include <algorithm>
#include <limits>

namespace skylark {

namespace {

    // cpp-httplib adds these to the headers of a request that it receives; they are not from the caller.
    bool isLibraryHeader(const std::string& name)
    {
        return name == "REMOTE_ADDR" || name == "REMOTE_PORT" || name == "LOCAL_ADDR" || name == "LOCAL_PORT";
    }

    // The body is streamed, so it needs no limit.
    constexpr HttpLimits responseLimits { .bodyBytes = std::numeric_limits<uint64_t>::max() };

    HttpRequest makeRequest(const BackendRequest& request, const Endpoint& backend)
    {
        HttpRequest result { .method = request.method, .target = request.target };
        for (const auto& [name, value] : request.headers) {
            if (!isHopByHopHeader(name))
                result.headers.push_back({ name, value });
        }
        if (!findHeader(result.headers, "Host"))
            result.headers.push_back({ "Host", backend.toString() });
        return result;
    }

    HeaderList forwardedHeaders(const HttpResponse& response)
    {
        HeaderList headers;
        for (const HttpHeader& header : response.headers) {
            if (!isHopByHopHeader(header.name))
                headers.emplace_back(header.name, header.value);
        }
        return headers;
    }

    std::string chunkOf(const std::string& part)
    {
        return part.empty() ? std::string() : absl::StrFormat("%x\r\n", part.size()) + part + "\r\n";
    }

} // namespace

bool isHopByHopHeader(const std::string& name)
{
    static constexpr const char* names[] = { "connection", "keep-alive", "proxy-connection", "proxy-authenticate",
        "proxy-authorization", "te", "trailer", "transfer-encoding", "upgrade", "content-length", "expect" };
    return isLibraryHeader(name) || std::any_of(std::begin(names), std::end(names), [&](const char* hopByHopName) {
        return absl::EqualsIgnoreCase(name, hopByHopName);
    });
}

void BackendCancellation::cancel()
{
    m_isCancelled = true;
    m_interrupt.notify();
}

struct BackendClient::Connection {
    Connection(const Endpoint& backend, const FileDescriptor& interrupt)
        : socket(backend, interrupt)
        , parser(responseLimits)
    {
    }

    BlockingSocket socket;
    ResponseParser parser;
};

BackendClient::BackendClient(BackendClientOptions options)
    : m_options(std::move(options))
{
}

BackendClient::~BackendClient() = default;

std::unique_ptr<BackendClient::Connection> BackendClient::takeIdle()
{
    const std::lock_guard lock(m_mutex);
    while (!m_idleConnections.empty()) {
        std::unique_ptr<Connection> connection = std::move(m_idleConnections.back());
        m_idleConnections.pop_back();
        if (!connection->socket.isStale())
            return connection;
    }
    return nullptr;
}

void BackendClient::keepIdle(std::unique_ptr<Connection> connection)
{
    const std::lock_guard lock(m_mutex);
    if (m_idleConnections.size() < m_options.maxIdleConnections)
        m_idleConnections.push_back(std::move(connection));
}

std::unique_ptr<BackendClient::Connection> BackendClient::connect(
    const FileDescriptor& interrupt, TimePoint deadline) const
{
    auto connection = std::make_unique<Connection>(m_options.backend, interrupt);
    const TimePoint connectDeadline = std::chrono::steady_clock::now() + m_options.connectTimeout;
    if (const char* reason = connection->socket.awaitConnect(std::min(connectDeadline, deadline)))
        throw Error({ .step = "backend-connect", .peer = m_options.backend.toString(), .message = reason });
    return connection;
}

namespace {

    // Throws Error if a part of the body does not arrive.
    const char* sendRequest(
        BlockingSocket& socket, const BackendRequest& request, const Endpoint& backend, TimePoint deadline)
    {
        HttpRequest head = makeRequest(request, backend);
        if (!request.readBody) {
            head.body = request.body.value_or("");
            return socket.sendAll(serialize(head), deadline);
        }
        std::string text = head.method + " " + head.target + " HTTP/1.1\r\n";
        for (const HttpHeader& header : head.headers)
            text += header.name + ": " + header.value + "\r\n";
        text += "Transfer-Encoding: chunked\r\n\r\n";
        if (const char* reason = socket.sendAll(text, deadline))
            return reason;
        while (const std::optional<std::string> part = request.readBody()) {
            if (const char* reason = socket.sendAll(chunkOf(*part), deadline))
                return reason;
        }
        return socket.sendAll("0\r\n\r\n", deadline);
    }

    // Returns null once the response is complete.
    const char* receiveResponse(BlockingSocket& socket, ResponseParser& parser, bool& keepsAlive, TimePoint deadline)
    {
        std::string bytes;
        bool isClosed = false;
        while (true) {
            bytes.clear();
            if (const char* reason = socket.receive(bytes, isClosed, deadline))
                return reason;
            if (isClosed) {
                keepsAlive = false;
                return parser.finish() ? nullptr : "the server closed the connection before the answer was complete";
            }
            parser.append(bytes);
            if (const auto response = parser.next()) {
                // Bytes behind the response belong to no request.
                keepsAlive = response->keepsAlive && !parser.isWithinMessage();
                return nullptr;
            }
        }
    }

} // namespace

BackendResult BackendClient::exchange(const BackendRequest& request, const BackendResponseSink& sink,
    const std::shared_ptr<BackendCancellation>& cancellation)
{
    if (request.deadline <= std::chrono::steady_clock::now())
        return { .outcome = CallOutcome::NotRun, .step = "backend-send", .message = "the deadline has passed" };
    if (cancellation->isCancelled())
        return { .outcome = CallOutcome::NotRun, .step = "backend-send", .message = "the call was cancelled" };
    std::unique_ptr<Connection> connection = takeIdle();
    try {
        if (!connection)
            connection = connect(cancellation->m_interrupt.descriptor(), request.deadline);
    } catch (const Error& error) {
        return { .outcome = CallOutcome::NotRun, .step = "backend-connect", .message = error.message() };
    }
    connection->socket.setInterrupt(cancellation->m_interrupt.descriptor());

    BackendResult result { .step = "backend-exchange" };
    connection->parser.setSink({ .onHead =
                                     [&](const HttpResponse& head, std::optional<uint64_t> length) {
                                         result.hasHead = true;
                                         return sink.onHead(head.status, forwardedHeaders(head), length);
                                     },
        .onBody = [&](std::string_view part) { return sink.onBody(std::string(part)); } });
    if (request.method == "HEAD")
        connection->parser.expectNoBody();
    bool keepsAlive = false;
    try {
        const char* reason = sendRequest(connection->socket, request, m_options.backend, request.deadline);
        if (!reason)
            reason = receiveResponse(connection->socket, connection->parser, keepsAlive, request.deadline);
        if (reason)
            result.message = reason;
        else
            result.outcome = CallOutcome::Answered;
    } catch (const Error& error) {
        result.message = error.message();
    }
    if (keepsAlive && result.outcome == CallOutcome::Answered)
        keepIdle(std::move(connection));
    return result;
}

} // namespace skylark
