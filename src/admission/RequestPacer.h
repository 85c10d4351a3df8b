// Says when a gate may send the next request to its backend server: keeps the rate that the server names in its
// answers, and the rate that it bears while it is cold. The lower one decides.
//
// Bound for a cold server: in any second at most rate * overage + slack requests reach it. The cold limit sends at most
// rate + burst in a second, and its burst is half of the rest, because requests count at the server when they arrive:
// those that waited for a connection arrive together with later ones. A gate that restarts within the second starts
// without tokens, so that it adds at most the rate and both processes together stay within the limit.
//
// Not thread-safe; does no input or output. Bounds: those of ServerRateLimit.
#pragma once

#include "admission/ColdServerState.h"
#include "admission/RateQueue.h"
#include "admission/ServerRateLimit.h"

#include <optional>

namespace skylark {

// What a service and the settings say of its cold servers.
struct ColdPolicy {
    // Requests per second that a cold server bears; zero disables the cold limit.
    double requestsPerSecond { 0 };
    // Time for which a server is cold after its start.
    Duration coldStart {};
    double overage { 1.5 };
    double slack { 8 };

    bool operator==(const ColdPolicy&) const = default;
};

class RequestPacer {
public:
    explicit RequestPacer(TimePoint now)
        : m_state(now)
    {
    }

    void setColdPolicy(const ColdPolicy& policy);
    // Evidence of the server's cold state; call update() afterwards.
    ColdServerState& state() { return m_state; }
    // Applies the cold state. `unsentRequests` were started and have not reached the server yet. Returns true if the
    // server has become cold or warm.
    bool update(size_t unsentRequests, TimePoint now);
    bool isCold() const { return m_coldLimit.rate().has_value(); }
    ColdCause cause(TimePoint now) const { return isCold() ? m_state.cause(now) : ColdCause::None; }
    Duration remainingCold(TimePoint now) const { return isCold() ? m_state.remaining(now) : Duration(0); }

    // The rate that the server names; none ends that limit.
    void setNamedRate(std::optional<double> rate, TimePoint now) { m_namedLimit.set(rate, now); }
    std::optional<double> namedRate() const { return m_namedLimit.rate(); }

    bool hasRoom(TimePoint now) const { return m_namedLimit.hasRoom(now) && m_coldLimit.hasRoom(now); }
    // Takes the room for one request; returns false if there is none.
    bool startRequest(TimePoint now);
    void recordSender(Incarnation sender, TimePoint now);
    // The time after which a refused sender should come back; zero without a limit.
    Duration delayForSender(TimePoint now) const;
    // When calls that wait can start. A limit must be in force.
    RateQueue::Turns turns(TimePoint now) const;

private:
    ColdPolicy m_policy;
    ColdServerState m_state;
    ServerRateLimit m_namedLimit;
    ServerRateLimit m_coldLimit;
};

} // namespace skylark
