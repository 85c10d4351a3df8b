// Chooses the instance that a call goes to.
//
// The control loop hands in each new membership view with update() and calls advance() every 100 ms or so.
// Request threads call choose(), then began() when the call is sent and finished() exactly once when it has
// ended in any way; a choice that is given up unsent needs neither. All of these may run at the same time.
//
// The own zone is preferred. When its load passes spillThreshold of its learned limits, a share of the calls
// goes to other zones, nearest region first; the share moves by at most a quarter a second, so that a whole
// zone's calls do not move at once. Within a zone the policy decides, by default the better of two random
// instances by (calls in flight + reported queue) x mean latency. Calls in flight are this node's own. The
// reported queue fades with the report's age and counts at most half as much as the own calls and the one to be
// placed: reports lag, and when they decide, all nodes send to the same instance until the next report.
// routing/bench measures this. Ejected, suspect and leaving instances get
// no calls, save for one probe call at a time after an ejection. When no instance of a service looks healthy,
// all that are not leaving are used, since the fault is then likely to be the observer's.
//
// choose() reads an immutable table by RCU and atomics, and takes no mutex. The exception is the first call
// to a service, which builds that service's table; tables exist only for services that this node has called,
// so the memory is about 180 bytes per instance of a called service. The cost of choose() does not depend on
// the number of instances, except for the two score policies and owners of keys, which are linear in it.
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
    // Other regions, nearest first; regions that are not named come last, by name.
    std::vector<RegionName> regionOrder {};
    RoutingPolicy policy { TwoChoices {} };
    // Share of the own zone's learned limits above which calls spill to other zones.
    double spillThreshold { 0.8 };
    // A new instance gets slowStartShare of its share at first, and all of it after slowStart.
    Duration slowStart { std::chrono::seconds(10) };
    double slowStartShare { 0.1 };
    Duration firstEjection { std::chrono::seconds(1) };
    Duration longestEjection { std::chrono::seconds(30) };
    uint32_t failuresToEject { 5 };
    // Time after which a reported queue has lost all weight in a choice.
    Duration hintLifetime { std::chrono::seconds(1) };
    // Time for which a reported load stands for the instance's load when zones are compared.
    Duration loadLifetime { std::chrono::seconds(5) };
    // Interval at which zone shares, success rates and policy scores are computed again.
    Duration refreshInterval { std::chrono::seconds(1) };
};

struct RoutingRequest {
    ServiceName service;
    // Instances that were tried already; used again only when there is no other.
    std::span<const InstanceId> excluded {};
    bool isIdempotent { true };
    // A non-idempotent request with a key goes to the key's owner and nowhere else, whatever the owner's
    // condition: only the owner's gate knows whether another copy of the request ran.
    std::string_view idempotencyKey {};
    // Of the request and its answer, for LeastExpectedTime.
    ByteCount expectedBytes {};
    // Time in which the answer is wanted; zero where there is none.
    Duration target {};
};

enum class ChoiceReason : uint8_t {
    Policy,
    OwnerOfKey,
    // The one call that tests an ejected instance.
    Probe,
    // Taken although no instance looks healthy.
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
    // Mean latency of calls to the instance, or of the service where there is none yet; zero when unknown.
    Duration expectedLatency {};
    std::shared_ptr<InstanceStatistics> statistics;
    std::shared_ptr<const ServiceTable> table;
};

struct CallReport {
    CallOutcome outcome { CallOutcome::Answered };
    // True when the instance failed the call: no connection, no answer, or an answer with status 500 or
    // above. A gate's refusal and a caller's cancellation are not faults.
    bool isFault { false };
    Duration latency {};
    // Absent when nothing was received.
    std::optional<LoadHint> load {};
};

// One line of the operators' explanation.
struct CandidateExplanation {
    InstanceId instance;
    ZoneName zone;
    RegionName region;
    // "live", "suspect", "leaving", "ejected", "slow start".
    std::string condition;
    // Lower is better for TwoChoices and RandomChoice, higher for the two score policies.
    double score { 0 };
    // Share of the service's calls that go to the instance's zone now.
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

    // From the control loop; both may wait for readers. advance() does its work once per refreshInterval.
    void update(const std::shared_ptr<const MembershipView>& view, TimePoint now);
    void advance(TimePoint now);

    // Nothing when the service has no instance that may be used.
    std::optional<Choice> choose(const RoutingRequest& request, Random& random, TimePoint now);
    void began(const Choice& choice);
    void finished(const Choice& choice, const CallReport& report, TimePoint now);

    // First in rendezvous order over all listed instances of the service, suspect and leaving ones included.
    std::optional<Choice> ownerOf(const ServiceName& service, std::string_view idempotencyKey, TimePoint now);

    // In order of zone preference; empty for a service without instances.
    std::vector<CandidateExplanation> explain(const ServiceName& service, TimePoint now);

private:
    struct Tables;

    std::shared_ptr<const ServiceTable> tableOf(const ServiceName& service, TimePoint now);
    std::shared_ptr<const ServiceTable> addTable(const ServiceName& service, TimePoint now);
    void rebuild(const std::shared_ptr<const MembershipView>& view, bool isRefresh, TimePoint now);
    void finishProbe(const Choice& choice, bool isSuccess, bool isFault, TimePoint now);
    // These need m_buildMutex.
    void ejectIfAllowed(const ServiceTable& table, InstanceStatistics& statistics, TimePoint now);
    void ejectByRate(const ServiceTable& table, TimePoint now);

    const RouterOptions m_options;
    RcuCell<Tables> m_tables;
    // Serialises the builders of tables and ejections; never waited for by choose() for a service that has a
    // table.
    std::mutex m_buildMutex;
    TimePoint m_lastRefresh;
};

} // namespace skylark
