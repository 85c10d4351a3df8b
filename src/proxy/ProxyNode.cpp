#include "proxy/ProxyNode.h"

#include "base/Compression.h"
#include "base/Error.h"
#include "base/Invariant.h"
#include "proxy/ListedServers.h"

#include <algorithm>
#include <csignal>
#include <nlohmann/json.hpp>
#include <random>

namespace skylark {

namespace {

    using namespace std::chrono_literals;

    constexpr Duration tickInterval = 250ms;
    // A backend server is slow for a few seconds after it starts.
    constexpr Duration slowStartTime = 3s;
    constexpr Duration stopCheckInterval = 50ms;
    // Share of the drain time at which the node reads its server's entry itself. The rest is for the wait until the
    // next tick, the read and a second one, and the way to the server.
    constexpr double maxEntryAgeFraction = 0.5;
    // Share of the drain time after which a follower reads the source itself, for the configuration.
    constexpr double maxPeerAgeFraction = 0.7;
    constexpr size_t maxConfigurationBytes = 16 * 1024 * 1024;

    Duration fraction(Duration duration, double share)
    {
        return std::chrono::duration_cast<Duration>(duration * share);
    }

    RouterOptions routerOptions(const ProxySettings& settings)
    {
        const auto region = settings.regions.find(settings.zone);
        return { .zone = settings.zone,
            .region = region == settings.regions.end() ? RegionName() : region->second,
            .policy = LeastExpectedTime {},
            .slowStart = slowStartTime };
    }

    std::set<ServiceName> namesOf(const std::map<ServiceName, ServicePolicy>& services)
    {
        std::set<ServiceName> names;
        for (const auto& [name, policy] : services)
            names.insert(name);
        return names;
    }

