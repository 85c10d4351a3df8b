// The connection from this node to one peer's gate.
//
// submit() sends a call; its callback receives exactly one reply unless cancel() comes first. If the connection is lost
// or silent, a new one is opened and the unanswered calls are resent, marked as resends; the gate's CallDeduplicator
// joins the calls that it knows. A call fails as
//   * NotRun if it was never written to a connection that the peer's process had accepted with Hello;
//   * Unknown if the peer cannot be reached again or a new process has replaced it.
//
// A cancellation is sent again over the next connection to the same process, since the connection may have lost it or
// may not be open. Without it the peer runs a call for which nobody waits.
//
// A request for a source update that has no answer is treated alike: the silence of its connection is detected, and the
// request is sent again over the next connection. A peer may hold it for long, so it alone leads to fewer pings.
//
// A peer that does not answer a ping within `suspectAfter` is suspect; it is unreachable if no connection can be
// opened. The client reconnects by itself with backoff, so that no call has to probe the peer.
//
// Bounds: maxPendingBytes of unsent frames, beyond which calls are refused as NotRun; the last maxCancels
// cancellations.
#pragma once

#include "base/Backoff.h"
#include "proxy/FrameChannel.h"

#include <absl/container/flat_hash_map.h>
#include <deque>
#include <map>

namespace skylark {

struct PeerClientOptions {
    Duration connectTimeout { std::chrono::milliseconds(500) };
    // A ping is sent after this long without data while calls are outstanding.
    Duration pingAfter { std::chrono::milliseconds(200) };
    // The same while only a request for a source update is outstanding. Followed peers answer about twice a second.
    Duration updatePingAfter { std::chrono::milliseconds(400) };
    // Without an answer to a ping for this long, new calls go elsewhere.
    Duration suspectAfter { std::chrono::milliseconds(150) };
    // Without an answer to a ping for this long, the connection is closed.
    Duration pongTimeout { std::chrono::milliseconds(500) };
    BackoffOptions reconnect { .initial = std::chrono::milliseconds(100), .maximum = std::chrono::seconds(1) };
    size_t maxPendingBytes { 8 * 1024 * 1024 };
    size_t maxBodyBytes { 16 * 1024 * 1024 };
    // A cancellation is sent again for this long; most calls end sooner.
    Duration cancelRetention { std::chrono::seconds(5) };
    size_t maxCancels { 4096 };
    FrameChannelOptions channel {};
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
    // Returns false if the connection is not open; it is being opened then. Replaces an earlier unanswered request.
    bool requestSourceUpdate(const SourceUpdateRequest& request);

    // False while the peer is unreachable, suspect or leaving.
    bool isUsable() const;
    bool isConnected() const { return m_hasReceivedHello; }
    bool isLeaving() const { return m_isLeaving; }
    size_t outstandingCount() const { return m_calls.size(); }
    // For the state dump.
    const char* stateName() const;

private:
    struct Outstanding {
        GateCall call;
        ReplyCallback onReply;
        // The peer process to which the call was written; 0 before that.
        Incarnation sentTo;
        // The head of the response while its body is being received.
        std::optional<AnswerStart> head;
        std::string body;
    };

    struct SentCancel {
        StreamId stream;
        TimePoint cancelledAt;
    };

    void open();
    void startSilenceChecks();
    // True if an answer of the peer is outstanding.
    bool expectsData() const { return !m_calls.empty() || m_updateRequest; }
    void recordCancel(StreamId stream);
    void removeOldCancels();
    // Returns false if the call exceeds the bounds of a message; nothing was sent then, also not earlier.
    bool write(Outstanding& outstanding);
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
    // What the hint says of the peer's server.
    LoadHint serverLoad(LoadHint hint) const;
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
    // Applies to the current connection.
    bool m_hasReceivedHello { false };
    bool m_isUnreachable { false };
    bool m_isLeaving { false };
    Incarnation m_peerIncarnation;
    // In order of submission, which resends preserve.
    std::map<StreamId, Outstanding> m_calls;
    // The last request for a source update, until it is answered.
    std::optional<SourceUpdateRequest> m_updateRequest;
    // Cancellations of calls that were written to the process m_peerIncarnation.
    std::deque<SentCancel> m_cancels;
    std::optional<TimePoint> m_pingSentAt;
    uint64_t m_pingNonce { 0 };
    TimePoint m_openedAt;
    Timer m_silenceTimer;
    Timer m_reconnectTimer;
};

} // namespace skylark
