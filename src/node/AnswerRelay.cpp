#include "node/AnswerRelay.h"

#include <algorithm>

namespace skylark {

AnswerRelay::AnswerRelay(ServerStream& stream, TimePoint deadline, std::function<LoadHint()> load)
    : m_stream(stream)
    , m_deadline(deadline)
    , m_load(std::move(load))
{
}

BackendRequest AnswerRelay::request()
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
    // A body that ends within the first chunk is sent with its length instead of in chunks.
    std::optional<std::string> first = m_stream.readBody(m_deadline);
    std::optional<std::string> second = first ? m_stream.readBody(m_deadline) : std::nullopt;
    if (!second) {
        request.body = first.value_or("");
        return request;
    }
    request.readBody = [this, first = std::move(first), second = std::move(second)]() mutable {
        if (first)
            return std::exchange(first, std::nullopt);
        if (second)
            return std::exchange(second, std::nullopt);
        return m_stream.readBody(m_deadline);
    };
    return request;
}

BackendAnswerSink AnswerRelay::sink()
{
    return { .onHead = [this](int status, HeaderList headers,
                           std::optional<uint64_t> length) { return receiveHead(status, std::move(headers), length); },
        .onBody = [this](std::string data) { return receiveBody(std::move(data)); } };
}

bool AnswerRelay::receiveHead(int status, HeaderList headers, std::optional<uint64_t> length)
{
    m_answer.status = static_cast<uint32_t>(status);
    m_answer.headers = std::move(headers);
    if (length)
        m_answer.headers.emplace_back("Content-Length", std::to_string(*length));
    return true;
}

bool AnswerRelay::receiveBody(std::string data)
{
    if (m_isStreaming)
        return m_stream.sendBody(std::move(data), false, m_deadline);
    m_buffer += data;
    if (m_buffer.size() <= mostBufferedBytes)
        return true;
    m_isStreaming = true;
    m_answer.load = m_load();
    m_stream.respond(m_answer, std::move(m_buffer), false);
    return !m_stream.isCancelled();
}

void AnswerRelay::finish()
{
    if (m_isStreaming) {
        m_stream.sendBody("", true, m_deadline);
        return;
    }
    const bool hasLength = std::any_of(m_answer.headers.begin(), m_answer.headers.end(),
        [](const auto& header) { return header.first == "Content-Length"; });
    if (!hasLength)
        m_answer.headers.emplace_back("Content-Length", std::to_string(m_buffer.size()));
    m_answer.load = m_load();
    m_stream.respond(m_answer, std::move(m_buffer), true);
}

void AnswerRelay::fail(const std::string& step, const std::string& message)
{
    // A stream whose answer has begun is cut off by its destructor.
    if (!m_isStreaming)
        m_stream.refuse({ .outcome = CallOutcome::Unknown, .step = step, .reason = message, .load = m_load() });
}

} // namespace skylark
