// Sends one call to the backend server beside this node and passes its answer on.
//
// A pool keeps idle kept-alive connections, last used first. One exchange runs on the calling thread and
// streams both bodies, so its memory is bounded by the transport's windows. The result says whether the
// backend server may have run the request: only a connection that could not be opened proves that it
// did not.
#pragma once

#include "base/Types.h"
#include "wire/Messages.h"

#include <functional>
#include <httplib.h>
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
    // A whole body; absent for a request without one, or where readBody gives it.
    std::optional<std::string> body;
    // Gives the next part of a longer body, or nothing at its end.
    std::function<std::optional<std::string>()> readBody;
    TimePoint deadline;
};

// Receives the answer while it arrives. Each returns false to give up, which closes the connection.
struct BackendResponseSink {
    std::function<bool(int status, HeaderList headers, std::optional<uint64_t> length)> onHead;
    std::function<bool(std::string data)> onBody;
};

struct BackendResult {
    // Answered when the whole answer was passed on.
    CallOutcome outcome { CallOutcome::Unknown };
    // True once onHead has been called.
    bool hasHead { false };
    std::string step;
    std::string message;
};

// Lets another thread end an exchange that nobody waits for any more.
class BackendCancellation {
public:
    void cancel();
    bool isCancelled() const;

private:
    friend class BackendClient;
    bool attach(httplib::Client* client);
    void detach();

    mutable std::mutex m_mutex;
    httplib::Client* m_client { nullptr };
    bool m_isCancelled { false };
};

struct BackendClientOptions {
    Endpoint backend;
    // Idle connections kept; beyond that they are closed.
    size_t maxIdleConnections { 64 };
    Duration connectTimeout { std::chrono::milliseconds(500) };
};

class BackendClient {
public:
    explicit BackendClient(BackendClientOptions options);

    BackendResult exchange(const BackendRequest& request, const BackendResponseSink& sink,
        const std::shared_ptr<BackendCancellation>& cancellation);

private:
    std::unique_ptr<httplib::Client> acquireClient();
    void releaseClient(std::unique_ptr<httplib::Client> client);

    BackendClientOptions m_options;
    std::mutex m_mutex;
    std::vector<std::unique_ptr<httplib::Client>> m_idleClients;
};

// True for headers that belong to one connection and are not forwarded.
bool isHopByHopHeader(const std::string& name);

} // namespace skylark
