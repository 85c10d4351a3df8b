// GET requests on one kept connection, for a thread that may wait.
//
// Stands in the node's processes where cpp-httplib would: Debian builds that library with OpenSSL and Brotli, whose
// pages are a third of an idle node's resident memory. Interprets nothing; redirects are returned as they are. Not
// thread-safe but for interrupt(). Memory: one response, within the limits given.
#pragma once

#include "base/Socket.h"
#include "base/Types.h"
#include "http/HttpMessage.h"
#include "http/MessageParser.h"

#include <memory>

namespace skylark {

struct BlockingHttpClientOptions {
    Endpoint server;
    Duration connectTimeout { std::chrono::milliseconds(700) };
    // Between two pieces of an answer that has begun. The whole answer has no time limit: a large one takes seconds on
    // a slow link, and a limit that it cannot keep would fail every call in turn.
    Duration progressTimeout { std::chrono::milliseconds(1000) };
    HttpLimits limits {};
};

struct ReceivedResponse {
    HttpResponse response;
    // From the first byte of the answer to the last.
    Duration transferTime {};
};

class BlockingHttpClient {
public:
    explicit BlockingHttpClient(BlockingHttpClientOptions options);
    ~BlockingHttpClient();
    BlockingHttpClient(const BlockingHttpClient&) = delete;
    BlockingHttpClient& operator=(const BlockingHttpClient&) = delete;

    // Throws Error with the server as its peer when the answer does not begin before the timeout or makes no progress;
    // the connection is closed then, since what may still come on it belongs to no later call.
    ReceivedResponse get(const std::string& target, Duration timeout);
    // Ends the present call and all later ones with an Error. From any thread.
    void interrupt() const;

private:
    class Socket;
    void connect();
    ReceivedResponse receive(std::chrono::steady_clock::time_point firstByteDeadline);
    [[noreturn]] void fail(const std::string& message) const;

    const BlockingHttpClientOptions m_options;
    std::unique_ptr<Socket> m_socket;
    std::unique_ptr<ResponseParser> m_parser;
    // Readable once interrupt() was called.
    const FileDescriptor m_interrupt;
};

} // namespace skylark
