// Chooses the instance that a call goes to.
//
// The control loop passes each new membership view to update() and calls advance() about every 100 ms. Request threads
// call choose(), recordCallStarted() when they send the call, and recordCallFinished() exactly once when the call ends.
// A choice that is not used needs neither. All functions are thread-safe.
//
// - Zones: The router prefers this node's zone. When its load exceeds spillThreshold of its learned limits, a share of
//   the calls goes to other zones, nearest region first. The share changes by at most a quarter per second, so that a
//   zone's calls do not all move simultaneously.
//
// - Instances: The policy chooses within a zone. The default takes the better of two random instances by
//   (calls in flight + reported queue) * mean latency. Calls in flight are this node's own. The reported queue is
//   weighted by its age and counts at most half as much as this node's calls plus the new one. Reports lag; if they
//   dominated, all nodes would send to the same instance until the next report. routing/bench measures this.
//
// - Requests of unlike cost: With isCostAware, LeastExpectedTime compares two random servers of this node's zone and
//   two of all zones by remaining work, speed and the expected cost of the request
//   (docs/design/cost-aware-routing.md).
//
// - Health: Ejected, suspect and leaving instances get no calls, except for one probe call at a time after an ejection.
//   When no instance of a service looks healthy, the router uses all that are not leaving, since the fault is then
//   likely to be the observer's. Instances of evacuated zones get no calls at all.
//
// - Cost: choose() reads an immutable table through RCU and atomics. It takes a mutex only for the first call to a
//   service, which builds the table of that service. Tables exist only for services that this node has called and take
//   about 180 bytes per instance. The cost of choose() is normally independent of the number of instances. It is
//   linear in it for the two score policies, for key owners, while an instance is ejected, and when random draws find
//   no usable instance.
#pragma once

#include "base/Random.h"
#include "base/RcuCell.h"
#include "membership/MembershipView.h"
#include "routing/RoutingPolicy.h"
#include "wire/Messages.h"

#include <mutex>
#include <optional>
#include <span>
#include <string_view>

