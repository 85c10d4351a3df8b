#include "distribution/SpreadTree.h"

#include "base/Digest.h"

#include <algorithm>

namespace skylark {

namespace {

    using Keyed = std::pair<uint64_t, const InstanceState*>;

    std::vector<Keyed> keyedMembers(const MembershipView& view, const ZoneName& zone, uint64_t seed)
    {
        const MembershipView::Members& members = view.ofZone(zone);
        std::vector<Keyed> keyed;
        keyed.reserve(members.size());
        for (const InstanceState* member : members)
            keyed.emplace_back(seededHash(member->record.id.value(), seed), member);
        return keyed;
    }

    // Members are unique by id, so the order is total even where two hashes are equal.
    bool isBefore(const Keyed& left, const Keyed& right)
    {
        if (left.first != right.first)
            return left.first < right.first;
        return left.second->record.id < right.second->record.id;
    }

} // namespace

SpreadTree::SpreadTree(const MembershipView& view, const ZoneName& zone, uint64_t seed)
{
    std::vector<Keyed> keyed = keyedMembers(view, zone, seed);
    std::sort(keyed.begin(), keyed.end(), isBefore);
    m_order.reserve(keyed.size());
    for (const Keyed& each : keyed)
        m_order.push_back(each.second);
}

std::optional<size_t> SpreadTree::placeOf(const InstanceId& id) const
{
    const auto found = std::find_if(
        m_order.begin(), m_order.end(), [&](const InstanceState* member) { return member->record.id == id; });
    if (found == m_order.end())
        return std::nullopt;
    return static_cast<size_t>(found - m_order.begin());
}

std::vector<const InstanceState*> SpreadTree::childrenOf(const InstanceId& id) const
{
    const std::optional<size_t> place = placeOf(id);
    if (!place)
        return {};
    const size_t first = std::min(*place * degree + 1, m_order.size());
    const size_t end = std::min(first + degree, m_order.size());
    return { m_order.begin() + static_cast<ptrdiff_t>(first), m_order.begin() + static_cast<ptrdiff_t>(end) };
}

std::vector<const InstanceState*> SpreadTree::roots(size_t count) const
{
    return { m_order.begin(), m_order.begin() + static_cast<ptrdiff_t>(std::min(count, m_order.size())) };
}

std::vector<const InstanceState*> firstInOrder(
    const MembershipView& view, const ZoneName& zone, uint64_t seed, size_t count)
{
    std::vector<Keyed> keyed = keyedMembers(view, zone, seed);
    const size_t kept = std::min(count, keyed.size());
    std::partial_sort(keyed.begin(), keyed.begin() + static_cast<ptrdiff_t>(kept), keyed.end(), isBefore);
    std::vector<const InstanceState*> result;
    for (size_t index = 0; index < kept; ++index)
        result.push_back(keyed[index].second);
    return result;
}

std::vector<const InstanceState*> spreadTargets(
    const MembershipView& view, const InstanceId& self, const ZoneName& zone, uint64_t seed, bool isOrigin)
{
    constexpr size_t rootsOfOrigin = 2;
    std::vector<const InstanceState*> targets = SpreadTree(view, zone, seed).childrenOf(self);
    if (!isOrigin)
        return targets;
    for (const ZoneName& each : view.zones())
        for (const InstanceState* root : firstInOrder(view, each, seed, rootsOfOrigin))
            if (root->record.id != self && std::find(targets.begin(), targets.end(), root) == targets.end())
                targets.push_back(root);
    return targets;
}

} // namespace skylark
