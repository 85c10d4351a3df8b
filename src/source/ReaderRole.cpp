#include "source/ReaderRole.h"

#include "base/Digest.h"

#include <algorithm>

namespace skylark {

namespace {

    // The same on all nodes, which must agree on the order.
    constexpr uint64_t orderSeed = 1;

    std::pair<uint64_t, std::string> orderKey(const Endpoint& node)
    {
        return { seededHash(node.host, orderSeed), node.host };
    }

} // namespace

ReaderRole::ReaderRole(Endpoint self, ReaderRoleOptions options)
    : m_self(std::move(self))
    , m_options(options)
{
}

void ReaderRole::setMembers(std::vector<Endpoint> members)
{
    std::sort(members.begin(), members.end(),
        [](const Endpoint& left, const Endpoint& right) { return orderKey(left) < orderKey(right); });
    const auto isBeforeSelf = [this](const Endpoint& node) { return orderKey(node) < orderKey(m_self); };
    m_position = static_cast<size_t>(std::count_if(members.begin(), members.end(), isBeforeSelf));
    const std::optional<Endpoint> previousPeer = followedPeer();
    m_candidates.clear();
    if (m_position > 0) {
        const size_t first = (m_position - 1) / m_options.degree;
        const size_t end = std::min(m_position, first + m_options.maxCandidates);
        m_candidates.assign(
            members.begin() + static_cast<ptrdiff_t>(first), members.begin() + static_cast<ptrdiff_t>(end));
    }
    // Keeps following the same peer when it is still a candidate.
    const auto previousCandidate
        = previousPeer ? std::find(m_candidates.begin(), m_candidates.end(), *previousPeer) : m_candidates.end();
    m_currentCandidate
        = previousCandidate == m_candidates.end() ? 0 : static_cast<size_t>(previousCandidate - m_candidates.begin());
}

std::optional<Endpoint> ReaderRole::followedPeer() const
{
    return m_candidates.empty() ? std::nullopt : std::optional(m_candidates[m_currentCandidate]);
}

void ReaderRole::recordPeerAge(Duration age, TimePoint now) { m_peerKnowledgeAt = now - age; }

void ReaderRole::recordSourceResponse(TimePoint now)
{
    if (!m_peerKnowledgeAt)
        m_peerKnowledgeAt = now;
}

bool ReaderRole::readsSource(TimePoint now) const
{
    return m_candidates.empty() || !m_peerKnowledgeAt || now - *m_peerKnowledgeAt > m_options.maxPeerAge;
}

Duration ReaderRole::maxRetryDelay(TimePoint now) const
{
    if (m_position < m_options.maxCandidates)
        return m_options.maxLeaderRetryDelay;
    if (!readsSource(now))
        return m_options.maxFollowerRetryDelay;
    const std::chrono::duration<double> fleetDelay(static_cast<double>(m_fleetSize) / m_options.outageRetriesPerSecond);
    return std::clamp(std::chrono::duration_cast<Duration>(fleetDelay), m_options.maxFollowerRetryDelay,
        m_options.maxOutageRetryDelay);
}

void ReaderRole::advance(TimePoint now)
{
    if (m_candidates.size() < 2 || !readsSource(now) || now - m_switchedAt < m_options.candidateTimeout)
        return;
    m_currentCandidate = (m_currentCandidate + 1) % m_candidates.size();
    m_switchedAt = now;
}

} // namespace skylark
