#include "transport/Stream.h"

#include "base/Error.h"
#include "base/Invariant.h"
#include "transport/Connection.h"

#include <algorithm>

namespace skylark {

namespace {
    // Other calls on the connection wait for at most one chunk of a body.
    constexpr size_t chunkBytes = size_t { 64 } * 1024;
    // Received chunks are joined up to this size, to limit the memory overhead of many small chunks.
    constexpr size_t maxCoalescedBytes = size_t { 16 } * 1024;
    // Window updates are sent in steps of this size, which saves messages and keeps three quarters of the window open.
    constexpr size_t windowUpdateThreshold = streamWindowBytes / 4;
} // namespace

Stream::Stream(std::shared_ptr<Connection> connection, StreamId id, bool hasBody)
    : m_connection(std::move(connection))
    , m_id(id)
    , m_isServer(true)
    , m_isReceiveFinished(!hasBody)
{
}

void Stream::setUnsent(std::string body, bool isLast)
{
    m_unsent = std::move(body);
    m_unsentPosition = 0;
    m_isLastUnsent = isLast;
}

BodyChunk Stream::nextChunk()
{
    const size_t size = std::min({ chunkBytes, unsentBytes(), static_cast<size_t>(m_sendLimit - m_sendOffset) });
    return { .stream = m_id,
        .offset = m_sendOffset,
        .data = m_unsent.substr(m_unsentPosition, size),
        .isLast = m_isLastUnsent && size == unsentBytes() };
}

// Called with the mutex held. Stops when the window is exhausted, the connection is congested or all body is sent.
void Stream::sendUnsent()
{
    while (m_connection && !m_isSendFinished && (unsentBytes() > 0 || m_isLastUnsent)) {
        if (unsentBytes() > 0 && m_sendOffset == m_sendLimit)
            return;
        const BodyChunk chunk = nextChunk();
        if (!m_connection->sendChunk(chunk, shared_from_this()))
            return;
        m_sendOffset += chunk.data.size();
        m_unsentPosition += chunk.data.size();
        m_isSendFinished = chunk.isLast;
        invariant(m_sendOffset <= m_sendLimit && m_unsentPosition <= m_unsent.size(),
            { .rule = "a stream sends within its window", .step = "send-body" });
    }
    if (unsentBytes() == 0)
        setUnsent({}, false);
    if (m_isSendFinished && m_isServer)
        detachFromConnection();
}

void Stream::detachFromConnection()
{
    if (!m_connection)
        return;
    m_connection->removeStream(m_id);
    m_connection.reset();
}

Stream::OpenResult Stream::open(
    const std::shared_ptr<Connection>& connection, CallStart& call, std::string& body, bool isComplete)
{
    const std::lock_guard lock(m_mutex);
    call.hasBody = !body.empty() || !isComplete;
    BodyChunk firstChunk { .data = body.substr(0, chunkBytes), .isLast = isComplete && body.size() <= chunkBytes };
    const size_t firstBytes = firstChunk.data.size();
    const bool hasFirstChunk = call.hasBody && (firstBytes > 0 || firstChunk.isLast);
    if (!connection->openStream(shared_from_this(), call, hasFirstChunk ? &firstChunk : nullptr))
        return OpenResult::TryAnotherConnection;
    m_id = call.stream;
    m_connection = connection;
    m_isSendFinished = !call.hasBody || (hasFirstChunk && firstChunk.isLast);
    m_sendOffset = firstBytes;
    if (!m_isSendFinished) {
        setUnsent(std::move(body), isComplete);
        m_unsentPosition = m_sendOffset;
        sendUnsent();
    }
    return OpenResult::Opened;
}

void Stream::failBeforeOpen(StreamFailure failure)
{
    const std::lock_guard lock(m_mutex);
    m_failure = failure;
    m_result = std::move(failure);
}

AwaitResult Stream::awaitResponse(TimePoint deadline)
{
    Lock lock(m_mutex);
    if (m_changed.wait_until(lock, deadline, [this] { return m_result.has_value(); }))
        return *m_result;
    return StreamFailure { .step = "await-answer", .message = "no answer before the deadline", .isTimeout = true };
}

bool Stream::sendBody(std::string chunk, bool isLast, TimePoint deadline)
{
    Lock lock(m_mutex);
    const auto isSentOrEnded = [this] { return !m_connection || (unsentBytes() == 0 && !m_isLastUnsent); };
    // The rest of the body passed to openCall() or respond() is sent first.
    if (!m_isSendBroken && m_changed.wait_until(lock, deadline, isSentOrEnded) && m_connection && !m_isSendFinished) {
        setUnsent(std::move(chunk), isLast);
        sendUnsent();
        if (m_changed.wait_until(lock, deadline, isSentOrEnded))
            return m_connection || m_isSendFinished;
    }
    // The rest of a body that missed its deadline is discarded. Nothing may follow it, since the body would have a gap.
    m_isSendBroken = true;
    setUnsent({}, false);
    return false;
}

std::optional<std::string> Stream::readBody(TimePoint deadline)
{
    Lock lock(m_mutex);
    const auto isReady = [this] { return !m_received.empty() || m_isReceiveFinished || !m_connection; };
    if (!m_changed.wait_until(lock, deadline, isReady))
        throw Error({ .step = "read-body", .message = "the body did not arrive before the deadline" });
    if (!m_received.empty()) {
        std::string chunk = std::move(m_received.front());
        m_received.pop_front();
        returnReceiveCredit(chunk.size());
        return chunk;
    }
    if (m_isReceiveFinished)
        return std::nullopt;
    throw Error({ .step = "read-body",
        .message = "the body was cut off after " + std::to_string(m_receiveOffset)
            + " bytes: " + (m_failure ? m_failure->message : std::string("the call is over")) });
}

void Stream::returnReceiveCredit(size_t bytes)
{
    m_unreturnedCredit += bytes;
    if (m_isReceiveFinished || !m_connection || m_unreturnedCredit < windowUpdateThreshold)
        return;
    m_receiveLimit += m_unreturnedCredit;
    m_connection->sendForStream(WindowUpdate { .stream = m_id, .bytes = std::exchange(m_unreturnedCredit, 0) });
}

void Stream::cancel()
{
    Lock lock(m_mutex);
    if (!m_connection)
        return;
    m_connection->sendForStream(Cancel { .stream = m_id });
    endWithFailure(lock, { .step = "cancel", .message = "the caller cancelled the call" });
}

void Stream::respond(AnswerStart answer, std::string firstBody, bool isComplete)
{
    const std::lock_guard lock(m_mutex);
    if (!m_connection || std::exchange(m_hasResponded, true))
        return;
    answer.stream = m_id;
    answer.hasBody = !firstBody.empty() || !isComplete;
    if (!answer.hasBody) {
        m_isSendFinished = true;
        m_connection->sendForStream(std::move(answer));
        detachFromConnection();
        return;
    }
    setUnsent(std::move(firstBody), isComplete);
    if (unsentBytes() == 0) {
        m_connection->sendForStream(std::move(answer));
        return;
    }
    // The start of the response and the first chunk are sent in one write.
    BodyChunk chunk = nextChunk();
    m_sendOffset += chunk.data.size();
    m_unsentPosition += chunk.data.size();
    m_isSendFinished = chunk.isLast;
    m_connection->sendForStream(std::move(answer), std::move(chunk));
    sendUnsent();
}

void Stream::refuse(Refusal refusal)
{
    const std::lock_guard lock(m_mutex);
    if (!m_connection || std::exchange(m_hasResponded, true))
        return;
    refusal.stream = m_id;
    m_connection->sendForStream(std::move(refusal));
    detachFromConnection();
}

void Stream::abandon()
{
    const std::lock_guard lock(m_mutex);
    if (!m_connection)
        return;
    if (!m_hasResponded) {
        m_connection->sendForStream(Refusal { .stream = m_id,
            .outcome = CallOutcome::Unknown,
            .step = "gate",
            .reason = "the gate gave up the call without an answer" });
    } else if (m_isLastUnsent) {
        // A complete response is sent to its end as the caller reads it.
        return;
    } else {
        m_connection->sendForStream(Cancel { .stream = m_id });
    }
    detachFromConnection();
}

bool Stream::isCancelled() const
{
    const std::lock_guard lock(m_mutex);
    return m_failure.has_value();
}

void Stream::onCancelled(std::function<void()> function)
{
    {
        const std::lock_guard lock(m_mutex);
        if (!m_failure) {
            m_onCancelled = std::move(function);
            return;
        }
    }
    function();
}

void Stream::endWithFailure(Lock& lock, const StreamFailure& failure)
{
    detachFromConnection();
    m_failure = failure;
    if (!m_result)
        m_result = failure;
    const std::function<void()> cancelHandler = std::exchange(m_onCancelled, nullptr);
    lock.unlock();
    m_changed.notify_all();
    if (cancelHandler)
        cancelHandler();
}

void Stream::abortStream(Lock& lock, const std::string& message)
{
    m_connection->sendForStream(Cancel { .stream = m_id });
    endWithFailure(lock, { .step = "stream", .message = message });
}

void Stream::handleResponse(AnswerStart&& answer)
{
    Lock lock(m_mutex);
    if (!m_connection)
        return;
    if (m_isServer || m_result)
        return abortStream(lock, "the peer sent an answer that was not due");
    m_isReceiveFinished = !answer.hasBody;
    m_result = std::move(answer);
    if (m_isReceiveFinished)
        detachFromConnection();
    lock.unlock();
    m_changed.notify_all();
}

void Stream::handleRefusal(Refusal&& refusal)
{
    Lock lock(m_mutex);
    if (!m_connection)
        return;
    if (m_isServer || m_result)
        return abortStream(lock, "the peer sent a refusal that was not due");
    m_result = std::move(refusal);
    detachFromConnection();
    lock.unlock();
    m_changed.notify_all();
}

void Stream::handleChunk(BodyChunk&& chunk)
{
    Lock lock(m_mutex);
    if (!m_connection)
        return;
    const bool isDue = m_isServer || (m_result && std::holds_alternative<AnswerStart>(*m_result));
    if (!isDue || m_isReceiveFinished)
        return abortStream(lock, "the peer sent body that was not due");
    if (chunk.offset != m_receiveOffset)
        return abortStream(lock,
            "body at offset " + std::to_string(chunk.offset) + " does not follow on "
                + std::to_string(m_receiveOffset));
    if (chunk.data.size() > m_receiveLimit - m_receiveOffset)
        return abortStream(lock, "the peer sent more body than its window allows");
    m_receiveOffset += chunk.data.size();
    if (!m_received.empty() && m_received.back().size() + chunk.data.size() <= maxCoalescedBytes)
        m_received.back() += chunk.data;
    else if (!chunk.data.empty())
        m_received.push_back(std::move(chunk.data));
    m_isReceiveFinished = chunk.isLast;
    if (m_isReceiveFinished && !m_isServer)
        detachFromConnection();
    lock.unlock();
    m_changed.notify_all();
}

void Stream::handleWindowUpdate(uint64_t bytes)
{
    Lock lock(m_mutex);
    if (!m_connection)
        return;
    if (bytes > m_sendOffset + streamWindowBytes - m_sendLimit)
        return abortStream(lock, "the peer opened the window beyond its size");
    m_sendLimit += bytes;
    sendUnsent();
    lock.unlock();
    m_changed.notify_all();
}

void Stream::handleCancel()
{
    Lock lock(m_mutex);
    if (m_connection)
        endWithFailure(lock, { .step = "peer-cancel", .message = "the peer cancelled the call" });
}

void Stream::handleConnectionLoss(const StreamFailure& failure)
{
    Lock lock(m_mutex);
    if (m_connection)
        endWithFailure(lock, failure);
}

void Stream::resume()
{
    Lock lock(m_mutex);
    sendUnsent();
    lock.unlock();
    m_changed.notify_all();
}

bool Stream::hasUnsentBody() const
{
    const std::lock_guard lock(m_mutex);
    return m_connection && (unsentBytes() > 0 || m_isLastUnsent);
}

} // namespace skylark
