// skylark-node: a complete node on one event loop.
//
// It owns
//   * the listener for callers and the gate to the local backend server;
//   * the connections from and to peers;
//   * the state read from the source;
//   * the pages for readiness, metrics and state.
//
// ProxyNodeSource.cpp has what the node learns and passes on, ProxyNodeStatus.cpp the pages, ProxyNode.cpp the rest.
//
// A SourceWatcher reads the source on its own thread and posts decoded items to the loop. SourceExchange decides
// whether this node reads the source and shares the result with peers.
//
// Graceful stop:
//   * The ready page returns 503, and peers are notified. Callers' connections close after their next response.
//   * After `peerGrace` the gate refuses new calls, after `callerGrace` the node refuses new requests; callers
//     have had time to switch to other nodes by then.
//   * After `callerGrace` the process ends once no call is in progress, and in any case before stopGrace is over.
#pragma once

#include "eventloop/EventLoop.h"
#include "proxy/CallForwarder.h"
#include "proxy/PeerServer.h"
#include "proxy/PlatformAdapter.h"
#include "proxy/ProxySettings.h"
#include "proxy/SourceDecoder.h"
#include "proxy/SourceExchange.h"
#include "proxy/StopSchedule.h"
#include "source/EntryCheckSchedule.h"
#include "source/KeyReader.h"

#include <atomic>
#include <memory>

namespace skylark {

class ProxyNode {
public:
    ProxyNode(ProxySettings settings, PlatformAdapter adapter, const Clock& clock);
    ~ProxyNode();

    // Runs until SIGTERM, SIGINT or requestStop(), and through the graceful stop that follows.
    void run();
    // May be called from any thread.
    void requestStop();

private:
    SourceDecoder::Callbacks sourceCallbacks();
    void applyConfiguration(const ConfigurationUpdate& update, const char* origin);
    void applyEvacuations(const EvacuationChanges& changes, const char* origin);
    void publishEvacuations(const std::vector<ZoneName>& changedZones, const char* origin);
    void applyServers(const ServerChanges& changes, const char* origin);
    void logEraChange(Revision previous, const char* origin);
    // `origin` names in the log what brought the change.
    void publishServers(const char* origin);
    // Gives the gate the entry of its server, unless the service's limit for cold servers is still unknown.
    void updateGate();
    void setColdPolicy(const Configuration& configuration);
    // Bounds what callers may send by the configuration, and by what a message to a peer can hold.
    void setCallerLimits(const CallerLimits& limits);
    void logDelayedHeartbeats(const char* origin);
    // Reads the local server's entry if the node's knowledge is old.
    void checkOwnServer();
    void recordOwnServerRead(const KeyReadResult& result);
    void recordSourceCall(const SourceCallResult& result);
    void handleSourceLost(const std::string& reason);
    void handleSourceRecovered();
    bool isReady() const;

    FrameChannelOptions channelOptions()
    {
        return { .linkBitsPerSecond = m_settings.linkBitsPerSecond, .link = &m_link };
    }
    PeerClient& ensurePeer(const Endpoint& endpoint);
    void removeUnlistedPeers();
    void tick();
    void setReading(bool isReading);
    std::vector<Endpoint> reachablePeers();
    std::vector<Endpoint> zoneMembers() const;
    SourceUpdate sourceUpdateFor(const SourceUpdateRequest& request);
    const std::string& compressedConfiguration();
    void applySourceUpdate(const Endpoint& peer, const SourceUpdate& update);
    void applyPeerConfiguration(const SourceUpdate& update);

    void handleReady(const std::shared_ptr<HttpExchange>& connection);
    void handleAdmin(const HttpRequest& request, const std::shared_ptr<HttpExchange>& connection);
    std::string metricsText();
    size_t countRoutes(bool Route::*isCounted) const;
    std::string stateText();
    void logReloadRequest();
    void beginStop();
    void advanceStop();

    const ProxySettings m_settings;
    PlatformAdapter m_adapter;
    const Clock& m_clock;
    // Outlives all holders of charges, of which some belong to writes that end with the loop.
    MemoryBudget m_memory;
    EventLoop m_loop;
    const Hello m_self;
    Metrics m_metrics;
    RequestLog m_log;
    Random m_random;
    Router m_router;
    ServerDirectory m_directory;
    ZoneEvacuations m_evacuations;
    // The most recently published view of the directory.
    std::shared_ptr<const MembershipView> m_view;
    // Outlives the connections and the gate, which report to it.
    LinkBudget m_link;
    BackendGate m_gate;
    std::map<Endpoint, std::unique_ptr<PeerClient>> m_peers;
    CallForwarder m_forwarder;
    SourceExchange m_exchange;
    PeerServer m_peerServer;
    HttpListener m_callerListener;
    HttpListener m_readyListener;
    HttpListener m_adminListener;
    // The plain text is kept until a peer first requests it, then the compressed form: compressing it for each peer
    // would take most of the CPU of a small instance while configurations change in quick succession.
    std::string m_configurationText;
    std::string m_compressedConfiguration;
    bool m_hasServers { false };
    bool m_hasColdPolicy { false };
    bool m_isSourceLost { false };
    TimePoint m_sourceLostAt;
    std::optional<StopSchedule> m_stop;
    Timer m_tickTimer;
    Timer m_stopTimer;
    SignalWatcher m_terminate;
    SignalWatcher m_interrupt;
    SignalWatcher m_reload;
    SourceDecoder m_sourceDecoder;
    std::unique_ptr<SourceWatcher> m_watcher;
    EntryCheckSchedule m_entryCheck;
    KeyReader m_entryReader;
};

} // namespace skylark
