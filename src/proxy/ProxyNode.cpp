#include "proxy/ProxyNode.h"

#include <algorithm>
#include <csignal>
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
            .slowStart = slowStartTime,
            .isCostAware = settings.costAwareRouting };
    }

    // Descriptors of the program itself: the loop, listeners, the log, the source and metrics.
    constexpr int programDescriptors = 200;
    // Share of the other descriptors that is kept for peers, the backend server and the source.
    constexpr int reservedDescriptorShare = 4;
    // Share of the byte account that the replies kept for resent calls may take.
    constexpr size_t keptReplyShare = 16;

    size_t maxCallerConnections(const ProxySettings& settings)
    {
        const int available = std::max(settings.descriptorLimit / 2, settings.descriptorLimit - programDescriptors);
        return static_cast<size_t>(available - available / reservedDescriptorShare);
    }

    GateOptions gateOptions(const ProxySettings& settings, const MemoryBudget& memory, LinkBudget& link)
    {
        return { .server = settings.serverAddress,
            .deduplicator = { .maxReplyBytes = memory.totalBytes() / keptReplyShare },
            .link = &link,
            .isCostAware = settings.costAwareRouting };
    }

    // The operator may evacuate the zones that the settings name.
    std::set<ZoneName> zonesOf(const ProxySettings& settings)
    {
        std::set<ZoneName> zones { settings.zone };
        for (const auto& [zone, region] : settings.regions)
            zones.insert(zone);
        return zones;
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
    , m_memory(memoryBudgetFor(static_cast<size_t>(m_settings.memoryLimit.value())))
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
    , m_evacuations({ .zones = zonesOf(m_settings) })
    , m_view(m_directory.view())
    , m_link(m_settings.linkBitsPerSecond)
    , m_gate(m_loop, gateOptions(m_settings, m_memory, m_link), m_adapter.httpConventions)
    , m_forwarder(
          m_loop,
          { .self = m_self.incarnation,
              .host = m_settings.advertisedAddress().host,
              .callerService = m_settings.service,
              .retryBudget
              = { .ratio = m_settings.retryRatio, .slack = m_settings.retrySlack, .window = m_settings.retryWindow },
              .isCostAware = m_settings.costAwareRouting },
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
                          .revision = m_directory.revisionForRequest(),
                          .evacuationRevision = m_evacuations.revision() };
                  },
              .sendRequest
              = [this](const Endpoint& endpoint,
                    const SourceUpdateRequest& request) { return ensurePeer(endpoint).requestSourceUpdate(request); },
              .reachablePeers = [this] { return reachablePeers(); },
              .setReading = [this](bool isReading) { setReading(isReading); },
              .setMaxRetryDelay = [this](Duration delay) { m_watcher->setMaxRetryDelay(delay); },
              .retrySource = [this] { m_watcher->retryNow(); },
              .isComplete = [this] { return !m_isSourceLost && !m_directory.mayDeferDeletions(m_loop.now()); } })
    , m_peerServer(m_loop,
          { .self = m_self,
              .listenAddress = m_settings.peerAddress,
              .maxBodyBytes = m_memory.totalBytes(),
              .channel = channelOptions(),
              .memory = &m_memory },
          m_gate,
          { .onHello = [this](const Hello& hello) { ensurePeer(hello.listenAddress); },
              .onSourceUpdateRequest
              = [this](const SourceUpdateRequest& request,
                    const SourceExchange::Reply& reply) { m_exchange.handleRequest(request, reply); } })
    , m_callerListener(m_loop,
          { .address = m_settings.callerAddress,
              .maxConnections = maxCallerConnections(m_settings),
              .memory = &m_memory,
              .mayStartEarly = [this](const HttpRequest& request) { return m_forwarder.isIdempotent(request); } },
          [this](HttpRequest request, const std::shared_ptr<HttpExchange>& connection) {
              m_forwarder.handle(std::move(request), connection);
          })
    , m_readyListener(m_loop, { .address = m_settings.readyAddress },
          [this](const HttpRequest&, const std::shared_ptr<HttpExchange>& connection) { handleReady(connection); })
    , m_adminListener(m_loop, { .address = m_settings.metricsAddress },
          [this](const HttpRequest& request, const std::shared_ptr<HttpExchange>& connection) {
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

bool ProxyNode::isReady() const { return !m_stop && m_forwarder.configuration() && m_directory.size() > 0; }

PeerClient& ProxyNode::ensurePeer(const Endpoint& endpoint)
{
    auto& client = m_peers[endpoint];
    if (!client) {
        client
            = std::make_unique<PeerClient>(m_loop, endpoint, m_self, PeerClientOptions { .channel = channelOptions() },
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
    // While the source is lost the operator cannot write an evacuation again.
    if (!m_isSourceLost)
        publishEvacuations(m_evacuations.advance(now), "grace-ended");
    if (m_directory.advance(now))
        publishServers("grace-ended");
    m_router.advance(now);
    // After an outage the server may not have written its entry again yet.
    if (!m_directory.mayDeferDeletions(now))
        m_gate.confirmServer(m_exchange.serversConfirmedAt());
    const LoadHint load = m_gate.load();
    m_metrics.setConcurrency(
        static_cast<int>(load.limit), static_cast<int>(load.inFlight), static_cast<int>(load.queued));
    m_gate.checkLink();
    m_exchange.tick();
    checkOwnServer();
    if (!m_isSourceLost)
        removeUnlistedPeers();
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
