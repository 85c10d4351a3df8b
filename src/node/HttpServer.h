// An httplib::Server with bounded request heads and a graceful drain.
//
// The connection loop of cpp-httplib wakes 100 times a second on an idle connection and reads a request head of any
// length. This server replaces it by one that
// - waits for the socket and the drain event together,
// - refuses a request head that is too large or arrives too slowly, and
// - on drain, closes idle connections after a short grace period while requests in flight finish.
#pragma once

#include "base/Types.h"
#include "base/WakeupDescriptor.h"

#include <atomic>
#include <httplib.h>

namespace skylark {

struct HttpServerOptions {
    ByteCount maxHeaderBytes { 64 * 1024 };
    // Limit for receiving the request line and headers, from their first byte.
    Duration headTimeout { std::chrono::seconds(10) };
    // Limit for receiving the next bytes of a body, and for the client to accept more of the response.
    Duration progressTimeout { std::chrono::seconds(10) };
    Duration keepAliveTimeout { std::chrono::seconds(60) };
    // Idle connections stay open this long after the start of a drain, since a request may be in transit.
    Duration drainGrace { std::chrono::milliseconds(500) };
    // Connections served concurrently, one thread each; further connections wait in the accept queue.
    int threads { 128 };
};

class HttpServer : public httplib::Server {
public:
    explicit HttpServer(HttpServerOptions options);
    ~HttpServer() override;

    // Binds the address, on a free port if it has port 0, and listens. Returns the port, or 0 on failure. Replaces the
    // functions of cpp-httplib, whose backlog of 5 drops connections in a burst.
    uint16_t bind(const Endpoint& address);

    // Stops accepting connections and requests. listen_after_bind() returns once the requests in flight have finished.
    void drain();
    bool isDraining() const { return m_isDraining.load(); }
    // Called by a handler to close the connection after the current request. Required if the handler leaves part of the
    // body unread, which would otherwise be parsed as the next request.
    static void closeAfterRequest();
    static bool willCloseAfterRequest();

    // Number of requests in flight.
    int inFlight() const { return m_inFlight.load(); }
    int connections() const { return m_connections.load(); }

private:
    bool process_and_close_socket(socket_t socket) override; // NOLINT(readability-identifier-naming)
    void serveConnection(int socket);

    HttpServerOptions m_options;
    // Becomes readable when the drain starts.
    const WakeupDescriptor m_drainEvent { "create-http-server" };
    std::atomic<bool> m_isDraining { false };
    std::atomic<int> m_inFlight { 0 };
    std::atomic<int> m_connections { 0 };
};

} // namespace skylark
