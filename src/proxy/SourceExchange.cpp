#include "proxy/SourceExchange.h"

#include "base/Log.h"

#include <algorithm>

namespace skylark {

namespace {

    // Older than any age that a follower accepts.
    constexpr Duration incompleteAge = std::chrono::hours(1);

} // namespace

SourceExchange::SourceExchange(EventLoop& loop, SourceExchangeOptions options, Callbacks callbacks)
    : m_loop(loop)
    , m_options(std::move(options))
    , m_callbacks(std::move(callbacks))
    , m_role(m_options.self, m_options.role)
    , m_random(m_options.seed)
    // Nothing is confirmed yet.
    , m_confirmedAt(loop.now() - incompleteAge)
    , m_serversConfirmedAt(m_confirmedAt)
    , m_confirmedByPeerAt(m_confirmedAt)
    , m_sourceSeenAt(m_confirmedAt)
{
}

Duration SourceExchange::age() const { return m_loop.now() - m_confirmedAt; }

void SourceExchange::setMembers(std::vector<Endpoint> members, size_t fleetSize)
{
    m_role.setMembers(std::move(members));
    m_role.setFleetSize(fleetSize);
}

void SourceExchange::recordSourceResponse(Duration age)
{
    m_isSourceLost = false;
    m_hasBeenConfirmed = true;
    m_confirmedAt = std::max(m_confirmedAt, m_loop.now() - age);
    m_sourceSeenAt = std::max(m_sourceSeenAt, m_loop.now() - age);
    m_role.recordSourceResponse(m_loop.now());
}

void SourceExchange::recordSourceSeen(TimePoint seenAt, TimePoint now)
{
    const bool wasReachable = now - m_sourceSeenAt < m_options.reachableAge;
    m_sourceSeenAt = std::max(m_sourceSeenAt, seenAt);
    if (m_isSourceLost && !wasReachable && now - m_sourceSeenAt < m_options.reachableAge)
        m_callbacks.retrySource();
}

void SourceExchange::recordApplied(TimePoint currentAt)
{
    if (currentAt <= m_serversConfirmedAt)
        return;
    m_serversConfirmedAt = currentAt;
    // Ends the pending requests, so that the followers' states are as new as this one.
    m_pendingRequests.remove_if([this](const PendingRequest& pending) { return respond(pending, true); });
}

void SourceExchange::handleChange()
{
    m_pendingRequests.remove_if([this](const PendingRequest& pending) { return respond(pending, false); });
}

void SourceExchange::handleRequest(const SourceUpdateRequest& request, Reply reply)
{
    const PendingRequest pending { .request = request, .reply = std::move(reply), .receivedAt = m_loop.now() };
    const bool isFull = m_pendingRequests.size() >= m_options.maxPendingRequests;
    if (!respond(pending, isFull))
        m_pendingRequests.push_back(pending);
}

bool SourceExchange::respond(const PendingRequest& pending, bool mayBeEmpty)
{
    SourceUpdate update = m_callbacks.makeUpdate(pending.request);
    if (!mayBeEmpty && update.configuration.empty() && update.servers.empty() && update.evacuations.empty()
        && !update.isListing)
        return false;
    const bool isComplete = m_callbacks.isComplete();
    update.age = isComplete ? age() : incompleteAge;
    update.serversAge = isComplete ? m_loop.now() - m_serversConfirmedAt : incompleteAge;
    update.ageWithDeferral = m_isSourceLost ? incompleteAge : age();
    update.sourceAge = m_loop.now() - m_sourceSeenAt;
    update.heldFor = m_loop.now() - pending.receivedAt;
    pending.reply(update);
    return true;
}

Duration SourceExchange::transitTime(const Endpoint& peer, const SourceUpdate& update, TimePoint now) const
{
    std::optional<TimePoint> requestedAt;
    if (m_queriedPeer == peer && m_queriedAt)
        requestedAt = m_queriedAt;
    else if (m_searchedPeer == peer)
        requestedAt = m_searchedAt;
    return requestedAt ? std::max(Duration(0), now - *requestedAt - update.heldFor) : Duration(0);
}

void SourceExchange::handlePeerUpdate(const Endpoint& peer, const SourceUpdate& update, bool isWhole)
{
    const TimePoint now = m_loop.now();
    const bool isFollowed = m_role.followedPeer() == peer;
    const Duration transit = transitTime(peer, update, now);
    // Nodes that query each other must not make their knowledge younger by the time that the answers take.
    m_confirmedByPeerAt = std::max(m_confirmedByPeerAt, now - update.age - (isFollowed ? Duration(0) : transit));
    recordSourceSeen(now - update.sourceAge, now);
    m_confirmedAt = std::max(m_confirmedAt, m_confirmedByPeerAt);
    m_hasBeenConfirmed = m_hasBeenConfirmed || update.age < incompleteAge;
    if (isWhole)
        recordApplied(now - std::max(update.age, update.serversAge) - transit);
    if (!isFollowed)
        return;
    const bool wasHeld = m_queriedAt && now - *m_queriedAt >= m_options.minRequestTime;
    m_queriedAt.reset();
    // A node that has the source holds back deletions itself after an outage, so it may follow a peer that does.
    m_role.recordPeerAge(m_isSourceLost ? update.age : std::min(update.age, update.ageWithDeferral), now);
    // After an empty update the next request is sent immediately, since the age grows until its answer. Otherwise it
    // waits for the tick, so that the update has been applied by then.
    if (wasHeld && update.configuration.empty() && update.servers.empty() && update.evacuations.empty())
        queryFollowedPeer(now);
}

void SourceExchange::tick()
{
    const TimePoint now = m_loop.now();
    m_pendingRequests.remove_if([&](const PendingRequest& pending) {
        return now - pending.receivedAt >= m_options.holdTime && respond(pending, true);
    });
    m_role.advance(now);
    if (const Duration delay = m_role.maxRetryDelay(now); delay != m_maxRetryDelay) {
        m_maxRetryDelay = delay;
        m_callbacks.setMaxRetryDelay(delay);
    }
    const bool isOtherPeer = m_role.followedPeer() != m_queriedPeer;
    const bool isOverdue = !isOtherPeer && m_queriedAt && now - *m_queriedAt > m_options.requestTimeout;
    if (isOverdue)
        logEvent(LogLevel::Warning, "source-update-overdue",
            { { "peer", m_queriedPeer ? m_queriedPeer->toString() : "" },
                { "ms", millisecondsText(now - *m_queriedAt) }, { "age_ms", millisecondsText(age()) } });
    if (m_role.followedPeer() && (isOtherPeer || !m_queriedAt || isOverdue))
        queryFollowedPeer(now);
    // A node that lost the source keeps trying to read it even if a peer is fresh. Until it succeeds, it keeps servers
    // whose entries may have expired only because they cannot reach the source either.
    const bool readsSource = m_role.readsSource(now) || (m_isReading && m_isSourceLost);
    if (readsSource != m_isReading) {
        m_isReading = readsSource;
        logEvent(LogLevel::Info, readsSource ? "source-reading-started" : "source-reading-ended",
            { { "followed", m_role.followedPeer() ? m_role.followedPeer()->toString() : "" },
                { "age_ms", millisecondsText(age()) } });
        m_callbacks.setReading(readsSource);
    }
    if (mustSearch() && now - m_searchedAt > m_options.searchInterval)
        queryAnyPeer(now);
}

bool SourceExchange::mustSearch() const
{
    const bool isKnowledgeOld = m_hasBeenConfirmed && age() > m_options.searchAge;
    return isKnowledgeOld || (m_isReading && m_isSourceLost);
}

void SourceExchange::queryFollowedPeer(TimePoint now)
{
    if (m_callbacks.sendRequest(*m_role.followedPeer(), m_callbacks.makeRequest()))
        m_queriedAt = now;
    m_queriedPeer = m_role.followedPeer();
}

void SourceExchange::queryAnyPeer(TimePoint now)
{
    const std::vector<Endpoint> peers = m_callbacks.reachablePeers();
    if (peers.empty())
        return;
    // A request to an unconnected peer only opens a connection.
    constexpr size_t maxAttempts = 4;
    const size_t first = m_random.below(peers.size());
    for (size_t i = 0; i < std::min(maxAttempts, peers.size()); ++i) {
        if (!m_callbacks.sendRequest(peers[(first + i) % peers.size()], m_callbacks.makeRequest()))
            continue;
        m_searchedAt = now;
        m_searchedPeer = peers[(first + i) % peers.size()];
        return;
    }
}

} // namespace skylark
