#include "Fleet.h"

#include "base/Error.h"
#include "membership/InstanceListJson.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace skylark {

using std::chrono::milliseconds;

std::variant<std::shared_ptr<const Configuration>, ValidationErrors> buildForTest(
    const Manifest& manifest, const std::vector<SectionText>& texts)
{
    std::vector<Route> routes;
    for (const SectionText& section : texts) {
        if (section.text.find("bad") != std::string::npos)
            return ValidationErrors { section.name.value() + ": " + section.text };
        routes.push_back({ .name = section.text, .section = section.name, .pathPrefix = "/" + section.name.value() });
    }
    return std::make_shared<const Configuration>(
        manifest, std::vector<RankPolicy> {}, std::map<ServiceName, ServicePolicy> {}, std::move(routes));
}

std::string manifestText(const Manifest& manifest)
{
    nlohmann::json sections = nlohmann::json::object();
    for (const auto& [name, digest] : manifest.sections)
        sections[name.value()] = digest.hex();
    return nlohmann::json { { "version", manifest.version.value() }, { "sections", sections } }.dump();
}

Manifest parseManifestText(std::string_view text)
{
    const nlohmann::json json = nlohmann::json::parse(text, nullptr, false);
    if (json.is_discarded())
        throw Error({ .step = "parse-manifest", .message = "the manifest is not valid JSON" });
    Manifest manifest { .version = VersionNumber(json.at("version").get<uint64_t>()) };
    for (const auto& [name, digest] : json.at("sections").items())
        manifest.sections[SectionName(name)] = Digest::fromHex(digest.get<std::string>());
    return manifest;
}

Manifest manifestOf(uint64_t version, uint64_t revision, const std::map<std::string, std::string>& texts)
{
    Manifest manifest { .version = VersionNumber(version), .revision = Revision(revision) };
    for (const auto& [name, text] : texts)
        manifest.sections[SectionName(name)] = digestOf(text);
    return manifest;
}

std::vector<SectionText> textsOf(const std::map<std::string, std::string>& texts)
{
    std::vector<SectionText> result;
    for (const auto& [name, text] : texts)
        result.push_back({ .name = SectionName(name), .text = text });
    return result;
}

InstanceRecord recordForTest(const std::string& zone, size_t index)
{
    return { .id = InstanceId(zone + "-n" + std::to_string(index)),
        .incarnation = Incarnation(1),
        .peer = { .host = "127.0.0.1", .port = static_cast<uint16_t>(7000 + index) },
        .service = ServiceName("pitch"),
        .zone = ZoneName(zone),
        .region = RegionName("region-1") };
}

DistributorOptions optionsForTest(const InstanceRecord& self)
{
    return { .self = self, .parseManifest = parseManifestText, .versions = { .build = buildForTest } };
}

void SourceState::put(const std::string& key, const std::string& value)
{
    revision = Revision(revision.value() + 1);
    values[key] = { .revision = revision, .value = value };
}

Fleet::Fleet(size_t zones, size_t nodesPerZone, uint64_t seed, bool hasSeedPeers)
    : random(seed)
    , m_nextTick(now)
{
    for (size_t index = 0; index < zones * nodesPerZone; ++index) {
        nodes.emplace_back();
        nodes.back().record = recordForTest("zone-" + std::to_string(index % zones), index);
        if (hasSeedPeers && m_seedPeers.size() < 3)
            m_seedPeers.push_back(index);
    }
    m_texts = { { "global", "global 0" }, { "judging", "judging 0" }, { "prizes", "prizes 0" } };
}

void Fleet::schedule(Duration delay, std::function<void()> event) { m_queue.emplace(now + delay, std::move(event)); }

void Fleet::run(Duration duration)
{
    const TimePoint end = now + duration;
    while (true) {
        const bool isTick = m_queue.empty() || m_nextTick <= m_queue.begin()->first;
        const TimePoint next = isTick ? m_nextTick : m_queue.begin()->first;
        if (next > end)
            break;
        now = next;
        if (isTick) {
            m_nextTick += milliseconds(100);
            tickAll();
            continue;
        }
        const auto event = std::move(m_queue.begin()->second);
        m_queue.erase(m_queue.begin());
        event();
    }
    now = end;
}

std::optional<Duration> Fleet::runUntil(const std::function<bool()>& condition, Duration limit)
{
    const TimePoint begin = now;
    while (!condition()) {
        if (now - begin >= limit)
            return std::nullopt;
        run(milliseconds(20));
    }
    return now - begin;
}

void Fleet::tickAll()
{
    for (size_t index = 0; index < nodes.size(); ++index)
        if (isRunning(index) && !nodes[index].isPaused)
            execute(index, nodes[index].distributor->tick(now));
    completeWatches();
}

void Fleet::deliver(size_t index, uint64_t generation, std::function<Actions(Distributor&)> call)
{
    Node& node = nodes[index];
    if (!isRunning(index) || node.generation != generation)
        return;
    if (node.isPaused)
        node.bufferedEvents.push_back([=, this] { deliver(index, generation, call); });
    else
        execute(index, call(*node.distributor));
}

