// Admits calls from all nodes to this instance's backend server and sends their responses. All calls to the backend
// server pass through the gate.
//
// - A call passes through accept, claim, admit, run and respond. accept() runs on the network thread and only makes the
//   admission decision; worker threads send admitted calls to the backend server and stream both bodies.
// - A call that is refused before it reaches the backend server is first recorded as refused, so that the outcome
//   "not run" remains true if a copy arrives later.
// - There is one worker thread for each call that the concurrency limit may allow (twice the configured slots), but at
//   most GateOptions::maxThreads. The configuration's maxQueue bounds the waiting calls. See
//   retry/RequestDeduplicator.h for the bounds of its record of requests.
#pragma once

#include "admission/AdmissionController.h"
#include "base/Clock.h"
#include "base/Guarded.h"
#include "document/Configuration.h"
#include "metrics/Metrics.h"
#include "node/BackendClient.h"
#include "retry/RequestDeduplicator.h"
#include "transport/CallStream.h"

#include <atomic>
#include <condition_variable>
#include <deque>
#include <nlohmann/json.hpp>
#include <thread>

namespace skylark {

struct GateOptions {
    InstanceId instance;
    Incarnation incarnation;
    ServiceName service;
    Endpoint backend;
    // Used until a configuration defines the service.
    int defaultSlots { 12 };
    int maxThreads { 256 };
};

class Gate {
public:
    Gate(GateOptions options, Metrics& metrics, const Clock& clock);
    ~Gate();
    Gate(const Gate&) = delete;
    Gate& operator=(const Gate&) = delete;

    // Called on the network thread; does not block on the backend server.
    void accept(const std::shared_ptr<ServerStream>& stream);

    // Called by the control loop every 100 ms: expires waiting calls and detects pauses.
    void advance();
    void reconfigure(const Configuration& configuration);
    // Records that the list of this service's instances, and with it the owners of idempotency keys, has changed.
    void recordOwnershipChange();

    // Refuses new calls from now on; waiting and running calls complete.
    void drain();
    bool isIdle();
    // Stops the worker threads and refuses the calls in the work queue.
    void stop();

    LoadHint load() const;
    nlohmann::json state();

private:
    struct Call;
    using CallPointer = std::shared_ptr<Call>;
    struct AdmissionState {
        AdmissionController controller;
        // Calls that are waiting or running.
        absl::flat_hash_map<TicketId, CallPointer> calls;
    };

    bool claim(const CallPointer& call);
    void offer(const CallPointer& call);
    void refuseAll(const std::vector<std::pair<CallPointer, RefusalReason>>& refusedCalls);
    void refuse(const CallPointer& call, const std::string& step, const std::string& reason);
    void enqueue(const std::vector<CallPointer>& calls);
    void collectDispatch(const Dispatch& dispatch, AdmissionState& admission, std::vector<CallPointer>& startedCalls,
        std::vector<std::pair<CallPointer, RefusalReason>>& refusedCalls);
    void cancel(const CallPointer& call);
    void ensureThreads(int count);
    void runWorker();
    void process(const CallPointer& call);
    ServiceResult exchange(const CallPointer& call);
    void release(const CallPointer& call, ServiceResult result, Duration serviceTime);
    void publishLoad(const AdmissionState& admission);
    std::string rankName(uint32_t rank);

    const GateOptions m_options;
    Metrics& m_metrics;
    const Clock& m_clock;
    BackendClient m_backend;
    Guarded<AdmissionState> m_admission;
    Guarded<RequestDeduplicator> m_deduplicator;
    Guarded<std::vector<RankName>> m_rankNames;
    std::atomic<uint64_t> m_lastTicketNumber { 0 };
    std::atomic<int> m_inFlight { 0 };
    std::atomic<int> m_queued { 0 };
    std::atomic<int> m_limit { 0 };
    std::atomic<bool> m_isDraining { false };

    std::mutex m_workMutex;
    std::condition_variable m_hasWork;
    std::deque<CallPointer> m_workQueue;
    std::vector<std::thread> m_threads;
    bool m_isStopping { false };
};

} // namespace skylark
