// The table of peers and the epoll loop behind PeerNetwork. Internal to transport.
//
// - PeerNetwork.cpp holds the functions that any thread may call.
// - NetworkLoop.cpp and NetworkMessages.cpp hold the functions that the network's thread runs.
// - m_mutex guards the table of peers. It is locked before the mutex of a connection, never after it.
#pragma once

#include "base/Log.h"
#include "transport/Connection.h"

#include <condition_variable>
#include <future>
#include <thread>

namespace skylark {

class PeerNetwork::Impl {
public:
    Impl(PeerNetworkOptions options, PeerHandlers handlers, const Clock& clock);
    ~Impl();
    Impl(const Impl&) = delete;
    Impl& operator=(const Impl&) = delete;

    const Endpoint& listenAddress() const { return m_listenAddress; }
    bool send(const Endpoint& peer, const Message& message);
    std::shared_ptr<ClientStream> openCall(const Endpoint& gate, const InstanceId& expectedInstance, CallStart& call,
        std::string& body, bool isBodyComplete);
    TrafficSnapshot traffic() const { return m_context->counters.snapshot(); }
    void stopAccepting();
    void close(TimePoint deadline);

private:
    using ConnectionPtr = std::shared_ptr<Connection>;
    using Task = std::function<void()>;

    struct Peer {
        std::vector<ConnectionPtr> calls;
        std::vector<ConnectionPtr> control;
        std::vector<ConnectionPtr>& connectionsFor(ConnectionPurpose purpose)
        {
            return purpose == ConnectionPurpose::Calls ? calls : control;
        }
    };

    // Epoll keys of the descriptors that are not connections, and the first key of a connection.
    static constexpr uint64_t listenerKey = 0;
    static constexpr uint64_t wakeupKey = 1;
    static constexpr uint64_t timerKey = 2;
    static constexpr uint64_t firstSerial = 3;
    static constexpr size_t callConnectionsPerPeer = 2;
    static constexpr size_t controlConnectionsPerPeer = 1;

    static size_t connectionLimit(ConnectionPurpose purpose)
    {
        return purpose == ConnectionPurpose::Calls ? callConnectionsPerPeer : controlConnectionsPerPeer;
    }

    enum class Phase {
        Running,
        // Sends what is queued.
        Flushing,
        // The sending sides are shut down; waits for the peers to close theirs.
        Finishing,
        Stopped,
    };

    // PeerNetwork.cpp
    void post(Task task);
    void runOnLoop(const Task& task);
    ConnectionPtr dial(const Endpoint& remote, ConnectionPurpose purpose, bool isProbe);
    // Called with the mutex held. Returns the usable connection with the fewest calls, or null. Dials another one if
    // there are too few. Sets dialingConnection to a connection that is being established, if there is one.
    ConnectionPtr selectCallConnection(const Endpoint& gate, ConnectionPtr& dialingConnection);
    ConnectionPtr awaitCallConnection(
        std::unique_lock<std::mutex>& lock, const Endpoint& gate, TimePoint deadline, StreamFailure& failure);
    void reportSendFailure(const Endpoint& peer);

    // NetworkLoop.cpp
    void run();
    int waitMilliseconds() const;
    void runTasks();
    void startDial(const ConnectionPtr& connection);
    void acceptConnections();
    bool registerConnection(const ConnectionPtr& connection, FileDescriptor socket);
    bool ensureConnectionSlot();
    void handleEvent(uint64_t serial, uint32_t events);
    void finishDial(const ConnectionPtr& connection);
    void closeConnection(const ConnectionPtr& connection, const StreamFailure& reason);
    void checkTimers(TimePoint now);
    void checkConnection(const ConnectionPtr& connection, TimePoint now);
    void checkSilence(const ConnectionPtr& connection, TimePoint now);
    void releaseDelayed(TimePoint now);
    void advancePhase(TimePoint now);
    void closeAll();

    // NetworkMessages.cpp
    void readFrom(const ConnectionPtr& connection, bool isPeerClosed);
    void handlePayload(const ConnectionPtr& connection, std::string_view payload);
    void handleMessage(const ConnectionPtr& connection, Message&& message);
    void handleHello(const ConnectionPtr& connection, const Hello& hello);
    void registerAccepted(const ConnectionPtr& connection);
    void handleCall(const ConnectionPtr& connection, CallStart&& call);
    template <typename Frame, typename Handler>
    void deliver(const ConnectionPtr& connection, const Frame& frame, const Handler& handler);
    void closeOnProtocolError(const ConnectionPtr& connection, const Error& error);
    void detectPause(TimePoint now);

    const std::shared_ptr<NetworkContext> m_context;
    const PeerHandlers m_handlers;
    Endpoint m_listenAddress;
    RateLimitedLog m_protocolLog;
    RateLimitedLog m_silenceLog;
    RateLimitedLog m_connectionLimitLog;

    std::mutex m_mutex;
    std::condition_variable m_readyOrClosed;
    absl::flat_hash_map<Endpoint, Peer> m_peers;
    uint64_t m_nextSerial;
    bool m_isClosing { false };

    std::mutex m_taskMutex;
    std::vector<Task> m_tasks;
    bool m_isLoopDone { false };

    // Used by the network's thread only.
    FileDescriptor m_epoll;
    FileDescriptor m_timer;
    FileDescriptor m_listener;
    absl::flat_hash_map<uint64_t, ConnectionPtr> m_connections;
    std::vector<uint64_t> m_connectionsWithUnreadData;
    std::string m_readBuffer;
    TimePoint m_lastCheck;
    // When the thread last ran, and the duration and end of its last pause. The duration is zero if no pause was
    // recent.
    TimePoint m_lastRunAt;
    Duration m_lastPauseDuration {};
    TimePoint m_lastPauseEnd;
    Phase m_phase { Phase::Running };
    TimePoint m_closeDeadline;
    std::thread m_thread;
};

} // namespace skylark