void Fleet::execute(size_t index, const Actions& actions)
{
    for (const Action& action : actions) {
        if (const auto* send = std::get_if<Send>(&action))
            executeSend(index, *send);
        else if (const auto* watch = std::get_if<Watch>(&action))
            executeWatch(index, *watch);
        else if (const auto* read = std::get_if<ReadKey>(&action))
            executeRead(index, *read);
        else if (const auto* publish = std::get_if<PublishConfiguration>(&action))
            executePublish(index, *publish->configuration);
        else if (const auto* event = std::get_if<ReportEvent>(&action))
            nodes[index].events.push_back(event->event);
        else
            ++nodes[index].publishedViews;
    }
}

void Fleet::executeSend(size_t index, const Send& send)
{
    const auto target
        = std::find_if(nodes.begin(), nodes.end(), [&](const Node& node) { return node.record.peer == send.endpoint; });
    ASSERT_NE(target, nodes.end());
    const auto to = static_cast<size_t>(target - nodes.begin());
    ++sentByType[send.message.index()];
    if (filter && !filter(index, to, send.message))
        return;
    const uint64_t generation = nodes[index].generation;
    if (!isRunning(to) || target->group != nodes[index].group) {
        // Half of the losses are detected immediately, like a refused connection; the others are silent.
        if (random.below(2) == 0)
            schedule(milliseconds(1), [=, this] {
                deliver(index, generation, [=, this](Distributor& distributor) {
                    return distributor.sendFailed(send.to, send.endpoint, now);
                });
            });
        return;
    }
    const InstanceRecord& self = nodes[index].record;
    const PeerIdentity from { self.id, self.incarnation, self.peer, self.zone, self.region };
    for (int copies = random.unit() < duplicateProbability ? 2 : 1; copies > 0; --copies)
        if (random.unit() >= lossProbability)
            schedule(random.upTo(maxDelay), [=, this, targetGeneration = target->generation] {
                deliver(to, targetGeneration,
                    [=, this](Distributor& distributor) { return distributor.handle(send.message, from, now); });
            });
}

bool Fleet::isSourceReachable(size_t index) const
{
    return nodes[index].group == 0 && m_sourceFault != SourceFault::Refusing && m_sourceFault != SourceFault::Silent;
}

WatchResponse Fleet::changesAfter(Revision after) const
{
    WatchResponse response { .revision = visibleSource().revision };
    for (const auto& [key, value] : visibleSource().values)
        if (value.revision > after)
            response.changed.push_back({ .key = key, .revision = value.revision });
    return response;
}

void Fleet::executeWatch(size_t index, const Watch& watch)
{
    ++watches;
    m_pendingWatches.push_back({ index, nodes[index].generation, watch, now + watch.wait });
}

void Fleet::completeWatches()
{
    std::vector<PendingWatch> stillPending;
    for (const PendingWatch& pending : std::exchange(m_pendingWatches, {})) {
        const auto [index, generation, watch, deadline] = pending;
        const WatchResponse response = changesAfter(watch.after);
        const bool isReachable = isSourceReachable(index);
        const bool isFailed
            = !isReachable && (m_sourceFault == SourceFault::Refusing || now >= deadline + milliseconds(2000));
        if (isFailed)
            deliver(index, generation,
                [=, this](Distributor& distributor) { return distributor.watchFailed(watch.number, "timeout", now); });
        else if (isReachable && (!response.changed.empty() || now >= deadline))
            deliver(index, generation, [=, this](Distributor& distributor) {
                return distributor.watchSucceeded(watch.number, response, now);
            });
        else
            stillPending.push_back(pending);
    }
    m_pendingWatches.insert(m_pendingWatches.end(), stillPending.begin(), stillPending.end());
}

void Fleet::executeRead(size_t index, const ReadKey& read)
{
    ++reads;
    const uint64_t generation = nodes[index].generation;
    if (!isSourceReachable(index)) {
        schedule(milliseconds(m_sourceFault == SourceFault::Refusing ? 2 : 2000), [=, this] {
            deliver(index, generation,
                [=, this](Distributor& distributor) { return distributor.readFailed(read.number, "timeout", now); });
        });
        return;
    }
    schedule(milliseconds(1 + random.below(4)), [=, this] {
        const auto found = visibleSource().values.find(read.key);
        const ReadResponse response
            = found == visibleSource().values.end() ? ReadResponse { .isFound = false } : found->second;
        deliver(index, generation,
            [=, this](Distributor& distributor) { return distributor.readSucceeded(read.number, response, now); });
    });
}

void Fleet::executePublish(size_t index, const Configuration& configuration)
{
    Node& node = nodes[index];
    const Manifest& manifest = configuration.manifest();
    const VersionOrder order { manifest.version, manifest.revision };
    ASSERT_GT(order, node.appliedOrder) << "the applied version went back on " << node.record.id.value();
    node.appliedOrder = order;
    const auto published = m_publishedTexts.find(manifest.version.value());
    ASSERT_NE(published, m_publishedTexts.end());
    std::map<std::string, std::string> texts;
    for (const Route& route : configuration.routes())
        texts[route.section.value()] = route.name;
    ASSERT_EQ(texts, published->second) << "the texts differ from those published as version "
                                        << manifest.version.value();
}

