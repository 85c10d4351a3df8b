// The fields of each message in their order on the wire; the codec derives both directions from these lists.
#pragma once

#include "wire/Messages.h"

#include <concepts>
#include <tuple>
#include <type_traits>

namespace skylark {

template <typename T, typename Struct>
concept Like = std::same_as<std::remove_const_t<T>, Struct>;

auto fieldsOf(Like<Endpoint> auto& m) { return std::tie(m.host, m.port); }
auto fieldsOf(Like<Hello> auto& m)
{
    return std::tie(
        m.protocolMinimum, m.protocolMaximum, m.instance, m.incarnation, m.zone, m.region, m.listenAddress, m.purpose);
}
auto fieldsOf(Like<Ping> auto& m) { return std::tie(m.nonce); }
auto fieldsOf(Like<Pong> auto& m) { return std::tie(m.nonce); }
auto fieldsOf(Like<FreshnessMark> auto& m)
{
    return std::tie(m.zone, m.reader, m.sourceRevision, m.sinceAttempt, m.sinceSuccess);
}
auto fieldsOf(Like<RejectedVersion> auto& m) { return std::tie(m.version, m.digest, m.reason); }
auto fieldsOf(Like<Summary> auto& m)
{
    return std::tie(m.version, m.manifestRevision, m.manifestDigest, m.listsDigest, m.marks, m.rejected, m.isReply);
}
auto fieldsOf(Like<SectionDigest> auto& m) { return std::tie(m.name, m.digest); }
auto fieldsOf(Like<CompressedSection> auto& m) { return std::tie(m.name, m.digest, m.data); }
auto fieldsOf(Like<ManifestDelta> auto& m)
{
    return std::tie(m.baseVersion, m.baseDigest, m.version, m.revision, m.digest, m.changed, m.removed);
}
auto fieldsOf(Like<PushVersion> auto& m) { return std::tie(m.manifest, m.sections, m.depth); }
auto fieldsOf(Like<PushAck> auto& m) { return std::tie(m.version, m.digest, m.isApplied); }
auto fieldsOf(Like<FetchRequest> auto& m)
{
    return std::tie(m.holdsVersion, m.holdsDigest, m.sections, m.listRevisions, m.snapshotDigest, m.snapshotOffset);
}
auto fieldsOf(Like<SnapshotPart> auto& m) { return std::tie(m.manifestDigest, m.offset, m.totalBytes, m.data); }
auto fieldsOf(Like<SectionBatch> auto& m) { return std::tie(m.sections); }
auto fieldsOf(Like<InstanceRecord> auto& m)
{
    return std::tie(m.id, m.incarnation, m.peer, m.service, m.zone, m.region, m.isLeaving);
}
auto fieldsOf(Like<ZoneListDelta> auto& m)
{
    return std::tie(m.zone, m.fromRevision, m.toRevision, m.upserts, m.removals);
}
auto fieldsOf(Like<ListUpdate> auto& m) { return std::tie(m.delta, m.isWhole, m.depth); }
auto fieldsOf(Like<ConditionReport> auto& m) { return std::tie(m.subject, m.incarnation, m.condition, m.age); }
auto fieldsOf(Like<ConditionReportBatch> auto& m) { return std::tie(m.statements); }
auto fieldsOf(Like<Leaving> auto& m) { return std::tie(m.instance, m.incarnation); }
auto fieldsOf(Like<CallStart> auto& m)
{
    return std::tie(m.stream, m.requestId, m.gateIncarnation, m.service, m.method, m.target, m.headers, m.rank,
        m.remainingDeadline, m.worth, m.isIdempotent, m.isResend, m.depth, m.attempt, m.hasBody, m.idempotencyKey,
        m.remainingTarget);
}
auto fieldsOf(Like<BodyChunk> auto& m) { return std::tie(m.stream, m.offset, m.data, m.isLast); }
auto fieldsOf(Like<WindowUpdate> auto& m) { return std::tie(m.stream, m.bytes); }
auto fieldsOf(Like<LoadHint> auto& m) { return std::tie(m.inFlight, m.queued, m.limit, m.isLeaving, m.meanService); }
auto fieldsOf(Like<AnswerStart> auto& m)
{
    return std::tie(m.stream, m.status, m.headers, m.hasBody, m.load, m.endsWithClose);
}
auto fieldsOf(Like<Refusal> auto& m) { return std::tie(m.stream, m.outcome, m.step, m.reason, m.load); }
auto fieldsOf(Like<Cancel> auto& m) { return std::tie(m.stream); }
auto fieldsOf(Like<SourceUpdateRequest> auto& m) { return std::tie(m.version, m.revision); }
auto fieldsOf(Like<ListedServer> auto& m)
{
    return std::tie(
        m.id, m.revision, m.isDeleted, m.incarnation, m.service, m.zone, m.address, m.slots, m.isDraining, m.coldFor);
}
auto fieldsOf(Like<SourceUpdate> auto& m) { return std::tie(m.version, m.configuration, m.revision, m.servers, m.age); }

template <typename T>
concept HasFields = requires(T& value)
{
    fieldsOf(value);
};

// Number of the values of an enumeration, which start at zero.
template <typename T> constexpr unsigned enumeratorCount = 0;
template <> inline constexpr unsigned enumeratorCount<ConnectionPurpose> = 2;
template <> inline constexpr unsigned enumeratorCount<Condition> = 4;
template <> inline constexpr unsigned enumeratorCount<CallOutcome> = 3;

// Most elements of a list of this type. Lists of the design's largest fleet stay well below them.
template <typename T> constexpr size_t maximumCount = 0;
template <> inline constexpr size_t maximumCount<FreshnessMark> = 64;
template <> inline constexpr size_t maximumCount<RejectedVersion> = 64;
template <> inline constexpr size_t maximumCount<SectionDigest> = 4096;
template <> inline constexpr size_t maximumCount<CompressedSection> = 4096;
template <> inline constexpr size_t maximumCount<SectionName> = 4096;
template <> inline constexpr size_t maximumCount<std::pair<ZoneName, Revision>> = 1024;
template <> inline constexpr size_t maximumCount<InstanceRecord> = 32768;
template <> inline constexpr size_t maximumCount<InstanceId> = 32768;
template <> inline constexpr size_t maximumCount<ConditionReport> = 64;
template <> inline constexpr size_t maximumCount<ListedServer> = 32768;
template <> inline constexpr size_t maximumCount<std::pair<std::string, std::string>> = 256;

} // namespace skylark
