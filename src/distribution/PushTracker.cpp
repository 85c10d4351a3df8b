#include "distribution/PushTracker.h"

#include "base/Invariant.h"

namespace skylark {

PushTracker::PushTracker(PushOptions options, InstanceId self, ZoneName zone)
    : m_options(options)
    , m_self(std::move(self))
    , m_zone(std::move(zone))
{
}

std::vector<PushTarget> PushTracker::begin(std::shared_ptr<const MembershipView> view, uint64_t seed,
    const Digest& digest, uint32_t ownDepth, PushOrigin origin, TimePoint now)
{
    m_view = std::move(view);
    m_tree.emplace(*m_view, m_zone, seed);
    m_seed = seed;
    m_digest = digest;
    m_outstanding.clear();
    m_pushed.clear();
    m_pushed.insert(m_self);
    std::vector<PushTarget> targets;
    const Outstanding first { .deadline = now + m_options.acknowledgementTimeout, .depth = ownDepth + 1 };
    if (origin != PushOrigin::Parent)
        for (const InstanceState* root : m_tree->roots(2))
            add(*root, first, targets);
    for (const ZoneName& zone : m_view->zones()) {
        if (origin != PushOrigin::Source || zone == m_zone)
            continue;
        Outstanding other = first;
        other.otherZone = zone;
        for (const InstanceState* root : firstInPushOrder(*m_view, zone, m_seed, 1))
            add(*root, other, targets);
    }
    addChildrenOf(m_self, ownDepth + 1, now, targets);
    return targets;
}

void PushTracker::add(const InstanceState& state, const Outstanding& outstanding, std::vector<PushTarget>& targets)
{
    const bool isFull = m_outstanding.size() >= m_options.maxOutstanding;
    if (isFull || outstanding.depth > m_options.maxDepth || !m_pushed.insert(state.record.id).second)
        return;
    m_outstanding.emplace(state.record.id, outstanding);
    targets.push_back({ .id = state.record.id, .endpoint = state.record.peer, .depth = outstanding.depth });
}

void PushTracker::addChildrenOf(const InstanceId& id, uint32_t depth, TimePoint now, std::vector<PushTarget>& targets)
{
    for (const InstanceState* child : m_tree->childrenOf(id)) {
        const bool isSuspect = child->condition == Condition::Suspect;
        add(*child, { .deadline = now + m_options.acknowledgementTimeout, .depth = depth }, targets);
        // A suspect child gets the push in case it is alive, but its children do not wait for it.
        if (isSuspect && depth <= m_options.maxDepth)
            addChildrenOf(child->record.id, depth + 1, now, targets);
    }
}

void PushTracker::acknowledged(const InstanceId& child, const Digest& digest)
{
    if (digest == m_digest)
        m_outstanding.erase(child);
}

void PushTracker::replace(
    const InstanceId& child, const Outstanding& unreachable, TimePoint now, std::vector<PushTarget>& targets)
{
    if (!unreachable.otherZone) {
        if (unreachable.depth < m_options.maxDepth)
            addChildrenOf(child, unreachable.depth + 1, now, targets);
        return;
    }
    if (unreachable.attempts >= m_options.maxAttemptsPerZone)
        return;
    const auto candidates = firstInPushOrder(*m_view, *unreachable.otherZone, m_seed, unreachable.attempts + 1);
    if (candidates.size() <= unreachable.attempts)
        return;
    Outstanding next = unreachable;
    next.deadline = now + m_options.acknowledgementTimeout;
    ++next.attempts;
    add(*candidates.back(), next, targets);
}

std::vector<PushTarget> PushTracker::failed(const InstanceId& child, TimePoint now)
{
    std::vector<PushTarget> targets;
    const auto found = m_outstanding.find(child);
    if (found == m_outstanding.end())
        return targets;
    const Outstanding unreachable = found->second;
    m_outstanding.erase(found);
    replace(child, unreachable, now, targets);
    return targets;
}

std::vector<PushTarget> PushTracker::expire(TimePoint now)
{
    std::vector<std::pair<InstanceId, Outstanding>> expired;
    for (const auto& [child, outstanding] : m_outstanding)
        if (outstanding.deadline <= now)
            expired.emplace_back(child, outstanding);
    std::vector<PushTarget> targets;
    for (const auto& [child, outstanding] : expired) {
        m_outstanding.erase(child);
        replace(child, outstanding, now, targets);
    }
    invariant(m_outstanding.size() <= m_options.maxOutstanding,
        { .rule = "the number of unacknowledged pushes is bounded", .step = "expire-pushes" });
    return targets;
}

} // namespace skylark