void Fleet::publishVersion(bool isInvalid)
{
    ++version;
    std::map<std::string, std::string> texts = m_texts;
    for (auto& [name, text] : texts)
        if (name == "judging" || random.below(3) == 0)
            text = name + " " + std::to_string(version) + std::string(random.below(3000), 'x');
    if (random.below(6) == 0)
        texts["extra-" + std::to_string(random.below(4))] = "extra " + std::to_string(version);
    if (random.below(6) == 0 && texts.size() > 4)
        texts.erase(texts.begin());
    if (isInvalid) {
        texts["judging"] = "bad " + std::to_string(version);
    } else {
        m_texts = texts;
        newestValidVersion = version;
        m_publishedTexts[version] = texts;
    }
    for (const auto& [name, text] : texts) {
        const std::string key = sectionKey(SectionName(name), digestOf(text));
        if (!source.values.contains(key))
            source.put(key, text);
    }
    source.put(manifestKey, manifestText(manifestOf(version, 0, texts)));
}

void Fleet::start(size_t index)
{
    Node& node = nodes[index];
    if (node.generation > 0)
        node.record.incarnation = Incarnation(node.record.incarnation.value() + 1);
    ++node.generation;
    node.appliedOrder = {};
    node.isPaused = false;
    node.bufferedEvents.clear();
    DistributorOptions options = optionsForTest(node.record);
    for (const size_t peer : m_seedPeers)
        options.seedPeers.push_back(nodes[peer].record.peer);
    options.seed = random.below(1U << 30);
    node.distributor = std::make_unique<Distributor>(std::move(options), now);
    execute(index, node.distributor->start(now));
}

void Fleet::kill(size_t index) { nodes[index].distributor.reset(); }

void Fleet::resume(size_t index)
{
    nodes[index].isPaused = false;
    for (const auto& event : std::exchange(nodes[index].bufferedEvents, {}))
        event();
}

void Fleet::publishLists()
{
    std::map<ZoneName, ZoneInstanceList> lists;
    for (size_t index = 0; index < nodes.size(); ++index) {
        ZoneInstanceList& list = lists[nodes[index].record.zone];
        if (isRunning(index))
            list.instances.push_back(nodes[index].record);
    }
    for (const auto& [zone, list] : lists)
        source.put(instancesKey(zone), instanceListToJson(list));
}

void Fleet::setSourceFault(SourceFault fault)
{
    if (fault == SourceFault::Stale)
        m_staleSource = source;
    m_sourceFault = fault;
}

bool Fleet::holdsNewest(size_t index) const
{
    return isRunning(index)
        && nodes[index].distributor->versions().currentOrder().version.value() == newestValidVersion;
}

bool Fleet::anyNodeHoldsNewest() const
{
    for (size_t index = 0; index < nodes.size(); ++index)
        if (holdsNewest(index))
            return true;
    return false;
}

bool Fleet::isConverged() const
{
    for (size_t index = 0; index < nodes.size(); ++index)
        if (isRunning(index) && !holdsNewest(index))
            return false;
    return true;
}

bool Fleet::haveEqualLists() const
{
    std::set<std::string> digests;
    for (size_t index = 0; index < nodes.size(); ++index)
        if (isRunning(index))
            digests.insert(nodes[index].distributor->membership().listsDigest().hex());
    return digests.size() <= 1;
}

std::string Fleet::describe() const
{
    std::string text = "source revision " + std::to_string(source.revision.value()) + "\n";
    for (const Node& node : nodes) {
        text += node.record.id.value();
        if (!node.distributor) {
            text += " is not running\n";
            continue;
        }
        const Distributor& distributor = *node.distributor;
        const auto mark = distributor.readers().mark(now);
        text += " version " + std::to_string(distributor.versions().currentOrder().version.value()) + " missing "
            + std::to_string(distributor.versions().missingSections().size()) + " pending "
            + std::to_string(distributor.versions().pending().has_value()) + " rank "
            + std::to_string(distributor.readers().rank()) + " list "
            + std::to_string(distributor.membership().listRevision(node.record.zone).value()) + " next attempt in "
            + std::to_string((distributor.readers().nextAttempt() - now) / std::chrono::milliseconds(1)) + " ms mark "
            + (mark ? std::to_string(mark->sourceRevision.value()) : "none") + " events";
        for (size_t index = node.events.size() - std::min<size_t>(node.events.size(), 6); index < node.events.size();
             ++index)
            text += " " + node.events[index];
        text += "\n";
    }
    return text;
}

size_t Fleet::count(const std::string& event) const
{
    size_t total = 0;
    for (const Node& node : nodes)
        total += static_cast<size_t>(std::count(node.events.begin(), node.events.end(), event));
    return total;
}

} // namespace skylark
