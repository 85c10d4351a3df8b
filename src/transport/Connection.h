// One TCP connection to a peer. Internal to transport.
//
// Any thread sends: it writes to the socket under the connection's mutex when nothing is queued, and queues
// the rest otherwise; the network's thread sends the queue on when the socket takes more. Only the network's
// thread reads, opens and closes. The queue of a control connection is bounded by the options. On a call
// connection, body waits in its stream above congestedBytes and the connection is closed above
// maximumCallQueueBytes.
#pragma once

#include "base/Socket.h"
#include "transport/PeerNetwork.h"
#include "transport/Stream.h"
#include "wire/Frame.h"

#include <absl/container/flat_hash_map.h>
#include <deque>
#include <mutex>
#include <vector>

namespace skylark {

// What the connections of a network share with it; outlives the network while streams are held.
struct NetworkContext {
    NetworkContext(PeerNetworkOptions options, const Clock& clock);
    ~NetworkContext();
    NetworkContext(const NetworkContext&) = delete;
    NetworkContext& operator=(const NetworkContext&) = delete;

    // Makes the network's thread run its loop once.
    void wake() const;

    PeerNetworkOptions options;
    const Clock& clock;
    TrafficCounters counters;
    FileDescriptor wakeup;
    // Connections that hold back frames for the fault injector.
    std::atomic<int> delayedConnections { 0 };
};

class Connection : public std::enable_shared_from_this<Connection> {
public:
    enum class State : uint8_t { Dialing, Greeting, Ready, Closed };
    enum class Accepted : uint8_t { Yes, TooMany, WrongId };

    // Used by the network's thread only.
    struct LoopState {
        FileDescriptor socket;
        FrameReader reader;
        TimePoint startedAt;
        TimePoint lastReceived;
        std::optional<TimePoint> pingSentAt;
        bool isProbe { false };
        // A probe beyond the limit of connections to its peer, which is closed after its Hello.
        bool isSurplus { false };
        bool isRegistered { false };
    };

    Connection(std::shared_ptr<NetworkContext> context, uint64_t serial, Endpoint remote, ConnectionPurpose purpose,
        bool isDialed);

    uint64_t serial() const { return m_serial; }
    bool isDialed() const { return m_isDialed; }
    State state() const { return m_state.load(std::memory_order_acquire); }
    // Key among the peers: the dialed address, or where an accepted peer listens. Fixed once Ready.
    const Endpoint& remote() const { return m_remote; }
    ConnectionPurpose purpose() const { return m_purpose; }
    // Valid once Ready.
    const PeerInfo& peer() const { return m_peer; }
    // For log lines.
    std::string describe() const;
    // Why the connection is closed.
    StreamFailure closeReason() const;

    size_t streamCount() const { return m_streamCount.load(std::memory_order_relaxed); }
    bool isCongested() const;
    TimePoint lastUsed() const;

    // False when the queue is full or the connection is closed. Throws Error for an oversized message.
    bool sendControl(const Message& message);
    // Assigns the id and sends the start, with the first chunk unless null, in one write; takes the chunk. False when
    // the connection cannot take the call, of which nothing was sent then.
    bool openStream(const std::shared_ptr<Stream>& stream, CallStart& call, BodyChunk* first);
    // False when the connection is congested or closed; a congested one calls resume() on the stream later.
    bool sendChunk(const BodyChunk& chunk, const std::shared_ptr<Stream>& stream);
    // Sends messages of an open stream in one write.
    template <typename... Messages> void sendForStream(Messages&&... messages)
    {
        std::string frames;
        (appendMessage(frames, Message(std::forward<Messages>(messages))), ...);
        sendFrames(frames);
    }
    void removeStream(StreamId id);

    // From here on by the network's thread.
    LoopState& loop() { return m_loop; }
    void attach(FileDescriptor socket);
    void setState(State state) { m_state.store(state, std::memory_order_release); }
    void sendHello(const Endpoint& listenAddress);
    void adoptHello(const Hello& hello, uint32_t version);
    // Lets other threads use the connection and sends what waited for that.
    void becomeReady();
    void flush();
    // The time when the next held-back frame is due.
    std::optional<TimePoint> releaseDelayed(TimePoint now);
    std::shared_ptr<Stream> findStream(StreamId id) const;
    Accepted acceptStream(const CallStart& call, std::shared_ptr<Stream>& stream);
    // Since when the peer owes a byte: an answer, or any reply to control messages.
    std::optional<TimePoint> owedSince() const;
    void noteReceived(TimePoint now);
    // Nothing is queued, held back or waiting for a window.
    bool isFlushed() const;
    void finishSending();
    // Fails all streams. True when control messages were or may have been lost.
    bool close(const StreamFailure& reason);

private:
    void appendMessage(std::string& frames, const Message& message);
    void sendFrames(std::string_view frames);
    // With the mutex held. False when a fault rule took the frames.
    bool write(std::string_view frames);
    void writeToSocket(std::string_view frames);
    bool applyFault(std::string_view frames);
    void breakConnection(const char* reason);
    size_t queuedBytes() const { return m_queue.size() - m_queuePosition + m_heldBytes + m_delayedBytes; }
    void noteOwed();

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
        // Position of the call's first byte among all bytes written; empty where loss proves nothing.
        std::optional<uint64_t> start;
    };

    mutable std::mutex m_mutex;
    // -1 when closed; the descriptor belongs to m_loop.
    int m_fd { -1 };
    std::string m_queue;
    size_t m_queuePosition { 0 };
    // Bytes given to write() and bytes that the socket took.
    uint64_t m_written { 0 };
    uint64_t m_handed { 0 };
    std::vector<Message> m_held;
    size_t m_heldBytes { 0 };
    std::deque<std::pair<TimePoint, std::string>> m_delayed;
    size_t m_delayedBytes { 0 };
    absl::flat_hash_map<StreamId, OpenStream> m_streams;
    uint64_t m_nextStream;
    uint64_t m_lastPeerStream { 0 };
    std::vector<std::weak_ptr<Stream>> m_waiting;
    bool m_isReplyOwed { false };
    TimePoint m_owedSince;
    TimePoint m_lastUsed;
    StreamFailure m_closeReason;
};

} // namespace skylark
