// HTTP client for the backend server of this node's instance.
//
// - Idle keep-alive connections are pooled and reused in LIFO order.
//   A connection on which bytes have arrived since its last response is not reused: they belong to no later request.
// - A response is complete only by its own framing: a body that is shorter than its length, chunks without their end,
//   or a reset are failures.
// - exchange() runs on the calling thread and streams both bodies, so the flow-control windows of the transport bound
//   its memory.
// - The result states whether the backend server may have run the request. Of the requests that exchange() sends, only
//   one whose connection could not be opened has certainly not run.
#pragma once

#include "base/Types.h"
#include "base/WakeupDescriptor.h"
#include "http/BlockingSocket.h"
#include "http/MessageParser.h"
#include "wire/Messages.h"

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace skylark {

struct BackendRequest {
    std::string method;
    std::string target;
    HeaderList headers;
    // The complete body; absent if the request has no body or readBody supplies it.
    std::optional<std::string> body;
    // Returns the next part of a longer body, or nullopt at its end.
    std::function<std::optional<std::string>()> readBody;
    TimePoint deadline;
};

// Receives the response as it arrives. A callback returns false to abort the exchange and close the connection.
struct BackendResponseSink {
    std::function<bool(int status, HeaderList headers, std::optional<uint64_t> length)> onHead;
    std::function<bool(std::string data)> onBody;
};

struct BackendResult {
    // Answered if the complete response was passed to the sink.
    CallOutcome outcome { CallOutcome::Unknown };
    // True once onHead has been called.
    bool hasHead { false };
    std::string step;
    std::string message;
};

// Lets another thread abort an exchange whose result is no longer needed.
class BackendCancellation {
public:
    void cancel();
    bool isCancelled() const { return m_isCancelled; }

private:
    friend class BackendClient;
    std::atomic<bool> m_isCancelled { false };
    // Becomes readable with cancel().
    const WakeupDescriptor m_interrupt { "backend-cancellation" };
};

struct BackendClientOptions {
    Endpoint backend;
    // Size of the idle connection pool. Surplus connections are closed.
    size_t maxIdleConnections { 64 };
    Duration connectTimeout { std::chrono::milliseconds(500) };
};

class BackendClient {
public:
    explicit BackendClient(BackendClientOptions options);
    ~BackendClient();

    BackendResult exchange(const BackendRequest& request, const BackendResponseSink& sink,
        const std::shared_ptr<BackendCancellation>& cancellation);

private:
    struct Connection;
    // Returns an idle connection, or null if there is none that can be used.
    std::unique_ptr<Connection> takeIdle();
    void keepIdle(std::unique_ptr<Connection> connection);
    std::unique_ptr<Connection> connect(const FileDescriptor& interrupt, TimePoint deadline) const;

    BackendClientOptions m_options;
    std::mutex m_mutex;
    std::vector<std::unique_ptr<Connection>> m_idleConnections;
};

// Returns true for headers that apply to a single connection and are not forwarded.
bool isHopByHopHeader(const std::string& name);

} // namespace skylark
