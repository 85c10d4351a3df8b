// A stand-in for the platform's configuration service: an HTTP server on top of a PlatformStore.
//
//     GET /v1/kv/<key>                         the value, with headers X-Revision and X-Store-Revision
//     GET /v1/watch?prefix=&after=&waitMs=     long poll; after=0 lists all keys without waiting
//     PUT /publish/<key>, DELETE /publish/<key>
//     POST /instances, DELETE /instances/<id>  change skylarkbay/instances/<zone> after the list lag
//     POST /fault                              {"delayMs", "isDown", "isStale", "crossUpdates", "listLagMs"}
//     GET /stats                               calls in total, by kind and by second, peak, waiting watches
//
// Only reads and watches count as calls and are rate-limited, with status 429. While the platform is down, calls get
// 503 and waiting watches end with 503. A waiting watch occupies one thread of the pool.
#pragma once

#include "testing/CallMeter.h"
#include "testing/HttpService.h"
#include "testing/PlatformStore.h"

#include <condition_variable>
#include <mutex>
#include <nlohmann/json_fwd.hpp>
#include <string>

namespace skylark {

struct PlatformStandinOptions {
    Endpoint address { "127.0.0.1", 0 };
    uint64_t callsPerSecond { 2000 };
    // Limits the keep-alive connections, including those of waiting watches.
    size_t threads { 512 };
    Duration listLag { std::chrono::milliseconds(500) };
};

class PlatformStandin {
public:
    explicit PlatformStandin(const PlatformStandinOptions& options);
    ~PlatformStandin();

    const Endpoint& address() const { return m_service->address(); }
    Revision publish(const std::string& key, std::string value);
    void setInstance(const InstanceRecord& record);
    // Applies the body of POST /fault. Omitted keys keep their value. Throws Error for unknown keys.
    void setFaults(const nlohmann::json& faults);
    nlohmann::json stats() const;

private:
    void registerHandlers(httplib::Server& server);
    void registerOperatorHandlers(httplib::Server& server);
    // Counts the call and waits for the configured delay. Responds with 429 or 503 and returns false if the call must
    // not be served.
    bool beginCall(const std::string& kind, httplib::Response& response);
    void handleRead(const std::string& key, httplib::Response& response);
    void handleWatch(const httplib::Request& request, httplib::Response& response);
    void runTicker();

    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    PlatformStore m_store;
    CallMeter m_meter;
    Duration m_delay {};
    bool m_isDown { false };
    bool m_isStopping { false };
    size_t m_waitingWatches { 0 };
    std::thread m_ticker;
    std::unique_ptr<HttpService> m_service;
};

} // namespace skylark
