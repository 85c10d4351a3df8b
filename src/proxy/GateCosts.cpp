#include "proxy/GateCosts.h"

namespace skylark {

namespace {

    constexpr int statusServerError = 500;

} // namespace

GateCosts::GateCosts(bool isEnabled)
{
    if (isEnabled)
        m_estimator.emplace();
}

void GateCosts::setRoutes(const std::vector<Route>& routes)
{
    if (!m_estimator)
        return;
    m_prefixes.clear();
    for (const Route& route : routes)
        m_prefixes.emplace(route.name, route.pathPrefix);
}

CostRequest GateCosts::costRequest(const GateCall& call) const
{
    const auto prefix = m_prefixes.find(call.route);
    return { .service = call.service.value(),
        .route = call.route,
        .routePrefix = prefix == m_prefixes.end() ? std::string_view() : std::string_view(prefix->second),
        .method = call.request->method,
        .target = call.request->target,
        .bodyBytes = call.request->body.size() };
}

Duration GateCosts::add(uint64_t ticket, const GateCall& call, TimePoint now)
{
    if (!m_estimator)
        return Duration::zero();
    const Duration expected = m_estimator->expected(costRequest(call), now);
    m_work.add(ticket, expected);
    return expected;
}

void GateCosts::start(uint64_t ticket, TimePoint now) { m_work.start(ticket, now); }

void GateCosts::remove(uint64_t ticket) { m_work.remove(ticket); }

void GateCosts::recordResponse(const GateCall& call, int status, Duration serviceTime, TimePoint now)
{
    // A quick failure tells nothing about the cost of a request that succeeds.
    if (m_estimator && status < statusServerError)
        m_estimator->record(costRequest(call), serviceTime, now);
}

void GateCosts::recordTimeout(const GateCall& call, Duration elapsed, TimePoint now)
{
    if (!m_estimator)
        return;
    const CostRequest request = costRequest(call);
    if (elapsed > m_estimator->expected(request, now))
        m_estimator->record(request, elapsed, now);
}

} // namespace skylark
