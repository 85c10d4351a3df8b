// Accepts connections from peers and submits their calls to the local gate.
//
// If a peer's connection is lost, its queued and running calls continue; the peer resends them over a new connection
// and joins them there.
//
// A connection that the path has forgotten reports no end, so one on which nothing arrives for idleTimeout is closed.
// A peer that waits for something sends pings meanwhile, and one that waits for nothing opens a connection when it
// needs it.
//
// Bounds: maxBodyBytes per call, the byte account (a call whose body it cannot hold is refused as NotRun), and the
// gate's own bounds.
#pragma once

#include "base/MemoryBudget.h"
#include "proxy/BackendGate.h"
#include "proxy/FrameChannel.h"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

namespace skylark {

struct PeerServerOptions {
    Hello self;
    Endpoint listenAddress;
    size_t maxBodyBytes { 16 * 1024 * 1024 };
    Duration idleTimeout { std::chrono::seconds(60) };
    FrameChannelOptions channel {};
    // Bodies of calls that are being received are charged to it. May be null.
    MemoryBudget* memory { nullptr };
};

class PeerServer {
public:
    struct Callbacks {
        // A peer has sent Hello.
        std::function<void(const Hello&)> onHello;
        // The reply may be deferred until there is something that the peer lacks.
        std::function<void(const SourceUpdateRequest&, std::function<void(const SourceUpdate&)>)> onSourceUpdateRequest;
    };

    // Throws Error when the address cannot be bound.
    PeerServer(EventLoop& loop, PeerServerOptions options, BackendGate& gate, Callbacks callbacks);
    ~PeerServer();

    // Tells all connected peers that this node is stopping.
    void announceLeaving();
    size_t connectionCount() const { return m_sessions.size(); }
    // Bytes of replies that the peers have not accepted yet.
    size_t unsentBytes() const;

private:
    class Session;

    void closeIdleSessions();

    EventLoop& m_loop;
    PeerServerOptions m_options;
    BackendGate& m_gate;
    Callbacks m_callbacks;
    bool m_isLeaving { false };
    absl::flat_hash_set<std::shared_ptr<Session>> m_sessions;
    TcpListener m_listener;
    Timer m_idleTimer;
};

} // namespace skylark
