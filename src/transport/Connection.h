// One TCP connection to a peer. Internal to transport.
//
// - Any thread may send. It writes to the socket under the connection's mutex if nothing is queued, and queues the rest
//   otherwise. The network's thread sends the queue when the socket becomes writable.
// - Only the network's thread reads, opens and closes the connection.
// - PeerNetworkOptions::maxQueuedBytes bounds the queue of a control connection. On a call connection, body waits in
//   its stream while more than congestionThresholdBytes are queued, and the connection is closed above
//   maxCallQueueBytes.
#pragma once

#include "base/Socket.h"
#include "base/WakeupDescriptor.h"
#include "transport/PeerNetwork.h"
#include "transport/Stream.h"
#include "wire/Frame.h"

#include <absl/container/flat_hash_map.h>
#include <deque>
#include <mutex>
#include <vector>

namespace skylark {

// State shared by a network and its connections. Outlives the network while handles of its streams exist.
struct NetworkContext {
    NetworkContext(PeerNetworkOptions options, const Clock& clock);
    ~NetworkContext();
    NetworkContext(const NetworkContext&) = delete;
    NetworkContext& operator=(const NetworkContext&) = delete;

    // Wakes the network's thread for one iteration of its loop.
    void wake() const { wakeup.notify(); }

    PeerNetworkOptions options;
    const Clock& clock;
    TrafficCounters counters;
    WakeupDescriptor wakeup { "start-network" };
    // The number of connections with frames delayed by the fault injector.
    std::atomic<int> delayedConnections { 0 };
};

class Connection : public std::enable_shared_from_this<Connection> {
public:
    enum class State : uint8_t { Dialing, AwaitingHello, Ready, Closed };
    enum class AcceptResult : uint8_t { Accepted, TooManyStreams, InvalidId };

    // Used by the network's thread only.
    struct LoopState {
        FileDescriptor socket;
        FrameReader reader;
        TimePoint startedAt;
        TimePoint lastReceived;
        std::optional<TimePoint> pingSentAt;
        bool isProbe { false };
        // A probe beyond the connection limit of its peer, which is closed after its Hello.
        bool isOverLimit { false };
        bool isRegistered { false };
    };

    Connection(std::shared_ptr<NetworkContext> context, uint64_t serial, Endpoint remote, ConnectionPurpose purpose,
        bool isDialed);

    uint64_t serial() const { return m_serial; }
    bool isDialed() const { return m_isDialed; }
    State state() const { return m_state.load(std::memory_order_acquire); }
    // The key in the table of peers: the dialed address, or the listen address of an accepted peer. Fixed once Ready.
    const Endpoint& remote() const { return m_remote; }
    ConnectionPurpose purpose() const { return m_purpose; }
    // Valid once Ready.
    const PeerInfo& peer() const { return m_peer; }
    // The remote address for log messages.
    std::string describe() const;
    // Why the connection was closed.
    StreamFailure closeReason() const;

    size_t streamCount() const { return m_streamCount.load(std::memory_order_relaxed); }
    bool isCongested() const;
    TimePoint lastUsed() const;

    // Returns false if the queue is full or the connection is closed. Throws Error for an oversized message.
    bool sendControl(const Message& message);
    // Assigns the stream id and sends the start of the call in one write, together with the first chunk unless that is
    // null. Moves from the chunk. Returns false if the connection cannot take the call, of which nothing was sent then.
    bool openStream(const std::shared_ptr<Stream>& stream, CallStart& call, BodyChunk* firstChunk);
    // Returns false if the connection is congested or closed. A congested connection calls resume() on the stream
    // later.
    bool sendChunk(const BodyChunk& chunk, const std::shared_ptr<Stream>& stream);
    // Sends messages of an open stream in one write.
    template <typename... Messages> void sendForStream(Messages&&... messages)
    {
        std::string frames;
        (appendMessage(frames, Message(std::forward<Messages>(messages))), ...);
        sendFrames(frames);
    }
    void removeStream(StreamId id);

    // The functions below are called by the network's thread only.
    LoopState& loop() { return m_loop; }
    void attach(FileDescriptor socket);
    void setState(State state) { m_state.store(state, std::memory_order_release); }
    void sendHello(const Endpoint& listenAddress);
    void applyHello(const Hello& hello, uint32_t version);
    // Makes the connection available to other threads and sends the control messages queued until now.
    void becomeReady();
    void flush();
    // Sends the delayed frames that are due. Returns when the next one is due.
    std::optional<TimePoint> releaseDelayed(TimePoint now);
    std::shared_ptr<Stream> findStream(StreamId id) const;
    AcceptResult acceptStream(const CallStart& call, std::shared_ptr<Stream>& stream);
    // Since when nothing has been received while a call was open, in either direction, or a control message awaited a
    // reply. Empty if neither is the case.
    std::optional<TimePoint> awaitingReplySince() const;
    void recordReceived(TimePoint now);
    // Whether nothing is queued, delayed or waiting for a window.
    bool isFlushed() const;
    void finishSending();
    // Fails all streams. Returns true if control messages were or may have been lost.
    bool close(const StreamFailure& reason);

private:
    void appendMessage(std::string& frames, const Message& message);
    void sendFrames(std::string_view frames);
    // Called with the mutex held. Returns false if a fault rule intercepted the frames.
    bool write(std::string_view frames);
    void writeToSocket(std::string_view frames);
    bool applyFault(std::string_view frames);
    void failConnection(const char* reason);
    size_t queuedBytes() const { return m_queue.size() - m_queuePosition + m_pendingMessageBytes + m_delayedBytes; }
    void recordReplyExpected();

    const std::shared_ptr<NetworkContext> m_context;
    const uint64_t m_serial;
    const bool m_isDialed;
    Endpoint m_remote;
    ConnectionPurpose m_purpose;
    PeerInfo m_peer;
    std::atomic<State> m_state { State::Dialing };
    std::atomic<uint32_t> m_version { maxProtocolVersion };
    std::atomic<size_t> m_streamCount { 0 };
    LoopState m_loop;

    struct OpenStream {
        std::shared_ptr<Stream> stream;
        // Position of the call's first byte among all bytes written. Empty if the loss of the connection cannot prove
        // that the call did not run: for a call from the peer, or if a fault rule intercepted the frames.
        std::optional<uint64_t> startOffset;
    };

    mutable std::mutex m_mutex;
    // -1 when closed. The descriptor is owned by m_loop.
    int m_fd { -1 };
    std::string m_queue;
    size_t m_queuePosition { 0 };
    // Bytes passed to writeToSocket(), and bytes that the socket accepted.
    uint64_t m_writtenBytes { 0 };
    uint64_t m_sentBytes { 0 };
    std::vector<Message> m_pendingMessages;
    size_t m_pendingMessageBytes { 0 };
    std::deque<std::pair<TimePoint, std::string>> m_delayed;
    size_t m_delayedBytes { 0 };
    absl::flat_hash_map<StreamId, OpenStream> m_streams;
    uint64_t m_nextStream;
    uint64_t m_lastPeerStream { 0 };
    std::vector<std::weak_ptr<Stream>> m_streamsAwaitingSpace;
    bool m_isReplyExpected { false };
    TimePoint m_awaitingReplySince;
    TimePoint m_lastUsed;
    StreamFailure m_closeReason;
};

} // namespace skylark
