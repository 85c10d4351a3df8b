#include "node/ResponseRelay.h"

#include <algorithm>

namespace skylark {

ResponseRelay::ResponseRelay(ServerStream& stream, TimePoint deadline, std::function<LoadHint()> load)
    : m_stream(stream)
    , m_deadline(deadline)
    , m_load(std::move(load))
{
}

BackendRequest ResponseRelay::request()
{
    const CallStart& call = m_stream.call();
    BackendRequest request { .method = call.method,
        .target = call.target,
        .headers = call.headers,
        .body = std::nullopt,
        .readBody = nullptr,
        .deadline = m_deadline };
    if (!call.hasBody)
        return request;
    // A body that consists of a single part is sent with Content-Length instead of chunked encoding.
    std::optional<std::string> firstPart = m_stream.readBody(m_deadline);
    std::optional<std::string> secondPart = firstPart ? m_stream.readBody(m_deadline) : std::nullopt;
    if (!secondPart) {
        request.body = firstPart.value_or("");
        return request;
    }
    request.readBody = [this, firstPart = std::move(firstPart), secondPart = std::move(secondPart)]() mutable {
        if (firstPart)
            return std::exchange(firstPart, std::nullopt);
        if (secondPart)
            return std::exchange(secondPart, std::nullopt);
        return m_stream.readBody(m_deadline);
    };
    return request;
}

BackendResponseSink ResponseRelay::sink()
{
    return { .onHead = [this](int status, HeaderList headers,
                           std::optional<uint64_t> length) { return receiveHead(status, std::move(headers), length); },
        .onBody = [this](std::string data) { return receiveBody(std::move(data)); } };
}

bool ResponseRelay::receiveHead(int status, HeaderList headers, std::optional<uint64_t> length)
{
    m_response.status = static_cast<uint32_t>(status);
    m_response.headers = std::move(headers);
    if (length)
        m_response.headers.emplace_back("Content-Length", std::to_string(*length));
    return true;
}

bool ResponseRelay::receiveBody(std::string data)
{
    if (m_isStreaming)
        return m_stream.sendBody(std::move(data), false, m_deadline);
    m_buffer += data;
    if (m_buffer.size() <= maxBufferedBytes)
        return true;
    m_isStreaming = true;
    m_response.load = m_load();
    m_stream.respond(m_response, std::move(m_buffer), false);
    return !m_stream.isCancelled();
}

void ResponseRelay::finish()
{
    if (m_isStreaming) {
        m_stream.sendBody("", true, m_deadline);
        return;
    }
    const bool hasLength = std::any_of(m_response.headers.begin(), m_response.headers.end(),
        [](const auto& header) { return header.first == "Content-Length"; });
    if (!hasLength)
        m_response.headers.emplace_back("Content-Length", std::to_string(m_buffer.size()));
    m_response.load = m_load();
    m_stream.respond(m_response, std::move(m_buffer), true);
}

void ResponseRelay::fail(const std::string& step, const std::string& message)
{
    // Once the response has started, the stream's destructor truncates it.
    if (!m_isStreaming)
        m_stream.refuse({ .outcome = CallOutcome::Unknown, .step = step, .reason = message, .load = m_load() });
}

} // namespace skylark
