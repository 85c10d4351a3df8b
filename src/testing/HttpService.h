// An HTTP server on one address that runs from construction to destruction, for stand-ins and tests.
//
// It wraps httplib::Server with the settings that a service of many connections needs: a pool of a
// stated size (one thread per connection), unlimited requests per connection, TCP_NODELAY and a listen
// backlog above the library's 5, which loses connections in a burst.
#pragma once

#include "base/Types.h"

#include <functional>
#include <httplib.h>
#include <thread>

namespace skylark {

struct HttpServiceOptions {
    // Port 0 takes a free one.
    Endpoint address { "127.0.0.1", 0 };
    size_t threads { 32 };
    size_t maxBodyBytes { 8u << 20 };
};

class HttpService {
public:
    // The callback registers the handlers before the first request is taken.
    HttpService(const HttpServiceOptions& options, const std::function<void(httplib::Server&)>& registerHandlers);
    ~HttpService();
    HttpService(const HttpService&) = delete;
    HttpService& operator=(const HttpService&) = delete;

    const Endpoint& address() const { return m_address; }
    // Ends listening and waits until the requests in progress have been answered.
    void stop();

private:
    httplib::Server m_server;
    Endpoint m_address;
    std::thread m_thread;
};

// True when the peer of the request that the calling handler serves has closed its connection.
bool hasPeerClosed(const httplib::Request& request);

} // namespace skylark
