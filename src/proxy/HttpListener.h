// An HTTP/1.1 server on an event loop.
//
// The handler receives each complete request and its HttpExchange, and must call respond() on it, now or later. If the
// peer disconnects first, the exchange's disconnect callback runs and respond() has no effect.
//
// Responses are sent in the order of the requests. A request that a caller sends before the earlier ones are answered
// starts at once if options.mayStartEarly allows it for all of them, up to maxStarted; otherwise it starts when they
// have been answered. Requests behind a response that closes the connection are not answered, and the caller takes them
// for not read. So one that must run at most once is not started behind another.
//
// Bounds: maxConnections connections; a further one closes the one that has been idle longest, or is closed itself if
// none is idle. Each connection holds one message within the limits and 64 KiB more, all charged to options.memory. If
// that has no room, connections that have made no progress for minStall are closed, the longest-waiting first; if none
// is left, a request is refused with 503 before it is passed on, and a response that cannot be held resets its
// connection.
#pragma once

#include "base/Log.h"
#include "base/MemoryBudget.h"
#include "base/Random.h"
#include "eventloop/TcpStream.h"
#include "http/MessageParser.h"

#include <absl/container/flat_hash_set.h>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace skylark {

struct HttpListenerOptions {
    Endpoint address;
    HttpLimits limits {};
    Duration headerTimeout { std::chrono::seconds(5) };
    Duration idleTimeout { std::chrono::seconds(60) };
    size_t maxConnections { 3000 };
    // May be null.
    MemoryBudget* memory { nullptr };
    // Whether a request may be started before the earlier ones of its connection have been answered, and again if the
    // caller takes it for not read. None may if it is empty.
    std::function<bool(const HttpRequest&)> mayStartEarly {};
    size_t maxStarted { 16 };
    // A connection without progress for this long may be closed to make room for others.
    Duration minStall { std::chrono::seconds(1) };
};

class HttpListener;
class HttpConnection;

// One request and the way to its response.
class HttpExchange {
public:
    HttpExchange(std::weak_ptr<HttpConnection> connection, const HttpRequest& request, bool mayStartEarly);

    void respond(HttpResponse response);
    // The callback runs once if no response can be delivered any more, because the peer disconnected or an earlier
    // response closed the connection.
    void setDisconnectCallback(std::function<void()> onDisconnect) { m_onDisconnect = std::move(onDisconnect); }

private:
    friend class HttpConnection;
    const std::weak_ptr<HttpConnection> m_connection;
    const bool m_keepsAlive;
    const bool m_isHeadRequest;
    const bool m_mayStartEarly;
    std::function<void()> m_onDisconnect;
    // Waits for the responses to the earlier requests.
    std::optional<HttpResponse> m_response;
    std::shared_ptr<MemoryCharge> m_charge;
};

class HttpConnection final : public StreamHandler, public std::enable_shared_from_this<HttpConnection> {
public:
    HttpConnection(HttpListener& listener, std::unique_ptr<TcpStream> stream);

    void start();
    // Closes the connection after its pending data has been sent; there is no response to a request in progress.
    void finishAndClose();
    bool isBusy() const { return !m_exchanges.empty() || m_heldRequest; }
    // Part of a request has arrived.
    bool isReadingRequest() const { return m_parser.isWithinMessage(); }
    std::string peerHost() const { return m_stream ? m_stream->peerHost() : std::string(); }

    void onData(std::string_view bytes) override;
    void onDrained() override;
    void onEnd(StreamEnd end) override;

private:
    friend class HttpExchange;
    friend class HttpListener;
    bool isIdle() const { return !isBusy() && !isReadingRequest() && !hasUnsentResponse(); }
    bool hasUnsentResponse() const { return m_stream && m_stream->pendingBytes() > 0; }
    // Holds memory that closing the connection frees: an unfinished request or an unread response.
    bool isReclaimable() const { return hasUnsentResponse() || (!isBusy() && isReadingRequest()); }
    void checkProgress(TimePoint now);
    // Changes the charge; closes stalled connections if necessary.
    bool resize(MemoryCharge& charge, size_t bytes);
    void closeStalled();
    void write(std::string head, std::string body, const std::shared_ptr<MemoryCharge>& charge);
    void respond(HttpExchange& exchange, HttpResponse response);
    // Sends the responses whose turn it is.
    void flush();
    void writeResponse(HttpExchange& exchange);
    bool canReadNext() const;
    void readNext();
    // Returns false if there is no further request to start.
    bool readOne();
    void startRequest(HttpRequest request);
    // Starts what waited for the earlier responses.
    void proceed();
    // After the responses to the earlier requests.
    void refuseInTurn(int status);
    // Closes the connection and returns the disconnect callbacks of the exchanges without a response.
    std::vector<std::function<void()>> endExchanges();
    void startTimeout();
    void handleTimeout();
    void refuse(int status);
    void close(bool mustFlush);

    HttpListener& m_listener;
    std::unique_ptr<TcpStream> m_stream;
    RequestParser m_parser;
    Timer m_timer;
    // The requests that were started, in the order in which they arrived.
    std::deque<std::shared_ptr<HttpExchange>> m_exchanges;
    // A request that starts when the earlier ones have been answered.
    std::optional<HttpRequest> m_heldRequest;
    // The status of a refusal that follows the earlier responses and closes the connection.
    std::optional<int> m_refusal;
    bool m_isReading { false };
    // Received bytes that are not parsed yet.
    MemoryCharge m_bufferCharge;
    // The body in progress; passed on with the request.
    MemoryCharge m_bodyCharge;
    // Of the responses that have not been written to the kernel whole; the stream holds them.
    std::deque<std::weak_ptr<MemoryCharge>> m_responseCharges;
    // When the connection opened, or last received a part of a request or had a part of a response accepted.
    TimePoint m_progressAt;
    size_t m_unsentBytes { 0 };
};

class HttpListener {
public:
    using Handler = std::function<void(HttpRequest, const std::shared_ptr<HttpExchange>&)>;

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
    // Closes the connection other than `requester` that has made no progress for longest, if there is one.
    bool closeStalled(const HttpConnection& requester);
    bool closeLongestIdle();
    void accept(std::unique_ptr<TcpStream> stream);

    EventLoop& m_loop;
    HttpListenerOptions m_options;
    Handler m_handler;
    bool m_isDraining { false };
    absl::flat_hash_set<std::shared_ptr<HttpConnection>> m_connections;
    TcpListener m_listener;
    Timer m_progressTimer;
    RateLimitedLog m_memoryLog;
};

} // namespace skylark
