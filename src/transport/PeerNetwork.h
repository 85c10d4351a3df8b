// The TCP connections of a node to its peers.
//
// One listener and one thread with epoll serve all connections. send() sends control messages, openCall() opens calls.
// Both connect on demand and also use connections that the peer opened.
//
// Limits:
// - At most one control connection and two call connections are dialed to a peer, and at most as many are accepted from
//   it.
// - There are at most 4,096 connections in total. At that limit, the connection that has been idle longest is closed
//   for a new one. If none is idle, the new one is refused.
//
// Threads:
// - A sending thread writes to the socket itself if nothing is queued, so that a call wakes only the receiving side.
// - Handlers run on the network's thread. They must return quickly. They may call send(), but must not call close(),
//   stopAccepting() or openCall().
// - If a handler throws Error, the connection that its message came from is closed. onSendFailed and onPeerProbe must
//   not throw.
//
// Silent connections: a Ping is sent on a connection that has open calls, or on which a control message awaits a reply
// (any byte), if nothing has been received for 1 s. If nothing arrives for another 500 ms, the connection is closed as
// silent and its calls fail. A probe over a new connection then reports to onPeerProbe whether the peer itself is
// reachable.
#pragma once

#include "base/Clock.h"
#include "transport/CallStream.h"
#include "transport/FaultInjector.h"
#include "transport/TrafficCounters.h"

#include <functional>
#include <memory>

namespace skylark {

// Any handler may be empty.
struct PeerHandlers {
    // Receives a control message.
    std::function<void(Message, const PeerInfo&)> onMessage;
    // Receives a call for this node's gate. Its body may still be arriving.
    std::function<void(std::shared_ptr<ServerStream>)> onCall;
    // Reports that a control message to this peer was not sent, or may have been lost with its connection. Called once
    // for each failed send(), and once for each connection that failed with messages queued or not yet replied to.
    std::function<void(const Endpoint&)> onSendFailed;
    // Reports the result of the probe that follows a silent connection.
    std::function<void(const Endpoint&, bool isReachable)> onPeerProbe;
};

struct PeerNetworkOptions {
    // Port 0 selects a free port; see listenAddress().
    Endpoint listen;
    InstanceId instance;
    Incarnation incarnation;
    ZoneName zone;
    RegionName region;

    uint32_t minProtocol { minProtocolVersion };
    uint32_t maxProtocol { maxProtocolVersion };
    Duration connectTimeout { std::chrono::milliseconds(300) };
    Duration idleTimeout { std::chrono::seconds(60) };
    Duration silenceBeforePing { std::chrono::seconds(1) };
    Duration pingTimeout { std::chrono::milliseconds(500) };
    size_t maxConnections { 4096 };
    // Limit of the control messages queued for one peer: 1 MiB plus one snapshot part.
    size_t maxQueuedBytes { (size_t { 1 } << 20) + (size_t { 256 } * 1024) };
    // Limit of concurrent calls on one connection. A call above it is refused as not run.
    size_t maxStreamsPerConnection { 1024 };
    // Optional. Must outlive the network.
    FaultInjector* faults { nullptr };
};

class PeerNetwork {
public:
    // Starts to listen and starts the thread. Throws Error if the address cannot be used. The clock must outlive the
    // network.
    PeerNetwork(PeerNetworkOptions options, PeerHandlers handlers, const Clock& clock);
    // Closes the network immediately, without sending what is queued, unless close() was called before.
    ~PeerNetwork();
    PeerNetwork(const PeerNetwork&) = delete;
    PeerNetwork& operator=(const PeerNetwork&) = delete;

    // The address at which peers reach this node. It is announced in the Hello.
    const Endpoint& listenAddress() const;

    // Queues a control message and does not block. Returns false if the network is closing, or if the queue is full or
    // the connection closed, in which case onSendFailed follows on the network's thread. Throws Error for a message
    // above the maximum frame size. Messages to one peer arrive in order or not at all.
    bool send(const Endpoint& peer, const Message& message);

    // Opens a call to the gate's node. Blocks only while a new connection is established, for connectTimeout at most.
    // Assigns the stream of the call, and hasBody from the other parameters. If no connection can be established, or if
    // another instance than the expected one is reached, the returned stream has failed as NotRun. A body larger than
    // the window is buffered and sent as the gate reads. If isBodyComplete is false, the rest must follow by
    // ClientStream::sendBody().
    std::shared_ptr<ClientStream> openCall(const Endpoint& gate, const InstanceId& expectedInstance, CallStart call,
        std::string body, bool isBodyComplete);

    TrafficSnapshot traffic() const;

    // Stops accepting connections. Calls still arrive on open connections.
    void stopAccepting();
    // Sends what is queued until the deadline at most, then closes all connections and ends the thread. Streams that
    // are still open fail.
    void close(TimePoint deadline);

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace skylark
