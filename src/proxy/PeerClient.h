// The connection to one peer's gate, from the node that holds the callers.
//
// submit() sends a call; its callback gets exactly one reply unless cancel() comes first. When the connection is lost
// or goes silent, a new one is opened and the unanswered calls are sent again, marked as resends; the gate's ledger
// joins those it knows. Calls are given up as
//   * NotRun if they were never written to a connection that the peer's process accepted,
//   * Unknown if the peer cannot be reached again or a new process has taken its place.
//
// A peer that does not answer is suspect after `suspectAfter`, and unreachable when a connection cannot be opened.
// The client tries again by itself with backoff, so that no call pays for finding out. Bound: mostPendingBytes of
// unsent frames; beyond it calls are refused as not run.
#pragma once

#include "base/Backoff.h"
#include "proxy/FrameChannel.h"

#include <absl/container/flat_hash_map.h>
#include <map>

namespace skylark {

struct PeerClientOptions {
    Duration connectTimeout { std::chrono::milliseconds(500) };
    // Silence with calls outstanding after which a ping is sent.
    Duration pingAfter { std::chrono::milliseconds(200) };
    // No answer to a ping for this long: new calls go elsewhere.
    Duration suspectAfter { std::chrono::milliseconds(150) };
    // No answer to a ping for this long: the connection is given up.
    Duration pongTimeout { std::chrono::milliseconds(500) };
    BackoffOptions reconnect { .initial = std::chrono::milliseconds(100), .maximum = std::chrono::seconds(1) };
    size_t maxPendingBytes { 8 * 1024 * 1024 };
    size_t maxBodyBytes { 16 * 1024 * 1024 };
};

class PeerClient {
public:
    using SourceUpdateCallback = std::function<void(const SourceUpdate&)>;

    PeerClient(
        EventLoop& loop, Endpoint peer, Hello self, PeerClientOptions options, SourceUpdateCallback onSourceUpdate);
    ~PeerClient();

    const Endpoint& peer() const { return m_peer; }
    void submit(GateCall call, ReplyCallback onReply);
    // The caller no longer waits.
    void cancel(StreamId stream);
    // Opens the connection if it is not open.
    void connect();
    bool requestSourceUpdate(const SourceUpdateRequest& request);

    // False while the peer cannot be connected to, is suspect or leaves.
    bool isUsable() const;
    bool isConnected() const { return m_isReady; }
    bool isLeaving() const { return m_isLeaving; }
    size_t outstanding() const { return m_calls.size(); }
    // For the state dump.
    const char* stateName() const;

private:
    struct Outstanding {
        GateCall call;
        ReplyCallback onReply;
        // The gate's process that the call was written to; 0 before that.
        Incarnation sentTo;
        // The answer's head while its body comes in.
        std::optional<AnswerStart> head;
        std::string body;
    };

    void open();
    void write(Outstanding& outstanding);
    void handle(Message message);
    void on(const Hello& hello);
    void on(const Pong& pong);
    void on(AnswerStart answer);
    void on(const BodyChunk& chunk);
    void on(Refusal refusal);
    void on(const Leaving& leaving);
    void on(const SourceUpdate& update);
    template <typename Other> void on(const Other&) { }
    void reply(StreamId stream, const GateReplyPtr& reply);
    void completeResponse(StreamId stream, Outstanding& outstanding);
    void handleEnd(StreamEnd end);
    void failAll(const std::string& reason);
    void checkSilence();
    void scheduleReconnect();

    EventLoop& m_loop;
    const Endpoint m_peer;
    const Hello m_self;
    const PeerClientOptions m_options;
    const SourceUpdateCallback m_onSourceUpdate;
    const BodyAssembler m_assembler;
    Random m_random;
    Backoff m_backoff;
    std::unique_ptr<FrameChannel> m_channel;
    // Hello has come in on the present connection.
    bool m_isReady { false };
    bool m_isUnreachable { false };
    bool m_isLeaving { false };
    Incarnation m_peerIncarnation;
    // In order of submission, so that resends keep it.
    std::map<StreamId, Outstanding> m_calls;
    std::optional<TimePoint> m_pingSentAt;
    uint64_t m_pingNonce { 0 };
    TimePoint m_openedAt;
    Timer m_silenceTimer;
    Timer m_reconnectTimer;
};

} // namespace skylark
