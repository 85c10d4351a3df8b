// The caller's side of a call: classify → route → attempt → answer.
//
// classify() finds the route in the version in force and fixes rank, deadline and request id for the whole
// call. call() sends a request whose body is at hand, and repeats it as the retry rules allow. start()
// opens a call whose body is still arriving; it gets one attempt, since its body is not kept. Both block the
// calling thread, at most until the deadline.
//
// Each accepted request gets an id of its own: the Skylark-Request-Id that a caller sends names its whole
// call chain, in which one service may be called more than once.
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
    // Path and query.
    std::string target;
    std::string path;
    std::string host;
    HeaderList headers;
};

// A request with its route and everything that was decided on its arrival.
struct ClassifiedCall {
    std::shared_ptr<const Configuration> configuration;
    const Route* route { nullptr };
    CallStart start;
    TimePoint arrivedAt;
    TimePoint deadline;

    const std::string& rankName() const;
};

// Why a caller gets no answer of a backend server.
struct CallError {
    int status { 503 };
    CallOutcome outcome { CallOutcome::NotRun };
    std::string step;
    std::string peer;
    std::string message;
};

// An answer whose body may still be arriving.
struct CallResponse {
    AnswerStart start;
    // The whole body, where it was read already; else it comes from the stream.
    std::optional<std::string> body;
    std::shared_ptr<ClientStream> stream;
    TimePoint deadline;
    InstanceId instance;
};

using CallResult = std::variant<CallResponse, CallError>;

const char* outcomeName(CallOutcome outcome);

struct CallDispatcherOptions {
    InstanceId instance;
    // Tells apart the processes of one instance, whose request ids must differ.
    uint64_t processNumber { 0 };
    // Longest deadline that a caller's header may ask for.
    Duration maxDeadline { std::chrono::minutes(10) };
    uint64_t seed { 1 };
};

class CallDispatcher {
public:
    // One attempt that is open: a chosen instance and a stream to its gate.
    class Attempt;

    CallDispatcher(CallDispatcherOptions options, const RcuCell<Configuration>& configuration,
        const RcuCell<MembershipView>& membership, Router& router, PeerNetwork& network, Metrics& metrics,
        const Clock& clock);

    std::variant<ClassifiedCall, CallError> classify(const CallerRequest& request);

    // Memory: the body of one answer, up to 256 KB, for each idempotent call.
    CallResult call(ClassifiedCall& call, const std::string& requestBody);

    // Opens the single attempt of a request whose body does not fit into memory.
    std::variant<std::shared_ptr<Attempt>, CallError> startStreaming(ClassifiedCall& call, std::string firstPart);
    // Waits for the answer to start()'s attempt, after the body was sent through stream().
    CallResult finishStreaming(ClassifiedCall& call, const std::shared_ptr<Attempt>& attempt);

    // Told of each instance that could not be reached or gave no answer. Set before the first call.
    using FailureObserver = std::function<void(const InstanceId&, Incarnation)>;
    void setFailureObserver(FailureObserver observer) { m_failureObserver = std::move(observer); }

    // From the control loop: makes a retry budget for each service.
    void reconfigure(const Configuration& configuration);

    // Calls that wait for an answer now.
    int inFlight() const { return m_inFlight.load(); }

private:
    using Budgets = absl::flat_hash_map<ServiceName, std::shared_ptr<RetryBudget>>;

    std::optional<Choice> choose(const ClassifiedCall& call, const std::vector<InstanceId>& tried);
    // Why this choice must not be used, if so.
    std::optional<CallError> rejectLeavingOwner(const ClassifiedCall& call, const Choice& choice) const;
    std::shared_ptr<Attempt> open(ClassifiedCall& call, Choice choice, std::string body, bool isBodyComplete);
    TimePoint attemptDeadline(const ClassifiedCall& call, const Choice& choice) const;
    static AwaitResult awaitFullResponse(
        const ClassifiedCall& call, ClientStream& stream, TimePoint until, std::optional<std::string>& body);
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
    std::atomic<uint64_t> m_lastRequest { 0 };
    std::atomic<uint64_t> m_threadSeeds { 0 };
    std::atomic<int> m_inFlight { 0 };
};

class CallDispatcher::Attempt {
public:
    Attempt(Router& router, Choice choice, std::shared_ptr<ClientStream> stream, TimePoint sentAt);
    // Reports an attempt that was given up.
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
