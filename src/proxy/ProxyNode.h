// skylark-node: the whole node on one event loop.
//
// It holds the callers' listener, the gate beside the backend server, the connections of peers, what the source says,
// and the pages for readiness, metrics and state. The source is read by a SourceWatcher on its own thread; what it
// decodes is posted to the loop. SourceExchange decides whether this node reads, and shares what is read with peers.
//
// The way of a stop: the ready page says no and peers are told; callers' connections close with their answers; new
// calls of peers are refused after `peerGrace`, new requests after `callerGrace`, when callers had time to go
// elsewhere; then the process ends as soon as nothing is in progress, and before stopGrace is over in any case.
#pragma once

#include "eventloop/EventLoop.h"
#include "proxy/CallForwarder.h"
#include "proxy/PeerServer.h"
#include "proxy/PlatformAdapter.h"
#include "proxy/ProxySettings.h"
#include "proxy/SourceDecoder.h"
#include "proxy/SourceExchange.h"

#include <atomic>
#include <memory>

namespace skylark {

class ProxyNode {
public:
    ProxyNode(ProxySettings settings, PlatformAdapter adapter, const Clock& clock);
    ~ProxyNode();

    // Until SIGTERM, SIGINT or requestStop(), and the graceful stop after it.
    void run();
    // From any thread.
    void requestStop();

private:
    SourceDecoder::Callbacks sourceCallbacks();
    void applyConfiguration(const ConfigurationUpdate& update, const char* origin);
    void applyListing(const std::vector<ServerEntry>& entries, Revision revision);
    void applyServers(const std::vector<ServerEntry>& entries);
    void publishServers();
    void recordSourceCall(const SourceCallResult& result);
    void handleSourceLost(const std::string& reason);
    void handleSourceRecovered();
    bool isReady() const;

    PeerClient& peer(const Endpoint& endpoint);
    void removeUnlistedPeers();
    void tick();
    void setReading(bool isReading);
    std::vector<Endpoint> reachablePeers();
    std::vector<Endpoint> zoneMembers() const;
    SourceUpdate sourceUpdateFor(const SourceUpdateRequest& request);
    const std::string& compressedConfiguration();
    void applySourceUpdate(const Endpoint& peer, const SourceUpdate& update);

    void handleReady(const std::shared_ptr<HttpConnection>& connection);
    void handleAdmin(const HttpRequest& request, const std::shared_ptr<HttpConnection>& connection);
    std::string metricsText();
    std::string stateText();
    void reloadSettings();
    void beginStop();
    void advanceStop();

    const ProxySettings m_settings;
    PlatformAdapter m_adapter;
    const Clock& m_clock;
    EventLoop m_loop;
    const Hello m_self;
    Metrics m_metrics;
    RequestLog m_log;
    Random m_random;
    Router m_router;
    ServerDirectory m_directory;
    // The directory's view as it was published last.
    std::shared_ptr<const MembershipView> m_view;
    BackendGate m_gate;
    std::map<Endpoint, std::unique_ptr<PeerClient>> m_peers;
    CallForwarder m_forwarder;
    SourceExchange m_exchange;
    PeerServer m_peerServer;
    HttpListener m_callers;
    HttpListener m_readyPage;
    HttpListener m_admin;
    // The configuration's text until a peer first asks for it, then its compressed form: compressing it for each peer
    // would take most of a small instance's processor while configurations follow each other.
    std::string m_configurationText;
    std::string m_compressedConfiguration;
    bool m_hasServers { false };
    bool m_isSourceLost { false };
    TimePoint m_sourceLostAt;
    std::optional<TimePoint> m_stoppingSince;
    Timer m_tickTimer;
    Timer m_stopTimer;
    SignalWatcher m_terminate;
    SignalWatcher m_interrupt;
    SignalWatcher m_reload;
    SourceDecoder m_sourceDecoder;
    std::unique_ptr<SourceWatcher> m_watcher;
};

} // namespace skylark
