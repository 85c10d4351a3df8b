#include "node/ControlLoop.h"

#include "base/Invariant.h"
#include "node/StateDump.h"

#include <array>

namespace skylark {

struct ControlLoop::ActionExecutor {
    ControlLoop& loop;

    void operator()(const Send& action) const { loop.send(action); }
    void operator()(const Watch& action) const { loop.m_targets.source.submit(action); }
    void operator()(const ReadKey& action) const { loop.m_targets.source.submit(action); }
    void operator()(const PublishConfiguration& action) const { loop.publish(action); }
    void operator()(const PublishMembership& action) const { loop.publish(action); }
    void operator()(const ReportEvent& action) const
    {
        loop.m_targets.metrics.countReport(action.event);
        logEvent(action.level, action.event, action.fields);
    }
};

ControlLoop::ControlLoop(ControlLoopOptions options, ControlLoopTargets targets, const Clock& clock)
    : m_options(std::move(options))
    , m_targets(std::move(targets))
    , m_clock(clock)
    , m_distributor(m_options.distributor, clock.now())
    , m_startedAt(clock.now())
{
}

ControlLoop::~ControlLoop() { stop(); }

void ControlLoop::start()
{
    m_thread = std::thread([this] { run(); });
}

void ControlLoop::stop()
{
    {
        const std::lock_guard lock(m_queueMutex);
        m_isStopping = true;
    }
    m_hasEvent.notify_all();
    if (m_thread.joinable())
        m_thread.join();
}

void ControlLoop::post(Event event)
{
    {
        const std::lock_guard lock(m_queueMutex);
        if (m_events.size() < m_options.maxQueuedEvents) {
            m_events.push_back(std::move(event));
            m_hasEvent.notify_one();
            return;
        }
    }
    m_targets.metrics.countReport("control-event-dropped");
}

void ControlLoop::receive(Message message, const PeerInfo& from)
{
    post([this, message = std::move(message), from](Distributor& distributor, TimePoint now) {
        recordVersion(message, from);
        m_idByEndpoint[from.endpoint] = from.instance;
        const PeerIdentity peer { .id = from.instance,
            .incarnation = from.incarnation,
            .endpoint = from.endpoint,
            .zone = from.zone,
            .region = from.region };
        return distributor.handle(message, peer, now);
    });
}

void ControlLoop::recordSendFailure(const Endpoint& peer)
{
    post([this, peer](Distributor& distributor, TimePoint now) {
        const auto entry = m_idByEndpoint.find(peer);
        return distributor.sendFailed(entry == m_idByEndpoint.end() ? InstanceId() : entry->second, peer, now);
    });
}

void ControlLoop::recordCallFailure(const InstanceId& instance, Incarnation incarnation)
{
    post([instance, incarnation](Distributor& distributor, TimePoint now) {
        distributor.membership().observeFailure(instance, incarnation, now);
        return Actions {};
    });
}

void ControlLoop::run()
{
    {
        const std::lock_guard lock(m_distributorMutex);
        execute(m_distributor.start(m_clock.now()));
    }
    TimePoint nextTick = m_clock.now();
    std::unique_lock lock(m_queueMutex);
    while (!m_isStopping) {
        m_hasEvent.wait_until(lock, nextTick, [this] { return m_isStopping || !m_events.empty(); });
        if (!m_events.empty() && m_clock.now() < nextTick) {
            const Event event = std::move(m_events.front());
            m_events.pop_front();
            lock.unlock();
            handle(event);
            lock.lock();
            continue;
        }
        if (m_clock.now() < nextTick)
            continue;
        lock.unlock();
        tick(m_clock.now());
        nextTick = m_clock.now() + m_options.tickInterval;
        lock.lock();
    }
}

void ControlLoop::handle(const Event& event)
{
    const std::lock_guard lock(m_distributorMutex);
    try {
        execute(event(m_distributor, m_clock.now()));
    } catch (const Error& error) {
        // An invalid message must not end the process. Invariant violations are also counted separately.
        m_targets.metrics.countReport("control-event-failed");
        logEvent(LogLevel::Error, "control-event-failed", { { "step", error.step() }, { "error", error.what() } });
    }
}

void ControlLoop::tick(TimePoint now)
{
    handle([](Distributor& distributor, TimePoint time) { return distributor.tick(time); });
    m_targets.gate.advance();
    m_targets.router.advance(now);
    const TrafficSnapshot traffic = m_targets.network.traffic();
    m_targets.metrics.setControlBytes("sent", controlBytes(traffic.controlSent));
    m_targets.metrics.setControlBytes("received", controlBytes(traffic.controlReceived));
    const std::lock_guard lock(m_distributorMutex);
    m_targets.metrics.setReader(m_distributor.isReader());
    if (m_distributor.versions().current())
        m_targets.metrics.setAppliedAge(now - m_appliedAt);
    m_targets.setServing(m_distributor.isServing() && m_distributor.versions().current() != nullptr);
}

void ControlLoop::execute(const Actions& actions)
{
    for (const Action& action : actions)
        std::visit(ActionExecutor { *this }, action);
}

void ControlLoop::send(const Send& action)
{
    if (!action.to.value().empty())
        m_idByEndpoint[action.endpoint] = action.to;
    try {
        m_targets.network.send(action.endpoint, action.message);
    } catch (const Error& error) {
        logEvent(LogLevel::Error, "message-not-sent", { { "peer", action.to.value() }, { "error", error.what() } });
        recordSendFailure(action.endpoint);
    }
}

void ControlLoop::publish(const PublishConfiguration& action)
{
    const std::shared_ptr<const Configuration>& newConfiguration = action.configuration;
    const std::shared_ptr<const Configuration> oldConfiguration = m_targets.configuration.load();
    invariant(!oldConfiguration || newConfiguration->manifest().isNewerThan(oldConfiguration->manifest()),
        { .rule = "the applied configuration version never decreases", .step = "apply" });
    m_targets.dispatcher.reconfigure(*newConfiguration);
    m_targets.gate.reconfigure(*newConfiguration);
    m_targets.configuration.store(newConfiguration);
    m_appliedAt = m_clock.now();
    m_targets.metrics.setVersion(newConfiguration->manifest().version);
    logEvent(LogLevel::Info, "version-applied",
        { { "version", std::to_string(newConfiguration->manifest().version.value()) },
            { "digest", newConfiguration->manifest().digest().hex() },
            { "routes", std::to_string(newConfiguration->routes().size()) } });
}

void ControlLoop::publish(const PublishMembership& action)
{
    const TimePoint now = m_clock.now();
    m_targets.membership.store(action.view);
    m_targets.router.update(action.view, now);
    std::vector<InstanceId> members;
    for (const InstanceState* state : action.view->ofService(m_options.distributor.self.service))
        members.push_back(state->record.id);
    if (members != m_serviceMembers) {
        // The first list also takes this path, which is harmless: the gate's record of requests has only
        // just begun.
        m_targets.gate.recordOwnershipChange();
        m_serviceMembers = std::move(members);
    }
    absl::erase_if(m_peerVersions, [&](const auto& entry) { return !action.view->find(entry.first); });
    absl::erase_if(m_idByEndpoint, [&](const auto& entry) { return !action.view->find(entry.second); });
    std::array<size_t, 4> counts {};
    for (const InstanceState& state : action.view->instances())
        ++counts[static_cast<size_t>(state.condition)];
    for (size_t condition = 0; condition < counts.size(); ++condition)
        m_targets.metrics.setInstances(conditionName(static_cast<Condition>(condition)), counts[condition]);
}

void ControlLoop::recordVersion(const Message& message, const PeerInfo& from)
{
    PeerVersion peerVersion { .zone = from.zone, .version = {}, .digest = {}, .receivedAt = m_clock.now() };
    if (const auto* summary = std::get_if<Summary>(&message)) {
        peerVersion.version = summary->version;
        peerVersion.digest = summary->manifestDigest;
    } else if (const auto* acknowledgement = std::get_if<PushAck>(&message);
               acknowledgement && acknowledgement->isApplied) {
        peerVersion.version = acknowledgement->version;
        peerVersion.digest = acknowledgement->digest;
    } else {
        return;
    }
    m_peerVersions[from.instance] = peerVersion;
}

nlohmann::json ControlLoop::status()
{
    const std::lock_guard lock(m_distributorMutex);
    const TimePoint now = m_clock.now();
    const VersionStore& versions = m_distributor.versions();
    nlohmann::json nodes = nlohmann::json::array();
    for (const auto& [instance, peerVersion] : m_peerVersions) {
        nodes.push_back({ { "instance", instance.value() }, { "zone", peerVersion.zone.value() },
            { "version", peerVersion.version.value() }, { "digest", peerVersion.digest.hex() },
            { "ageMs", toMilliseconds(now - peerVersion.receivedAt) } });
    }
    nlohmann::json rejected = nlohmann::json::array();
    for (const auto* versionList : { &versions.rejected(), &m_distributor.rejectedByPeers() }) {
        for (const RejectedVersion& entry : *versionList) {
            rejected.push_back(
                { { "version", entry.version.value() }, { "digest", entry.digest.hex() }, { "reason", entry.reason } });
        }
    }
    return { { "instance", m_options.distributor.self.id.value() }, { "zone", m_options.distributor.self.zone.value() },
        { "version", versions.currentOrder().version.value() }, { "manifestDigest", versions.currentDigest().hex() },
        { "isServing", m_distributor.isServing() }, { "nodes", nodes }, { "rejected", rejected } };
}

nlohmann::json ControlLoop::state()
{
    nlohmann::json state = status();
    const std::lock_guard lock(m_distributorMutex);
    const TimePoint now = m_clock.now();
    const VersionStore& versions = m_distributor.versions();
    state["uptimeMs"] = toMilliseconds(now - m_startedAt);
    if (const auto& current = versions.current()) {
        nlohmann::json sections = nlohmann::json::object();
        for (const auto& [name, digest] : current->manifest().sections)
            sections[name.value()] = digest.hex();
        state["applied"] = { { "version", current->manifest().version.value() },
            { "revision", current->manifest().revision.value() }, { "ageMs", toMilliseconds(now - m_appliedAt) },
            { "sections", sections }, { "routes", current->routes().size() },
            { "services", current->services().size() } };
    }
    state["highestSeenVersion"] = versions.highestSeen().version.value();
    nlohmann::json pendingSections = nlohmann::json::array();
    for (const SectionDigest& section : versions.missingSections())
        pendingSections.push_back(section.name.value());
    state["pendingSections"] = pendingSections;
    nlohmann::json marks = nlohmann::json::array();
    for (const FreshnessMark& mark : m_distributor.marks(now)) {
        marks.push_back({ { "zone", mark.zone.value() }, { "reader", mark.reader.value() },
            { "sourceRevision", mark.sourceRevision.value() }, { "sinceAttemptMs", toMilliseconds(mark.sinceAttempt) },
            { "sinceSuccessMs", toMilliseconds(mark.sinceSuccess) } });
    }
    state["readers"]
        = { { "rank", m_distributor.readers().rank() }, { "isReader", m_distributor.isReader() }, { "marks", marks } };
    nlohmann::json lists = nlohmann::json::object();
    for (const auto& [zone, revision] : m_distributor.membership().listRevisions())
        lists[zone.value()] = revision.value();
    state["instanceLists"] = lists;
    state["instances"] = membershipState();
    return state;
}

nlohmann::json ControlLoop::membershipState() const
{
    nlohmann::json instances = nlohmann::json::array();
    const TimePoint now = m_clock.now();
    for (const InstanceState& state : m_distributor.membership().view()->instances()) {
        instances.push_back({ { "instance", state.record.id.value() },
            { "incarnation", state.record.incarnation.value() }, { "peer", state.record.peer.toString() },
            { "service", state.record.service.value() }, { "zone", state.record.zone.value() },
            { "condition", conditionName(state.condition) }, { "sinceMs", toMilliseconds(now - state.since) } });
    }
    return instances;
}

} // namespace skylark
