#include "node/BackendClient.h"

#include "base/Error.h"

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <algorithm>

namespace skylark {

namespace {

    // cpp-httplib adds these to the headers of a request that it receives; they are not from the caller.
    bool isLibraryHeader(const std::string& name)
    {
        return name == "REMOTE_ADDR" || name == "REMOTE_PORT" || name == "LOCAL_ADDR" || name == "LOCAL_PORT";
    }

    httplib::Request makeRequest(const BackendRequest& request)
    {
        httplib::Request result;
        result.method = request.method;
        result.path = request.target;
        for (const auto& [name, value] : request.headers) {
            if (!isHopByHopHeader(name))
                result.headers.emplace(name, value);
        }
        return result;
    }

    std::optional<uint64_t> contentLength(const httplib::Response& response)
    {
        uint64_t length = 0;
        if (!response.has_header("Content-Length")
            || !absl::SimpleAtoi(response.get_header_value("Content-Length"), &length))
            return std::nullopt;
        return length;
    }

    HeaderList forwardedHeaders(const httplib::Response& response)
    {
        HeaderList headers;
        for (const auto& [name, value] : response.headers) {
            if (!isHopByHopHeader(name))
                headers.emplace_back(name, value);
        }
        return headers;
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
    const std::lock_guard lock(m_mutex);
    m_isCancelled = true;
    if (m_client)
        m_client->stop();
}

bool BackendCancellation::isCancelled() const
{
    const std::lock_guard lock(m_mutex);
    return m_isCancelled;
}

bool BackendCancellation::attach(httplib::Client* client)
{
    const std::lock_guard lock(m_mutex);
    m_client = client;
    return !m_isCancelled;
}

void BackendCancellation::detach()
{
    const std::lock_guard lock(m_mutex);
    m_client = nullptr;
}

BackendClient::BackendClient(BackendClientOptions options)
    : m_options(std::move(options))
{
}

std::unique_ptr<httplib::Client> BackendClient::acquireClient()
{
    {
        const std::lock_guard lock(m_mutex);
        if (!m_idleClients.empty()) {
            std::unique_ptr<httplib::Client> client = std::move(m_idleClients.back());
            m_idleClients.pop_back();
            return client;
        }
    }
    auto client = std::make_unique<httplib::Client>(m_options.backend.host, m_options.backend.port);
    client->set_keep_alive(true);
    client->set_tcp_nodelay(true);
    client->set_decompress(false);
    client->set_compress(false);
    client->set_follow_location(false);
    client->set_connection_timeout(m_options.connectTimeout);
    return client;
}

void BackendClient::releaseClient(std::unique_ptr<httplib::Client> client)
{
    const std::lock_guard lock(m_mutex);
    if (m_idleClients.size() < m_options.maxIdleConnections)
        m_idleClients.push_back(std::move(client));
}

BackendResult BackendClient::exchange(const BackendRequest& request, const BackendResponseSink& sink,
    const std::shared_ptr<BackendCancellation>& cancellation)
{
    BackendResult result;
    const Duration remaining = request.deadline - std::chrono::steady_clock::now();
    if (remaining <= Duration::zero())
        return { .outcome = CallOutcome::NotRun, .step = "backend-send", .message = "the deadline has passed" };

    std::unique_ptr<httplib::Client> client = acquireClient();
    client->set_read_timeout(remaining);
    client->set_write_timeout(remaining);
    if (!cancellation->attach(client.get()))
        return { .outcome = CallOutcome::NotRun, .step = "backend-send", .message = "the call was cancelled" };

    httplib::Request httpRequest = makeRequest(request);
    std::string bodyError;
    if (request.body)
        httpRequest.body = *request.body;
    if (request.readBody) {
        httpRequest.is_chunked_content_provider_ = true;
        httpRequest.headers.emplace("Transfer-Encoding", "chunked");
        httpRequest.content_provider_ = [&](size_t, size_t, httplib::DataSink& body) {
            try {
                const std::optional<std::string> part = request.readBody();
                if (part)
                    return body.write(part->data(), part->size());
                body.done();
                return true;
            } catch (const skylark::Error& error) {
                bodyError = error.what();
                return false;
            }
        };
    }
    std::optional<uint64_t> expectedBytes;
    uint64_t receivedBytes = 0;
    httpRequest.response_handler = [&](const httplib::Response& response) {
        expectedBytes = contentLength(response);
        result.hasHead = true;
        return sink.onHead(response.status, forwardedHeaders(response), expectedBytes);
    };
    httpRequest.content_receiver = [&](const char* data, size_t size, uint64_t, uint64_t) {
        receivedBytes += size;
        return std::chrono::steady_clock::now() < request.deadline && sink.onBody(std::string(data, size));
    };

    httplib::Response response;
    httplib::Error error = httplib::Error::Success;
    const bool isComplete = client->send(httpRequest, response, error);
    cancellation->detach();
    const bool hasFullLength = request.method == "HEAD" || !expectedBytes || receivedBytes == *expectedBytes;
    if (isComplete && hasFullLength) {
        releaseClient(std::move(client));
        result.outcome = CallOutcome::Answered;
        return result;
    }
    const bool isNotSent = error == httplib::Error::Connection || error == httplib::Error::ConnectionTimeout;
    result.outcome = isNotSent ? CallOutcome::NotRun : CallOutcome::Unknown;
    result.step = isNotSent ? "backend-connect" : "backend-exchange";
    result.message = isComplete ? "the answer's body was cut off" : httplib::to_string(error);
    if (!bodyError.empty())
        result.message = bodyError;
    return result;
}

} // namespace skylark
