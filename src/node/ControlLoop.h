// Runs the Distributor on one thread: passes it events in order and executes its actions.
//
// - Messages from peers, results of source requests and failures are queued as events. When the bounded queue is full,
//   new events are dropped and counted; the periodic summaries repair the loss.
// - The distributor, the gate and the router advance every 100 ms.
// - The request path never waits for this thread: it reads the RCU-protected state that the thread publishes.
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
    Duration tickInterval { std::chrono::milliseconds(100) };
    size_t maxQueuedEvents { 4096 };
};

// The objects that the loop acts on. All must outlive it.
struct ControlLoopTargets {
    RcuCell<Configuration>& configuration;
    RcuCell<MembershipView>& membership;
    Router& router;
    Gate& gate;
    CallDispatcher& dispatcher;
    PeerNetwork& network;
    SourceWorker& source;
    Metrics& metrics;
    // Called on each tick with whether the node may serve callers.
    std::function<void(bool)> setServing;
};

class ControlLoop {
public:
    using Event = std::function<Actions(Distributor&, TimePoint)>;

    ControlLoop(ControlLoopOptions options, ControlLoopTargets targets, const Clock& clock);
    ~ControlLoop();

    void start();
    void stop();

    // Thread-safe and non-blocking.
    void receive(Message message, const PeerInfo& from);
    // Also called for a peer that a probe could not reach.
    void recordSendFailure(const Endpoint& peer);
    void recordCallFailure(const InstanceId& instance, Incarnation incarnation);
    void post(Event event);

    // For the admin pages; each waits until the loop has handled its current event.
    nlohmann::json state();
    nlohmann::json status();

private:
    struct PeerVersion {
        ZoneName zone;
        VersionNumber version;
        Digest digest;
        TimePoint receivedAt;
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

    // Held while the distributor handles an event or is read.
    std::mutex m_distributorMutex;
    Distributor m_distributor;
    // Bounded by the number of listed instances: each new view removes the entries of other instances.
    absl::flat_hash_map<InstanceId, PeerVersion> m_peerVersions;
    // Keyed by the endpoints of peers that messages were exchanged with; pruned together with m_peerVersions.
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
