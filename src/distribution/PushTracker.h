// Tracks the pushes of one version until each target has acknowledged it.
//
// - A child that does not acknowledge within 300 ms or cannot be reached is bypassed: this node pushes to the
//   child's own children in the tree.
// - In another zone, where this node is not a member of the tree, the next node in the order is tried instead.
// - A new version replaces the pushes of the previous one.
// - At most maxOutstanding targets are tracked; others get the version by repair through summaries.
#pragma once

#include "base/Digest.h"
#include "distribution/PushTree.h"

#include <absl/container/btree_map.h>
#include <absl/container/flat_hash_set.h>
#include <memory>

namespace skylark {

struct PushOptions {
    Duration acknowledgementTimeout { std::chrono::milliseconds(300) };
    size_t maxOutstanding { 256 };
    // Number of nodes of another zone that are tried one after the other.
    size_t maxAttemptsPerZone { 3 };
    // Greatest depth of a receiver; ends push loops between nodes whose views differ.
    uint32_t maxDepth { 16 };
};

// How this node obtained a version. It determines the targets besides the children in the tree.
enum class PushOrigin : uint8_t {
    // From the parent in the tree.
    Parent,
    // By repair: the first two nodes in the zone's order get it too, since the rest of the zone may lack it as well.
    Repair,
    // Read from the source: the first two nodes of the zone and the first node of each other zone get it too.
    Source,
};

struct PushTarget {
    InstanceId id;
    Endpoint endpoint;
    uint32_t depth { 0 };
};

class PushTracker {
public:
    PushTracker(PushOptions options, InstanceId self, ZoneName zone);

    // Returns the children of this node in its zone's tree and the targets that the origin adds.
    std::vector<PushTarget> begin(std::shared_ptr<const MembershipView> view, uint64_t seed, const Digest& digest,
        uint32_t ownDepth, PushOrigin origin, TimePoint now);
    void recordAcknowledgement(const InstanceId& child, const Digest& digest);
    // Returns the targets that replace an unreachable child.
    std::vector<PushTarget> replaceUnreachable(const InstanceId& child, TimePoint now);
    // Returns the targets that replace the children whose acknowledgement timed out.
    std::vector<PushTarget> expire(TimePoint now);

    const Digest& digest() const { return m_digest; }
    size_t outstandingCount() const { return m_outstandingPushes.size(); }

private:
    struct OutstandingPush {
        TimePoint deadline;
        uint32_t depth { 0 };
        // The zone of a target outside this node's zone; attempts is the number of nodes tried there so far.
        std::optional<ZoneName> otherZone;
        size_t attempts { 1 };
    };
    void add(const InstanceState& state, const OutstandingPush& push, std::vector<PushTarget>& targets);
    void addChildrenOf(const InstanceId& id, uint32_t depth, TimePoint now, std::vector<PushTarget>& targets);
    void replace(const InstanceId& child, const OutstandingPush& unreachablePush, TimePoint now,
        std::vector<PushTarget>& targets);

    PushOptions m_options;
    InstanceId m_self;
    ZoneName m_zone;
    std::shared_ptr<const MembershipView> m_view;
    std::optional<PushTree> m_tree;
    uint64_t m_seed { 0 };
    Digest m_digest;
    absl::btree_map<InstanceId, OutstandingPush> m_outstandingPushes;
    // All targets of this version, so that none is pushed to twice.
    absl::flat_hash_set<InstanceId> m_pushedIds;
};

} // namespace skylark
