// Runs the Distributor: hands it events in order on one thread and executes its actions.
//
// Messages of peers, results of the source and failures come in as events in a bounded queue; at the bound
// new messages are dropped and counted, which the repair by summaries makes up for. Every 100 ms the
// distributor, the gate and the router advance. The request path never waits for this thread: it reads what
// the thread publishes by RCU.
#pragma once

#include "base/Clock.h"
#include "base/RcuCell.h"
#include "distribution/Distributor.h"
#include "metrics/Metrics.h"
#include "node/CallDispatcher.h"
#include "node/Gate.h"
#include "node/SourceWorker.h"
#include "transport/PeerNetwork.h"

#include <condition_variable>
#include <deque>
#include <thread>

namespace skylark {

struct ControlLoopOptions {
    DistributorOptions distributor;
    Duration tick { std::chrono::milliseconds(100) };
    size_t maxQueuedEvents { 4096 };
};

// What the loop acts on. All must outlive it.
struct ControlLoopTargets {
    RcuCell<Configuration>& configuration;
    RcuCell<MembershipView>& membership;
    Router& router;
    Gate& gate;
    CallDispatcher& dispatcher;
    PeerNetwork& network;
    SourceWorker& source;
    Metrics& metrics;
    // Told whether callers may be served, whenever it may have changed.
    std::function<void(bool)> setServing;
};

class ControlLoop {
public:
    using Event = std::function<Actions(Distributor&, TimePoint)>;

    ControlLoop(ControlLoopOptions options, ControlLoopTargets targets, const Clock& clock);
    ~ControlLoop();

    void start();
    void stop();

    // From any thread; none blocks.
    void receive(Message message, const PeerInfo& from);
    // Also for a peer that a probe could not reach.
    void recordSendFailure(const Endpoint& peer);
    void recordCallFailure(const InstanceId& instance, Incarnation incarnation);
    void post(Event event);

    // For the operators' pages; each waits for the loop to finish its present event.
    nlohmann::json state();
    nlohmann::json status();

private:
    struct PeerVersion {
        ZoneName zone;
        VersionNumber version;
        Digest digest;
        TimePoint at;
    };
    struct ActionExecutor;

    void run();
    void handle(const Event& event);
    void execute(const Actions& actions);
    void tick(TimePoint now);
    void publish(const PublishConfiguration& action);
    void publish(const PublishMembership& action);
    void send(const Send& action);
    void recordVersion(const Message& message, const PeerInfo& from);
    nlohmann::json membershipState() const;

    const ControlLoopOptions m_options;
    ControlLoopTargets m_targets;
    const Clock& m_clock;

    // Held while the distributor runs.
    std::mutex m_distributorMutex;
    Distributor m_distributor;
    // Bounded by the number of listed instances: entries of others are dropped at each new view.
    absl::flat_hash_map<InstanceId, PeerVersion> m_peerVersions;
    // By address of the peers that messages were sent to; cleared at the same occasion.
    absl::flat_hash_map<Endpoint, InstanceId> m_idByEndpoint;
    std::vector<InstanceId> m_serviceMembers;
    TimePoint m_appliedAt;
    TimePoint m_startedAt;

    std::mutex m_queueMutex;
    std::condition_variable m_hasEvent;
    std::deque<Event> m_events;
    bool m_isStopping { false };
    std::thread m_thread;
};

} // namespace skylark
