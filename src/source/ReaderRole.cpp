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
    const auto place = static_cast<size_t>(std::count_if(members.begin(), members.end(), isBeforeSelf));
    std::optional<Endpoint> followed;
    if (place > 0)
        followed = members[(place - 1) / m_options.degree];
    m_followed = followed;
}

void ReaderRole::notePeer(Duration age, TimePoint now) { m_freshAt = now - age; }

bool ReaderRole::readsSource(TimePoint now) const
{
    return !m_followed || !m_freshAt || now - *m_freshAt > m_options.patience;
}

} // namespace skylark
