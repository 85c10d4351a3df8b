#include "membership/MembershipView.h"

#include "base/Invariant.h"

#include <algorithm>

namespace skylark {

const char* conditionName(Condition condition)
{
    switch (condition) {
    case Condition::Live:
        return "live";
    case Condition::Suspect:
        return "suspect";
    case Condition::Leaving:
        return "leaving";
    case Condition::Gone:
        return "gone";
    }
    return "unknown";
}

MembershipView::MembershipView(std::vector<InstanceState> instances)
    : m_instances(std::move(instances))
{
    std::erase_if(m_instances, [](const InstanceState& state) { return state.condition == Condition::Gone; });
    const auto isBefore
        = [](const InstanceState& left, const InstanceState& right) { return left.record.id < right.record.id; };
    if (!std::is_sorted(m_instances.begin(), m_instances.end(), isBefore))
        std::sort(m_instances.begin(), m_instances.end(), isBefore);
    m_byId.reserve(m_instances.size());
    for (const InstanceState& state : m_instances) {
        const bool isNew = m_byId.emplace(state.record.id, &state).second;
        invariant(isNew, { .rule = "each instance is in the view only once", .step = "build-view" });
        m_byService[state.record.service].push_back(&state);
        m_byZone[state.record.zone].push_back(&state);
    }
    for (const auto& [zone, members] : m_byZone)
        m_zones.push_back(zone);
    std::sort(m_zones.begin(), m_zones.end());
}

const InstanceState* MembershipView::find(const InstanceId& id) const
{
    const auto found = m_byId.find(id);
    return found == m_byId.end() ? nullptr : found->second;
}

const MembershipView::Members& MembershipView::ofService(const ServiceName& service) const
{
    static const Members noMembers;
    const auto found = m_byService.find(service);
    return found == m_byService.end() ? noMembers : found->second;
}

const MembershipView::Members& MembershipView::ofZone(const ZoneName& zone) const
{
    static const Members noMembers;
    const auto found = m_byZone.find(zone);
    return found == m_byZone.end() ? noMembers : found->second;
}

} // namespace skylark
