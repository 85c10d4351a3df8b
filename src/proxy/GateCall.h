// A call as a node submits it to a gate, and the gate's reply.
#pragma once

#include "http/HttpMessage.h"
#include "wire/Messages.h"

#include <functional>
#include <memory>
#include <variant>

namespace skylark {

// Identifies a call globally: the process that sent it and its number within that process.
struct CallKey {
    Incarnation sender;
    StreamId stream;

    bool operator==(const CallKey&) const = default;
    template <typename H> friend H AbslHashValue(H state, const CallKey& key)
    {
        return H::combine(std::move(state), key.sender, key.stream);
    }
};

struct GateCall {
    CallKey key;
    RequestId requestId;
    ServiceName service;
    std::shared_ptr<const HttpRequest> request;
    int rank { 0 };
    // The node that received the caller's request responds by this time at the latest.
    TimePoint deadline;
    // A response after this time is worth little to the caller. Equal to the time of receipt if a response is late
    // already or the peer that sent the call set no latency target.
    TimePoint onTimeBy;
    bool isIdempotent { false };
    // The call may have reached the gate before, over a connection that has been lost.
    bool isResend { false };
    // The number of this attempt for the caller's request, from 1.
    uint32_t attempt { 1 };
    // The rate that the server's start `serverIncarnation` named in an answer to the sender, in requests per second.
    std::optional<double> knownServerRate;
    Incarnation serverIncarnation;
    // The name of the route in the sender's configuration; empty if unknown.
    std::string route;
    // The response leaves the instance through its link.
    bool isFromPeer { false };
};

// The step of a GateRefusal that the backend server itself refused or failed. Nodes send it to each other.
inline constexpr const char* serverStep = "backend-server";

// The backend server's complete response.
struct GateResponse {
    HttpResponse response;
    LoadHint load;
    // Time from the start of the request at the backend server to its complete response; zero if unknown.
    Duration serviceTime {};
};

struct GateRefusal {
    // NotRun or Unknown.
    CallOutcome outcome { CallOutcome::Unknown };
    std::string step;
    std::string reason;
    LoadHint load;
};

using GateReply = std::variant<GateResponse, GateRefusal>;
using GateReplyPtr = std::shared_ptr<const GateReply>;
using ReplyCallback = std::function<void(const GateReplyPtr&)>;

inline GateReplyPtr makeRefusal(CallOutcome outcome, std::string step, std::string reason, LoadHint load = {})
{
    return std::make_shared<const GateReply>(
        GateRefusal { .outcome = outcome, .step = std::move(step), .reason = std::move(reason), .load = load });
}

} // namespace skylark
