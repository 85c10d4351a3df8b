// A small fleet of proxy nodes and backend servers on loopback, each on its own thread.
//
// Node i listens on 127.0.0.(i+1), so that all nodes use the same ports, as on the platform. The configuration in the
// fake source is a text of the form "VERSION timeout-ms [cold-per-s]", which decodeTestConfiguration() reads.
#pragma once

#include "proxy/ProxyNode.h"
#include "proxy/tests/FakeSource.h"
#include "testing/TcpRelay.h"

#include <atomic>
#include <set>
#include <thread>

namespace skylark {

// How a backend server misbehaves.
enum class ServerFault : uint8_t {
    None,
    // Closes the connection after running the request, without a response.
    DropResponse,
    // Sends the response twice.
    ExtraResponse,
    // Announces more bytes than it sends, then closes the connection.
    Truncate,
    // Responds that it did not run the request.
    Shed,
    // Responds 503 after running the request, without a statement that it did not.
    RefuseAfterRun,
    // Writes a refusal without an id, then runs the request, as if an earlier refusal were written once more.
    RefusalBeforeResponse,
};

// The bytes of a response as the server sends them, and whether it then ends the connection.
struct RawResponse {
    enum class Ending : uint8_t {
        Open,
        Close,
        Reset,
    };
    std::string bytes;
    Ending ending { Ending::Open };
};

class TestServer {
public:
    // Returns what the server sends for the request with this id in place of this whole response.
    using ResponseFilter = std::function<RawResponse(const std::string& id, const std::string& response)>;

    TestServer(const Endpoint& address, std::string id, std::string service);
    ~TestServer();

    uint16_t port() const { return m_listener->port(); }
    void setFault(ServerFault fault) { m_fault = fault; }
    // Sent in each response from now on.
    void setExtraHeaders(HttpHeaders headers)
    {
        const std::lock_guard lock(m_mutex);
        m_extraHeaders = std::move(headers);
    }
    // Must be set before the first request.
    void setResponseFilter(ResponseFilter filter) { m_responseFilter = std::move(filter); }
    void setWork(Duration work)
    {
        m_workMilliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(work).count();
    }
    // Ids of the requests that the server began to run, one entry per run.
    std::multiset<std::string> executions() const;
    // The headers of the last request with this id.
    HttpHeaders requestHeaders(const std::string& id) const;
    int runningCount() const { return m_runningCount; }

private:
    class Connection;
    HttpHeaders responseHeaders(const std::string& id) const;
    void begin(const HttpRequest& request, const std::shared_ptr<HttpExchange>& connection);

    SystemClock m_clock;
    EventLoop m_loop;
    const std::string m_id;
    const std::string m_service;
    std::atomic<ServerFault> m_fault { ServerFault::None };
    std::atomic<int64_t> m_workMilliseconds { 5 };
    std::atomic<int> m_runningCount { 0 };
    mutable std::mutex m_mutex;
    std::multiset<std::string> m_executions;
    std::map<std::string, HttpHeaders> m_requestHeaders;
    HttpHeaders m_extraHeaders;
    ResponseFilter m_responseFilter;
    std::set<std::shared_ptr<Connection>> m_connections;
    std::unique_ptr<TcpListener> m_listener;
    std::thread m_thread;
};

// How nodes reach each other.
enum class PeerPath : uint8_t {
    Direct,
    // Through a relay in front of each node.
    Relayed,
};

class ProxyFleet {
public:
    // All servers run the service "work". Node i is in zones[i], or in "zone" if there is no such element. The clock of
    // the nodes must outlive the fleet. Watches of the nodes in stalledNodes return only by failing.
    explicit ProxyFleet(size_t nodes, const Clock& clock = systemClock(), std::set<size_t> stalledNodes = {},
        PeerPath peerPath = PeerPath::Direct, std::vector<std::string> zones = {});
    ~ProxyFleet();

    FakeStore& store() { return m_store; }
    TestServer& server(size_t index) { return *m_nodes[index].server; }
    void setSourceFailing(size_t index, bool isFailing) { m_nodes[index].source->setSourceFailing(isFailing); }
    // From now on the watches of this node return only by failing.
    void blockWatches(size_t index) { m_nodes[index].source->blockWatches(); }
    // The open connections between nodes deliver nothing from now on, while new ones work. Needs PeerPath::Relayed.
    void silencePeerConnections();
    Endpoint callerAddress(size_t index) const;
    Endpoint readyAddress(size_t index) const;
    Endpoint peerAddress(size_t index) const;
    Endpoint adminAddress(size_t index) const;
    void configure(
        uint64_t version, int timeoutMilliseconds, std::optional<double> coldRequestsPerSecond = std::nullopt);
    // An entry of the server's first start.
    void putHeartbeat(size_t index, uint64_t heartbeat, Duration remainingCold);
    void putServerEntry(
        size_t index, bool isDraining, uint64_t incarnation, std::optional<uint64_t> heartbeat = std::nullopt);
    // Writes an entry under a key of its own that names this service, a later start and the address.
    void putForeignEntry(const std::string& id, const std::string& service, const Endpoint& address);
    // The operator evacuates a zone or ends its evacuation.
    void evacuate(const std::string& zone) { m_store.put("op/evacuate/" + zone, "{}"); }
    void endEvacuation(const std::string& zone) { m_store.remove("op/evacuate/" + zone); }
    Endpoint serverAddress(size_t index) const;
    void removeServerEntry(size_t index) { m_store.remove(serverKey(index)); }
    // Waits until all nodes are ready; returns false if a node is not ready after about 5 s.
    bool waitUntilReady();
    // The setting of the nodes that are started from now on.
    void setLink(double bitsPerSecond) { m_linkBitsPerSecond = bitsPerSecond; }
    // Stops the node gracefully, like SIGTERM, and waits for it.
    void stopNode(size_t index);
    // The node's listings of the source take this long.
    void startNode(size_t index, Duration listingDelay = {});

private:
    struct Node {
        std::unique_ptr<TestServer> server;
        std::unique_ptr<TcpRelay> relay;
        FakeSource* source { nullptr };
        std::unique_ptr<ProxyNode> node;
        std::thread thread;
    };
    static const Clock& systemClock();
    static std::string serverKey(size_t index) { return "servers/s" + std::to_string(index); }
    static std::string hostOf(size_t index) { return "127.0.0." + std::to_string(index + 1); }
    ZoneName zoneOf(size_t index) const { return ZoneName(index < m_zones.size() ? m_zones[index] : "zone"); }
    ServerEntry decodeServer(const SourceItem& item) const;
    // Where a node behind a relay listens for peers.
    static std::string relayedHostOf(size_t index) { return "127.0.1." + std::to_string(index + 1); }

    FakeStore m_store;
    const Clock& m_clock;
    const std::set<size_t> m_stalledNodes;
    const PeerPath m_peerPath;
    const std::vector<std::string> m_zones;
    const uint16_t m_firstPort;
    double m_linkBitsPerSecond { 0 };
    std::vector<Node> m_nodes;
};

// The result of one request; the status is 0 if the connection closed without a response.
struct TestResponse {
    int status { 0 };
    std::string body;
    std::string retryAfter;
    // The server's proof; empty if there is none.
    std::string proof;
};
TestResponse sendRequest(const Endpoint& node, const std::string& id, const std::string& path,
    const std::string& body = "", int deadlineMilliseconds = 2000);

// The value of this name in the metric skylark_state of a node; -1 if there is none.
double stateValue(const Endpoint& admin, const std::string& name);

} // namespace skylark
