// Carries a caller's request to a backend server and its answer back.
//
// handle() takes a whole request and the connection to answer on. The route of the configuration in force gives the
// service (or the part of a split), rank, timeout and kind. Router names an instance; the call goes to the gate beside
// it, here or at a peer. By the gate's reply:
//   * an answer is delivered;
//   * NotRun: another instance is tried, up to mostRefusals;
//   * Unknown: an idempotent request is sent again if the route's attempts, the fleet's retry budget and the time
//     left allow it.
//
// Where nothing can be delivered the caller gets 503 with Retry-After if the request certainly did not run and never
// will, 502 if that is unknown, and 504 at the timeout of the route or the caller.
#pragma once

#include "admission/InitialTimeoutEstimate.h"
#include "base/Random.h"
#include "document/Configuration.h"
#include "metrics/Metrics.h"
#include "proxy/BackendGate.h"
#include "proxy/HttpListener.h"
#include "proxy/PeerClient.h"
#include "proxy/RequestLog.h"
#include "retry/FleetRetryBudget.h"
#include "routing/Router.h"
#include "routing/SplitChooser.h"

namespace skylark {

struct CallForwarderOptions {
    // This process.
    Incarnation self;
    // The address of this instance, by which its own gate is known among the choices.
    std::string host;
    // The service beside which the callers' requests begin.
    ServiceName callerService;
    int mostRefusals { 2 };
    // Where the caller says nothing.
    Duration defaultDeadline { std::chrono::seconds(10) };
    FleetRetryBudgetOptions retryBudget {};
};

// Finds or makes the client of a peer.
using PeerLookup = std::function<PeerClient&(const Endpoint&)>;

class CallForwarder {
public:
    CallForwarder(EventLoop& loop, CallForwarderOptions options, const Dialect& dialect, Router& router,
        BackendGate& gate, PeerLookup peers, RequestLog& log, Metrics& metrics);

    void handle(HttpRequest request, const std::shared_ptr<HttpConnection>& caller);
    // Refuses all new requests as not run from now on.
    void drain() { m_isDraining = true; }
    void setConfiguration(std::shared_ptr<const Configuration> configuration);
    const std::shared_ptr<const Configuration>& configuration() const { return m_configuration; }
    // Nodes that share the retry budget.
    void setFleetSize(size_t nodes) { m_fleetSize = nodes; }
    size_t callsInProgress() const { return m_calls.size(); }

private:
    // What past calls of a route tell of the next one.
    struct RouteHistory {
        InitialTimeoutEstimate patience;
        // Smoothed; zero before the first answer.
        double meanAnswerBytes { 0 };
    };

    struct Call {
        explicit Call(EventLoop& loop, std::function<void()> onTimeout)
            : timer(loop, std::move(onTimeout))
        {
        }

        uint64_t number { 0 };
        std::shared_ptr<HttpConnection> caller;
        std::shared_ptr<const HttpRequest> request;
        RequestId requestId;
        std::shared_ptr<const Configuration> configuration;
        const Route* route { nullptr };
        ServiceName service;
        TimePoint receivedAt;
        TimePoint deadline;
        TimePoint onTimeBy;
        int rank { 0 };
        // Made by a request that runs at the backend server beside this node.
        bool isInnerCall { false };
        // Attempts that reached a backend server, or may have.
        uint32_t attempts { 0 };
        int refusals { 0 };
        bool mayHaveRun { false };
        std::string lastReason;
        std::vector<InstanceId> tried;
        std::optional<Choice> choice;
        StreamId stream;
        TimePoint sentAt;
        LoadHint lastLoad;
        bool wasRefusedByServer { false };
        Timer timer;
    };
    using CallPtr = std::shared_ptr<Call>;

    CallPtr makeCall(HttpRequest request, const std::shared_ptr<HttpConnection>& caller);
    // What the caller still waits, as it says.
    Duration patienceOf(const HttpRequest& request) const;
    bool isInnerCall(const RequestId& id) const;
    void setDeadlines(Call& call);
    ByteCount expectedBytes(const Call& call) const;
    void noteAnswerBytes(const Route& route, const HttpResponse& response);
    void attempt(const CallPtr& call);
    std::optional<Choice> chooseInstance(Call& call);
    void send(const CallPtr& call, const Choice& choice);
    void handleReply(const CallPtr& call, const GateReplyPtr& reply);
    void handleAnswer(const CallPtr& call, const GateAnswer& answer);
    void handleRefusal(const CallPtr& call, const GateRefusal& refusal);
    bool mayRepeat(const Call& call);
    bool isProven(const HttpResponse& response) const;
    void report(Call& call, CallOutcome outcome, bool isFault, const std::optional<LoadHint>& load);
    void giveUp(const CallPtr& call);
    void handleTimeout(const CallPtr& call);
    void handleCallerGone(const CallPtr& call);
    void cancelAttempt(Call& call);
    void finish(const CallPtr& call, HttpResponse response, const char* outcome);
    Duration retryAfter(const Call& call);
    // 503 with Retry-After.
    HttpResponse refusal(const Call& call);
    static HttpResponse failure(int status, const std::string& reason);

    EventLoop& m_loop;
    const CallForwarderOptions m_options;
    const Dialect& m_dialect;
    Router& m_router;
    BackendGate& m_gate;
    PeerLookup m_peers;
    RequestLog& m_log;
    Metrics& m_metrics;
    std::shared_ptr<const Configuration> m_configuration;
    SplitChooser m_splits;
    // By name of the route; cleared of routes that a new configuration does not have.
    absl::flat_hash_map<std::string, RouteHistory> m_history;
    FleetRetryBudget m_retryBudget;
    Random m_random;
    size_t m_fleetSize { 1 };
    bool m_isDraining { false };
    uint64_t m_lastNumber { 0 };
    uint64_t m_lastStream { 0 };
    absl::flat_hash_map<uint64_t, CallPtr> m_calls;
};

} // namespace skylark
