// A blocking HTTP client that sends GET requests on one persistent connection.
//
// - The node uses it instead of cpp-httplib, because Debian builds that library with OpenSSL and Brotli, whose pages
//   make up a third of the resident memory of an idle node.
// - It returns redirects to the caller and does not follow them.
// - The path to the server may forget an open connection, which then stays silent for good. A request whose response
//   does not begin on a kept connection is therefore sent once more over a new one, before its own timeout. A server
//   that is slow, rather than silent, gets at most one request twice: after that the client waits for it.
// - Only interrupt() is thread-safe.
// - It buffers one response, within the configured limits.
#pragma once

#include "base/Types.h"
#include "base/WakeupDescriptor.h"
#include "http/BlockingSocket.h"
#include "http/HttpMessage.h"
#include "http/MessageParser.h"

#include <chrono>
#include <memory>
#include <optional>

namespace skylark {

struct BlockingHttpClientOptions {
    Endpoint server;
    Duration connectTimeout { std::chrono::milliseconds(700) };
    // The maximum time between two reads of a response that has begun. The whole response has no time limit: a large
    // response takes seconds on a slow link, and a limit that is too short for it would fail every request.
    Duration progressTimeout { std::chrono::milliseconds(1000) };
    // A response on a kept connection begins within this time after the server stops holding the request.
    Duration keptConnectionTimeout { std::chrono::milliseconds(400) };
    // A connection that was idle for longer is not used again.
    Duration maxIdleTime { std::chrono::milliseconds(1000) };
    HttpLimits limits {};
};

struct ReceivedResponse {
    HttpResponse response;
    // The time from the first byte of the response to the last.
    Duration transferTime {};
};

class BlockingHttpClient {
public:
    explicit BlockingHttpClient(BlockingHttpClientOptions options);
    ~BlockingHttpClient();
    BlockingHttpClient(const BlockingHttpClient&) = delete;
    BlockingHttpClient& operator=(const BlockingHttpClient&) = delete;

    // Throws Error with the server as its peer when the response does not begin within the timeout or makes no
    // progress. Closes the connection in that case, so that a late response is never taken for the response to a later
    // request. The timeout includes holdTime, for which the server may hold the request.
    ReceivedResponse get(const std::string& target, Duration timeout, Duration holdTime = {});
    // Makes the current get() and all later ones throw Error. May be called from any thread.
    void interrupt() const { m_interrupt.notify(); }

private:
    void connect();
    void closeUnusableConnection();
    // Sends the request over the kept connection. Returns nothing if the request may be sent again over a new one.
    std::optional<ReceivedResponse> sendOnKeptConnection(
        const std::string& request, Duration timeout, Duration expectedTime);
    ReceivedResponse send(const std::string& request, Duration timeout, Duration expectedTime);
    ReceivedResponse receive(std::chrono::steady_clock::time_point firstByteDeadline);
    [[noreturn]] void fail(const std::string& message) const;

    const BlockingHttpClientOptions m_options;
    std::unique_ptr<BlockingSocket> m_socket;
    std::unique_ptr<ResponseParser> m_parser;
    std::chrono::steady_clock::time_point m_lastUsedAt;
    // The time at which the first byte of the current response arrived.
    std::optional<TimePoint> m_firstByteTime;
    // The last response began later than a kept connection allows, so silence tells nothing of the connection.
    bool m_isServerSlow { false };
    const WakeupDescriptor m_interrupt;
};

} // namespace skylark
