// Names of the headers by which callers, nodes and backend servers tell each other about a request.
//
// The defaults are the product's own; a platform's adapter sets others.
#pragma once

#include <string>

namespace skylark {

struct HttpConventions {
    // Set by the caller, echoed by the backend server.
    std::string requestId { "Skylark-Request-Id" };
    // How many milliseconds the caller, or the node, still waits.
    std::string deadline { "Skylark-Deadline-Ms" };
    // Set by the node; a server with another id refuses the request with 421.
    std::string expectedInstance { "Skylark-Expect-Instance" };
    // Set by the node: the service beside which the request began.
    std::string callerService { "Skylark-Caller-Service" };
    // Set by the server on each of its answers; without it a success is not the server's.
    std::string proof { "Skylark-Proof" };
    // Set by a server that did not run the request.
    std::string notExecuted { "Skylark-Not-Executed" };
    std::string readyPath { "/ready" };
};

} // namespace skylark
