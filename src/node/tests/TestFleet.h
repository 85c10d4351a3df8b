// Several complete nodes in one process on loopback, with a stand-in platform and simple backend servers.
#pragma once

#include "document/Builder.h"
#include "node/Node.h"
#include "testing/HttpService.h"
#include "testing/PlatformStandin.h"

#include <atomic>
#include <map>
#include <mutex>

namespace skylark {

// A backend server that counts the executions of each X-Test-Id and chooses its response by path.
class TestBackend {
public:
    TestBackend();

    const Endpoint& address() const { return m_service->address(); }
    int executions(const std::string& id);
    int totalExecutions();
    // Stops listening, so that connections are refused.
    void stop() { m_service->stop(); }

private:
    void handle(const httplib::Request& request, httplib::Response& response);

    std::mutex m_mutex;
    std::map<std::string, int> m_executions;
    int m_totalExecutions { 0 };
    // True once a response to /export has been truncated; only the first one is truncated.
    static inline std::atomic<bool> s_hasTruncatedExport { false };
    std::unique_ptr<HttpService> m_service;
};

struct TestInstance {
    std::unique_ptr<TestBackend> backend;
    std::unique_ptr<Node> node;
    InstanceRecord record;
};

class TestFleet {
public:
    // Starts nodes of the service "pitch", distributed round-robin over three zones, and waits until all of them serve.
    explicit TestFleet(int count);

    TestInstance& operator[](size_t index) { return *m_instances[index]; }
    size_t size() const { return m_instances.size(); }
    PlatformStandin& platform() { return *m_platform; }

    // Publishes a configuration whose lookup route has the given deadline.
    void publish(uint64_t version, const std::string& deadline = "2s");
    void publishInvalid(uint64_t version);
    // Waits until all nodes report the version; returns false on timeout.
    bool waitForVersion(uint64_t version, Duration timeout);
    httplib::Client client(size_t index);
    uint64_t versionOf(size_t index);

private:
    void publishSections(uint64_t version, const std::map<std::string, std::string>& texts);
    void addInstance(int number);

    SystemClock m_clock;
    std::unique_ptr<PlatformStandin> m_platform;
    std::vector<std::unique_ptr<TestInstance>> m_instances;
};

} // namespace skylark
