// How a call chooses the instance of its next attempt, and what the node knows of the servers for it.
#include "proxy/CallForwarder.h"

#include <algorithm>

namespace skylark {

ByteCount CallForwarder::expectedBytes(const Call& call) const
{
    const auto history = m_history.find(call.route->name);
    const double responseBytes = history == m_history.end() ? 0 : history->second.meanResponseBytes;
    return ByteCount(
        byteCount(call.request->headers) + call.request->body.size() + static_cast<uint64_t>(responseBytes));
}

void CallForwarder::recordResponseBytes(const Route& route, const HttpResponse& response)
{
    constexpr double weight = 1.0 / 16;
    double& mean = m_history[route.name].meanResponseBytes;
    const auto bytes = static_cast<double>(byteCount(response.headers) + response.body.size());
    mean = mean > 0 ? mean + weight * (bytes - mean) : bytes;
}

CostRequest CallForwarder::costRequest(const Call& call)
{
    return { .service = call.service.value(),
        .route = call.route->name,
        .routePrefix = call.route->pathPrefix,
        .method = call.request->method,
        .target = call.request->target,
        .bodyBytes = call.request->body.size() };
}

Duration CallForwarder::expectedCost(const Call& call) const
{
    return m_costs ? m_costs->expected(costRequest(call), m_loop.now()) : Duration::zero();
}

void CallForwarder::recordCost(const Call& call, Duration serviceTime)
{
    if (!m_costs || serviceTime <= Duration::zero())
        return;
    m_metrics.observeCost(call.route->name, expectedCost(call), serviceTime);
    const std::chrono::duration<double> cost(serviceTime / call.choice->speedFactor);
    m_costs->record(costRequest(call), std::chrono::duration_cast<Duration>(cost), m_loop.now());
}

std::optional<Choice> CallForwarder::chooseInstance(Call& call)
{
    std::vector<InstanceId> excluded = m_notices.unusable(call.service, m_loop.now(), call.rank);
    excluded.insert(excluded.end(), call.triedInstances.begin(), call.triedInstances.end());
    if (call.rateRefusals == 0 || m_coldUntil.empty() || !limitsColdServers(call))
        return chooseAmongUsable(call, std::move(excluded));
    // A cold server is idle and therefore attracts calls. Without this, a call tries one after the other in vain.
    std::vector<InstanceId> excludedWithCold = excluded;
    for (const auto& [id, until] : m_coldUntil) {
        if (until > m_loop.now())
            excludedWithCold.push_back(id);
    }
    auto choice = chooseAmongUsable(call, std::move(excludedWithCold));
    return choice ? choice : chooseAmongUsable(call, std::move(excluded));
}

CallForwarder::NodeCondition CallForwarder::conditionOf(const Endpoint& node)
{
    if (node.host == m_options.host)
        return m_gate.isDraining() ? NodeCondition::Leaving : NodeCondition::Usable;
    const PeerClient& peer = m_peers(node);
    if (peer.isLeaving())
        return NodeCondition::Leaving;
    return peer.isUsable() ? NodeCondition::Usable : NodeCondition::Suspect;
}

std::optional<Choice> CallForwarder::chooseAmongUsable(const Call& call, std::vector<InstanceId> excluded)
{
    constexpr int maxChoices = 8;
    const ByteCount bytes = expectedBytes(call);
    const Duration cost = expectedCost(call);
    std::optional<Choice> fallback;
    for (int round = 0; round < maxChoices; ++round) {
        auto choice = m_router.choose({ .service = call.service,
                                          .excluded = excluded,
                                          .isIdempotent = call.route->isIdempotent,
                                          .expectedBytes = bytes,
                                          .target = call.route->target,
                                          .expectedCost = cost },
            m_random, m_loop.now());
        if (!choice)
            break;
        // The router returns an excluded instance only if there is no other.
        const bool isExcluded = std::find(excluded.begin(), excluded.end(), choice->instance) != excluded.end();
        if (isExcluded)
            break;
        const NodeCondition condition = conditionOf(choice->peer);
        if (condition == NodeCondition::Usable)
            return choice;
        if (!fallback && condition == NodeCondition::Suspect)
            fallback = choice;
        excluded.push_back(choice->instance);
    }
    return fallback;
}

ServerNotices::Server CallForwarder::targetOf(const Call& call)
{
    return { .id = call.choice->instance, .incarnation = call.choice->incarnation, .service = call.service };
}

void CallForwarder::pauseTarget(const Call& call, TimePoint since, const LoadHint& load)
{
    if (load.requestDelay <= Duration::zero())
        return;
    // A server that names no rate is limited because it is cold.
    const bool isByCold = limitsColdServers(call) && !m_notices.rate(call.choice->instance, call.choice->incarnation);
    const int rank = isByCold ? call.rank : 0;
    m_notices.pause(targetOf(call), since + load.requestDelay, m_loop.now(), rank);
}

bool CallForwarder::limitsColdServers(const Call& call)
{
    if (!call.configuration)
        return false;
    const auto service = call.configuration->services().find(call.service);
    return service != call.configuration->services().end() && service->second.coldRequestsPerSecond > 0;
}

void CallForwarder::setServers(const MembershipView& view)
{
    m_fleetSize = view.instances().size();
    m_hasServers |= m_fleetSize > 0;
    m_notices.update(view);
    m_coldUntil.clear();
    m_evacuatedServices.clear();
    for (const InstanceState& state : view.instances()) {
        if (state.coldUntil > m_loop.now())
            m_coldUntil.emplace(state.record.id, state.coldUntil);
        if (state.isEvacuated)
            m_evacuatedServices.insert(state.record.service);
    }
    for (const InstanceState& state : view.instances()) {
        if (!state.isEvacuated)
            m_evacuatedServices.erase(state.record.service);
    }
    releaseQueue();
}

} // namespace skylark