namespace skylark {

struct RouterOptions {
    ZoneName zone;
    RegionName region;
    // Other regions, nearest first. Regions that are not listed follow in order of their names.
    std::vector<RegionName> regionOrder {};
    RoutingPolicy policy { TwoChoices {} };
    // Share of the learned limits of this node's zone above which calls spill to other zones.
    double spillThreshold { 0.8 };
    // A new instance gets slowStartShare of its share at first, and all of it after slowStart.
    Duration slowStart { std::chrono::seconds(10) };
    double slowStartShare { 0.1 };
    Duration initialEjection { std::chrono::seconds(1) };
    Duration maxEjection { std::chrono::seconds(30) };
    uint32_t failuresToEject { 5 };
    // Time after which the reported load no longer affects the choice of an instance.
    Duration hintLifetime { std::chrono::seconds(1) };
    // Time for which a reported load is used for zone shares and policy scores.
    Duration loadLifetime { std::chrono::seconds(5) };
    // Interval at which zone shares, success rates and policy scores are recomputed.
    Duration refreshInterval { std::chrono::seconds(1) };
    // LeastExpectedTime compares the remaining work of the servers, their speed and the expected cost of the request
    // instead of counting each call as one.
    bool isCostAware { false };
};

struct RoutingRequest {
    ServiceName service;
    // Instances that were already tried; they are used again only if there is no other.
    std::span<const InstanceId> excluded {};
    bool isIdempotent { true };
    // A non-idempotent request with a key goes to the key's owner and nowhere else, whatever the owner's
    // condition: only the owner's gate knows whether another copy of the request ran.
    std::string_view idempotencyKey {};
    // Size of the request and its response, for LeastExpectedTime.
    ByteCount expectedBytes {};
    // Target latency of the call; zero if it has none.
    Duration target {};
    // Expected service time at a server of mean speed; zero if unknown.
    Duration expectedCost {};
};

enum class ChoiceReason : uint8_t {
    Policy,
    OwnerOfKey,
    // A call that tests an ejected instance.
    Probe,
    // An instance that is used because no instance looks healthy.
    LastResort,
};

const char* choiceReasonName(ChoiceReason reason);

class InstanceStatistics;
class ServiceTable;

struct Choice {
    InstanceId instance;
    Incarnation incarnation;
    Endpoint peer;
    ZoneName zone;
    ChoiceReason reason { ChoiceReason::Policy };
    // Mean latency of the instance, or of the service before the first response; zero if unknown.
    Duration expectedLatency {};
    Duration expectedCost {};
    // Service time at the instance relative to the mean of the service; above 1 if it is slow. Used by cost-aware
    // routing.
    double speedFactor { 1 };
    std::shared_ptr<InstanceStatistics> statistics;
    std::shared_ptr<const ServiceTable> table;
};

struct CallReport {
    CallOutcome outcome { CallOutcome::Answered };
    // True if the instance failed the call: no connection, no response, or a response with status 500 or above.
    // A refusal by the gate or a cancellation by the caller is not a fault.
    bool isFault { false };
    Duration latency {};
    // Absent if the caller received no load hint.
    std::optional<LoadHint> load {};
    // Service time of the response as stated by the gate; zero if unknown.
    Duration serviceTime {};
};

// One line of the routing explanation for operators.
struct CandidateExplanation {
    InstanceId instance;
    ZoneName zone;
    RegionName region;
    // "live", "suspect", "leaving", "ejected", "slow start".
    std::string condition;
    // Lower is better, except for the two score policies, where higher is better.
    double score { 0 };
    // Current share of the service's calls that goes to the instance's zone.
    double zoneShare { 0 };
    int64_t inFlight { 0 };
    LoadHint load;
    Duration meanLatency {};
    double successRate { 1 };
    // Zero unless ejected.
    Duration ejectedFor {};
};

class Router {
public:
    explicit Router(RouterOptions options);
    ~Router();
    Router(const Router&) = delete;
    Router& operator=(const Router&) = delete;

    // The control loop calls both; they may wait for RCU readers. advance() does its work once per refreshInterval.
    void update(const std::shared_ptr<const MembershipView>& view, TimePoint now);
    void advance(TimePoint now);

    // Returns nullopt if the service has no usable instance.
    std::optional<Choice> choose(const RoutingRequest& request, Random& random, TimePoint now);
    void recordCallStarted(const Choice& choice);
    void recordCallFinished(const Choice& choice, const CallReport& report, TimePoint now);

    // Returns the first instance in rendezvous order over all listed instances, including suspect and leaving ones.
    std::optional<Choice> ownerOf(const ServiceName& service, std::string_view idempotencyKey, TimePoint now);

    // Ordered by zone preference; empty for a service without instances.
    std::vector<CandidateExplanation> explain(const ServiceName& service, TimePoint now);

private:
    struct Tables;

    std::optional<Choice> chooseMember(const RoutingRequest& request, Random& random, TimePoint now);
    std::shared_ptr<const ServiceTable> tableOf(const ServiceName& service, TimePoint now);
    std::shared_ptr<const ServiceTable> addTable(const ServiceName& service, TimePoint now);
    void rebuild(const std::shared_ptr<const MembershipView>& view, bool isRefresh, TimePoint now);
    void finishProbe(const Choice& choice, bool isSuccess, bool isFault, TimePoint now);
    // The caller of these functions must hold m_buildMutex. ejectIfAllowed() does nothing if more than a third of
    // the instances that are not leaving would then be ejected.
    void ejectIfAllowed(const ServiceTable& table, InstanceStatistics& statistics, TimePoint now);
    // Ejects instances whose success rate is below half of the service's mean.
    void ejectByRate(const ServiceTable& table, TimePoint now);

    const RouterOptions m_options;
    RcuCell<Tables> m_tables;
    // Serializes table builds and ejections. choose() does not lock it for a service that has a table.
    std::mutex m_buildMutex;
    TimePoint m_lastRefresh;
};

} // namespace skylark
