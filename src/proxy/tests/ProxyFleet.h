// A small fleet of proxy nodes with backend servers on loopback, each on a thread of its own.
//
// Node i listens on 127.0.0.(i+1), so that all use the same ports, as on the platform. The configuration is a text of
// the fake source that decodeTestConfiguration() reads: "VERSION timeout-ms".
#pragma once

#include "proxy/ProxyNode.h"
#include "proxy/tests/FakeSource.h"

#include <atomic>
#include <set>
#include <thread>

namespace skylark {

// What a backend server does with a request, by its path's last part.
enum class ServerFault : uint8_t {
    None,
    // Ends the connection after it has run the request.
    DropResponse,
    // Sends a second answer after the first.
    ExtraResponse,
    // Announces more bytes than it sends.
    Truncate,
    // Says that it did not run the request.
    Shed,
};

class TestServer {
public:
    TestServer(const Endpoint& address, std::string id, std::string service);
    ~TestServer();

    uint16_t port() const { return m_listener->port(); }
    void setFault(ServerFault fault) { m_fault = fault; }
    void setWork(Duration work)
    {
        m_workMilliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(work).count();
    }
    // Ids of requests that it began, each as often as it ran.
    std::multiset<std::string> executions() const;
    int running() const { return m_running; }

private:
    class Connection;
    void begin(const HttpRequest& request, const std::shared_ptr<HttpConnection>& connection);

    SystemClock m_clock;
    EventLoop m_loop;
    const std::string m_id;
    const std::string m_service;
    std::atomic<ServerFault> m_fault { ServerFault::None };
    std::atomic<int64_t> m_workMilliseconds { 5 };
    std::atomic<int> m_running { 0 };
    mutable std::mutex m_mutex;
    std::multiset<std::string> m_executions;
    std::set<std::shared_ptr<Connection>> m_connections;
    std::unique_ptr<TcpListener> m_listener;
    std::thread m_thread;
};

class ProxyFleet {
public:
    // Servers run the service "work" on all nodes. The nodes read this clock, which must outlive the fleet.
    // The watches of the nodes in heldNodes wait until they fail.
    explicit ProxyFleet(size_t nodes, const Clock& clock = systemClock(), std::set<size_t> stalledNodes = {});
    ~ProxyFleet();

    FakeStore& store() { return m_store; }
    TestServer& server(size_t index) { return *m_nodes[index].server; }
    void setSourceFailing(size_t index, bool isFailing) { m_nodes[index].source->setSourceFailing(isFailing); }
    Endpoint callerAddress(size_t index) const;
    Endpoint readyAddress(size_t index) const;
    Endpoint adminAddress(size_t index) const;
    void configure(uint64_t version, int timeoutMilliseconds);
    void list(size_t index, bool isDraining, uint64_t start);
    // Until all nodes are ready; false after a few seconds.
    bool waitUntilReady();
    // Stops the node in order, as SIGTERM does, and waits for it.
    void stopNode(size_t index);
    void startNode(size_t index);

private:
    struct Node {
        std::unique_ptr<TestServer> server;
        FakeSource* source { nullptr };
        std::unique_ptr<ProxyNode> node;
        std::thread thread;
    };
    static const Clock& systemClock();
    static std::string hostOf(size_t index) { return "127.0.0." + std::to_string(index + 1); }

    FakeStore m_store;
    const Clock& m_clock;
    const std::set<size_t> m_stalledNodes;
    const uint16_t m_firstPort;
    std::vector<Node> m_nodes;
};

// The status of one request, 0 when the connection ended without an answer.
struct TestResponse {
    int status { 0 };
    std::string body;
    std::string retryAfter;
};
TestResponse sendRequest(const Endpoint& node, const std::string& id, const std::string& path,
    const std::string& body = "", int deadlineMilliseconds = 2000);

} // namespace skylark
