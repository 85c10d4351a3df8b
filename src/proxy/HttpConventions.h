// Header names and paths that callers, nodes and backend servers agree on.
//
// The defaults are the project's own; a platform adapter may set others.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace skylark {

struct HttpConventions {
    // Set by the caller and echoed by the backend server.
    std::string requestId { "Skylark-Request-Id" };
    // The remaining time in milliseconds that the caller or the node waits.
    std::string deadline { "Skylark-Deadline-Ms" };
    // Set by the node; a server with a different id rejects the request with 421.
    std::string expectedInstance { "Skylark-Expect-Instance" };
    // Set by the node: the service from which the request originates.
    std::string callerService { "Skylark-Caller-Service" };
    // Set by the server on each response; a success without it did not come from the server.
    std::string proof { "Skylark-Proof" };
    // Set by a server that did not execute the request.
    std::string notExecuted { "Skylark-Not-Executed" };
    // The requests per second that the server takes from all nodes together, a decimal number. Set by a server in need.
    std::string serverLimit { "Skylark-Server-Limit" };
    // "1" if the server is about to leave.
    std::string serverLeaving { "Skylark-Server-Leaving" };
    std::string readyPath { "/ready" };

    // The headers that all recipients of a message rely on. Neither a caller nor a server removes them by naming them
    // in Connection. The result refers to the members.
    std::vector<std::string_view> endToEndNames() const
    {
        return { "Host", requestId, deadline, expectedInstance, callerService, proof, notExecuted, serverLimit,
            serverLeaving };
    }
};

} // namespace skylark
