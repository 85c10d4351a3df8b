// Decides whether a node reads the source itself or follows a peer of its zone that does.
//
// The nodes of a zone are ordered by a hash of their addresses. The first one reads; the node of place p follows the
// one of place (p - 1) / degree, so that a zone of 33 nodes is one step deep and one of 1,057 two. Each node decides
// from what it knows alone. A followed peer tells how old its own knowledge is. When that age passes `maxPeerAge`, for
// whatever reason (the peer died, was cut off, or lost the source), the node reads the source itself and turns to the
// next candidate: the peers after its first one in the order, each before its own place, so that no loop can form. Once
// a candidate is fresh the node follows it and reads no more. So a reader that is lost for long costs each follower a
// few calls, the second in the order takes its place, and nobody agrees on anything. Not thread-safe; no input or
// output.
#pragma once

#include "base/Types.h"

#include <optional>
#include <vector>

namespace skylark {

struct ReaderRoleOptions {
    size_t degree { 32 };
    Duration maxPeerAge { std::chrono::milliseconds(1500) };
    // Peers that a node may follow, the first one included.
    size_t maxCandidates { 4 };
    // A candidate has this long to answer before the next one is asked.
    Duration candidateTimeout { std::chrono::milliseconds(700) };
    // Longest wait between tries of a lost source. The first nodes of a zone find out soon that it is back and tell the
    // others. Those cover a fault of all the first ones, and an outage of their own, after which they have to know of
    // every change within 3 s.
    Duration maxLeaderRetryDelay { std::chrono::milliseconds(500) };
    Duration maxFollowerRetryDelay { std::chrono::milliseconds(1000) };
};

class ReaderRole {
public:
    ReaderRole(Endpoint self, ReaderRoleOptions options);

    // The nodes of the zone; this one need not be among them.
    void setMembers(std::vector<Endpoint> members);
    // The followed peer answered; its knowledge of the source is this old.
    void recordPeerAge(Duration age, TimePoint now);
    // The source itself answered. A node that has just started needs no second call before its peer has had the
    // time to answer; later only the peer's answers count, so that a stale peer is noticed at any time.
    void recordSourceResponse(TimePoint now);

    // The peer to follow; none for the first of the order.
    std::optional<Endpoint> followed() const;
    bool readsSource(TimePoint now) const;
    // Turns to the next candidate when the present one is stale.
    void advance(TimePoint now);
    // Longest wait between tries of a lost source; shorter among the first of the zone's order, on whom others rely.
    Duration maxRetryDelay() const
    {
        return m_position < m_options.maxCandidates ? m_options.maxLeaderRetryDelay : m_options.maxFollowerRetryDelay;
    }

private:
    const Endpoint m_self;
    const ReaderRoleOptions m_options;
    size_t m_position { 0 };
    std::vector<Endpoint> m_candidates;
    size_t m_currentCandidate { 0 };
    TimePoint m_switchedAt;
    // When the knowledge of the peer followed last was true; unset before the first answer. A change of the peer leaves
    // it, so that the new one has the rest of `maxPeerAge` to answer.
    std::optional<TimePoint> m_peerKnowledgeAt;
};

} // namespace skylark
