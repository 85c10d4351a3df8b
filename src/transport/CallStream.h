// The two ends of one call between nodes, for blocking threads.
//
// A call is a CallStart and a body in one direction, and an AnswerStart and a body or a Refusal in the other.
// Many calls share one connection; each is told apart by its stream id. Each direction of a body has a
// window of 256 KB, which grows again as the reader takes chunks, so that a stream buffers at most that much
// beyond what a single call of sendBody(), respond() or openCall() was given.
//
// Every function may be called from any thread. Functions with a deadline block; the others do not.
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

// Who is at the other end, by its Hello.
struct PeerInfo {
    InstanceId instance;
    Incarnation incarnation;
    ZoneName zone;
    RegionName region;
    // Where the peer takes connections.
    Endpoint endpoint;
    bool operator==(const PeerInfo&) const = default;
};

// Why a call got neither an answer nor a refusal.
struct StreamFailure {
    // NotRun only where it is proved: no byte of the call was handed to the socket. Otherwise Unknown.
    CallOutcome outcome { CallOutcome::Unknown };
    std::string step;
    std::string message;
    // The deadline of awaitResponse() passed; the call may still be running.
    bool isTimeout { false };
    // The connection carried nothing any more although the peer may be well; see PeerHandlers::onPeerProbe.
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

    // Blocks while the window is full. False when the deadline passed or the stream is over; the reason is
    // then in awaitResponse(), and after a passed deadline no more body may be sent.
    bool sendBody(std::string chunk, bool isLast, TimePoint deadline);

    // Gives the same result again once an answer, a refusal or a failure has arrived.
    AwaitResult awaitResponse(TimePoint deadline);

    // The next chunk, or nothing at the clean end. Throws Error when the body was cut off or the deadline
    // passed; what was read until then is not the whole body.
    std::optional<std::string> readBody(TimePoint deadline);

    void cancel();

private:
    std::shared_ptr<Stream> m_stream;
};

class ServerStream {
public:
    ServerStream(
        std::shared_ptr<Stream> stream, CallStart call, TimePoint receivedAt, Duration precedingPause, PeerInfo peer);
    // Without an answer the caller gets a refusal with outcome Unknown; an unfinished body is cut off.
    ~ServerStream();
    ServerStream(const ServerStream&) = delete;
    ServerStream& operator=(const ServerStream&) = delete;

    const CallStart& call() const { return m_call; }
    TimePoint receivedAt() const { return m_receivedAt; }
    // Above zero when the network's thread had not run for that long shortly before it read the call, as after
    // a pause of the process: the call may have waited in the socket for all that time.
    Duration precedingPause() const { return m_precedingPause; }
    const PeerInfo& peer() const { return m_peer; }

    // As ClientStream::readBody.
    std::optional<std::string> readBody(TimePoint deadline);

    // Sets stream and hasBody of the answer. Does not block; a first body above the window is kept and sent
    // as the caller reads. Has no effect on a cancelled stream or after an earlier answer or refusal.
    void respond(AnswerStart answer, std::string firstBody, bool isComplete);
    // As ClientStream::sendBody.
    bool sendBody(std::string chunk, bool isLast, TimePoint deadline);
    void refuse(Refusal refusal);

    // The caller cancelled or its connection is lost.
    bool isCancelled() const;
    // Runs the function on the network's thread at that moment, or at once when it has passed. It must not
    // block. At most one function; a later one replaces it.
    void onCancelled(std::function<void()> function);

private:
    std::shared_ptr<Stream> m_stream;
    const CallStart m_call;
    const TimePoint m_receivedAt;
    const Duration m_precedingPause;
    const PeerInfo m_peer;
};

} // namespace skylark
