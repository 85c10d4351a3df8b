// Forwards a caller's request to a backend server and returns the response.
//
// handle() takes a complete request and the connection to respond on. The matching route of the current configuration
// gives the service (or the target of a split), rank, timeout and idempotence. Router picks an instance, and the call
// goes to that instance's gate, on this node or at a peer. Depending on the gate's reply:
//   * a response is delivered, with two exceptions (ResponseKind.h): a success without the server's proof is treated
//     like Unknown, and an ambiguous refusal ends the call, since its status would tell the caller that the request did
//     not run;
//   * NotRun from the gate: another instance is tried, up to maxRefusals refusals, or maxRateRefusals by servers that
//     limit their requests;
//     A server that refused because it is cold is followed by servers that are not, if there are any.
//   * NotRun from the server: the request is retried if the route's retries, the fleet's retry budget and the remaining
//     time allow it;
//   * Unknown: the same for an idempotent request.
//
// Without a response to deliver, the caller gets
//   * 503 with Retry-After if the request certainly did not run and never will;
//   * 502 if that is unknown;
//   * 504 after the timeout of the route or the caller.
//
// Requests that arrive before the first configuration and the first servers wait for them in a ConfigurationQueue.
#pragma once

#include "admission/CostEstimator.h"
#include "admission/InitialTimeoutEstimate.h"
#include "base/Random.h"
#include "document/Configuration.h"
#include "metrics/Metrics.h"
#include "proxy/BackendGate.h"
#include "proxy/ConfigurationQueue.h"
#include "proxy/HttpListener.h"
#include "proxy/PeerClient.h"
#include "proxy/RequestLog.h"
#include "proxy/ServerNotices.h"
#include "retry/FleetRetryBudget.h"
#include "routing/Router.h"
#include "routing/SplitChooser.h"

namespace skylark {

struct CallForwarderOptions {
    // This process.
    Incarnation self;
    // The host of this instance; a choice with this host is served by the local gate.
    std::string host;
    // The service of the local backend server, from which callers' requests originate.
    ServiceName callerService;
    int maxRefusals { 2 };
    int maxRateRefusals { 6 };
    ConfigurationQueueOptions configurationQueue {};
    // Used if the caller sends no valid deadline.
    Duration defaultDeadline { std::chrono::seconds(10) };
    FleetRetryBudgetOptions retryBudget {};
    // Learns the cost of requests and passes it to the router.
    bool isCostAware { false };
};

// Returns the client for a peer and creates it if necessary.
using PeerLookup = std::function<PeerClient&(const Endpoint&)>;

class CallForwarder {
public:
    CallForwarder(EventLoop& loop, CallForwarderOptions options, const HttpConventions& httpConventions, Router& router,
        BackendGate& gate, PeerLookup peers, RequestLog& log, Metrics& metrics);

    void handle(HttpRequest request, const std::shared_ptr<HttpExchange>& caller);
    // The request has an idempotent route, so it may run again if its response is lost.
    bool isIdempotent(const HttpRequest& request) const;
    // The process ends soon: every request is answered by this time at the latest.
    void beginStop(TimePoint answerBy);
    // Refuses new requests with 503 from now on, except calls on behalf of requests that the local server runs: those
    // requests would fail with them.
    void drain();
    void setConfiguration(std::shared_ptr<const Configuration> configuration);
    const std::shared_ptr<const Configuration>& configuration() const { return m_configuration; }
    // The listed servers; the nodes beside them share the retry budget.
    void setServers(const MembershipView& view);
    // Requests that were refused because all servers of their service are in evacuated zones.
    uint64_t refusedByEvacuation() const { return m_refusedByEvacuation; }
    // Responses of servers that were not delivered because their status would have told callers "not run".
    uint64_t ambiguousRefusals() const { return m_ambiguousRefusals; }
    size_t callsInProgress() const { return m_calls.size() + m_queue.size(); }

private:
    // Estimates from past calls of a route.
    struct RouteHistory {
        InitialTimeoutEstimate timeoutEstimate;
        // Exponential moving average; zero before the first response.
        double meanResponseBytes { 0 };
    };

    // Whether the node beside a server takes calls. This is no property of the server, which may outlive the node.
    enum class NodeCondition : uint8_t {
        Usable,
        // Unreachable or silent.
        Suspect,
        // Its process stops.
        Leaving,
    };

    struct Call {
        explicit Call(EventLoop& loop, std::function<void()> onTimeout)
            : timer(loop, std::move(onTimeout))
        {
        }

