// An HTTP server on one address that runs from construction to destruction, for stand-ins and tests.
//
// It configures httplib::Server for many connections:
// - a thread pool of a given size, with one thread per connection
// - unlimited requests per connection
// - TCP_NODELAY
// - a listen backlog above the library's 5, which loses connections in a burst
#pragma once

#include "base/Types.h"

#include <functional>
#include <httplib.h>
#include <thread>

namespace skylark {

struct HttpServiceOptions {
    // Port 0 selects a free port.
    Endpoint address { "127.0.0.1", 0 };
    size_t threads { 32 };
    size_t maxBodyBytes { 8u << 20 };
};

class HttpService {
public:
    // Calls registerHandlers before the server accepts requests. Throws Error if the address cannot be bound.
    HttpService(const HttpServiceOptions& options, const std::function<void(httplib::Server&)>& registerHandlers);
    ~HttpService();
    HttpService(const HttpService&) = delete;
    HttpService& operator=(const HttpService&) = delete;

    const Endpoint& address() const { return m_address; }
    // Stops listening and waits until the requests in progress are complete.
    void stop();

private:
    httplib::Server m_server;
    Endpoint m_address;
    std::thread m_thread;
};

// Returns true if the peer has closed the connection of the request. Must be called by the handler of the request.
bool hasPeerClosed(const httplib::Request& request);

} // namespace skylark
