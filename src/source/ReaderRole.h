// Decides whether a node reads the source itself or follows a peer of its zone that does.
//
// - The nodes of a zone are ordered by a hash of their addresses. The first one reads the source. The node at position
//   p follows the one at position (p - 1) / degree, so a zone of 33 nodes is one level deep and one of 1,057 nodes
//   two. Each node decides from its own knowledge alone; no agreement protocol is needed.
// - A followed peer reports how old its own knowledge is. When that age exceeds `maxPeerAge`, for whatever reason (the
//   peer died, was cut off or lost the source), the node reads the source itself and switches to the next candidate.
//   It stops reading once a candidate is fresh.
// - The candidates are the peer at position (p - 1) / degree and those after it in the order. All of them precede the
//   node itself, so that no loop can form.
//
// A reader that is lost for long thus costs each follower a few calls, and the second node in the order replaces it.
// Not thread-safe; does no input or output.
#pragma once

#include "base/Types.h"

#include <optional>
#include <vector>

namespace skylark {

struct ReaderRoleOptions {
    // Number of nodes that follow the same node by default.
    size_t degree { 32 };
    Duration maxPeerAge { std::chrono::milliseconds(1500) };
    // Number of peers that a node may follow, its first one included.
    size_t maxCandidates { 4 };
    // Time for a candidate to respond before the next one is queried.
    Duration candidateTimeout { std::chrono::milliseconds(700) };
    // Maximum delay between attempts to reach a lost source: maxLeaderRetryDelay for the first maxCandidates nodes of
    // the order, maxFollowerRetryDelay for the others. The first nodes detect soon that the source is back and report
    // it to the others. The others' own attempts cover a failure of all the first nodes, and an outage of their own,
    // after which they have to learn of every change within 3 s.
    Duration maxLeaderRetryDelay { std::chrono::milliseconds(500) };
    Duration maxFollowerRetryDelay { std::chrono::milliseconds(1000) };
    // While no peer has the source either, the followers of the whole fleet make at most about this many attempts a
    // second, as far as maxOutageRetryDelay allows: the first nodes of each zone detect its return and report it, and
    // a follower that hears of it tries at once.
    double outageRetriesPerSecond { 40 };
    Duration maxOutageRetryDelay { std::chrono::seconds(4) };
};

class ReaderRole {
public:
    ReaderRole(Endpoint self, ReaderRoleOptions options);

    // Sets the nodes of the zone; this node need not be among them.
    void setMembers(std::vector<Endpoint> members);
    // Sets the number of nodes in all zones.
    void setFleetSize(size_t nodes) { m_fleetSize = nodes; }
    // Records a response of the followed peer, whose knowledge of the source is this old.
    void recordPeerAge(Duration age, TimePoint now);
    // Records a response of the source itself. A node that has just started needs no second call before its peer has
    // had time to respond. Later only the responses of the peer count, so that a stale peer is detected at any time.
    void recordSourceResponse(TimePoint now);

    // The peer to follow; none for the first node of the order.
    std::optional<Endpoint> followedPeer() const;
    bool readsSource(TimePoint now) const;
    // Switches to the next candidate when the current one is stale.
    void advance(TimePoint now);
    // Maximum delay between attempts to reach a lost source; shorter for the first nodes of the order, on which the
    // others rely, and longer for the others while the source is lost for all.
    Duration maxRetryDelay(TimePoint now) const;

private:
    const Endpoint m_self;
    const ReaderRoleOptions m_options;
    size_t m_position { 0 };
    size_t m_fleetSize { 1 };
    std::vector<Endpoint> m_candidates;
    size_t m_currentCandidate { 0 };
    TimePoint m_switchedAt;
    // Time at which the knowledge of the last followed peer was current; unset before its first response. A change of
    // the peer keeps it, so that the new peer has the rest of `maxPeerAge` to respond.
    std::optional<TimePoint> m_peerKnowledgeAt;
};

} // namespace skylark
