// The TCP connections of a node to its peers.
//
// One listener and one thread on epoll serve all connections. Control messages go out by send(), calls by
// openCall(). Both dial on demand; a connection that the peer opened is used as well. At most one control
// connection and two call connections are dialed to a peer, at most that many more are accepted from it, and
// there are 4,096 in total. At that bound the connection that was idle longest is closed for a new one; when
// none is idle the new one is refused.
//
// A thread that sends writes to the socket itself when nothing is queued before it, so that a call wakes only
// the receiving side. Handlers run on the network's thread: they must return quickly and must not call
// close(), stopAccepting() or openCall(). They may call send(). An Error that a handler throws closes the connection
// that its message came from;
// onSendFailed and onPeerProbe must not throw.
//
// A connection that owes us something (an unanswered call, or any reply to control messages) and that gave no
// byte for 1 s is sent a Ping; after 500 ms more it is closed as silent, its calls fail, and a probe over a
// new connection tells by onPeerProbe whether the peer itself is at fault.
#pragma once

#include "base/Clock.h"
#include "transport/CallStream.h"
#include "transport/FaultInjector.h"
#include "transport/TrafficCounters.h"

#include <functional>
#include <memory>

namespace skylark {

struct PeerHandlers {
    // A control message.
    std::function<void(Message, const PeerInfo&)> onMessage;
    // A call for this node's gate; its body may still be arriving.
    std::function<void(std::shared_ptr<ServerStream>)> onCall;
    // Some control message to this peer was not sent, or may have been lost with its connection. Called once
    // for each failed send(), and once for each connection that failed with messages queued.
    std::function<void(const Endpoint&)> onSendFailed;
    // The result of the probe that follows a silent connection. Any handler may be empty.
    std::function<void(const Endpoint&, bool isReachable)> onPeerProbe;
};

struct PeerNetworkOptions {
    // Port 0 takes a free one; see listenAddress().
    Endpoint listen;
    InstanceId instance;
    Incarnation incarnation;
    ZoneName zone;
    RegionName region;

    uint32_t minProtocol { minProtocolVersion };
    uint32_t maxProtocol { maxProtocolVersion };
    Duration connectTimeout { std::chrono::milliseconds(300) };
    Duration idleClose { std::chrono::seconds(60) };
    Duration silenceBeforePing { std::chrono::seconds(1) };
    Duration pingTimeout { std::chrono::milliseconds(500) };
    size_t maximumConnections { 4096 };
    // Control messages queued for one peer: 1 MiB and one snapshot part.
    size_t maximumQueuedBytes { (size_t { 1 } << 20) + (size_t { 256 } * 1024) };
    // Calls that one connection carries at a time; a call above it is refused as not run.
    size_t maximumStreams { 1024 };
    // None by default; must outlive the network.
    FaultInjector* faults { nullptr };
};

class PeerNetwork {
public:
    // Listens and starts the thread. Throws Error when the address cannot be used. The clock must outlive
    // the network.
    PeerNetwork(PeerNetworkOptions options, PeerHandlers handlers, const Clock& clock);
    // Closes at once what close() has not closed.
    ~PeerNetwork();
    PeerNetwork(const PeerNetwork&) = delete;
    PeerNetwork& operator=(const PeerNetwork&) = delete;

    // Where peers reach this node; also given in its Hello.
    const Endpoint& listenAddress() const;

    // Queues a control message and does not block. False when it fails at once: the queue is full or the
    // network is closed; onSendFailed follows on the network's thread. Throws Error for a message above the
    // frame size. Messages to one peer arrive in order or not at all.
    bool send(const Endpoint& peer, const Message& message);

    // Opens a call on the gate's node. Blocks for a new connection only, at most for the connect timeout.
    // The stream of the call is assigned here, and hasBody from the other parameters. Where no connection
    // comes about, or another instance than the expected one answers there, the stream has failed as NotRun.
    // A body above the window is kept and sent as the gate reads. isBodyComplete false announces that
    // ClientStream::sendBody() follows.
    std::shared_ptr<ClientStream> openCall(
        const Endpoint& gate, const InstanceId& expected, CallStart call, std::string body, bool isBodyComplete);

    TrafficSnapshot traffic() const;

    // Accepts no new connections from now on. Calls still arrive on open ones.
    void stopAccepting();
    // Sends what is queued, until the deadline at most, then closes all connections and ends the thread.
    // Streams that are still open fail.
    void close(TimePoint deadline);

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace skylark
