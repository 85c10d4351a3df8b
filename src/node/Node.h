// One skylarkd node: creates and connects its components and stops them in order.
//
// Path of a configuration change: SourceWorker → ControlLoop (Distributor) → RcuCell<Configuration>.
// Path of a request: CallerServer → CallDispatcher → PeerNetwork → Gate → BackendClient.
#pragma once

#include "document/Builder.h"
#include "node/CallerServer.h"
#include "node/ControlLoop.h"
#include "node/NodeSettings.h"

namespace skylark {

class Node {
public:
    // Binds all addresses; throws Error if one of them fails.
    Node(NodeSettings settings, const Clock& clock);
    ~Node();
    Node(const Node&) = delete;
    Node& operator=(const Node&) = delete;

    void start();

    // Shuts down gracefully: notifies peers, refuses new calls as not run, and waits for running calls until the
    // shutdown timeout or until isAborted returns true. Returns true if all running calls completed.
    bool shutdown(const std::function<bool()>& isAborted);

    nlohmann::json state();
    nlohmann::json status() { return m_control->status(); }
    const Endpoint& peerAddress() const { return m_network->listenAddress(); }
    std::string metrics() { return m_metrics.exposition(); }
    uint16_t callerPort() const { return m_callers->port(); }
    Endpoint adminAddress() const;

private:
    void startAdmin();
    void announceLeaving();
    nlohmann::json explain(const std::string& method, const std::string& path, const std::string& host);
    DistributorOptions distributorOptions();
    PeerHandlers peerHandlers();

    const NodeSettings m_settings;
    const Clock& m_clock;
    // Start time in milliseconds since the epoch; distinguishes processes of the same incarnation.
    const uint64_t m_processNumber;
    const Incarnation m_incarnation;
    SectionCache m_sectionCache;
    Metrics m_metrics;
    RcuCell<Configuration> m_configuration;
    RcuCell<MembershipView> m_membership;
    Router m_router;
    Gate m_gate;
    SourceWorker m_source;
    // Set once in start(). Null until then, since the network's handlers may run before the control loop exists.
    std::atomic<ControlLoop*> m_controlForHandlers { nullptr };
    std::unique_ptr<PeerNetwork> m_network;
    std::unique_ptr<CallDispatcher> m_dispatcher;
    std::unique_ptr<ControlLoop> m_control;
    std::unique_ptr<CallerServer> m_callers;
    HttpServer m_admin;
    uint16_t m_adminPort { 0 };
    std::thread m_adminThread;
    std::atomic<bool> m_isStopping { false };
};

} // namespace skylark
