#include "node/Node.h"

#include "base/Digest.h"
#include "base/Error.h"
#include "document/Builder.h"
#include "node/StateDump.h"

#include <algorithm>

namespace skylark {

using namespace std::chrono_literals;

namespace {

    constexpr int adminThreads = 4;
    // Bounds the peers that are notified directly of a graceful shutdown; the others learn of it from refusals and from
    // the condition reports of peers.
    constexpr size_t maxLeavingNotices = 64;
    // A leaving node refuses new calls with "not run" for at least this long. Calls that arrive while its connections
    // close would have an unknown outcome although they did not run.
    constexpr Duration minLeavingTime = 1s;

    uint64_t millisecondsSinceEpoch(const Clock& clock)
    {
        const auto sinceEpoch = clock.wallNow().time_since_epoch();
        return static_cast<uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count());
    }

    RouterOptions routerOptions(const NodeSettings& settings)
    {
        return { .zone = settings.zone, .region = settings.region };
    }

    GateOptions gateOptions(const NodeSettings& settings, Incarnation incarnation)
    {
        return { .instance = settings.instance,
            .incarnation = incarnation,
            .service = settings.service,
            .backend = settings.backendAddress,
            .defaultSlots = settings.defaultSlots,
            .maxThreads = settings.gateThreads };
    }

    std::variant<std::shared_ptr<const Configuration>, ValidationErrors> build(
        const Manifest& manifest, const std::vector<SectionText>& texts, SectionCache& cache)
    {
        BuildResult result = buildConfiguration(manifest, texts, cache);
        if (auto* configuration = std::get_if<std::shared_ptr<const Configuration>>(&result))
            return std::move(*configuration);
        ValidationErrors errors;
        for (const Fault& fault : std::get<std::vector<Fault>>(result))
            errors.push_back(describe(fault));
        return errors;
    }

} // namespace

Node::Node(NodeSettings settings, const Clock& clock)
    : m_settings(std::move(settings))
    , m_clock(clock)
    , m_processNumber(millisecondsSinceEpoch(clock))
    , m_incarnation(m_settings.incarnation.value() > 0 ? m_settings.incarnation : Incarnation(m_processNumber))
    , m_membership(std::make_shared<const MembershipView>(std::vector<InstanceState> {}))
    , m_router(routerOptions(m_settings))
    , m_gate(gateOptions(m_settings, m_incarnation), m_metrics, clock)
    , m_source({ .platform = m_settings.platformAddress }, m_metrics)
    , m_admin({ .threads = adminThreads })
{
    m_network = std::make_unique<PeerNetwork>(PeerNetworkOptions { .listen = m_settings.peerAddress,
                                                  .instance = m_settings.instance,
                                                  .incarnation = m_incarnation,
                                                  .zone = m_settings.zone,
                                                  .region = m_settings.region },
        peerHandlers(), clock);
    m_dispatcher = std::make_unique<CallDispatcher>(CallDispatcherOptions { .instance = m_settings.instance,
                                                        .processNumber = m_processNumber,
                                                        .maxDeadline = m_settings.maxDeadline,
                                                        .seed = m_processNumber },
        m_configuration, m_membership, m_router, *m_network, m_metrics, clock);
    m_callers = std::make_unique<CallerServer>(CallerServerOptions { .listen = m_settings.callerAddress,
                                                   .http = { .maxHeaderBytes = m_settings.maxHeaderBytes,
                                                       .keepAliveTimeout = m_settings.keepAliveTimeout,
                                                       .threads = m_settings.callerThreads } },
        *m_dispatcher, m_metrics, clock);
    m_control = std::make_unique<ControlLoop>(ControlLoopOptions { .distributor = distributorOptions() },
        ControlLoopTargets { .configuration = m_configuration,
            .membership = m_membership,
            .router = m_router,
            .gate = m_gate,
            .dispatcher = *m_dispatcher,
            .network = *m_network,
            .source = m_source,
            .metrics = m_metrics,
            .setServing = [this](bool isServing) { m_callers->setServing(isServing && !m_isStopping.load()); } },
        clock);
    m_dispatcher->setFailureObserver([this](const InstanceId& instance, Incarnation incarnation) {
        m_control->recordCallFailure(instance, incarnation);
    });
    startAdmin();
}

