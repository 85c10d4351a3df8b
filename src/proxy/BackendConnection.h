// One HTTP/1.1 connection to the backend server; carries one request at a time.
//
// send() may be called while the connection is being opened or is idle. Its callback runs exactly once, unless close()
// is called first. A response is never matched to the wrong request: unexpected bytes after a response close the
// connection, and a response with the id of another request is skipped. A refusal without an id counts only as the
// first response on its connection: on a kept one a faulty server may have written an earlier refusal once more. A
// response without a length is complete only after an orderly end of the connection, without an error on the read or
// the write side, and only if the server's system had accepted the whole request.
#pragma once

#include "eventloop/TcpStream.h"
#include "http/MessageParser.h"
#include "proxy/HttpConventions.h"

#include <functional>
#include <memory>
#include <variant>

namespace skylark {

// A complete response that carries the request's id or states that the request was not executed.
struct BackendResponse {
    HttpResponse response;
};
// The connection could not be opened, so nothing was sent.
struct BackendUnreachable { };
// The request was sent, but no complete response arrived.
struct BackendFailure {
    std::string reason;
    // The server closed or reset the connection.
    bool isConnectionLost { false };
};
using BackendResult = std::variant<BackendResponse, BackendUnreachable, BackendFailure>;

struct BackendRequest {
    // The head, and the whole request if `message` is null.
    std::string bytes;
    // Its body follows the head; it is not copied.
    std::shared_ptr<const HttpRequest> message;
    std::string requestId;
    bool isHeadRequest { false };
};

class BackendConnection final : public StreamHandler, public std::enable_shared_from_this<BackendConnection> {
public:
    using ResultCallback = std::function<void(const std::shared_ptr<BackendConnection>&, BackendResult)>;
    using ClosedCallback = std::function<void(const std::shared_ptr<BackendConnection>&)>;

    // onIdleClosed runs when the connection closes while it is idle, because the server closed it or sent unexpected
    // bytes. Throws Error like TcpStream::connect.
    BackendConnection(
        EventLoop& loop, const Endpoint& server, const HttpConventions& httpConventions, ClosedCallback onIdleClosed);

    void send(BackendRequest request, ResultCallback onResult);
    // Closes the connection; the callback of a request in progress does not run.
    void close();
    // False while the connection is being opened, when nothing of the request has been sent.
    bool hasSentRequest() const { return m_stream && m_stream->isConnected(); }
    // True if the last response left the connection open, without unread or unsent bytes.
    bool isReusable() const { return m_isReusable; }
    TimePoint idleSince() const { return m_idleSince; }
    // The idle timeout that the server announced in its last Keep-Alive header; zero if it announced none.
    Duration keepAliveTimeout() const { return m_keepAliveTimeout; }

    void onConnected() override;
    void onData(std::string_view bytes) override;
    void onEnd(StreamEnd end) override;

private:
    void writeRequest();
    bool isOwnResponse(const HttpResponse& response) const;
    void acceptResponse(HttpResponse response);
    void recordKeepAlive(const HttpResponse& response);
    void finish(BackendResult result);

    EventLoop& m_loop;
    const HttpConventions& m_httpConventions;
    ClosedCallback m_onIdleClosed;
    std::unique_ptr<TcpStream> m_stream;
    ResponseParser m_parser;
    BackendRequest m_request;
    ResultCallback m_onResult;
    bool m_hasAnswered { false };
    bool m_isReusable { false };
    TimePoint m_idleSince;
    Duration m_keepAliveTimeout {};
};

} // namespace skylark