        uint64_t number { 0 };
        std::shared_ptr<HttpExchange> caller;
        std::shared_ptr<const HttpRequest> request;
        RequestId requestId;
        std::shared_ptr<const Configuration> configuration;
        const Route* route { nullptr };
        ServiceName service;
        TimePoint receivedAt;
        TimePoint deadline;
        TimePoint onTimeBy;
        int rank { 0 };
        // Made on behalf of a request that is running at the local backend server.
        bool isNestedCall { false };
        // Attempts that reached or may have reached a backend server.
        uint32_t attempts { 0 };
        int refusals { 0 };
        int rateRefusals { 0 };
        bool mayHaveRun { false };
        std::string lastReason;
        std::vector<InstanceId> triedInstances;
        std::optional<Choice> choice;
        StreamId stream;
        TimePoint sentAt;
        LoadHint lastLoad;
        bool wasRefusedByServer { false };
        Timer timer;
    };
    using CallPtr = std::shared_ptr<Call>;

    void refuse(
        HttpRequest request, const std::shared_ptr<HttpExchange>& caller, TimePoint receivedAt, const char* reason);
    // A process that has just started knows no servers for a moment after its first configuration.
    bool canForward() const { return m_configuration && m_hasServers; }
    void releaseQueue();
    void queue(HttpRequest request, const std::shared_ptr<HttpExchange>& caller);
    void start(HttpRequest request, const std::shared_ptr<HttpExchange>& caller, TimePoint receivedAt);
    CallPtr makeCall(HttpRequest request, const std::shared_ptr<HttpExchange>& caller, TimePoint receivedAt);
    RequestId requestIdOf(const HttpRequest& request) const;
    // The remaining time that the caller announces.
    Duration callerTimeout(const HttpRequest& request) const;
    bool isNestedCall(const RequestId& id) const;
    void setDeadlines(Call& call);
    ByteCount expectedBytes(const Call& call) const;
    void recordResponseBytes(const Route& route, const HttpResponse& response);
    static CostRequest costRequest(const Call& call);
    // Service time at a server of mean speed; zero if unknown.
    Duration expectedCost(const Call& call) const;
    void recordCost(const Call& call, Duration serviceTime);
    void attempt(const CallPtr& call);
    // Prefers an instance whose node is usable. Otherwise returns the first choice whose node is suspect, if any.
    std::optional<Choice> chooseInstance(Call& call);
    void send(const CallPtr& call, const Choice& choice);
    std::optional<Choice> chooseAmongUsable(const Call& call, std::vector<InstanceId> excluded);
    NodeCondition conditionOf(const Endpoint& node);
    static ServerNotices::Server targetOf(const Call& call);
    // The service states what a cold server takes.
    static bool limitsColdServers(const Call& call);
    // Delays this node's next request to the call's target if its server limits requests.
    void pauseTarget(const Call& call, TimePoint since, const LoadHint& load);
    void handleReply(const CallPtr& call, const GateReplyPtr& reply);
    void handleResponse(const CallPtr& call, const GateResponse& gateResponse);
    void handleAmbiguousRefusal(const CallPtr& call, const GateResponse& gateResponse);
    void handleRefusal(const CallPtr& call, const GateRefusal& refusal);
    void recordFailedAttempt(Call& call, const GateRefusal& refusal);
    // If it returns true, it has taken a retry from the budget, which the caller must use.
    bool tryTakeRetry(const Call& call);
    void reportToRouter(
        Call& call, CallOutcome outcome, bool isFault, const std::optional<LoadHint>& load, Duration serviceTime = {});
    void giveUp(const CallPtr& call);
    void handleTimeout(const CallPtr& call);
    void handleCallerDisconnect(const CallPtr& call);
    void cancelAttempt(Call& call);
    void finish(const CallPtr& call, HttpResponse response, const char* outcome);
    Duration retryAfter(const Call& call);
    // 503 with Retry-After.
    HttpResponse refusal(const Call& call);
    static HttpResponse failure(int status, const std::string& reason);

    EventLoop& m_loop;
    const CallForwarderOptions m_options;
    const HttpConventions& m_httpConventions;
    Router& m_router;
    BackendGate& m_gate;
    PeerLookup m_peers;
    RequestLog& m_log;
    Metrics& m_metrics;
    std::shared_ptr<const Configuration> m_configuration;
    ConfigurationQueue m_queue;
    SplitChooser m_splits;
    // By route name; routes that a new configuration lacks are removed.
    absl::flat_hash_map<std::string, RouteHistory> m_history;
    // Absent unless isCostAware is set.
    std::optional<CostEstimator> m_costs;
    FleetRetryBudget m_retryBudget;
    Random m_random;
    ServerNotices m_notices;
    // By their entries; at most one per listed server.
    absl::flat_hash_map<InstanceId, TimePoint> m_coldUntil;
    // Services whose servers are all in evacuated zones.
    absl::flat_hash_set<ServiceName> m_evacuatedServices;
    uint64_t m_refusedByEvacuation { 0 };
    uint64_t m_ambiguousRefusals { 0 };
    size_t m_fleetSize { 1 };
    bool m_hasServers { false };
    bool m_isDraining { false };
    TimePoint m_answerBy { TimePoint::max() };
    uint64_t m_lastNumber { 0 };
    uint64_t m_lastStream { 0 };
    absl::flat_hash_map<uint64_t, CallPtr> m_calls;
};

} // namespace skylark
