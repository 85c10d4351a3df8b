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
    const Outstanding first { .deadline = now + m_options.acknowledgement, .depth = ownDepth + 1 };
    if (origin != PushOrigin::Parent)
        for (const InstanceState* root : m_tree->roots(2))
            add(*root, first, targets);
    for (const ZoneName& zone : m_view->zones()) {
        if (origin != PushOrigin::Source || zone == m_zone)
            continue;
        Outstanding other = first;
        other.otherZone = zone;
        for (const InstanceState* root : firstInOrder(*m_view, zone, m_seed, 1))
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
        add(*child, { .deadline = now + m_options.acknowledgement, .depth = depth }, targets);
        // A suspect child is pushed to, in case it lives, but its children do not wait for it.
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
    const InstanceId& child, const Outstanding& lost, TimePoint now, std::vector<PushTarget>& targets)
{
    if (!lost.otherZone) {
        if (lost.depth < m_options.maxDepth)
            addChildrenOf(child, lost.depth + 1, now, targets);
        return;
    }
    if (lost.tries >= m_options.maxTriesPerZone)
        return;
    const auto candidates = firstInOrder(*m_view, *lost.otherZone, m_seed, lost.tries + 1);
    if (candidates.size() <= lost.tries)
        return;
    Outstanding next = lost;
    next.deadline = now + m_options.acknowledgement;
    ++next.tries;
    add(*candidates.back(), next, targets);
}

std::vector<PushTarget> PushTracker::failed(const InstanceId& child, TimePoint now)
{
    std::vector<PushTarget> targets;
    const auto found = m_outstanding.find(child);
    if (found == m_outstanding.end())
        return targets;
    const Outstanding lost = found->second;
    m_outstanding.erase(found);
    replace(child, lost, now, targets);
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
        { .rule = "pushes that wait for an acknowledgement are bounded", .step = "expire-pushes" });
    return targets;
}

} // namespace skylark
