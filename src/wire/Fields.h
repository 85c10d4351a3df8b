// Lists the fields of each message in wire order. The codec derives encoding and decoding from these lists.
#pragma once

#include "wire/Messages.h"

#include <concepts>
#include <tuple>
#include <type_traits>

namespace skylark {

// Struct or const Struct.
template <typename T, typename Struct>
concept MaybeConst = std::same_as<std::remove_const_t<T>, Struct>;

auto fieldsOf(MaybeConst<Endpoint> auto& m) { return std::tie(m.host, m.port); }
auto fieldsOf(MaybeConst<Hello> auto& m)
{
    return std::tie(
        m.minProtocol, m.maxProtocol, m.instance, m.incarnation, m.zone, m.region, m.listenAddress, m.purpose);
}
auto fieldsOf(MaybeConst<Ping> auto& m) { return std::tie(m.nonce); }
auto fieldsOf(MaybeConst<Pong> auto& m) { return std::tie(m.nonce); }
auto fieldsOf(MaybeConst<FreshnessMark> auto& m)
{
    return std::tie(m.zone, m.reader, m.sourceRevision, m.sinceAttempt, m.sinceSuccess);
}
auto fieldsOf(MaybeConst<RejectedVersion> auto& m) { return std::tie(m.version, m.digest, m.reason); }
auto fieldsOf(MaybeConst<Summary> auto& m)
{
    return std::tie(m.version, m.manifestRevision, m.manifestDigest, m.listsDigest, m.marks, m.rejected, m.isReply);
}
auto fieldsOf(MaybeConst<SectionDigest> auto& m) { return std::tie(m.name, m.digest); }
auto fieldsOf(MaybeConst<CompressedSection> auto& m) { return std::tie(m.name, m.digest, m.data); }
auto fieldsOf(MaybeConst<ManifestDelta> auto& m)
{
    return std::tie(m.baseVersion, m.baseDigest, m.version, m.revision, m.digest, m.changed, m.removed);
}
auto fieldsOf(MaybeConst<PushVersion> auto& m) { return std::tie(m.manifest, m.sections, m.depth); }
auto fieldsOf(MaybeConst<PushAck> auto& m) { return std::tie(m.version, m.digest, m.isApplied); }
auto fieldsOf(MaybeConst<FetchRequest> auto& m)
{
    return std::tie(m.heldVersion, m.heldDigest, m.sections, m.listRevisions, m.snapshotDigest, m.snapshotOffset);
}
auto fieldsOf(MaybeConst<SnapshotPart> auto& m) { return std::tie(m.manifestDigest, m.offset, m.totalBytes, m.data); }
auto fieldsOf(MaybeConst<SectionBatch> auto& m) { return std::tie(m.sections); }
auto fieldsOf(MaybeConst<InstanceRecord> auto& m)
{
    return std::tie(m.id, m.incarnation, m.peer, m.service, m.zone, m.region, m.isLeaving);
}
auto fieldsOf(MaybeConst<ZoneListDelta> auto& m)
{
    return std::tie(m.zone, m.fromRevision, m.toRevision, m.upserts, m.removals);
}
auto fieldsOf(MaybeConst<ListUpdate> auto& m) { return std::tie(m.delta, m.isFullList, m.depth); }
auto fieldsOf(MaybeConst<ConditionReport> auto& m) { return std::tie(m.subject, m.incarnation, m.condition, m.age); }
auto fieldsOf(MaybeConst<ConditionReportBatch> auto& m) { return std::tie(m.reports); }
auto fieldsOf(MaybeConst<Leaving> auto& m) { return std::tie(m.instance, m.incarnation); }
auto fieldsOf(MaybeConst<CallStart> auto& m)
{
    return std::tie(m.stream, m.requestId, m.gateIncarnation, m.service, m.method, m.target, m.headers, m.rank,
        m.remainingDeadline, m.worth, m.isIdempotent, m.isResend, m.depth, m.attempt, m.hasBody, m.idempotencyKey,
        m.remainingLatencyTarget, m.serverIncarnation, m.knowsServerRate, m.serverRateThousandths, m.route);
}
auto fieldsOf(MaybeConst<BodyChunk> auto& m) { return std::tie(m.stream, m.offset, m.data, m.isLast); }
auto fieldsOf(MaybeConst<WindowUpdate> auto& m) { return std::tie(m.stream, m.bytes); }
auto fieldsOf(MaybeConst<LoadHint> auto& m)
{
    return std::tie(m.inFlight, m.queued, m.limit, m.isLeaving, m.meanServiceTime, m.requestDelay, m.remainingWork);
}
auto fieldsOf(MaybeConst<AnswerStart> auto& m)
{
    return std::tie(m.stream, m.status, m.headers, m.hasBody, m.load, m.endsWithClose, m.serviceTime);
}
auto fieldsOf(MaybeConst<Refusal> auto& m) { return std::tie(m.stream, m.outcome, m.step, m.reason, m.load); }
auto fieldsOf(MaybeConst<Cancel> auto& m) { return std::tie(m.stream); }
auto fieldsOf(MaybeConst<SourceUpdateRequest> auto& m) { return std::tie(m.version, m.revision, m.evacuationRevision); }
auto fieldsOf(MaybeConst<ListedEvacuation> auto& m) { return std::tie(m.zone, m.revision, m.isEvacuated); }
auto fieldsOf(MaybeConst<ListedServer> auto& m)
{
    return std::tie(m.id, m.revision, m.isDeleted, m.incarnation, m.service, m.zone, m.address, m.slots, m.isDraining,
        m.remainingSlowStart, m.knowsHeartbeat, m.heartbeat, m.delayedAfter);
}
auto fieldsOf(MaybeConst<SourceUpdate> auto& m)
{
    return std::tie(m.version, m.configuration, m.revision, m.servers, m.age, m.since, m.isListing, m.heldFor,
        m.serversAge, m.sourceAge, m.ageWithDeferral, m.evacuations);
}

template <typename T>
concept HasFields = requires(T& value)
{
    fieldsOf(value);
};

// The number of enumerators of an enumeration whose values start at zero and have no gaps.
template <typename T> constexpr unsigned enumeratorCount = 0;
template <> inline constexpr unsigned enumeratorCount<ConnectionPurpose> = 2;
template <> inline constexpr unsigned enumeratorCount<Condition> = 4;
template <> inline constexpr unsigned enumeratorCount<CallOutcome> = 3;

// The number of fields that a message must have; fields that were added later keep their defaults when an earlier
// release sent the message.
template <typename T> constexpr size_t requiredFields = std::tuple_size_v<decltype(fieldsOf(std::declval<T&>()))>;
template <> inline constexpr size_t requiredFields<SourceUpdate> = 5;
template <> inline constexpr size_t requiredFields<ListedServer> = 10;
template <> inline constexpr size_t requiredFields<CallStart> = 17;
template <> inline constexpr size_t requiredFields<LoadHint> = 5;
template <> inline constexpr size_t requiredFields<AnswerStart> = 6;
template <> inline constexpr size_t requiredFields<SourceUpdateRequest> = 2;

// The maximum number of elements in a list of this type. Lists of the largest fleet that the design supports stay well
// below these bounds.
template <typename T> constexpr size_t maxElements = 0;
template <> inline constexpr size_t maxElements<FreshnessMark> = 64;
template <> inline constexpr size_t maxElements<RejectedVersion> = 64;
template <> inline constexpr size_t maxElements<SectionDigest> = 4096;
template <> inline constexpr size_t maxElements<CompressedSection> = 4096;
template <> inline constexpr size_t maxElements<SectionName> = 4096;
template <> inline constexpr size_t maxElements<std::pair<ZoneName, Revision>> = 1024;
template <> inline constexpr size_t maxElements<InstanceRecord> = 32768;
template <> inline constexpr size_t maxElements<InstanceId> = 32768;
template <> inline constexpr size_t maxElements<ConditionReport> = 64;
template <> inline constexpr size_t maxElements<ListedServer> = 32768;
template <> inline constexpr size_t maxElements<ListedEvacuation> = 1024;
template <> inline constexpr size_t maxElements<std::pair<std::string, std::string>> = maxHeadBytes / minFieldBytes;

} // namespace skylark
