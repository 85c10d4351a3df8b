// A blocking HTTP client that sends GET requests on one persistent connection.
//
// - The node uses it instead of cpp-httplib, because Debian builds that library with OpenSSL and Brotli, whose pages
//   make up a third of the resident memory of an idle node.
// - It returns redirects to the caller and does not follow them.
// - Only interrupt() is thread-safe.
// - It buffers one response, within the configured limits.
#pragma once

#include "base/Types.h"
#include "http/BlockingSocket.h"
#include "http/HttpMessage.h"
#include "http/MessageParser.h"

#include <memory>

namespace skylark {

struct BlockingHttpClientOptions {
    Endpoint server;
    Duration connectTimeout { std::chrono::milliseconds(700) };
    // The maximum time between two reads of a response that has begun. The whole response has no time limit: a large
    // response takes seconds on a slow link, and a limit that is too short for it would fail every request.
    Duration progressTimeout { std::chrono::milliseconds(1000) };
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
    // request.
    ReceivedResponse get(const std::string& target, Duration timeout);
    // Makes the current get() and all later ones throw Error. May be called from any thread.
    void interrupt() const;

private:
    void connect();
    ReceivedResponse receive(std::chrono::steady_clock::time_point firstByteDeadline);
    [[noreturn]] void fail(const std::string& message) const;

    const BlockingHttpClientOptions m_options;
    std::unique_ptr<BlockingSocket> m_socket;
    std::unique_ptr<ResponseParser> m_parser;
    // An eventfd that becomes readable when interrupt() is called.
    const FileDescriptor m_interrupt;
};

} // namespace skylark