    Incarnation newIncarnation()
    {
        std::random_device device;
        // Above zero, and within the range of integers that JSON parsers represent exactly.
        return Incarnation((static_cast<uint64_t>(device()) << 20 | (device() & 0xfffff)) + 1);
    }

} // namespace

ProxyNode::ProxyNode(ProxySettings settings, PlatformAdapter adapter, const Clock& clock)
    : m_settings(std::move(settings))
    , m_adapter(std::move(adapter))
    , m_clock(clock)
    , m_loop(clock)
    , m_self { .instance = InstanceId(m_settings.instance),
        .incarnation = newIncarnation(),
        .zone = m_settings.zone,
        .listenAddress = m_settings.advertisedAddress(),
        .purpose = ConnectionPurpose::Calls }
    , m_log(clock, m_settings.logLinesPerSecond)
    , m_random(m_self.incarnation.value())
    , m_router(routerOptions(m_settings))
    , m_directory({ .peerPort = m_settings.peerAddress.port, .regions = m_settings.regions })
    , m_view(m_directory.view())
    , m_gate(m_loop, { .server = m_settings.serverAddress }, m_adapter.httpConventions)
    , m_forwarder(
          m_loop,
          { .self = m_self.incarnation,
              .host = m_settings.advertisedAddress().host,
              .callerService = m_settings.service,
              .retryBudget
              = { .ratio = m_settings.retryRatio, .slack = m_settings.retrySlack, .window = m_settings.retryWindow } },
          m_adapter.httpConventions, m_router, m_gate,
          [this](const Endpoint& endpoint) -> PeerClient& { return ensurePeer(endpoint); }, m_log, m_metrics)
    , m_exchange(m_loop,
          { .self = m_settings.advertisedAddress(),
              .seed = m_self.incarnation.value(),
              .role = { .maxPeerAge = fraction(m_settings.drainTime, maxPeerAgeFraction) } },
          { .makeUpdate = [this](const SourceUpdateRequest& request) { return sourceUpdateFor(request); },
              .makeRequest =
                  [this] {
                      const auto& current = m_forwarder.configuration();
                      return SourceUpdateRequest { .version = current ? current->manifest().version : VersionNumber(),
                          .revision = m_directory.revision() };
                  },
              .sendRequest
              = [this](const Endpoint& endpoint,
                    const SourceUpdateRequest& request) { return ensurePeer(endpoint).requestSourceUpdate(request); },
              .reachablePeers = [this] { return reachablePeers(); },
              .setReading = [this](bool isReading) { setReading(isReading); },
              .setMaxRetryDelay = [this](Duration delay) { m_watcher->setMaxRetryDelay(delay); },
              .retrySource = [this] { m_watcher->retryNow(); },
              .isComplete = [this] { return !m_isSourceLost && !m_directory.mayDeferDeletions(m_loop.now()); } })
    , m_peerServer(m_loop, { .self = m_self, .listenAddress = m_settings.peerAddress }, m_gate,
          { .onHello = [this](const Hello& hello) { ensurePeer(hello.listenAddress); },
              .onSourceUpdateRequest
              = [this](const SourceUpdateRequest& request,
                    const SourceExchange::Reply& reply) { m_exchange.handleRequest(request, reply); } })
    , m_callerListener(m_loop, { .address = m_settings.callerAddress },
          [this](HttpRequest request, const std::shared_ptr<HttpConnection>& connection) {
              m_forwarder.handle(std::move(request), connection);
          })
    , m_readyListener(m_loop, { .address = m_settings.readyAddress },
          [this](const HttpRequest&, const std::shared_ptr<HttpConnection>& connection) { handleReady(connection); })
    , m_adminListener(m_loop, { .address = m_settings.metricsAddress },
          [this](const HttpRequest& request, const std::shared_ptr<HttpConnection>& connection) {
              handleAdmin(request, connection);
          })
    , m_tickTimer(m_loop, [this] { tick(); })
    , m_stopTimer(m_loop, [this] { advanceStop(); })
    , m_terminate(m_loop, SIGTERM, [this] { beginStop(); })
    , m_interrupt(m_loop, SIGINT, [this] { beginStop(); })
    , m_reload(m_loop, SIGHUP, [this] { logReloadRequest(); })
    , m_sourceDecoder(m_loop, m_adapter, sourceCallbacks())
    , m_entryCheck({ .maxAge = fraction(m_settings.drainTime, maxEntryAgeFraction) })
    , m_entryReader(*m_adapter.entrySource, m_clock,
          [this](const KeyReadResult& result) { m_loop.post([this, result] { recordOwnServerRead(result); }); })
{
}

ProxyNode::~ProxyNode() { m_watcher.reset(); }

void ProxyNode::run()
{
    logEvent(LogLevel::Info, "started",
        { { "callers", m_settings.callerAddress.toString() }, { "peers", m_settings.peerAddress.toString() },
            { "incarnation", std::to_string(m_self.incarnation.value()) }, { "service", m_settings.service.value() },
            { "zone", m_settings.zone.value() } });
    SourceWatcherOptions options = m_adapter.watcher;
    options.minInterval = m_settings.sourceInterval;
    options.seed = m_self.incarnation.value();
    m_watcher = std::make_unique<SourceWatcher>(*m_adapter.source, m_sourceDecoder, options, m_clock);
    m_tickTimer.startRepeating(tickInterval);
    m_loop.run();
    m_watcher.reset();
    logEvent(LogLevel::Info, "stopped", {});
}

void ProxyNode::requestStop()
{
    m_loop.post([this] { beginStop(); });
}

SourceDecoder::Callbacks ProxyNode::sourceCallbacks()
{
    return { .onConfiguration = [this](const ConfigurationUpdate& update) { applyConfiguration(update, "source"); },
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
    // The servers go first: the forwarder may release requests that wait for the configuration.
    if (m_directory.setNamedServices(namesOf(configuration.services())))
        publishServers("configuration");
    m_forwarder.setConfiguration(update.configuration);
    m_gate.setRanks(configuration.ranks());
    const CallerLimits& limits = configuration.limits();
    m_callerListener.setLimits(
        { .headerBytes = limits.headerBytes, .bodyBytes = std::min(HttpLimits().bodyBytes, limits.bodyBytes) },
        limits.headerTimeout, limits.idleTimeout);
    m_configurationText = update.text;
    m_compressedConfiguration = update.compressed;
    m_metrics.setVersion(configuration.manifest().version);
    m_exchange.handleChange();
    logEvent(LogLevel::Info, "configuration-applied",
        { { "version", std::to_string(configuration.manifest().version.value()) },
            { "revision", std::to_string(configuration.manifest().revision.value()) },
            { "routes", std::to_string(configuration.routes().size()) }, { "origin", origin } });
}

void ProxyNode::applyServers(const ServerChanges& changes, const char* origin)
{
    const bool isFirstListing = changes.isListing && !m_hasServers;
    m_hasServers |= changes.isListing || !changes.entries.empty();
    const bool isChanged = m_directory.apply(changes, m_loop.now());
    logDelayedHeartbeats(origin);
    if (isChanged || isFirstListing)
        publishServers(origin);
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
    m_view = m_directory.view();
    m_router.update(m_view, m_loop.now());
    const ServerRecord* ownServer = m_directory.atAddress(m_settings.serverAddress);
    m_gate.setServer(ownServer ? std::optional(*ownServer) : std::nullopt);
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

bool ProxyNode::isReady() const { return !m_stop && m_forwarder.configuration() && m_directory.size() > 0; }

PeerClient& ProxyNode::ensurePeer(const Endpoint& endpoint)
{
    auto& client = m_peers[endpoint];
    if (!client) {
        client = std::make_unique<PeerClient>(m_loop, endpoint, m_self, PeerClientOptions {},
            [this, endpoint](const SourceUpdate& update) { applySourceUpdate(endpoint, update); });
    }
    return *client;
}

// Drops peers that are not listed, connected or in use, so that the map follows the fleet.
void ProxyNode::removeUnlistedPeers()
{
    std::erase_if(m_peers, [this](const auto& entry) {
        const auto& instances = m_view->instances();
        const bool isListed = std::any_of(instances.begin(), instances.end(),
            [&entry](const InstanceState& state) { return state.record.peer == entry.first; });
        return !isListed && entry.second->outstandingCount() == 0 && !entry.second->isConnected();
    });
}

void ProxyNode::tick()
{
    const TimePoint now = m_loop.now();
    if (m_directory.advance(now))
        publishServers("grace-ended");
    m_router.advance(now);
    const LoadHint load = m_gate.load();
    m_metrics.setConcurrency(
        static_cast<int>(load.limit), static_cast<int>(load.inFlight), static_cast<int>(load.queued));
    m_exchange.tick();
    checkOwnServer();
    if (!m_isSourceLost)
        removeUnlistedPeers();
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

std::vector<Endpoint> ProxyNode::reachablePeers()
{
    for (const InstanceState& state : m_view->instances())
        ensurePeer(state.record.peer);
    std::vector<Endpoint> reachable;
    for (const auto& [endpoint, client] : m_peers) {
        if (client->isUsable() && endpoint != m_settings.advertisedAddress())
            reachable.push_back(endpoint);
    }
    return reachable;
}

// Excludes nodes of draining servers: they may be gone soon and must not be followed.
std::vector<Endpoint> ProxyNode::zoneMembers() const
{
    std::vector<Endpoint> members;
    for (const InstanceState* state : m_view->ofZone(m_settings.zone)) {
        if (state->condition == Condition::Live)
            members.push_back(state->record.peer);
    }
    return members;
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
    // The servers go first: decoding a configuration takes a slow instance tenths of a second.
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

void ProxyNode::handleReady(const std::shared_ptr<HttpConnection>& connection)
{
    constexpr int statusReady = 200;
    constexpr int statusNotReady = 503;
    connection->respond({ .status = isReady() ? statusReady : statusNotReady });
}

void ProxyNode::handleAdmin(const HttpRequest& request, const std::shared_ptr<HttpConnection>& connection)
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
    m_metrics.setValue("gate_unknown", static_cast<double>(counters.unknown));
    m_metrics.setValue("gate_joined", static_cast<double>(counters.joined));
    m_metrics.setValue("gate_cancelled", static_cast<double>(counters.cancelled));
    m_metrics.setValue("delayed_heartbeats", static_cast<double>(m_directory.delayedHeartbeatCount()));
    m_metrics.setValue("server_connections_opened", static_cast<double>(counters.connectionsOpened));
    m_metrics.setValue("caller_connections", static_cast<double>(m_callerListener.connectionCount()));
    m_metrics.setValue("calls_in_progress", static_cast<double>(m_forwarder.callsInProgress()));
    m_metrics.setValue("log_lines_suppressed", static_cast<double>(m_log.suppressedCount()));
    m_metrics.setValue("unexpected_errors", static_cast<double>(m_loop.unexpectedErrors()));
    m_metrics.setValue("source_lost", m_isSourceLost ? 1 : 0);
    m_metrics.setReader(m_exchange.isReading());
    m_metrics.setValue("source_age_seconds", std::chrono::duration<double>(m_exchange.age()).count());
    return m_metrics.exposition();
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
            { "condition", conditionName(state.condition) } });
    return nlohmann::json {
        { "instance", m_settings.instance }, { "ready", isReady() },
        { "version", current ? current->manifest().version.value() : 0 }, { "sourceLost", m_isSourceLost },
        { "sourceRevision", m_directory.revision().value() }, { "peers", peers }, { "servers", servers },
        { "gate", { { "running", load.inFlight }, { "queued", load.queued }, { "limit", load.limit } } },
        { "callsInProgress", m_forwarder.callsInProgress() }
    }.dump(2)
        + "\n";
}

// Settings are fixed for the lifetime of the process; the request is only logged for the operator.
void ProxyNode::logReloadRequest() { logEvent(LogLevel::Info, "reload-requested", {}); }

void ProxyNode::beginStop()
{
    if (m_stop)
        return;
    m_stop.emplace(
        StopScheduleOptions { .grace = m_settings.stopGrace, .drainTime = m_settings.drainTime }, m_loop.now());
    logEvent(LogLevel::Info, "stopping",
        { { "calls", std::to_string(m_forwarder.callsInProgress()) },
            { "callers", std::to_string(m_callerListener.connectionCount()) } });
    m_callerListener.beginDrain();
    m_peerServer.announceLeaving();
    m_gate.beginStop(m_stop->answerBy());
    m_forwarder.beginStop(m_stop->answerBy());
    m_stopTimer.startRepeating(stopCheckInterval);
}

void ProxyNode::advanceStop()
{
    const bool isIdle = m_gate.isIdle() && m_forwarder.callsInProgress() == 0;
    const bool hasUnsentData = m_loop.pendingCloses() > 0 || m_peerServer.unsentBytes() > 0;
    const StopStep step = m_stop->stepAt(m_loop.now(), isIdle, hasUnsentData);
    if (step >= StopStep::RefusePeers)
        m_gate.drain();
    if (step >= StopStep::RefuseCallers)
        m_forwarder.drain();
    if (step >= StopStep::Close)
        m_callerListener.closeIdle();
    // closeIdle() may have begun closes that have not ended.
    const bool mustExit = m_loop.now() >= m_stop->exitBy();
    if (step < StopStep::Exit || (m_loop.pendingCloses() > 0 && !mustExit))
        return;
    logEvent(LogLevel::Info, "stop-ended",
        { { "after_ms", millisecondsText(m_loop.now() - m_stop->requestedAt()) },
            { "calls", std::to_string(m_forwarder.callsInProgress()) },
            { "unsent_closes", std::to_string(m_loop.pendingCloses()) },
            { "unsent_peer_bytes", std::to_string(m_peerServer.unsentBytes()) } });
    m_loop.stop();
}

} // namespace skylark
