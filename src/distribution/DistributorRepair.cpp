#include "base/Compression.h"
#include "distribution/Distributor.h"

#include <algorithm>

namespace skylark {

namespace {

    // Limit for the compressed texts in one message; a frame is at most 1 MiB.
    constexpr size_t maxCompressedBytes = 512 << 10;
    // A larger compressed text does not fit into a frame; nodes get it only in snapshots and from the source.
    constexpr size_t maxCompressedTextBytes = 1000 << 10;
    constexpr size_t maxSectionsPerRequest = 1024;
    // Time to wait for a response before another peer is queried.
    constexpr Duration versionRequestTimeout = std::chrono::milliseconds(400);
    constexpr Duration listsRequestTimeout = std::chrono::milliseconds(400);
    constexpr Duration sectionsRequestTimeout = std::chrono::milliseconds(500);
    // As FetchRequest::heldVersion: no version is newer, so the request is for lists or sections only.
    const VersionNumber noVersionWanted(std::numeric_limits<uint64_t>::max());

} // namespace

void Distributor::handleOfferOutcome(OfferOutcome outcome, std::optional<uint32_t> depth, TimePoint now)
{
    if (outcome == OfferOutcome::Rejected) {
        const RejectedVersion& rejected = m_store.rejected().back();
        reportRateLimited("version-rejected",
            { { "version", std::to_string(rejected.version.value()) }, { "digest", rejected.digest.hex() },
                { "reason", rejected.reason },
                { "advice", "the last valid version stays active; publish a corrected version" } },
            now);
    }
    if (outcome != OfferOutcome::Applied)
        return;
    const std::shared_ptr<const Configuration> current = m_store.current();
    m_actions.emplace_back(PublishConfiguration { .configuration = current });
    report(LogLevel::Info, "version-applied",
        { { "version", std::to_string(current->manifest().version.value()) },
            { "revision", std::to_string(current->manifest().revision.value()) },
            { "digest", m_store.currentDigest().hex() } });
    m_snapshotReceiver.abandon();
    const auto [baseVersion, baseDigest] = m_store.previous();
    m_pushMessage = pushMessage(baseVersion, baseDigest);
    const bool isFromSource = m_originDigest == m_store.currentDigest();
    if (!depth && !isFromSource)
        return;
    const PushOrigin peerOrigin = depth.value_or(0) == 0 ? PushOrigin::Repair : PushOrigin::Parent;
    push(m_pushes.begin(m_table.view(), current->manifest().version.value(), m_store.currentDigest(), depth.value_or(0),
        isFromSource ? PushOrigin::Source : peerOrigin, now));
}

void Distributor::push(const std::vector<PushTarget>& targets)
{
    for (const PushTarget& target : targets) {
        PushVersion message = *m_pushMessage;
        message.depth = target.depth;
        send(target.id, target.endpoint, std::move(message));
    }
}

PushVersion Distributor::pushMessage(VersionNumber baseVersion, const Digest& baseDigest) const
{
    PushVersion message { .manifest = m_store.deltaFrom(baseVersion, baseDigest) };
    // A whole manifest is sent without texts: the receiver may hold most of them and requests the others.
    if (message.manifest.baseVersion != VersionNumber())
        message.sections = compressSections(message.manifest.changed);
    return message;
}

std::vector<CompressedSection> Distributor::compressSections(const std::vector<SectionDigest>& sections) const
{
    std::vector<CompressedSection> compressed;
    size_t bytes = 0;
    for (const SectionDigest& section : sections) {
        const std::shared_ptr<const std::string> text = m_store.text(section.digest);
        if (!text)
            continue;
        std::string data = compress(*text);
        const bool fitsAlone = compressed.empty() && data.size() <= maxCompressedTextBytes;
        if (!fitsAlone && bytes + data.size() > maxCompressedBytes)
            break;
        bytes += data.size();
        compressed.push_back({ .name = section.name, .digest = section.digest, .data = std::move(data) });
    }
    return compressed;
}

ListUpdate Distributor::listUpdate(const ZoneName& zone, Revision from) const
{
    if (std::optional<ZoneListDelta> delta = m_table.deltaSince(zone, from))
        return { .delta = std::move(*delta) };
    std::optional<ZoneInstanceList> list = m_table.wholeList(zone);
    if (!list)
        return { .delta = { .zone = zone }, .isFullList = true };
    return { .delta = { .zone = zone, .toRevision = list->revision, .upserts = std::move(list->instances) },
        .isFullList = true };
}

void Distributor::pushList(const ListUpdate& update, bool isOrigin)
{
    const uint32_t depth = isOrigin ? 1 : update.depth + 1;
    if (depth > m_options.push.maxDepth)
        return;
    const auto targets = pushTargets(
        *m_table.view(), m_options.self.id, m_options.self.zone, update.delta.toRevision.value(), isOrigin);
    ListUpdate message = update;
    message.depth = depth;
    for (const InstanceState* target : targets)
        send(target->record.id, target->record.peer, message);
}

std::vector<std::pair<ZoneName, Revision>> Distributor::heldListRevisions() const
{
    auto revisions = m_table.listRevisions();
    // An empty vector would mean that no lists are requested.
    if (revisions.empty())
        revisions.emplace_back(m_options.self.zone, Revision());
    return revisions;
}

void Distributor::requestVersion(const Peer& from, bool wantsLists, TimePoint now)
{
    const auto [baseVersion, baseDigest] = m_store.base();
    if (baseVersion == VersionNumber()) {
        if (!m_snapshotReceiver.isActive())
            requestSnapshot(from, wantsLists, now);
        return;
    }
    // Only one request for a version is outstanding, but a newer version does not wait for the response to an older
    // one.
    if (now - m_versionRequestTime < versionRequestTimeout && from.version <= m_requestedVersion)
        return;
    m_versionRequestTime = now;
    m_requestedVersion = from.version;
    FetchRequest request { .heldVersion = baseVersion, .heldDigest = baseDigest };
    if (wantsLists)
        request.listRevisions = heldListRevisions();
    send(from.id, from.endpoint, std::move(request));
}

void Distributor::requestSnapshot(const Peer& from, bool wantsLists, TimePoint now)
{
    m_snapshotReceiver.beginWith(from.id, from.endpoint, now);
    const auto [digest, offset] = m_snapshotReceiver.position();
    FetchRequest request { .snapshotDigest = digest, .snapshotOffset = offset };
    if (wantsLists)
        request.listRevisions = heldListRevisions();
    send(from.id, from.endpoint, std::move(request));
}

void Distributor::requestLists(const InstanceId& to, const Endpoint& endpoint, TimePoint now)
{
    if (now - m_listsRequestTime < listsRequestTimeout)
        return;
    m_listsRequestTime = now;
    send(to, endpoint, FetchRequest { .heldVersion = noVersionWanted, .listRevisions = heldListRevisions() });
}

void Distributor::requestSections(const InstanceId& to, const Endpoint& endpoint, TimePoint now)
{
    std::vector<SectionDigest> missing = m_store.missingSections();
    if (missing.empty())
        return;
    missing.resize(std::min(missing.size(), maxSectionsPerRequest));
    m_sectionsRequestTime = now;
    send(to, endpoint, FetchRequest { .heldVersion = noVersionWanted, .sections = std::move(missing) });
}

void Distributor::repairPending(TimePoint now)
{
    if (now - m_sectionsRequestTime < sectionsRequestTimeout || m_store.missingSections().empty())
        return;
    const std::optional<Manifest> pending = m_store.pending();
    if (const auto peer = randomHolder({ .version = pending->version, .revision = pending->revision }))
        requestSections(peer->id, peer->endpoint, now);
}

std::optional<Distributor::Peer> Distributor::randomHolder(VersionOrder minVersion)
{
    std::vector<Peer> holders;
    std::copy_if(m_recentPeers.begin(), m_recentPeers.end(), std::back_inserter(holders),
        [&](const Peer& peer) { return peer.version >= minVersion; });
    return holders.empty() ? randomPeer() : holders[m_random.below(holders.size())];
}

void Distributor::continueSnapshots(TimePoint now)
{
    for (auto& [peer, part] : m_snapshotServer.dueParts(now))
        send(peer.first, peer.second, std::move(part));
    const bool isRetryDue = m_snapshotRetryTime != TimePoint() && now >= m_snapshotRetryTime;
    if (!m_snapshotReceiver.isActive() || !(isRetryDue || m_snapshotReceiver.isStalled(now)))
        return;
    m_snapshotRetryTime = {};
    if (const std::optional<Peer> peer = randomHolder({ .version = VersionNumber(1) }))
        requestSnapshot(*peer, false, now);
}

} // namespace skylark
