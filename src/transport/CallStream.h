// The two ends of one call between nodes, for threads that block.
//
// - A call consists of a CallStart and a body in one direction, and of an AnswerStart and a body, or a Refusal, in the
//   other.
// - Many calls share one connection; the stream id tells them apart.
// - Each direction has a flow-control window of 256 KiB, which opens again as the reader consumes chunks. A stream
//   therefore buffers at most one window more than the body passed to a single sendBody(), respond() or openCall().
//
// Every function may be called from any thread. Only functions with a deadline block.
#pragma once

#include "wire/Messages.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>

namespace skylark {

constexpr size_t streamWindowBytes = size_t { 256 } * 1024;

class Stream;

// The peer of a connection, as announced in its Hello.
struct PeerInfo {
    InstanceId instance;
    Incarnation incarnation;
    ZoneName zone;
    RegionName region;
    // The address on which the peer accepts connections.
    Endpoint endpoint;
    bool operator==(const PeerInfo&) const = default;
};

// Why a call received neither a response nor a refusal.
struct StreamFailure {
    // NotRun only if no byte of the call was passed to the socket, which proves that it did not run; otherwise Unknown.
    CallOutcome outcome { CallOutcome::Unknown };
    std::string step;
    std::string message;
    // The deadline of awaitResponse() passed; the call may still be running.
    bool isTimeout { false };
    // The connection stopped carrying data, although the peer itself may be healthy; see PeerHandlers::onPeerProbe.
    bool isSilentConnection { false };
};

using AwaitResult = std::variant<AnswerStart, Refusal, StreamFailure>;

class ClientStream {
public:
    explicit ClientStream(std::shared_ptr<Stream> stream);
    // Cancels the call unless it is finished.
    ~ClientStream();
    ClientStream(const ClientStream&) = delete;
    ClientStream& operator=(const ClientStream&) = delete;

    // Blocks while the window is full. Returns false if the deadline passed or the stream has ended; awaitResponse()
    // then returns the reason. No more body may be sent after a missed deadline.
    bool sendBody(std::string chunk, bool isLast, TimePoint deadline);

    // Returns the same result on every call once a response, a refusal or a failure has arrived.
    AwaitResult awaitResponse(TimePoint deadline);

    // Returns the next chunk, or nothing at the end of a complete body. Throws Error if the body was truncated or the
    // deadline passed; the chunks read until then are not the whole body.
    std::optional<std::string> readBody(TimePoint deadline);

    void cancel();

private:
    std::shared_ptr<Stream> m_stream;
};

class ServerStream {
public:
    ServerStream(
        std::shared_ptr<Stream> stream, CallStart call, TimePoint receivedAt, Duration precedingPause, PeerInfo peer);
    // If no response was sent, the caller receives a refusal with outcome Unknown. An unfinished body is truncated.
    ~ServerStream();
    ServerStream(const ServerStream&) = delete;
    ServerStream& operator=(const ServerStream&) = delete;

    const CallStart& call() const { return m_call; }
    TimePoint receivedAt() const { return m_receivedAt; }
    // Above zero if the network's thread had been paused for that long shortly before it read the call, for example
    // because the process was stopped. The call may have waited in the socket for all of that time.
    Duration precedingPause() const { return m_precedingPause; }
    const PeerInfo& peer() const { return m_peer; }

    // See ClientStream::readBody().
    std::optional<std::string> readBody(TimePoint deadline);

    // Sets the fields stream and hasBody of the answer. Does not block: a first body larger than the window is buffered
    // and sent as the caller reads. Has no effect on a cancelled stream or after an earlier response or refusal.
    void respond(AnswerStart answer, std::string firstBody, bool isComplete);
    // See ClientStream::sendBody().
    bool sendBody(std::string chunk, bool isLast, TimePoint deadline);
    void refuse(Refusal refusal);

    // Whether the caller cancelled the call or its connection was lost.
    bool isCancelled() const;
    // Runs the function on the network's thread when the call is cancelled, or immediately on the calling thread if it
    // already was. The function must not block. Only one function is kept; a later one replaces it.
    void onCancelled(std::function<void()> function);

private:
    std::shared_ptr<Stream> m_stream;
    const CallStart m_call;
    const TimePoint m_receivedAt;
    const Duration m_precedingPause;
    const PeerInfo m_peer;
};

} // namespace skylark
