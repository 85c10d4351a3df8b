// What backend servers say of themselves in their answers, as a caller's node remembers it.
//
// A server in need names the rate of requests that it takes from all nodes together. Its gate keeps the rate; this
// class keeps the node from asking the gate in vain: after an answer or a refusal the server is paused until the node's
// next turn. A server that says that it leaves gets no more requests of this node, whatever its entry says: the source
// may be out of reach, and a gate that restarts has forgotten the answer. The node also reminds the gate of the rate,
// since a gate that has restarted does not know it.
//
// A cold server starts the most urgent calls first. What it answered to a call therefore says nothing about its room
// for more urgent ones, and a pause holds for the call's rank and the less urgent ranks only.
//
// A notice belongs to one start of a server. Bound: maxEntries servers; the one heard of least recently is dropped.
//
// Not thread-safe; does no input or output.
#pragma once

#include "http/HttpMessage.h"
#include "membership/MembershipView.h"
#include "proxy/HttpConventions.h"

#include <absl/container/flat_hash_map.h>
#include <array>
#include <optional>

namespace skylark {

enum class RateNotice : uint8_t {
    None,
    Named,
    // Not a number, negative or infinite: says nothing.
    Invalid,
};

struct ServerNotice {
    RateNotice rateNotice { RateNotice::None };
    // Requests per second; set if the rate is named.
    double rate { 0 };
    bool isLeaving { false };
};

ServerNotice readServerNotice(const HttpHeaders& headers, const HttpConventions& conventions);

class ServerNotices {
public:
    // One start of a server.
    struct Server {
        InstanceId id;
        Incarnation incarnation;
        ServiceName service;
    };

    void record(const Server& server, const ServerNotice& notice, TimePoint now);
    // The server gets no request of this node of this rank or a less urgent one before this time.
    void pause(const Server& server, TimePoint until, TimePoint now, int rank = 0);
    // Forgets the notices of servers that have started again.
    void update(const MembershipView& view);

    // The rate that this start of the server named.
    std::optional<double> rate(const InstanceId& id, Incarnation incarnation) const;
    // Servers of the service that get no requests of the rank now.
    std::vector<InstanceId> unusable(const ServiceName& service, TimePoint now, int rank = 0) const;
    // The time until the first paused server of the service is usable; none if no server is paused.
    std::optional<Duration> shortestPause(const ServiceName& service, TimePoint now, int rank = 0) const;
    // Gives each refused caller of a service a time of its own, one turn of this node after another, and starts over
    // after maxDelay.
    Duration nextTurn(const ServiceName& service, Duration turn, Duration maxDelay, TimePoint now);
    size_t size() const { return m_entries.size(); }

private:
    // Less urgent ranks count as the last one.
    static constexpr size_t rankCount = 16;

    struct Entry {
        Server server;
        std::optional<double> rate;
        bool isLeaving { false };
        // By the rank of the call that brought the pause.
        std::array<TimePoint, rankCount> pausedUntil {};
        TimePoint heardAt;

        TimePoint pauseEnd(int rank) const;
    };

    static size_t indexOf(int rank);

    Entry& entryOf(const Server& server, TimePoint now);
    void removeOldest();

    absl::flat_hash_map<InstanceId, Entry> m_entries;
    // The time given to the last refused caller; at most maxEntries services.
    absl::flat_hash_map<ServiceName, TimePoint> m_lastTurn;
};

} // namespace skylark
