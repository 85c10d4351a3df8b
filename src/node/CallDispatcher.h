// The caller's side of a call: classify, route, attempt, respond.
//
// - classify() looks up the route in the current configuration and sets the rank, deadline and request id of the call.
// - call() sends a request whose body is complete and retries it as the retry policy allows.
// - startStreaming() opens a call whose body is still arriving. It gets a single attempt, since its body is not kept.
//   finishStreaming() waits for its response.
//
// call() and finishStreaming() block the calling thread, at most until the deadline. startStreaming() blocks only while
// a connection to the gate is established, at most for the connect timeout of the network.
//
// Each accepted request gets its own id. The Skylark-Request-Id header of a caller identifies its whole call chain,
// which may call one service more than once.
#pragma once

#include "base/Clock.h"
#include "base/RcuCell.h"
#include "document/Configuration.h"
#include "metrics/Metrics.h"
#include "retry/RetryPolicy.h"
#include "routing/Router.h"
#include "transport/PeerNetwork.h"

#include <atomic>

namespace skylark {

struct CallerRequest {
    std::string method;
    // Path and query string.
    std::string target;
    std::string path;
    std::string host;
    HeaderList headers;
};

// A request with its route and the properties that are set when it arrives.
struct ClassifiedCall {
    std::shared_ptr<const Configuration> configuration;
    const Route* route { nullptr };
    CallStart start;
    TimePoint arrivedAt;
    TimePoint deadline;

    const std::string& rankName() const;
};

// Why a caller gets no response from a backend server.
struct CallError {
    int status { 503 };
    CallOutcome outcome { CallOutcome::NotRun };
    std::string step;
    std::string peer;
    std::string message;
};

// A response whose body may still be arriving.
struct CallResponse {
    AnswerStart start;
    // The complete body if it has been read; otherwise the stream supplies it.
    std::optional<std::string> body;
    std::shared_ptr<ClientStream> stream;
    TimePoint deadline;
    InstanceId instance;
};

using CallResult = std::variant<CallResponse, CallError>;

const char* outcomeName(CallOutcome outcome);

struct CallDispatcherOptions {
    InstanceId instance;
    // Identifies the process, since request ids must differ between successive processes of one instance.
    uint64_t processNumber { 0 };
    // Upper bound of the deadline that a caller's header may request.
    Duration maxDeadline { std::chrono::minutes(10) };
    uint64_t seed { 1 };
};

class CallDispatcher {
public:
    // An open attempt: the chosen instance and a stream to its gate.
    class Attempt;

    CallDispatcher(CallDispatcherOptions options, const RcuCell<Configuration>& configuration,
        const RcuCell<MembershipView>& membership, Router& router, PeerNetwork& network, Metrics& metrics,
        const Clock& clock);

    std::variant<ClassifiedCall, CallError> classify(const CallerRequest& request);

    // Buffers a response body of up to 256 KiB for each idempotent call.
    CallResult call(ClassifiedCall& call, const std::string& requestBody);

    // Opens the single attempt of a request whose body is too large to buffer.
    std::variant<std::shared_ptr<Attempt>, CallError> startStreaming(ClassifiedCall& call, std::string firstPart);
    // Waits for the response to the attempt of startStreaming(), after its body has been sent through stream().
    CallResult finishStreaming(ClassifiedCall& call, const std::shared_ptr<Attempt>& attempt);

    // Called for each instance that could not be reached or did not respond. Must be set before the first call.
    using FailureObserver = std::function<void(const InstanceId&, Incarnation)>;
    void setFailureObserver(FailureObserver observer) { m_failureObserver = std::move(observer); }

    // Called by the control loop. Creates a retry budget for each new service.
    void reconfigure(const Configuration& configuration);

    // Number of running call() invocations. Streamed calls are not counted.
    int inFlight() const { return m_inFlight.load(); }

private:
    using Budgets = absl::flat_hash_map<ServiceName, std::shared_ptr<RetryBudget>>;

    std::optional<Choice> choose(const ClassifiedCall& call, const std::vector<InstanceId>& triedInstances);
    // Returns an error if the chosen instance is leaving and the call must not be sent to it.
    std::optional<CallError> rejectLeavingOwner(const ClassifiedCall& call, const Choice& choice) const;
    std::shared_ptr<Attempt> open(ClassifiedCall& call, Choice choice, std::string body, bool isBodyComplete);
    TimePoint attemptDeadline(const ClassifiedCall& call, const Choice& choice) const;
    static AwaitResult awaitFullResponse(
        const ClassifiedCall& call, ClientStream& stream, TimePoint responseDeadline, std::optional<std::string>& body);
    void report(Attempt& attempt, const AwaitResult& result);
    std::shared_ptr<RetryBudget> budget(const ServiceName& service) const;
    Random& random();

    const CallDispatcherOptions m_options;
    const RcuCell<Configuration>& m_configuration;
    const RcuCell<MembershipView>& m_membership;
    Router& m_router;
    PeerNetwork& m_network;
    Metrics& m_metrics;
    const Clock& m_clock;
    RetryPolicy m_retryPolicy { RetryOptions {} };
    RcuCell<Budgets> m_budgets;
    FailureObserver m_failureObserver;
    std::atomic<uint64_t> m_lastRequestNumber { 0 };
    std::atomic<uint64_t> m_nextThreadSeed { 0 };
    std::atomic<int> m_inFlight { 0 };
};

class CallDispatcher::Attempt {
public:
    Attempt(Router& router, Choice choice, std::shared_ptr<ClientStream> stream, TimePoint sentAt);
    // Reports the outcome Unknown to the router unless the result of the attempt has been reported.
    ~Attempt();
    Attempt(const Attempt&) = delete;
    Attempt& operator=(const Attempt&) = delete;

    ClientStream& stream() { return *m_stream; }

private:
    friend class CallDispatcher;
    void report(const CallReport& report, TimePoint now);

    Router& m_router;
    Choice m_choice;
    std::shared_ptr<ClientStream> m_stream;
    TimePoint m_sentAt;
    bool m_isReported { false };
};

} // namespace skylark
