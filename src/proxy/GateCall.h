// What a caller's node asks of a gate, and what the gate replies.
#pragma once

#include "http/HttpMessage.h"
#include "wire/Messages.h"

#include <functional>
#include <memory>
#include <variant>

namespace skylark {

// Names a call for good: the process that sent it and that process's number of it.
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
    // The node that holds the caller answers at this time at the latest.
    TimePoint deadline;
    // An answer after this is worth little to the caller; the time of receipt when there is no such time.
    TimePoint onTimeBy;
    bool isIdempotent { false };
    // May have reached the gate before, over a connection that was lost since.
    bool isResend { false };
    // The place of this attempt among the caller's request's attempts, from 1.
    uint32_t attempt { 1 };
};

// The backend server's answer, whole and checked.
struct GateResponse {
    HttpResponse response;
    LoadHint load;
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
