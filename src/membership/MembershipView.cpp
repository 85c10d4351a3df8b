#include "membership/MembershipView.h"

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
    std::sort(m_instances.begin(), m_instances.end(), [](const InstanceState& left, const InstanceState& right) {
        return left.record.id.value() < right.record.id.value();
    });
    for (const InstanceState& state : m_instances) {
        m_byId[state.record.id] = &state;
        m_byService[state.record.service].push_back(&state);
        auto& zone = m_byZone[state.record.zone];
        if (zone.empty())
            m_zones.push_back(state.record.zone);
        zone.push_back(&state);
    }
    std::sort(m_zones.begin(), m_zones.end(),
        [](const ZoneName& left, const ZoneName& right) { return left.value() < right.value(); });
}

const InstanceState* MembershipView::find(const InstanceId& id) const
{
    const auto found = m_byId.find(id);
    return found == m_byId.end() ? nullptr : found->second;
}

const MembershipView::Members& MembershipView::ofService(const ServiceName& service) const
{
    static const Members none;
    const auto found = m_byService.find(service);
    return found == m_byService.end() ? none : found->second;
}

const MembershipView::Members& MembershipView::ofZone(const ZoneName& zone) const
{
    static const Members none;
    const auto found = m_byZone.find(zone);
    return found == m_byZone.end() ? none : found->second;
}

} // namespace skylark
