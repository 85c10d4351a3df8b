// cpp-httplib's server with bounded request heads and a drain that cuts nothing.
//
// The library's own connection loop wakes a hundred times a second on an idle connection and reads a
// request head of any length. This one waits on the socket and on the drain signal together, refuses a
// head over a stated size or one that takes too long, and on drain closes idle connections at once while
// requests in flight finish.
#pragma once

#include "base/Types.h"

#include <atomic>
#include <httplib.h>

namespace skylark {

struct HttpServerOptions {
    ByteCount maxHeaderBytes { 64 * 1024 };
    // For the whole head of a request, from its first byte.
    Duration headTimeout { std::chrono::seconds(10) };
    // Longest wait for more bytes of a body, and for the reader of an answer.
    Duration progressTimeout { std::chrono::seconds(10) };
    Duration keepAliveTimeout { std::chrono::seconds(60) };
    // After the start of a drain, idle connections stay open this long, since a request may be on its way.
    Duration drainGrace { std::chrono::milliseconds(500) };
    // Connections served at once, one thread each; further ones wait in the accept queue.
    int threads { 128 };
};

class HttpServer : public httplib::Server {
public:
    explicit HttpServer(HttpServerOptions options);
    ~HttpServer() override;

    // Binds and listens, on a free port where the address has port 0. Gives the port, or 0 when the address
    // cannot be used. In place of the library's functions, whose backlog of 5 loses connections in a burst.
    uint16_t bind(const Endpoint& address);

    // Stops taking connections and requests. Requests in flight finish; listen_after_bind() returns then.
    void drain();
    bool isDraining() const { return m_isDraining.load(); }
    // Called by a handler: the connection is closed after the current request. Needed where a handler leaves
    // a part of the body unread, which would be taken for the next request.
    static void closeAfterRequest();
    static bool willCloseAfterRequest();

    // Requests being served now.
    int inFlight() const { return m_inFlight.load(); }
    int connections() const { return m_connections.load(); }

private:
    bool process_and_close_socket(socket_t socket) override; // NOLINT(readability-identifier-naming)
    void serveConnection(int socket);

    HttpServerOptions m_options;
    // Becomes readable when the drain starts.
    int m_drainEvent;
    std::atomic<bool> m_isDraining { false };
    std::atomic<int> m_inFlight { 0 };
    std::atomic<int> m_connections { 0 };
};

} // namespace skylark
