// One end of a call: its windows, its buffered chunks and its result. Internal to transport.
//
// - A stream is shared between the handle of a blocking thread (ClientStream, ServerStream) and its connection, which
//   delivers frames on the network's thread.
// - The mutex of a stream is locked before the mutex of its connection, never after it.
// - Buffered received chunks are bounded by streamWindowBytes.
#pragma once

#include "transport/CallStream.h"

#include <condition_variable>
#include <deque>
#include <mutex>

namespace skylark {

class Connection;

class Stream : public std::enable_shared_from_this<Stream> {
public:
    enum class OpenResult { Opened, TryAnotherConnection };

    // Creates the caller's end, which is not open yet.
    Stream() = default;
    // Creates the gate's end.
    Stream(std::shared_ptr<Connection> connection, StreamId id, bool hasBody);

    // Sends the start of the call and as much of the body as the window allows. Moves from the body if the stream was
    // opened.
    OpenResult open(const std::shared_ptr<Connection>& connection, CallStart& call, std::string& body, bool isComplete);
    void failBeforeOpen(StreamFailure failure);

    AwaitResult awaitResponse(TimePoint deadline);
    bool sendBody(std::string chunk, bool isLast, TimePoint deadline);
    std::optional<std::string> readBody(TimePoint deadline);
    // Called when the caller cancels the call or destroys its handle.
    void cancel();

    void respond(AnswerStart answer, std::string firstBody, bool isComplete);
    void refuse(Refusal refusal);
    // Called when the gate's handle is destroyed.
    void abandon();
    bool isCancelled() const;
    void onCancelled(std::function<void()> function);

    // Called by the connection on the network's thread.
    void handleResponse(AnswerStart&& answer);
    void handleRefusal(Refusal&& refusal);
    void handleChunk(BodyChunk&& chunk);
    void handleWindowUpdate(uint64_t bytes);
    void handleCancel();
    void handleConnectionLoss(const StreamFailure& failure);
    // Called when the connection is no longer congested.
    void resume();

    bool hasUnsentBody() const;

private:
    using Lock = std::unique_lock<std::mutex>;

    size_t unsentBytes() const { return m_unsent.size() - m_unsentPosition; }
    void setUnsent(std::string body, bool isLast);
    BodyChunk nextChunk();
    void sendUnsent();
    // Ends the stream: it sends and receives nothing afterwards.
    void detachFromConnection();
    void endWithFailure(Lock& lock, const StreamFailure& failure);
    void abortStream(Lock& lock, const std::string& message);
    void returnReceiveCredit(size_t bytes);

    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    // Null before the stream is opened and after it has ended.
    std::shared_ptr<Connection> m_connection;
    StreamId m_id;
    bool m_isServer { false };

    // Body that is still to be sent, from m_unsentPosition on.
    std::string m_unsent;
    size_t m_unsentPosition { 0 };
    // The body ends with m_unsent, and its last chunk has not been sent.
    bool m_isLastUnsent { false };
    bool m_isSendFinished { false };
    // A sendBody() has failed; nothing more of the body is sent.
    bool m_isSendBroken { false };
    uint64_t m_sendOffset { 0 };
    uint64_t m_sendLimit { streamWindowBytes };

    std::deque<std::string> m_received;
    bool m_isReceiveFinished { false };
    uint64_t m_receiveOffset { 0 };
    uint64_t m_receiveLimit { streamWindowBytes };
    uint64_t m_unreturnedCredit { 0 };

    std::optional<AwaitResult> m_result;
    std::optional<StreamFailure> m_failure;
    bool m_hasResponded { false };
    std::function<void()> m_onCancelled;
};

} // namespace skylark
