#include "transport/CallStream.h"

#include "transport/Stream.h"

namespace skylark {

ClientStream::ClientStream(std::shared_ptr<Stream> stream)
    : m_stream(std::move(stream))
{
}

ClientStream::~ClientStream() { m_stream->cancel(); }

bool ClientStream::sendBody(std::string chunk, bool isLast, TimePoint deadline)
{
    return m_stream->sendBody(std::move(chunk), isLast, deadline);
}

AwaitResult ClientStream::awaitResponse(TimePoint deadline) { return m_stream->awaitResponse(deadline); }

std::optional<std::string> ClientStream::readBody(TimePoint deadline) { return m_stream->readBody(deadline); }

void ClientStream::cancel() { m_stream->cancel(); }

ServerStream::ServerStream(
    std::shared_ptr<Stream> stream, CallStart call, TimePoint receivedAt, Duration precedingPause, PeerInfo peer)
    : m_stream(std::move(stream))
    , m_call(std::move(call))
    , m_receivedAt(receivedAt)
    , m_precedingPause(precedingPause)
    , m_peer(std::move(peer))
{
}

ServerStream::~ServerStream() { m_stream->abandon(); }

std::optional<std::string> ServerStream::readBody(TimePoint deadline) { return m_stream->readBody(deadline); }

void ServerStream::respond(AnswerStart answer, std::string firstBody, bool isComplete)
{
    m_stream->respond(std::move(answer), std::move(firstBody), isComplete);
}

bool ServerStream::sendBody(std::string chunk, bool isLast, TimePoint deadline)
{
    return m_stream->sendBody(std::move(chunk), isLast, deadline);
}

void ServerStream::refuse(Refusal refusal) { m_stream->refuse(std::move(refusal)); }

bool ServerStream::isCancelled() const { return m_stream->isCancelled(); }

void ServerStream::onCancelled(std::function<void()> function) { m_stream->onCancelled(std::move(function)); }

} // namespace skylark
