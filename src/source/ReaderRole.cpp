#include "source/ReaderRole.h"

#include "base/Digest.h"

#include <algorithm>

namespace skylark {

namespace {

    constexpr uint64_t orderSeed = 1;

    std::pair<uint64_t, std::string> placeOf(const Endpoint& node)
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
        [](const Endpoint& left, const Endpoint& right) { return placeOf(left) < placeOf(right); });
    const auto isBeforeSelf = [this](const Endpoint& node) { return placeOf(node) < placeOf(m_self); };
    m_place = static_cast<size_t>(std::count_if(members.begin(), members.end(), isBeforeSelf));
    const std::optional<Endpoint> before = followed();
    m_candidates.clear();
    if (m_place > 0) {
        const size_t first = (m_place - 1) / m_options.degree;
        const size_t end = std::min(m_place, first + m_options.mostCandidates);
        m_candidates.assign(
            members.begin() + static_cast<ptrdiff_t>(first), members.begin() + static_cast<ptrdiff_t>(end));
    }
    // A candidate that is followed already stays so.
    const auto same = before ? std::find(m_candidates.begin(), m_candidates.end(), *before) : m_candidates.end();
    m_current = same == m_candidates.end() ? 0 : static_cast<size_t>(same - m_candidates.begin());
}

std::optional<Endpoint> ReaderRole::followed() const
{
    return m_candidates.empty() ? std::nullopt : std::optional(m_candidates[m_current]);
}

void ReaderRole::notePeer(Duration age, TimePoint now) { m_freshAt = now - age; }

void ReaderRole::noteOwnAnswer(TimePoint now)
{
    if (!m_freshAt)
        m_freshAt = now;
}

bool ReaderRole::readsSource(TimePoint now) const
{
    return m_candidates.empty() || !m_freshAt || now - *m_freshAt > m_options.patience;
}

void ReaderRole::advance(TimePoint now)
{
    if (m_candidates.size() < 2 || !readsSource(now) || now - m_turnedAt < m_options.candidateTime)
        return;
    m_current = (m_current + 1) % m_candidates.size();
    m_turnedAt = now;
}

} // namespace skylark
