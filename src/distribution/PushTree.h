// The tree along which a version is pushed through a zone.
//
// - The members of a zone are ordered by rendezvous hash with a seed (a version number or a list's revision), so
//   every version has a different tree and the load of interior nodes is spread over the zone.
// - The node at position p has the children 8p+1 to 8p+8.
// - The order includes all listed members, also suspect ones: nodes differ in which members they suspect, and a tree
//   that depended on it would miss members.
// - The order takes one sort of the zone (about 1,235 members at the design size) and is computed once for each push.
#pragma once

#include "membership/MembershipView.h"

#include <optional>

namespace skylark {

class PushTree {
public:
    static constexpr size_t degree = 8;

    PushTree(const MembershipView& view, const ZoneName& zone, uint64_t seed);

    const std::vector<const InstanceState*>& order() const { return m_order; }
    // Empty if the instance is not a member.
    std::optional<size_t> positionOf(const InstanceId& id) const;
    // The pointers are valid as long as the view.
    std::vector<const InstanceState*> childrenOf(const InstanceId& id) const;
    // The first nodes in the order. A node that did not get the version from its parent pushes to them.
    std::vector<const InstanceState*> roots(size_t count) const;

private:
    std::vector<const InstanceState*> m_order;
};

// Returns the first members of a zone's order without a full sort, in time linear in the size of the zone.
std::vector<const InstanceState*> firstInPushOrder(
    const MembershipView& view, const ZoneName& zone, uint64_t seed, size_t count);

// Returns the nodes to which this node sends a list change: its children in its own zone's tree and, if it is the
// origin of the change, the first two nodes of its zone and of each other zone.
std::vector<const InstanceState*> pushTargets(
    const MembershipView& view, const InstanceId& self, const ZoneName& zone, uint64_t seed, bool isOrigin);

} // namespace skylark
