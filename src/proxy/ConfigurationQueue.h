// Requests of callers that arrived before the node's first configuration and servers.
//
// A node that has just started has no configuration for some tenths of a second, after a loss of all power for seconds.
// Its callers would come back too soon and be refused again, so their requests wait. A request waits at most
// `maxWait` and a sixth of its own time, since more would leave too little for its run.
//
// Bound: maxRequests requests.
#pragma once

#include "proxy/HttpListener.h"

#include <list>

namespace skylark {

struct ConfigurationQueueOptions {
    size_t maxRequests { 512 };
    Duration maxWait { std::chrono::seconds(1) };
};

class ConfigurationQueue {
public:
    using Callback = std::function<void(HttpRequest, const std::shared_ptr<HttpExchange>&, TimePoint receivedAt)>;

    // onExpired gets the requests that have waited long enough.
    ConfigurationQueue(EventLoop& loop, ConfigurationQueueOptions options, Callback onExpired);

    bool isFull() const { return m_requests.size() >= m_options.maxRequests; }
    // The caller waits for callerTimeout in all. A request whose caller disconnects is dropped.
    void add(HttpRequest request, const std::shared_ptr<HttpExchange>& caller, Duration callerTimeout);
    // Passes all requests on, in order of arrival, and is empty afterwards.
    void release(const Callback& onReady);
    // The node stops: no request waits any longer.
    void expireAll() { release(m_onExpired); }
    size_t size() const { return m_requests.size(); }

private:
    struct Waiting {
        HttpRequest request;
        std::shared_ptr<HttpExchange> caller;
        TimePoint receivedAt;
        TimePoint waitUntil;
    };

    void expire();

    EventLoop& m_loop;
    const ConfigurationQueueOptions m_options;
    const Callback m_onExpired;
    std::list<Waiting> m_requests;
    Timer m_timer;
};

} // namespace skylark