Node::~Node()
{
    m_callers->drain();
    m_control->stop();
    m_source.stop();
    m_network->close(m_clock.now());
    m_gate.stop();
    m_admin.drain();
    if (m_adminThread.joinable())
        m_adminThread.join();
}

Endpoint Node::adminAddress() const { return { m_settings.adminAddress.host, m_adminPort }; }

PeerHandlers Node::peerHandlers()
{
    // Peers may connect before the control loop exists. Their messages are then dropped; later summaries repair the
    // loss.
    return { .onMessage =
                 [this](Message message, const PeerInfo& from) {
                     if (ControlLoop* control = m_controlForHandlers.load())
                         control->receive(std::move(message), from);
                 },
        .onCall = [this](const std::shared_ptr<ServerStream>& stream) { m_gate.accept(stream); },
        .onSendFailed =
            [this](const Endpoint& peer) {
                if (ControlLoop* control = m_controlForHandlers.load())
                    control->recordSendFailure(peer);
            },
        .onPeerProbe =
            [this](const Endpoint& peer, bool isReachable) {
                logEvent(LogLevel::Warning, "silent-connection-closed",
                    { { "peer", peer.toString() }, { "isPeerReachable", isReachable ? "true" : "false" } });
                ControlLoop* control = m_controlForHandlers.load();
                if (control && !isReachable)
                    control->recordSendFailure(peer);
            } };
}

DistributorOptions Node::distributorOptions()
{
    DistributorOptions options {
        .self = { .id = m_settings.instance,
            .incarnation = m_incarnation,
            .peer = m_network->listenAddress(),
            .service = m_settings.service,
            .zone = m_settings.zone,
            .region = m_settings.region },
        .seedPeers = m_settings.peers,
        .zones = { m_settings.zone },
        .parseManifest = [](std::string_view text) { return manifestFromJson(text); },
        .versions
        = { .build = [this](const Manifest& manifest,
                         const std::vector<SectionText>& texts) { return build(manifest, texts, m_sectionCache); } },
    };
    options.seed = seededHash(m_settings.instance.value(), m_processNumber);
    return options;
}

void Node::start()
{
    m_controlForHandlers.store(m_control.get());
    SourceWorkerHandlers handlers;
    handlers.onWatchResponse = [this](uint64_t number, WatchResponse response) {
        m_control->post([number, response = std::move(response)](Distributor& distributor, TimePoint now) {
            return distributor.watchSucceeded(number, response, now);
        });
    };
    handlers.onReadResponse = [this](uint64_t number, ReadResponse response) {
        m_control->post([number, response = std::move(response)](Distributor& distributor, TimePoint now) {
            return distributor.readSucceeded(number, response, now);
        });
    };
    handlers.onFailure = [this](uint64_t number, bool isWatch, std::string reason) {
        m_control->post([number, isWatch, reason = std::move(reason)](Distributor& distributor, TimePoint now) {
            return isWatch ? distributor.watchFailed(number, reason, now) : distributor.readFailed(number, reason, now);
        });
    };
    m_source.start(std::move(handlers));
    m_control->start();
    m_callers->start();
    logEvent(LogLevel::Info, "started",
        { { "service", m_settings.service.value() }, { "zone", m_settings.zone.value() },
            { "incarnation", std::to_string(m_incarnation.value()) },
            { "callerAddress", m_settings.callerAddress.toString() },
            { "peerAddress", m_network->listenAddress().toString() }, { "adminAddress", adminAddress().toString() } });
}

void Node::startAdmin()
{
    const auto sendJson = [](httplib::Response& response, const nlohmann::json& json) {
        response.set_content(json.dump(2, ' ', false, nlohmann::json::error_handler_t::replace), "application/json");
    };
    m_admin.Get(
        "/state", [=, this](const httplib::Request&, httplib::Response& response) { sendJson(response, state()); });
    m_admin.Get("/status",
        [=, this](const httplib::Request&, httplib::Response& response) { sendJson(response, m_control->status()); });
    m_admin.Get("/explain", [=, this](const httplib::Request& request, httplib::Response& response) {
        sendJson(response,
            explain(
                request.get_param_value("method"), request.get_param_value("path"), request.get_param_value("host")));
    });
    m_admin.Get("/metrics", [this](const httplib::Request&, httplib::Response& response) {
        response.set_content(metrics(), "text/plain; version=0.0.4");
    });
    m_admin.Get("/healthz", [this](const httplib::Request&, httplib::Response& response) {
        const bool isReady = m_configuration.load() && !m_isStopping.load();
        response.status = isReady ? 200 : 503;
        response.set_content(isReady ? "ready\n" : "not ready\n", "text/plain");
    });
    const Endpoint& address = m_settings.adminAddress;
    m_adminPort = m_admin.bind(address);
    if (m_adminPort == 0) {
        throw Error({ .step = "listen-for-operators",
            .peer = address.toString(),
            .message = "cannot listen for operators on this address",
            .advice = "check adminAddress and whether another process holds the port" });
    }
    m_adminThread = std::thread([this] { m_admin.listen_after_bind(); });
}

