// Shares among the nodes of a zone what a few of them read of the source.
//
// ReaderRole says whether this node reads. A node that follows a peer asks it again and again; the peer holds the
// question until it knows more than the asking node, or for holdTime, and says how old its knowledge is. While this
// node can neither read the source nor follow, it asks any peer that it can reach.
//
// Bound: mostHeld questions are held; further ones are answered at once.
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
    Duration holdTime { std::chrono::milliseconds(400) };
    // A question without an answer for this long is asked again.
    Duration questionTimeout { std::chrono::milliseconds(1000) };
    // A question that is answered sooner than this is followed by the next one at the tick: a peer that holds no
    // further questions answers each at once.
    Duration leastQuestionTime { std::chrono::milliseconds(100) };
    // Between two questions to any peer while the source is lost.
    Duration searchInterval { std::chrono::milliseconds(500) };
    size_t mostHeld { 2048 };
};

class SourceExchange {
public:
    using Reply = std::function<void(const HeldSource&)>;

    struct Callbacks {
        // What this node holds beyond the request; the age is filled in by the exchange.
        std::function<HeldSource(const HeldSourceRequest&)> held;
        std::function<HeldSourceRequest()> question;
        // False where the peer is not connected yet.
        std::function<bool(const Endpoint&, const HeldSourceRequest&)> ask;
        // Peers that can be reached now.
        std::function<std::vector<Endpoint>()> reachablePeers;
        std::function<void(bool isReading)> setReading;
        // False while this node lacks the source or holds deletions back: no peer may rely on it then.
        std::function<bool()> isComplete;
    };

    SourceExchange(EventLoop& loop, SourceExchangeOptions options, Callbacks callbacks);

    // Nodes of the own zone.
    void setMembers(std::vector<Endpoint> members) { m_role.setMembers(std::move(members)); }
    // A call to the source was answered with what was true this long ago.
    void noteSourceAnswer(Duration age);
    void noteSourceFailure() { m_isSourceLost = true; }
    // This node holds something new.
    void noteChange();
    // A peer asks.
    void hold(const HeldSourceRequest& request, Reply reply);
    // A peer answered.
    void notePeerReply(const Endpoint& peer, const HeldSource& held);
    void tick();

    bool isReading() const { return m_isReading; }
    // Longest wait between tries of a lost source.
    Duration maxRetryDelay() const { return m_role.maxRetryDelay(); }
    // A peer that had the source after this time told so.
    bool hadPeersSourceAfter(TimePoint time) const { return m_confirmedByPeerAt > time; }
    // Time since the source confirmed what this node holds, directly or by a chain of peers.
    Duration age() const;

private:
    struct Held {
        HeldSourceRequest request;
        Reply reply;
        TimePoint since;
    };

    bool answer(const Held& held, bool isForced);
    void askFollowed(TimePoint now);
    void askAnyPeer(TimePoint now);

    EventLoop& m_loop;
    const SourceExchangeOptions m_options;
    const Callbacks m_callbacks;
    ReaderRole m_role;
    Random m_random;
    bool m_isReading { true };
    bool m_isSourceLost { false };
    TimePoint m_confirmedAt;
    // As m_confirmedAt, by peers alone.
    TimePoint m_confirmedByPeerAt;
    std::optional<TimePoint> m_askedAt;
    std::optional<Endpoint> m_askedPeer;
    TimePoint m_searchedAt;
    std::list<Held> m_held;
};

} // namespace skylark
