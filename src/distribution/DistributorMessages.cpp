#include "base/Compression.h"
#include "base/Error.h"
#include "base/Invariant.h"
#include "distribution/Distributor.h"

#include <algorithm>

namespace skylark {

namespace {

    constexpr size_t maxRecentPeers = 8;
    constexpr size_t maxRejectedByPeers = 64;
    constexpr size_t peersToQuery = 3;
    constexpr Duration never = std::chrono::hours(24);

} // namespace

void Distributor::recordMark(const FreshnessMark& mark, TimePoint now)
{
    m_selector.recordMark(mark, now);
    const bool isKnown = m_zoneMarks.contains(mark.zone);
    if (mark.zone == m_options.self.zone || (!isKnown && m_zoneMarks.size() >= m_options.membership.maxZones))
        return;
    ZoneMark& zoneMark = m_zoneMarks[mark.zone];
    const TimePoint attempt = now - std::clamp(mark.sinceAttempt, Duration(), never);
    if (attempt >= zoneMark.lastAttempt) {
        zoneMark.reader = mark.reader;
        zoneMark.lastAttempt = attempt;
    }
    zoneMark.revision = std::max(zoneMark.revision, mark.sourceRevision);
    if (mark.sinceSuccess >= never)
        return;
    const TimePoint success = now - std::max(mark.sinceSuccess, Duration());
    zoneMark.lastSuccess = std::max(zoneMark.lastSuccess.value_or(success), success);
}

void Distributor::recordRejectedByPeer(const RejectedVersion& rejected, const InstanceId& peer)
{
    const bool isKnown = std::any_of(m_rejectedByPeers.begin(), m_rejectedByPeers.end(),
        [&](const RejectedVersion& knownVersion) { return knownVersion.digest == rejected.digest; });
    if (isKnown)
        return;
    m_rejectedByPeers.push_back(rejected);
    if (m_rejectedByPeers.size() > maxRejectedByPeers)
        m_rejectedByPeers.pop_front();
    reportRateLimited("version-rejected-by-peer",
        { { "version", std::to_string(rejected.version.value()) }, { "peer", peer.value() },
            { "reason", rejected.reason } },
        m_lastCallTime);
}

void Distributor::on(const Summary& summary, const PeerIdentity& from, TimePoint now)
{
    const VersionOrder peerOrder { .version = summary.version, .revision = summary.manifestRevision };
    const VersionOrder ownOrder = m_store.currentOrder();
    const Peer peer { .id = from.id, .endpoint = from.endpoint, .version = peerOrder };
    std::erase_if(m_recentPeers, [&](const Peer& recentPeer) { return recentPeer.endpoint == from.endpoint; });
    m_recentPeers.push_back(peer);
    if (m_recentPeers.size() > maxRecentPeers)
        m_recentPeers.pop_front();
    if (m_resync && m_resync->responders.size() < peersToQuery)
        m_resync->responders.insert(from.id);
    for (const FreshnessMark& mark : summary.marks)
        recordMark(mark, now);
    for (const RejectedVersion& rejected : summary.rejected)
        recordRejectedByPeer(rejected, from.id);

    const bool isRejected = m_store.isRejected(summary.manifestDigest);
    if (peerOrder.version != VersionNumber() && !isRejected)
        m_store.recordSeen(peerOrder, now);
    if (!summary.isReply)
        sendSummary(from.id, from.endpoint, true, now);
    const bool isListDifferent = summary.listsDigest != m_table.listsDigest();
    if (peerOrder > ownOrder && !isRejected)
        requestVersion(peer, isListDifferent, now);
    else if (isListDifferent)
        requestLists(from.id, from.endpoint, now);
}

std::vector<SectionText> Distributor::decompressSections(
    const std::vector<CompressedSection>& sections, const PeerIdentity& from, TimePoint now)
{
    std::vector<SectionText> texts;
    for (const CompressedSection& section : sections) {
        std::optional<std::string> text = decompress(section.data, m_options.versions.maxSectionBytes);
        if (text && digestOf(*text) == section.digest)
            texts.push_back({ .name = section.name, .text = std::move(*text) });
        else
            reportRateLimited(
                "section-damaged", { { "section", section.name.value() }, { "peer", from.id.value() } }, now);
    }
    return texts;
}

void Distributor::on(const PushVersion& push, const PeerIdentity& from, TimePoint now)
{
    const VersionOrder peerOrder { .version = push.manifest.version, .revision = push.manifest.revision };
    const OfferOutcome outcome = peerOrder > m_store.currentOrder()
        ? m_store.offerDelta(push.manifest, decompressSections(push.sections, from, now), now)
        : OfferOutcome::Outdated;
    const bool isApplied = m_store.currentOrder() >= peerOrder;
    send(from.id, from.endpoint,
        PushAck { .version = push.manifest.version, .digest = push.manifest.digest, .isApplied = isApplied });
    if (outcome == OfferOutcome::Pending)
        m_pendingDepth = push.depth;
    handleOfferOutcome(outcome, push.depth, now);
    if (outcome == OfferOutcome::Pending && !m_store.missingSections().empty())
        requestSections(from.id, from.endpoint, now);
    else if (outcome == OfferOutcome::UnknownBase)
        requestVersion({ .id = from.id, .endpoint = from.endpoint, .version = peerOrder }, false, now);
    else if (outcome == OfferOutcome::Outdated && m_store.currentOrder() > peerOrder)
        sendSummary(from.id, from.endpoint, true, now);
    else if (outcome == OfferOutcome::Invalid)
        reportRateLimited("push-invalid", { { "peer", from.id.value() } }, now);
}

void Distributor::on(const PushAck& acknowledgement, const PeerIdentity& from, TimePoint)
{
    m_pushes.recordAcknowledgement(from.id, acknowledgement.digest);
}

void Distributor::sendNewerLists(const FetchRequest& request, const PeerIdentity& from, TimePoint now)
{
    absl::btree_map<ZoneName, Revision> peerRevisions(request.listRevisions.begin(), request.listRevisions.end());
    bool isBehind = false;
    for (const auto& [zone, revision] : m_table.listRevisions()) {
        const Revision peerRevision = peerRevisions[zone];
        if (peerRevision < revision)
            send(from.id, from.endpoint, listUpdate(zone, peerRevision));
    }
    for (const auto& [zone, revision] : peerRevisions)
        isBehind = isBehind || m_table.listRevision(zone) < revision;
    if (isBehind)
        requestLists(from.id, from.endpoint, now);
}

void Distributor::on(const FetchRequest& request, const PeerIdentity& from, TimePoint now)
{
    if (!request.listRevisions.empty())
        sendNewerLists(request, from, now);
    if (!request.sections.empty()) {
        SectionBatch batch { .sections = compressSections(request.sections) };
        if (!batch.sections.empty())
            send(from.id, from.endpoint, std::move(batch));
        return;
    }
    if (request.heldVersion > m_store.currentOrder().version)
        return;
    if (request.heldVersion != VersionNumber()) {
        send(from.id, from.endpoint, pushMessage(request.heldVersion, request.heldDigest));
        return;
    }
    // A node without a version sends an empty part, which tells the peer to request the snapshot from another node.
    std::optional<SnapshotPart> part { std::in_place };
    if (m_store.current())
        part = m_snapshotServer.request(
            from.id, from.endpoint, { request.snapshotDigest, request.snapshotOffset }, m_store, now);
    if (part)
        send(from.id, from.endpoint, std::move(*part));
}

void Distributor::on(const SnapshotPart& part, const PeerIdentity& from, TimePoint now)
{
    switch (m_snapshotReceiver.accept(part, from.id, now)) {
    case SnapshotReceiver::Progress::Ignored:
        return;
    case SnapshotReceiver::Progress::More:
        requestSnapshot({ .id = from.id, .endpoint = from.endpoint }, false, now);
        return;
    case SnapshotReceiver::Progress::Busy:
        m_snapshotRetryTime = now + m_random.upTo(std::chrono::milliseconds(400));
        return;
    case SnapshotReceiver::Progress::Complete:
        break;
    }
    try {
        DecodedSnapshot snapshot = decodeSnapshot(m_snapshotReceiver.take());
        if (snapshot.manifest.digest() != part.manifestDigest)
            throw Error({ .step = "decode-snapshot",
                .message = "the digest of the decoded manifest differs from the digest in the snapshot part" });
        handleOfferOutcome(m_store.offer(snapshot.manifest, std::move(snapshot.texts), now), std::nullopt, now);
        const auto base = m_store.base();
        // If the version was deferred, it is the base of a delta to the newer one.
        if (m_store.currentOrder() < m_store.highestSeen() && base.first != VersionNumber())
            requestVersion({ .id = from.id, .endpoint = from.endpoint, .version = m_store.highestSeen() }, false, now);
    } catch (const InvariantViolation&) {
        throw;
    } catch (const Error& error) {
        reportRateLimited("snapshot-unusable", { { "peer", from.id.value() }, { "error", error.what() } }, now);
    }
}

void Distributor::on(const SectionBatch& batch, const PeerIdentity& from, TimePoint now)
{
    const size_t missingBefore = m_store.missingSections().size();
    if (missingBefore == 0)
        return;
    handleOfferOutcome(m_store.offerTexts(decompressSections(batch.sections, from, now), now), m_pendingDepth, now);
    const size_t missingNow = m_store.missingSections().size();
    if (missingNow > 0 && missingNow < missingBefore)
        requestSections(from.id, from.endpoint, now);
}

void Distributor::on(const ListUpdate& update, const PeerIdentity& from, TimePoint now)
{
    const ZoneListDelta& delta = update.delta;
    const ListOutcome outcome = update.isFullList
        ? m_table.applyList({ .zone = delta.zone, .revision = delta.toRevision, .instances = delta.upserts }, now)
        : m_table.applyDelta(delta, now);
    if (outcome == ListOutcome::Applied)
        pushList(update, false);
    else if (outcome == ListOutcome::BaseMismatch)
        requestLists(from.id, from.endpoint, now);
    else if (outcome == ListOutcome::Refused)
        reportRateLimited("list-refused", { { "zone", delta.zone.value() }, { "peer", from.id.value() } }, now);
}

void Distributor::on(const ConditionReportBatch& batch, const PeerIdentity&, TimePoint now)
{
    constexpr size_t maxReports = 64;
    const size_t count = std::min(batch.reports.size(), maxReports);
    for (size_t index = 0; index < count; ++index)
        if (batch.reports[index].subject != m_options.self.id)
            m_table.applyConditionReport(batch.reports[index], now);
}

void Distributor::on(const Leaving& leaving, const PeerIdentity& from, TimePoint now)
{
    // Only the instance itself may announce that it is leaving; what a peer states about others is a condition report.
    if (leaving.instance == from.id)
        m_table.observeLeaving(leaving.instance, leaving.incarnation, now);
}

} // namespace skylark
