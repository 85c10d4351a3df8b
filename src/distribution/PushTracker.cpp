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
    m_outstandingPushes.clear();
    m_pushedIds.clear();
    m_pushedIds.insert(m_self);
    std::vector<PushTarget> targets;
    const OutstandingPush firstPush { .deadline = now + m_options.acknowledgementTimeout, .depth = ownDepth + 1 };
    if (origin != PushOrigin::Parent)
        for (const InstanceState* root : m_tree->roots(2))
            add(*root, firstPush, targets);
    for (const ZoneName& zone : m_view->zones()) {
        if (origin != PushOrigin::Source || zone == m_zone)
            continue;
        OutstandingPush otherZonePush = firstPush;
        otherZonePush.otherZone = zone;
        for (const InstanceState* root : firstInPushOrder(*m_view, zone, m_seed, 1))
            add(*root, otherZonePush, targets);
    }
    addChildrenOf(m_self, ownDepth + 1, now, targets);
    return targets;
}

void PushTracker::add(const InstanceState& state, const OutstandingPush& push, std::vector<PushTarget>& targets)
{
    const bool isFull = m_outstandingPushes.size() >= m_options.maxOutstanding;
    if (isFull || push.depth > m_options.maxDepth || !m_pushedIds.insert(state.record.id).second)
        return;
    m_outstandingPushes.emplace(state.record.id, push);
    targets.push_back({ .id = state.record.id, .endpoint = state.record.peer, .depth = push.depth });
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

void PushTracker::recordAcknowledgement(const InstanceId& child, const Digest& digest)
{
    if (digest == m_digest)
        m_outstandingPushes.erase(child);
}

void PushTracker::replace(
    const InstanceId& child, const OutstandingPush& unreachablePush, TimePoint now, std::vector<PushTarget>& targets)
{
    if (!unreachablePush.otherZone) {
        if (unreachablePush.depth < m_options.maxDepth)
            addChildrenOf(child, unreachablePush.depth + 1, now, targets);
        return;
    }
    if (unreachablePush.attempts >= m_options.maxAttemptsPerZone)
        return;
    const auto candidates = firstInPushOrder(*m_view, *unreachablePush.otherZone, m_seed, unreachablePush.attempts + 1);
    if (candidates.size() <= unreachablePush.attempts)
        return;
    OutstandingPush nextPush = unreachablePush;
    nextPush.deadline = now + m_options.acknowledgementTimeout;
    ++nextPush.attempts;
    add(*candidates.back(), nextPush, targets);
}

std::vector<PushTarget> PushTracker::replaceUnreachable(const InstanceId& child, TimePoint now)
{
    std::vector<PushTarget> targets;
    const auto found = m_outstandingPushes.find(child);
    if (found == m_outstandingPushes.end())
        return targets;
    const OutstandingPush unreachablePush = found->second;
    m_outstandingPushes.erase(found);
    replace(child, unreachablePush, now, targets);
    return targets;
}

std::vector<PushTarget> PushTracker::expire(TimePoint now)
{
    std::vector<std::pair<InstanceId, OutstandingPush>> expired;
    for (const auto& [child, push] : m_outstandingPushes)
        if (push.deadline <= now)
            expired.emplace_back(child, push);
    std::vector<PushTarget> targets;
    for (const auto& [child, push] : expired) {
        m_outstandingPushes.erase(child);
        replace(child, push, now, targets);
    }
    invariant(m_outstandingPushes.size() <= m_options.maxOutstanding,
        { .rule = "the number of unacknowledged pushes is bounded", .step = "expire-pushes" });
    return targets;
}

} // namespace skylark
