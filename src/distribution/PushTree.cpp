#include "distribution/PushTree.h"

#include "base/Digest.h"

#include <algorithm>

namespace skylark {

namespace {

    using HashedMember = std::pair<uint64_t, const InstanceState*>;

    std::vector<HashedMember> hashedMembers(const MembershipView& view, const ZoneName& zone, uint64_t seed)
    {
        const MembershipView::Members& members = view.ofZone(zone);
        std::vector<HashedMember> hashed;
        hashed.reserve(members.size());
        for (const InstanceState* member : members)
            hashed.emplace_back(seededHash(member->record.id.value(), seed), member);
        return hashed;
    }

    // Ids are unique, so the order is total even if two hashes are equal.
    bool isBefore(const HashedMember& left, const HashedMember& right)
    {
        if (left.first != right.first)
            return left.first < right.first;
        return left.second->record.id < right.second->record.id;
    }

} // namespace

PushTree::PushTree(const MembershipView& view, const ZoneName& zone, uint64_t seed)
{
    std::vector<HashedMember> hashed = hashedMembers(view, zone, seed);
    std::sort(hashed.begin(), hashed.end(), isBefore);
    m_order.reserve(hashed.size());
    for (const HashedMember& member : hashed)
        m_order.push_back(member.second);
}

std::optional<size_t> PushTree::positionOf(const InstanceId& id) const
{
    const auto found = std::find_if(
        m_order.begin(), m_order.end(), [&](const InstanceState* member) { return member->record.id == id; });
    if (found == m_order.end())
        return std::nullopt;
    return static_cast<size_t>(found - m_order.begin());
}

std::vector<const InstanceState*> PushTree::childrenOf(const InstanceId& id) const
{
    const std::optional<size_t> position = positionOf(id);
    if (!position)
        return {};
    const size_t first = std::min(*position * degree + 1, m_order.size());
    const size_t end = std::min(first + degree, m_order.size());
    return { m_order.begin() + static_cast<ptrdiff_t>(first), m_order.begin() + static_cast<ptrdiff_t>(end) };
}

std::vector<const InstanceState*> PushTree::roots(size_t count) const
{
    return { m_order.begin(), m_order.begin() + static_cast<ptrdiff_t>(std::min(count, m_order.size())) };
}

std::vector<const InstanceState*> firstInPushOrder(
    const MembershipView& view, const ZoneName& zone, uint64_t seed, size_t count)
{
    std::vector<HashedMember> hashed = hashedMembers(view, zone, seed);
    const size_t resultCount = std::min(count, hashed.size());
    std::partial_sort(hashed.begin(), hashed.begin() + static_cast<ptrdiff_t>(resultCount), hashed.end(), isBefore);
    std::vector<const InstanceState*> result;
    for (size_t index = 0; index < resultCount; ++index)
        result.push_back(hashed[index].second);
    return result;
}

std::vector<const InstanceState*> pushTargets(
    const MembershipView& view, const InstanceId& self, const ZoneName& zone, uint64_t seed, bool isOrigin)
{
    constexpr size_t rootsPerZone = 2;
    std::vector<const InstanceState*> targets = PushTree(view, zone, seed).childrenOf(self);
    if (!isOrigin)
        return targets;
    for (const ZoneName& zoneName : view.zones())
        for (const InstanceState* root : firstInPushOrder(view, zoneName, seed, rootsPerZone))
            if (root->record.id != self && std::find(targets.begin(), targets.end(), root) == targets.end())
                targets.push_back(root);
    return targets;
}

} // namespace skylark
