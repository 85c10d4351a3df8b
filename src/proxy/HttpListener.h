// An HTTP/1.1 server on an event loop; each connection handles one request at a time.
//
// The handler receives each complete request and the connection, and must call respond() on it, now or later. If the
// peer disconnects first, the connection's disconnect callback runs and respond() has no effect.
//
// Bounds: maxConnections connections (further ones are closed immediately); each connection buffers one message within
// the limits and 64 KiB more.
#pragma once

#include "base/Random.h"
#include "eventloop/TcpStream.h"
#include "http/MessageParser.h"

#include <absl/container/flat_hash_set.h>
#include <functional>
#include <memory>

namespace skylark {

struct HttpListenerOptions {
    Endpoint address;
    HttpLimits limits {};
    Duration headerTimeout { std::chrono::seconds(5) };
    Duration idleTimeout { std::chrono::seconds(60) };
    size_t maxConnections { 3000 };
};

class HttpListener;

class HttpConnection final : public StreamHandler, public std::enable_shared_from_this<HttpConnection> {
public:
    HttpConnection(HttpListener& listener, std::unique_ptr<TcpStream> stream);

    void start();
    void respond(HttpResponse response);
    // Closes the connection after its pending data has been sent; there is no response to a request in progress.
    void finishAndClose();
    // The callback runs once if the peer disconnects before the response.
    void setDisconnectCallback(std::function<void()> onDisconnect) { m_onDisconnect = std::move(onDisconnect); }
    bool isBusy() const { return m_isBusy; }
    // Part of a request has arrived.
    bool isReadingRequest() const { return m_parser.isWithinMessage(); }
    std::string peerHost() const { return m_stream ? m_stream->peerHost() : std::string(); }

    void onData(std::string_view bytes) override;
    void onEnd(StreamEnd end) override;

private:
    friend class HttpListener;
    void readNext();
    void startTimeout();
    void handleTimeout();
    void refuse(int status);
    void close(bool mustFlush);

    HttpListener& m_listener;
    std::unique_ptr<TcpStream> m_stream;
    RequestParser m_parser;
    Timer m_timer;
    std::function<void()> m_onDisconnect;
    bool m_isBusy { false };
    bool m_keepsAlive { true };
    bool m_isHeadRequest { false };
};

class HttpListener {
public:
    using Handler = std::function<void(HttpRequest, const std::shared_ptr<HttpConnection>&)>;

    // Throws Error when the address cannot be bound.
    HttpListener(EventLoop& loop, HttpListenerOptions options, Handler handler);
    ~HttpListener();

    // Applies to all connections, the header and body limits from their next request.
    void setLimits(HttpLimits limits, Duration headerTimeout, Duration idleTimeout);
    // From now on each response closes its connection.
    void beginDrain() { m_isDraining = true; }
    // Closes the connections without a request in progress, after their pending data has been sent.
    void closeIdle();
    size_t connectionCount() const { return m_connections.size(); }
    uint16_t port() const { return m_listener.port(); }

private:
    friend class HttpConnection;
    void accept(std::unique_ptr<TcpStream> stream);

    EventLoop& m_loop;
    HttpListenerOptions m_options;
    Handler m_handler;
    bool m_isDraining { false };
    absl::flat_hash_set<std::shared_ptr<HttpConnection>> m_connections;
    TcpListener m_listener;
};

} // namespace skylark