nlohmann::json Node::state()
{
    nlohmann::json state = m_control->state();
    state["gate"] = m_gate.state();
    state["callers"] = { { "inFlight", m_callers->inFlight() } };
    state["traffic"] = trafficToJson(m_network->traffic());
    state["settings"] = nodeSettingsToJson(m_settings);
    return state;
}

nlohmann::json Node::explain(const std::string& method, const std::string& path, const std::string& host)
{
    const std::shared_ptr<const Configuration> configuration = m_configuration.load();
    if (!configuration)
        return { { "route", nullptr }, { "reason", "this node holds no configuration yet" } };
    const Route* route = configuration->match(host, method, path);
    if (!route)
        return { { "route", nullptr }, { "reason", "no route matches the request" } };
    nlohmann::json instances = nlohmann::json::array();
    for (const CandidateExplanation& candidate : m_router.explain(route->service, m_clock.now())) {
        instances.push_back({ { "instance", candidate.instance.value() }, { "zone", candidate.zone.value() },
            { "condition", candidate.condition }, { "score", candidate.score }, { "zoneShare", candidate.zoneShare },
            { "inFlight", candidate.inFlight }, { "successRate", candidate.successRate },
            { "meanLatencyMs", toMilliseconds(candidate.meanLatency) } });
    }
    return { { "route", route->name }, { "section", route->section.value() }, { "service", route->service.value() },
        { "rank", configuration->ranks()[static_cast<size_t>(route->rank)].name.value() },
        { "deadline", std::to_string(toMilliseconds(route->deadline)) + "ms" }, { "isIdempotent", route->isIdempotent },
        { "version", configuration->manifest().version.value() }, { "instances", instances },
        { "reason", "longest path prefix \"" + route->pathPrefix + "\"" } };
}

void Node::announceLeaving()
{
    const std::shared_ptr<const MembershipView> view = m_membership.load();
    std::vector<const InstanceState*> peers = view->ofService(m_settings.service);
    const auto& zonePeers = view->ofZone(m_settings.zone);
    peers.insert(peers.end(), zonePeers.begin(), zonePeers.end());
    size_t noticesSent = 0;
    for (const InstanceState* peer : peers) {
        if (peer->record.id == m_settings.instance || noticesSent++ >= maxLeavingNotices)
            continue;
        m_network->send(peer->record.peer, Leaving { .instance = m_settings.instance, .incarnation = m_incarnation });
    }
}

bool Node::shutdown(const std::function<bool()>& isAborted)
{
    const TimePoint deadline = m_clock.now() + m_settings.shutdownTimeout;
    const TimePoint earliestClose = m_clock.now() + minLeavingTime;
    logEvent(LogLevel::Info, "shutdown-started",
        { { "timeoutMs", std::to_string(toMilliseconds(m_settings.shutdownTimeout)) } });
    announceLeaving();
    m_gate.drain();
    // The caller server keeps serving until its drain ends: only this node's own gate refuses new calls.
    std::thread drainThread([this] { m_callers->drain(); });
    bool isClean = true;
    while (m_clock.now() < earliestClose || m_callers->inFlight() > 0 || !m_gate.isIdle()) {
        if (m_clock.now() >= deadline || isAborted()) {
            isClean = false;
            break;
        }
        std::this_thread::sleep_for(5ms);
    }
    m_isStopping.store(true);
    m_network->stopAccepting();
    m_network->close(m_clock.now() + (isClean ? Duration(1s) : Duration::zero()));
    drainThread.join();
    logEvent(isClean ? LogLevel::Info : LogLevel::Warning, isClean ? "shutdown-finished" : "shutdown-cut-short", {});
    return isClean;
}

} // namespace skylark
