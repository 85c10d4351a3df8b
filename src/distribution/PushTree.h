// The tree along which a version is pushed through a zone.
//
// The members of a zone are ordered by rendezvous hash with a seed (a version number or a list's revision),
// so every version has another tree and no node is an interior node for long. The node at place p has the
// children 8p+1 to 8p+8. All listed members take a place, suspect ones too: nodes differ in what they
// suspect, and a tree that depended on it would have holes. One order costs a sort of the zone
// (about 1,235 members at the design size) and is computed once for each push.
#pragma once

#include "membership/MembershipView.h"

#include <optional>

namespace skylark {

class PushTree {
public:
    static constexpr size_t degree = 8;

    PushTree(const MembershipView& view, const ZoneName& zone, uint64_t seed);

    const std::vector<const InstanceState*>& order() const { return m_order; }
    // Empty where the instance is not a member.
    std::optional<size_t> positionOf(const InstanceId& id) const;
    // The pointers live as long as the view.
    std::vector<const InstanceState*> childrenOf(const InstanceId& id) const;
    // The first nodes in the order, which a reader pushes to.
    std::vector<const InstanceState*> roots(size_t count) const;

private:
    std::vector<const InstanceState*> m_order;
};

// The first members of a zone's order without a full sort: cost linear in the zone.
std::vector<const InstanceState*> firstInPushOrder(
    const MembershipView& view, const ZoneName& zone, uint64_t seed, size_t count);

// Whom a node sends a change of its own zone's tree to: its children, and for the origin of the change also the
// first two nodes of its zone and of each other zone.
std::vector<const InstanceState*> pushTargets(
    const MembershipView& view, const InstanceId& self, const ZoneName& zone, uint64_t seed, bool isOrigin);

} // namespace skylark
