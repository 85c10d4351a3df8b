// What the node learns of the configuration and the servers, from the source and from peers, and passes on.
#include "proxy/ProxyNode.h"

#include "base/Compression.h"
#include "base/Error.h"
#include "base/SourceEra.h"
#include "proxy/ListedServers.h"

namespace skylark {

namespace {

    constexpr size_t maxConfigurationBytes = 16 * 1024 * 1024;

    std::set<ServiceName> namesOf(const std::map<ServiceName, ServicePolicy>& services)
    {
        std::set<ServiceName> names;
        for (const auto& [name, policy] : services)
            names.insert(name);
        return names;
    }

} // namespace

SourceDecoder::Callbacks ProxyNode::sourceCallbacks()
{
    return { .onConfiguration = [this](const ConfigurationUpdate& update) { applyConfiguration(update, "source"); },
        .onEvacuations = [this](const EvacuationChanges& changes) { applyEvacuations(changes, "source"); },
        .onServers = [this](const ServerChanges& changes) { applyServers(changes, "source"); },
        .onLost = [this](const std::string& reason) { handleSourceLost(reason); },
        .onRecovered = [this] { handleSourceRecovered(); },
        .onCall = [this](const SourceCallResult& result) { recordSourceCall(result); },
        .onDelivered = [this](TimePoint currentAt) { m_exchange.recordApplied(currentAt); } };
}

void ProxyNode::checkOwnServer()
{
    const std::optional<ServerRecord>& server = m_gate.server();
    if (!server || server->isDraining || m_isSourceLost)
        return;
    if (m_entryCheck.startIfDue(m_exchange.serversConfirmedAt(), m_loop.now()))
        m_entryReader.request(m_adapter.serverKey(server->id));
}

void ProxyNode::recordOwnServerRead(const KeyReadResult& result)
{
    m_metrics.countSourceCall("read", result.item.has_value());
    m_entryCheck.recordResult(result.item ? std::optional(result.requestedAt) : std::nullopt, m_loop.now());
    if (!result.item)
        return;
    const bool isChanged = m_directory.apply(m_adapter.decodeServer(*result.item), m_loop.now());
    logDelayedHeartbeats("own-entry");
    if (isChanged)
        publishServers("own-entry");
    else
        updateGate();
}

void ProxyNode::recordSourceCall(const SourceCallResult& result)
{
    m_metrics.countSourceCall(sourceCallName(result.call), result.isAnswered);
    // A possibly stale listing does not confirm the node's state.
    if (result.call == SourceCall::ListStale)
        return;
    if (result.isAnswered)
        m_exchange.recordSourceResponse(result.age);
    else
        m_exchange.recordSourceFailure();
}

void ProxyNode::applyConfiguration(const ConfigurationUpdate& update, const char* origin)
{
    const Configuration& configuration = *update.configuration;
    const auto& current = m_forwarder.configuration();
    if (current && configuration.manifest().version <= current->manifest().version)
        return;
    setColdPolicy(configuration);
    // The servers go first: the forwarder may release requests that wait for the configuration.
    if (m_directory.setNamedServices(namesOf(configuration.services())))
        publishServers("configuration");
    else
        updateGate();
    m_forwarder.setConfiguration(update.configuration);
    m_gate.setRanks(configuration.ranks());
    m_gate.setRoutes(configuration.routes());
    setCallerLimits(configuration.limits());
    m_configurationText = update.text;
    m_compressedConfiguration = update.compressed;
    m_metrics.setVersion(configuration.manifest().version);
    m_exchange.handleChange();
    logEvent(LogLevel::Info, "configuration-applied",
        { { "version", std::to_string(configuration.manifest().version.value()) },
            { "revision", std::to_string(configuration.manifest().revision.value()) },
            { "routes", std::to_string(configuration.routes().size()) }, { "origin", origin } });
}

void ProxyNode::setCallerLimits(const CallerLimits& limits)
{
    if (limits.headerBytes > maxHeadBytes)
        logEvent(LogLevel::Warning, "caller-limit-lowered",
            { { "limit", "header_bytes" }, { "from", std::to_string(limits.headerBytes) },
                { "to", std::to_string(maxHeadBytes) } });
    m_callerListener.setLimits(
        { .headerBytes = std::min(limits.headerBytes, maxHeadBytes), .bodyBytes = limits.bodyBytes },
        limits.headerTimeout, limits.idleTimeout);
}

void ProxyNode::applyEvacuations(const EvacuationChanges& changes, const char* origin)
{
    for (const EvacuationEntry& entry : changes.entries) {
        if (!m_evacuations.isKnown(entry.zone))
            logEvent(LogLevel::Warning, "evacuation-ignored",
                { { "zone", entry.zone.value() }, { "reason", "the settings name no such zone" },
                    { "origin", origin } });
    }
    publishEvacuations(m_evacuations.apply(changes, m_loop.now()), origin);
}

void ProxyNode::publishEvacuations(const std::vector<ZoneName>& changedZones, const char* origin)
{
    if (changedZones.empty())
        return;
    for (const ZoneName& zone : changedZones)
        logEvent(LogLevel::Info, m_evacuations.isEvacuated(zone) ? "zone-evacuated" : "zone-evacuation-ended",
            { { "zone", zone.value() },
                { "revision", std::to_string(m_evacuations.states().at(zone).revision.value()) },
                { "origin", origin } });
    publishServers(origin);
}

void ProxyNode::logEraChange(Revision previous, const char* origin)
{
    const Revision current = m_directory.revision();
    if (previous != Revision() && eraOf(current) != eraOf(previous))
        logEvent(LogLevel::Warning, "source-era-changed",
            { { "from", std::to_string(eraOf(previous)) }, { "to", std::to_string(eraOf(current)) },
                { "origin", origin } });
}

void ProxyNode::applyServers(const ServerChanges& changes, const char* origin)
{
    const bool isFirstListing = changes.isListing && !m_hasServers;
    m_hasServers |= changes.isListing || !changes.entries.empty();
    const Revision previous = m_directory.revision();
    const bool isChanged = m_directory.apply(changes, m_loop.now());
    logEraChange(previous, origin);
    logDelayedHeartbeats(origin);
    if (isChanged || isFirstListing) {
        publishServers(origin);
        return;
    }
    // A heartbeat of the own server changes the remaining cold time.
    const auto isOwn = [this](const ServerEntry& entry) { return m_gate.server() && entry.id == m_gate.server()->id; };
    if (std::any_of(changes.entries.begin(), changes.entries.end(), isOwn))
        updateGate();
}

void ProxyNode::updateGate()
{
    const ServerRecord* ownServer = m_directory.atAddress(m_settings.serverAddress);
    m_gate.setServer(ownServer && m_hasColdPolicy ? std::optional(*ownServer) : std::nullopt);
}

void ProxyNode::setColdPolicy(const Configuration& configuration)
{
    ColdPolicy policy { .overage = m_settings.coldOverage, .slack = m_settings.coldSlack };
    const auto service = configuration.services().find(m_settings.service);
    if (service != configuration.services().end()) {
        policy.requestsPerSecond = service->second.coldRequestsPerSecond;
        policy.coldStart = service->second.coldStart;
    }
    m_gate.setColdPolicy(policy);
    m_hasColdPolicy = true;
}

void ProxyNode::logDelayedHeartbeats(const char* origin)
{
    const auto numberText = [](const HeartbeatPosition& position) {
        return position.number ? std::to_string(position.number->value()) : "";
    };
    for (const DelayedHeartbeat& delayed : m_directory.takeDelayedHeartbeats())
        logEvent(LogLevel::Info, "server-heartbeat-ignored",
            { { "server", delayed.id.value() }, { "revision", std::to_string(delayed.revision.value()) },
                { "incarnation", std::to_string(delayed.position.incarnation.value()) },
                { "number", numberText(delayed.position) },
                { "latest_incarnation", std::to_string(delayed.latest.incarnation.value()) },
                { "latest_number", numberText(delayed.latest) }, { "origin", origin } });
}

void ProxyNode::publishServers(const char* origin)
{
    m_view = m_directory.view(m_evacuations.evacuatedZones());
    m_router.update(m_view, m_loop.now());
    const ServerRecord* ownServer = m_directory.atAddress(m_settings.serverAddress);
    updateGate();
    // The zone of the settings counts too: the server's entry may not be known yet.
    m_gate.setEvacuated(
        m_evacuations.isEvacuated(m_settings.zone) || (ownServer && m_evacuations.isEvacuated(ownServer->zone)));
    m_forwarder.setServers(*m_view);
    m_exchange.setMembers(zoneMembers(), m_view->instances().size());
    m_exchange.handleChange();
    m_metrics.setInstances("listed", m_view->instances().size());
    logEvent(LogLevel::Info, "servers-changed",
        { { "servers", std::to_string(m_view->instances().size()) },
            { "revision", std::to_string(m_directory.revision().value()) },
            { "own", ownServer ? ownServer->id.value() : "" }, { "origin", origin },
            { "age_ms", millisecondsText(m_loop.now() - m_exchange.serversConfirmedAt()) } });
}

void ProxyNode::handleSourceLost(const std::string& reason)
{
    // Ignores the failure of a call that was in progress when the node began to follow a peer: the peer has the source.
    if (!m_exchange.isReading())
        return;
    m_isSourceLost = true;
    m_sourceLostAt = m_loop.now();
    m_directory.recordSourceLost();
    logEvent(LogLevel::Warning, "source-lost", { { "reason", reason } });
}

void ProxyNode::handleSourceRecovered()
{
    if (!m_isSourceLost)
        return;
    m_isSourceLost = false;
    const bool peersHadSource = m_exchange.peersHadSourceAfter(m_sourceLostAt);
    m_directory.recordSourceReturn(m_loop.now(), peersHadSource ? SourceOutage::ThisNode : SourceOutage::AllNodes);
    logEvent(LogLevel::Info, "source-back",
        { { "after_ms", millisecondsText(m_loop.now() - m_sourceLostAt) },
            { "peers_had_it", peersHadSource ? "true" : "false" } });
}

void ProxyNode::setReading(bool isReading)
{
    if (isReading) {
        m_watcher->resume(m_directory.revision());
        return;
    }
    m_watcher->suspend();
    // The followed peer has the source and has already held back deletions where necessary.
    if (std::exchange(m_isSourceLost, false))
        m_directory.recordSourceReturn(m_loop.now(), SourceOutage::ThisNode);
}

const std::string& ProxyNode::compressedConfiguration()
{
    if (m_compressedConfiguration.empty()) {
        m_compressedConfiguration = compress(m_configurationText);
        std::string().swap(m_configurationText);
    }
    return m_compressedConfiguration;
}

SourceUpdate ProxyNode::sourceUpdateFor(const SourceUpdateRequest& request)
{
    SourceUpdate update;
    if (const auto& current = m_forwarder.configuration(); current && current->manifest().version > request.version) {
        update.version = current->manifest().version;
        update.configuration = compressedConfiguration();
    }
    const ServerChanges changes = m_directory.changesSince(request.revision);
    update.since = changes.since;
    update.revision = changes.revision;
    update.isListing = changes.isListing;
    for (const ServerEntry& entry : changes.entries)
        update.servers.push_back(toListed(entry));
    if (m_evacuations.revision() > request.evacuationRevision) {
        for (const auto& [zone, state] : m_evacuations.states())
            update.evacuations.push_back(
                { .zone = zone, .revision = state.revision, .isEvacuated = state.isEvacuated });
    }
    return update;
}

void ProxyNode::applySourceUpdate(const Endpoint& peer, const SourceUpdate& update)
{
    // A node without the source defers the deletions: entries may have expired only because the servers cannot reach
    // the source either, and the servers may still be reachable.
    ServerChanges changes {
        .since = update.since, .revision = update.revision, .isListing = update.isListing, .isFromPeer = true
    };
    for (const ListedServer& listed : update.servers)
        changes.entries.push_back(fromListed(listed));
    EvacuationChanges evacuations;
    for (const ListedEvacuation& listed : update.evacuations)
        evacuations.entries.push_back(
            { .zone = listed.zone, .revision = listed.revision, .isEvacuated = listed.isEvacuated });
    applyEvacuations(evacuations, "peer");
    // The servers go before the configuration: decoding a configuration takes a slow instance tenths of a second.
    applyServers(changes, "peer");
    m_exchange.handlePeerUpdate(peer, update, m_directory.revision() >= update.revision);
    applyPeerConfiguration(update);
}

void ProxyNode::applyPeerConfiguration(const SourceUpdate& update)
{
    const auto& configuration = m_forwarder.configuration();
    // The same version may arrive from two peers or from a peer and the source; decoding it twice is expensive.
    const bool isNewer = !configuration || update.version > configuration->manifest().version;
    if (!isNewer || update.configuration.empty())
        return;
    const auto text = decompress(update.configuration, maxConfigurationBytes);
    try {
        if (!text)
            logEvent(LogLevel::Error, "configuration-refused",
                { { "origin", "peer" }, { "reason", "the compressed configuration is damaged or too large" } });
        else
            applyConfiguration({ .configuration = m_adapter.decodeConfiguration(*text, update.revision),
                                   .compressed = update.configuration },
                "peer");
    } catch (const Error& error) {
        logEvent(LogLevel::Error, "configuration-refused", { { "origin", "peer" }, { "reason", error.what() } });
    }
}

} // namespace skylark
