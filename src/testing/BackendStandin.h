// A stand-in for a backend server with slots, a short queue, service times, a cold start and a drain.
//
//     GET /health, GET /load   the state as of loadLag ago, or the values set by /admin/mislead
//     GET /executions          the executed requests, by request id and by idempotency key
//     POST /admin/drain        {"graceMs"}: /health turns to 503, new work gets 503 after the grace period
//     POST /admin/mislead      {"isHealthy", "inFlight"}: /health and /load report these values; {} ends this
//     any other path           work: waits for a slot, runs for the service time, responds with responseBody()
//
// Work reads these request headers:
// - X-Work-Us: mean service time
// - X-Answer-Bytes: size of the response body
// - Skylark-Deadline-Ms: remaining time, after which work stops and responds with 504
// - Skylark-Request-Id and Idempotency-Key: recorded in the execution log
//
// Work also stops if its caller closes the connection. With `next`, each request first calls that address with the
// propagated headers.
#pragma once

#include "base/Random.h"
#include "testing/ExecutionLog.h"
#include "testing/HttpService.h"
#include "testing/SlotPool.h"

#include <atomic>
#include <deque>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace skylark {

enum class WorkDistribution { Fixed, Exponential };

struct BackendStandinOptions {
    Endpoint address { "127.0.0.1", 0 };
    std::string name { "backend" };
    std::string service { "service" };
    int slots { 13 };
    // Maximum number of requests that wait for a slot. Further requests get 503.
    int queue { 13 };
    // Maximum number of keep-alive connections. Eight more threads serve the status and admin pages.
    size_t connections { 120 };
    Duration work { std::chrono::milliseconds(2) };
    WorkDistribution distribution { WorkDistribution::Exponential };
    // Service times are multiplied by this factor at the start. It falls linearly to 1 over the warm-up.
    double coldFactor { 4 };
    Duration warmup {};
    Duration loadLag {};
    std::string recordFile;
    // "host:port/path" of a service to call before each response, and the Host header of that call. Empty for none.
    std::string next;
    std::string nextHost;
    uint64_t seed { 1 };
};

class BackendStandin {
public:
    explicit BackendStandin(const BackendStandinOptions& options);
    ~BackendStandin();

    const Endpoint& address() const { return m_service->address(); }
    nlohmann::json executions() const { return m_executionLog.report(); }
    void drain(Duration grace);

private:
    struct Sample {
        TimePoint time;
        SlotPool::Load load;
        bool isDraining { false };
    };

    void registerHandlers(httplib::Server& server);
    void registerAdminHandlers(httplib::Server& server);
    void handleWork(const httplib::Request& request, httplib::Response& response);
    void runWork(const httplib::Request& request, httplib::Response& response, TimePoint deadline);
    // Returns false unless the next service responds with a status below 500.
    bool callNext(const httplib::Request& request, TimePoint deadline);
    Duration serviceTime(const httplib::Request& request);
    bool rejectsNewWork() const;
    Sample reportedState() const;
    void runSampler();

    BackendStandinOptions m_options;
    const TimePoint m_startTime;
    SlotPool m_slots;
    ExecutionLog m_executionLog;
    std::atomic<uint64_t> m_shedCount { 0 };
    std::atomic<uint64_t> m_stoppedCount { 0 };

    mutable std::mutex m_mutex;
    Random m_random;
    std::optional<TimePoint> m_rejectsWorkAt;
    std::deque<Sample> m_samples;
    std::optional<bool> m_healthOverride;
    std::optional<int> m_inFlightOverride;
    std::vector<std::unique_ptr<httplib::Client>> m_idleNextClients;

    std::atomic<bool> m_isStopping { false };
    std::thread m_sampler;
    std::unique_ptr<HttpService> m_service;
};

} // namespace skylark
