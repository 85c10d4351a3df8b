// The messages between nodes.
//
// Message is a variant of all message types. The codec (wire/Codec.h) writes a message as the msgpack array
// [protocolVersion, type, fields...] in the field order of the struct. New fields go at the end, because older decoders
// ignore everything after the fields that they know.
#pragma once

#include "base/Digest.h"
#include "base/Types.h"
#include "document/Configuration.h"
#include "membership/MembershipView.h"

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace skylark {

constexpr uint32_t minProtocolVersion = 1;
constexpr uint32_t maxProtocolVersion = 1;

// The kind of traffic on a connection. The side that opens the connection chooses it.
enum class ConnectionPurpose : uint8_t {
    Control,
    Calls,
};

// The first message in each direction on a connection.
struct Hello {
    uint32_t minProtocol { minProtocolVersion };
    uint32_t maxProtocol { maxProtocolVersion };
    InstanceId instance;
    Incarnation incarnation;
    ZoneName zone;
    RegionName region;
    Endpoint listenAddress;
    ConnectionPurpose purpose { ConnectionPurpose::Control };
    bool operator==(const Hello&) const = default;
};

struct Ping {
    uint64_t nonce { 0 };
    bool operator==(const Ping&) const = default;
};

struct Pong {
    uint64_t nonce { 0 };
    bool operator==(const Pong&) const = default;
};

// The latest results of a zone's reader. Carries ages instead of timestamps, because the clocks of nodes differ.
struct FreshnessMark {
    ZoneName zone;
    InstanceId reader;
    Revision sourceRevision;
    Duration sinceAttempt {};
    Duration sinceSuccess {};
    bool operator==(const FreshnessMark&) const = default;
};

struct RejectedVersion {
    VersionNumber version;
    Digest digest;
    // The first error in the version, for display. The sender truncates it to 512 bytes.
    std::string reason;
    bool operator==(const RejectedVersion&) const = default;
};

// A periodic digest of the sender's state. The receiver replies with the data that the sender lacks, or requests the
// data that it lacks itself.
struct Summary {
    VersionNumber version;
    Revision manifestRevision;
    Digest manifestDigest;
    // The digest of the pairs (zone, list revision), sorted by zone.
    Digest listsDigest;
    std::vector<FreshnessMark> marks;
    std::vector<RejectedVersion> rejected;
    // True in the reply to a summary; the receiver sends no reply to it.
    bool isReply { false };
    bool operator==(const Summary&) const = default;
};

struct SectionDigest {
    SectionName name;
    Digest digest;
    bool operator==(const SectionDigest&) const = default;
};

struct CompressedSection {
    SectionName name;
    Digest digest;
    // The section's text as a zstd frame.
    std::string data;
    bool operator==(const CompressedSection&) const = default;
};

// A manifest, encoded as the difference from an earlier one. Base version 0 is the empty manifest.
struct ManifestDelta {
    VersionNumber baseVersion;
    Digest baseDigest;
    VersionNumber version;
    Revision revision;
    Digest digest;
    std::vector<SectionDigest> changed;
    std::vector<SectionName> removed;
    bool operator==(const ManifestDelta&) const = default;
};

struct PushVersion {
    ManifestDelta manifest;
    std::vector<CompressedSection> sections;
    // The depth of the receiver in the push tree. Bounds forwarding loops, which can form when nodes have different
    // membership views.
    uint32_t depth { 0 };
    bool operator==(const PushVersion&) const = default;
};

struct PushAck {
    VersionNumber version;
    Digest digest;
    bool isApplied { false };
    bool operator==(const PushAck&) const = default;
};

// Requests the data that the sender lacks. heldVersion 0 with snapshotOffset 0 requests a whole snapshot.
struct FetchRequest {
    VersionNumber heldVersion;
    Digest heldDigest;
    // Sections whose text the sender lacks although it holds the manifest.
    std::vector<SectionDigest> sections;
    std::vector<std::pair<ZoneName, Revision>> listRevisions;
    // Resumes the snapshot of the manifest with this digest at snapshotOffset bytes.
    Digest snapshotDigest;
    uint64_t snapshotOffset { 0 };
    bool operator==(const FetchRequest&) const = default;
};

// A part of a snapshot. The snapshot is a zstd frame of the encoded manifest and sections, split into parts of at most
// 256 KiB.
struct SnapshotPart {
    Digest manifestDigest;
    uint64_t offset { 0 };
    uint64_t totalBytes { 0 };
    std::string data;
    bool operator==(const SnapshotPart&) const = default;
};

// Sections without a manifest, in reply to a FetchRequest that names them.
struct SectionBatch {
    std::vector<CompressedSection> sections;
    bool operator==(const SectionBatch&) const = default;
};

struct ListUpdate {
    ZoneListDelta delta;
    // True when the upserts are the zone's whole list instead of the changes since fromRevision.
    bool isFullList { false };
    // The depth of the receiver in the push tree, as in PushVersion.
    uint32_t depth { 0 };
    bool operator==(const ListUpdate&) const = default;
};

// The newest condition reports, at most 64.
struct ConditionReportBatch {
    std::vector<ConditionReport> reports;
    bool operator==(const ConditionReportBatch&) const = default;
};

// Announces that the sender shuts down and accepts no new work.
struct Leaving {
    InstanceId instance;
    Incarnation incarnation;
    bool operator==(const Leaving&) const = default;
};

using StreamId = Strong<struct StreamIdTag, uint64_t>;
using HeaderList = std::vector<std::pair<std::string, std::string>>;
// The largest HTTP head whose header fields fit into one message, however many they are. The shortest field has a name
// of one byte, a colon and a line end.
constexpr uint32_t maxHeadBytes = 128 * 1024;
constexpr uint32_t minFieldBytes = 4;

// Opens a call. The body follows as BodyChunk messages unless hasBody is false.
struct CallStart {
    StreamId stream;
    RequestId requestId;
    // The incarnation of the gate that the caller's node addresses. A later process of the same instance refuses the
    // call.
    Incarnation gateIncarnation;
    ServiceName service;
    std::string method;
    std::string target;
    HeaderList headers;
    uint32_t rank { 0 };
    Duration remainingDeadline {};
    double worth { 1 };
    bool isIdempotent { false };
    // True when the call may be a copy of one that the gate has received before.
    bool isResend { false };
    // The position of this call in its call chain, from 1.
    uint32_t depth { 1 };
    // The number of this attempt for the caller's request, from 1.
    uint32_t attempt { 1 };
    bool hasBody { false };
    // The key with which a caller marks copies of one non-idempotent request; empty when the caller sent none.
    std::string idempotencyKey;
    // The time until a response would be late for its caller. Zero when it is late already or no latency target is set.
    Duration remainingLatencyTarget {};
    // The start of the server that the sender means.
    Incarnation serverIncarnation;
    // That start named a limit in an answer to the sender, in thousandths of a request per second. A gate that has
    // restarted does not know it.
    bool knowsServerRate { false };
    uint64_t serverRateThousandths { 0 };
    // The name of the route in the sender's configuration. Empty if an earlier release sent the call.
    std::string route;
    bool operator==(const CallStart&) const = default;
};

struct BodyChunk {
    StreamId stream;
    uint64_t offset { 0 };
    std::string data;
    bool isLast { false };
    bool operator==(const BodyChunk&) const = default;
};

// Allows the peer to send this many more body bytes on the stream.
struct WindowUpdate {
    StreamId stream;
    uint64_t bytes { 0 };
    bool operator==(const WindowUpdate&) const = default;
};

// The load of the gate, sent with each response and refusal.
struct LoadHint {
    uint32_t inFlight { 0 };
    uint32_t queued { 0 };
    uint32_t limit { 0 };
    bool isLeaving { false };
    // The mean time that the backend server takes for a call, without queueing; zero when unknown.
    Duration meanServiceTime {};
    // The time after which the receiver may send its next request; zero unless the server limits its requests.
    Duration requestDelay {};
    // The expected time that the backend server still needs for the calls that run or wait at the gate, summed over the
    // calls; zero when unknown.
    Duration remainingWork {};
    bool operator==(const LoadHint&) const = default;
};

struct AnswerStart {
    StreamId stream;
    uint32_t status { 0 };
    HeaderList headers;
    bool hasBody { false };
    LoadHint load;
    // The backend server marked the end of the response by closing the connection. Such a response may be truncated, so
    // the caller must check that it is complete.
    bool endsWithClose { false };
    // The time from the start of the request at the backend server to its complete response; zero when unknown.
    Duration serviceTime {};
    bool operator==(const AnswerStart&) const = default;
};

enum class CallOutcome : uint8_t {
    Answered,
    // The request provably did not run and will not run.
    NotRun,
    // The request may have run.
    Unknown,
};

struct Refusal {
    StreamId stream;
    CallOutcome outcome { CallOutcome::NotRun };
    std::string step;
    std::string reason;
    LoadHint load;
    bool operator==(const Refusal&) const = default;
};

struct Cancel {
    StreamId stream;
    bool operator==(const Cancel&) const = default;
};

// Requests the peer's copy of the source data beyond this version and revision. Sent while the sender cannot read the
// source itself.
struct SourceUpdateRequest {
    VersionNumber version;
    Revision revision;
    // The highest revision among the zone evacuations that the sender knows.
    Revision evacuationRevision;
    bool operator==(const SourceUpdateRequest&) const = default;
};

// The entry of a backend server at a revision of the source, or its deletion.
struct ListedServer {
    InstanceId id;
    Revision revision;
    bool isDeleted { false };
    // Of the heartbeat that wrote the entry; for a deletion, of the latest one that the sender knows, if any.
    Incarnation incarnation;
    // The fields from here to remainingSlowStart are empty for a deletion.
    ServiceName service;
    ZoneName zone;
    Endpoint address;
    uint32_t slots { 0 };
    bool isDraining { false };
    // The remaining time for which the server is slow after its start.
    Duration remainingSlowStart {};
    // Belongs to `incarnation`. Earlier senders set neither field.
    bool knowsHeartbeat { false };
    HeartbeatNumber heartbeat;
    // The source's item was a delayed heartbeat this many revisions after `revision`, so that a listing hides this
    // state; zero if it does not.
    uint32_t delayedAfter { 0 };
    bool operator==(const ListedServer&) const = default;
};

// The evacuation of a zone at a revision of the source, or its end.
struct ListedEvacuation {
    ZoneName zone;
    Revision revision;
    bool isEvacuated { false };
    bool operator==(const ListedEvacuation&) const = default;
};

struct SourceUpdate {
    VersionNumber version;
    // The configuration text of the source as a zstd frame; empty when the requesting node has this version.
    std::string configuration;
    Revision revision;
    std::vector<ListedServer> servers;
    // The time since the source confirmed the sender's data, directly or through a chain of peers.
    Duration age {};
    // The servers hold every change after this revision and up to `revision`; earlier senders do not set it.
    Revision since;
    // The servers are all servers at `revision`; an absent one is deleted.
    bool isListing { false };
    // How long the sender held the request; the rest of the time until the update is read adds to serversAge.
    Duration heldFor {};
    // Like `age`, but counts until the sender had applied the servers.
    Duration serversAge {};
    // The time since the source responded to the sender or to a peer of it, whether or not the sender's data is
    // complete. Earlier senders do not set it.
    Duration sourceAge { std::chrono::hours(1) };
    // Like `age`, but also set while the sender has the source and only holds back deletions after an outage.
    Duration ageWithDeferral { std::chrono::hours(1) };
    // All zone evacuations that the sender knows, ended ones included; empty if the requesting node has them.
    std::vector<ListedEvacuation> evacuations;
    bool operator==(const SourceUpdate&) const = default;
};

// The index of an alternative is the type number on the wire, so new alternatives go at the end.
using Message = std::variant<Hello, Ping, Pong, Summary, PushVersion, PushAck, FetchRequest, SnapshotPart, SectionBatch,
    ListUpdate, ConditionReportBatch, Leaving, CallStart, BodyChunk, WindowUpdate, AnswerStart, Refusal, Cancel,
    SourceUpdateRequest, SourceUpdate>;

} // namespace skylark
