// What a backend server's response says of its request, and so whether a caller may get it.
//
// From a node, the statuses 408, 421, 429 and 503 mean that the request did not run and never will: callers repeat even
// non-idempotent requests after them. A server states this in another way, with HttpConventions::notExecuted or with
// 421, and its gate turns such a response into a refusal. Any other response of a server with one of these statuses may
// follow a run, for instance if the server lost its database halfway, so a node must not deliver it.
#pragma once

#include "http/HttpMessage.h"
#include "proxy/HttpConventions.h"

namespace skylark {

enum class ResponseKind : uint8_t {
    // The server states that it did not run the request.
    NotExecuted,
    // The status means "not run" to callers, but the server does not state it.
    AmbiguousRefusal,
    // A success without the server's proof, so it did not come from the server.
    UnprovenSuccess,
    Success,
    // A redirect or a failure; it promises nothing.
    Failure,
};

ResponseKind classifyResponse(const HttpResponse& response, const HttpConventions& httpConventions);

// Whether the server states that it did not run the request. Such a response need not bear the request's id, since a
// server that refuses a request may not have read it.
bool statesNotExecuted(const HttpResponse& response, const HttpConventions& httpConventions);

} // namespace skylark
