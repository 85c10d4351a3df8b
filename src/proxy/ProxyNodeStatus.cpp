// The node's pages for the platform and for operators: readiness, metrics and state.
#include "proxy/ProxyNode.h"

#include "base/SourceEra.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace skylark {

void ProxyNode::handleReady(const std::shared_ptr<HttpExchange>& connection)
{
    constexpr int statusReady = 200;
    constexpr int statusNotReady = 503;
    connection->respond({ .status = isReady() ? statusReady : statusNotReady });
}

void ProxyNode::handleAdmin(const HttpRequest& request, const std::shared_ptr<HttpExchange>& connection)
{
    constexpr int statusOk = 200;
    constexpr int statusNotFound = 404;
    if (request.target == "/metrics")
        connection->respond({ .status = statusOk,
            .headers = { { "Content-Type", "text/plain; version=0.0.4" } },
            .body = metricsText() });
    else if (request.target == "/state")
        connection->respond(
            { .status = statusOk, .headers = { { "Content-Type", "application/json" } }, .body = stateText() });
    else
        connection->respond({ .status = statusNotFound });
}

std::string ProxyNode::metricsText()
{
    const GateCounters& counters = m_gate.counters();
    m_metrics.setValue("gate_answered", static_cast<double>(counters.answered));
    m_metrics.setValue("gate_refused", static_cast<double>(counters.refused));
    m_metrics.setValue("gate_refused_cold", static_cast<double>(counters.refusedCold));
    m_metrics.setValue("server_cold", m_gate.isServerCold() ? 1 : 0);
    m_metrics.setValue("gate_waiting_cold", static_cast<double>(m_gate.waitingForTurn()));
    m_metrics.setValue("gate_unknown", static_cast<double>(counters.unknown));
    m_metrics.setValue("gate_joined", static_cast<double>(counters.joined));
    m_metrics.setValue("gate_cancelled", static_cast<double>(counters.cancelled));
    m_metrics.setValue("delayed_heartbeats", static_cast<double>(m_directory.delayedHeartbeatCount()));
    m_metrics.setValue("server_connections_opened", static_cast<double>(counters.connectionsOpened));
    m_metrics.setValue("caller_connections", static_cast<double>(m_callerListener.connectionCount()));
    m_metrics.setValue("memory_charged_bytes", static_cast<double>(m_memory.chargedBytes()));
    m_metrics.setValue("memory_budget_bytes", static_cast<double>(m_memory.totalBytes()));
    m_metrics.setValue("memory_refused", static_cast<double>(m_memory.refusedCount()));
    m_metrics.setValue("memory_closed", static_cast<double>(m_memory.closedCount()));
    m_metrics.setValue("calls_in_progress", static_cast<double>(m_forwarder.callsInProgress()));
    m_metrics.setValue("log_lines_suppressed", static_cast<double>(m_log.suppressedCount()));
    m_metrics.setValue("unexpected_errors", static_cast<double>(m_loop.unexpectedErrors()));
    m_metrics.setValue(
        "gate_remaining_work_seconds", std::chrono::duration<double>(m_gate.load().remainingWork).count());
    m_metrics.setValue("source_lost", m_isSourceLost ? 1 : 0);
    m_metrics.setValue("routes_with_unknown_kind", static_cast<double>(countRoutes(&Route::hasUnknownKind)));
    m_metrics.setValue("routes_with_unknown_action", static_cast<double>(countRoutes(&Route::hasUnknownAction)));
    m_metrics.setValue("link_use", m_link.use(m_loop.now()));
    m_metrics.setValue("link_backlog_seconds", std::chrono::duration<double>(m_link.backlog(m_loop.now())).count());
    m_metrics.setValue("link_waiting_bytes", static_cast<double>(m_link.waitingBytes()));
    m_metrics.setValue("link_refused", static_cast<double>(counters.refusedByLink));
    m_metrics.setValue("evacuated_zones", static_cast<double>(m_evacuations.evacuatedZones().size()));
    m_metrics.setValue("gate_refused_by_evacuation", static_cast<double>(counters.refusedByEvacuation));
    m_metrics.setValue("requests_refused_by_evacuation", static_cast<double>(m_forwarder.refusedByEvacuation()));
    m_metrics.setValue("ambiguous_refusals", static_cast<double>(m_forwarder.ambiguousRefusals()));
    m_metrics.setValue("source_era", static_cast<double>(eraOf(m_directory.revision())));
    m_metrics.setReader(m_exchange.isReading());
    m_metrics.setValue("source_age_seconds", std::chrono::duration<double>(m_exchange.age()).count());
    return m_metrics.exposition();
}

size_t ProxyNode::countRoutes(bool Route::*isCounted) const
{
    const auto& current = m_forwarder.configuration();
    if (!current)
        return 0;
    const auto& routes = current->routes();
    return static_cast<size_t>(
        std::count_if(routes.begin(), routes.end(), [isCounted](const Route& route) { return route.*isCounted; }));
}

std::string ProxyNode::stateText()
{
    nlohmann::json peers = nlohmann::json::object();
    for (const auto& [endpoint, client] : m_peers)
        peers[endpoint.toString()]
            = { { "state", client->stateName() }, { "outstanding", client->outstandingCount() } };
    const auto& current = m_forwarder.configuration();
    const LoadHint load = m_gate.load();
    nlohmann::json servers = nlohmann::json::array();
    for (const InstanceState& state : m_view->instances())
        servers.push_back({ { "id", state.record.id.value() }, { "service", state.record.service.value() },
            { "zone", state.record.zone.value() }, { "peer", state.record.peer.toString() },
            { "condition", conditionName(state.condition) }, { "cold", state.coldUntil > m_loop.now() } });
    nlohmann::json evacuations = nlohmann::json::array();
    for (const auto& [zone, evacuation] : m_evacuations.states()) {
        if (evacuation.isEvacuated)
            evacuations.push_back({ { "zone", zone.value() }, { "revision", evacuation.revision.value() },
                { "forMs", millisecondsText(m_loop.now() - evacuation.since) },
                { "missingInSource", evacuation.dropAt.has_value() } });
    }
    return nlohmann::json {
        { "instance", m_settings.instance }, { "ready", isReady() },
        { "version", current ? current->manifest().version.value() : 0 }, { "sourceLost", m_isSourceLost },
        { "sourceRevision", m_directory.revision().value() }, { "sourceEra", eraOf(m_directory.revision()) },
        { "evacuations", evacuations }, { "peers", peers }, { "servers", servers },
        { "gate",
            { { "running", load.inFlight }, { "queued", load.queued }, { "limit", load.limit },
                { "cold", m_gate.isServerCold() }, { "coldCause", coldCauseName(m_gate.coldCause()) },
                { "coldRemainingMs", millisecondsText(m_gate.remainingCold()) },
                { "waitingForColdServer", m_gate.waitingForTurn() } } },
        { "callsInProgress", m_forwarder.callsInProgress() }
    }.dump(2)
        + "\n";
}

} // namespace skylark
