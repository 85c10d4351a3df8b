// Shares among the nodes of a zone what a few of them read from the source.
//
// ReaderRole decides whether this node reads the source or follows a peer. A follower keeps one request open at the
// followed peer. The peer holds the request until it has something newer than the follower, the source confirms its
// state again, or holdTime has passed, and reports the age of its state.
//
// A node whose knowledge is older than searchAge queries any reachable peer, in every zone: the node that reads for its
// zone may be alive and slow, for example behind a full link, while another zone has the news already. A node that has
// lost the source does so at any age.
//
// There are two ages. age() counts from the source's last response and decides who reads: a node that is busy with a
// large configuration still has the source, and followers that read too would only add load. serversConfirmedAt()
// counts all waits: decoding, queues, and the way of the request and the update.
//
// Bound: maxPendingRequests requests are held; further ones are answered immediately.
#pragma once

#include "base/Random.h"
#include "eventloop/EventLoop.h"
#include "source/ReaderRole.h"
#include "wire/Messages.h"

#include <functional>
#include <list>

namespace skylark {

struct SourceExchangeOptions {
    Endpoint self;
    uint64_t seed { 1 };
    // Longer than the time between two responses of the source, which usually end a request.
    Duration holdTime { std::chrono::milliseconds(600) };
    // A request without an answer for this long is sent again.
    Duration requestTimeout { std::chrono::milliseconds(1000) };
    // After an answer that came sooner than this, the next request waits for the tick: a peer at capacity answers each
    // request immediately.
    Duration minRequestTime { std::chrono::milliseconds(100) };
    // Older than the knowledge of a follower in calm times, and young enough that an answer comes before maxPeerAge.
    Duration searchAge { std::chrono::milliseconds(900) };
    // Time between two requests to arbitrary peers.
    Duration searchInterval { std::chrono::milliseconds(500) };
    // The source counts as reachable for this long after its last response to this node or to a peer.
    Duration reachableAge { std::chrono::milliseconds(1500) };
    size_t maxPendingRequests { 2048 };
    ReaderRoleOptions role {};
};

class SourceExchange {
public:
    using Reply = std::function<void(const SourceUpdate&)>;

    struct Callbacks {
        // Returns what this node has beyond the request; the exchange fills in the age.
        std::function<SourceUpdate(const SourceUpdateRequest&)> makeUpdate;
        std::function<SourceUpdateRequest()> makeRequest;
        // Returns false if the peer is not connected yet.
        std::function<bool(const Endpoint&, const SourceUpdateRequest&)> sendRequest;
        // Peers that are currently reachable.
        std::function<std::vector<Endpoint>()> reachablePeers;
        std::function<void(bool isReading)> setReading;
        // Sets the maximum time between two attempts to reach a lost source.
        std::function<void(Duration)> setMaxRetryDelay;
        // The source is lost here, and a peer has just reached it.
        std::function<void()> retrySource;
        // False while this node has lost the source or holds back deletions: no peer may rely on its state then.
        std::function<bool()> isComplete;
    };

    SourceExchange(EventLoop& loop, SourceExchangeOptions options, Callbacks callbacks);

    // Nodes of this node's zone, and the number of nodes of all zones.
    void setMembers(std::vector<Endpoint> members, size_t fleetSize);
    // Records a response of the source whose content is this old.
    void recordSourceResponse(Duration age);
    // Records that this node has applied everything that the source had at this time.
    void recordApplied(TimePoint currentAt);
    void recordSourceFailure() { m_isSourceLost = true; }
    // Answers pending requests after this node's state has changed.
    void handleChange();
    // Answers a peer's request now or holds it.
    void handleRequest(const SourceUpdateRequest& request, Reply reply);
    // Processes a peer's answer after its servers have been applied. If changes before them are missing, isWhole is
    // false and the answer confirms nothing.
    void handlePeerUpdate(const Endpoint& peer, const SourceUpdate& update, bool isWhole = true);
    void tick();

    bool isReading() const { return m_isReading; }
    // True if a peer reported that it had the source after this time.
    bool peersHadSourceAfter(TimePoint time) const { return m_confirmedByPeerAt > time; }
    // The time at which all that this node knows of the servers was current.
    TimePoint serversConfirmedAt() const { return m_serversConfirmedAt; }
    // Time since the source confirmed this node's state, directly or through a chain of peers.
    Duration age() const;

private:
    struct PendingRequest {
        SourceUpdateRequest request;
        Reply reply;
        TimePoint receivedAt;
    };

    // Retries a lost source when a peer has reached it again.
    void recordSourceSeen(TimePoint seenAt, TimePoint now);
    // Time since the request to this peer that its answer belongs to, as far as the peer did not hold it.
    Duration transitTime(const Endpoint& peer, const SourceUpdate& update, TimePoint now) const;
    // Returns false without responding if the update is empty and mayBeEmpty is false.
    bool respond(const PendingRequest& pending, bool mayBeEmpty);
    void queryFollowedPeer(TimePoint now);
    bool mustSearch() const;
    void queryAnyPeer(TimePoint now);

    EventLoop& m_loop;
    const SourceExchangeOptions m_options;
    const Callbacks m_callbacks;
    ReaderRole m_role;
    Random m_random;
    bool m_isReading { true };
    bool m_isSourceLost { false };
    // Unset until the first confirmation: when all nodes start, no peer has news.
    bool m_hasBeenConfirmed { false };
    TimePoint m_confirmedAt;
    TimePoint m_serversConfirmedAt;
    // Maximum time between two attempts that was last passed on.
    Duration m_maxRetryDelay {};
    // Like m_confirmedAt, but confirmed by peers only.
    TimePoint m_confirmedByPeerAt;
    // The last response of the source to this node or, as far as known, to a peer.
    TimePoint m_sourceSeenAt;
    std::optional<TimePoint> m_queriedAt;
    std::optional<Endpoint> m_queriedPeer;
    // Time of the last request to an arbitrary peer.
    TimePoint m_searchedAt;
    std::optional<Endpoint> m_searchedPeer;
    std::list<PendingRequest> m_pendingRequests;
};

} // namespace skylark
