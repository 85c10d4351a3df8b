// The messages between nodes.
//
// Each struct is one message type; Message is any of them. The codec (wire/Codec.h) writes a message as a
// msgpack array [protocolVersion, type, fields...] in the order of the fields here. New fields go at the
// end; a decoder of an older protocol version ignores what follows the fields it knows.
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

// What a connection carries, as the side that opened it chose.
enum class ConnectionPurpose : uint8_t {
    Control,
    Calls,
};

// First message in each direction on a connection.
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

// What the readers of a zone last found, with ages instead of times since clocks differ.
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
    // First fault, for display; bounded at 512 bytes by the sender.
    std::string reason;
    bool operator==(const RejectedVersion&) const = default;
};

// Periodic digest of what the sender holds; the receiver answers with what the sender lacks, or asks.
struct Summary {
    VersionNumber version;
    Revision manifestRevision;
    Digest manifestDigest;
    // Of the pairs (zone, list revision) in order of zone.
    Digest listsDigest;
    std::vector<FreshnessMark> marks;
    std::vector<RejectedVersion> rejected;
    // True in the answer to a summary, which is not answered again.
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
    // zstd frame of the section's text.
    std::string data;
    bool operator==(const CompressedSection&) const = default;
};

// A manifest as the difference from an earlier one. A base of version 0 is the empty manifest.
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
    // Depth of the receiver in the push tree; bounds a loop when views differ.
    uint32_t depth { 0 };
    bool operator==(const PushVersion&) const = default;
};

struct PushAck {
    VersionNumber version;
    Digest digest;
    bool isApplied { false };
    bool operator==(const PushAck&) const = default;
};

// Asks for what the sender lacks. heldVersion 0 with offset 0 asks for a whole snapshot.
struct FetchRequest {
    VersionNumber heldVersion;
    Digest heldDigest;
    // Texts that the sender wants although it holds the manifest.
    std::vector<SectionDigest> sections;
    std::vector<std::pair<ZoneName, Revision>> listRevisions;
    // Resumes the snapshot of this manifest at this byte.
    Digest snapshotDigest;
    uint64_t snapshotOffset { 0 };
    bool operator==(const FetchRequest&) const = default;
};

// A part of a whole snapshot: zstd frame of the encoded manifest and sections, cut at 256 KiB.
struct SnapshotPart {
    Digest manifestDigest;
    uint64_t offset { 0 };
    uint64_t totalBytes { 0 };
    std::string data;
    bool operator==(const SnapshotPart&) const = default;
};

// Sections alone, in answer to a FetchRequest that names them.
struct SectionBatch {
    std::vector<CompressedSection> sections;
    bool operator==(const SectionBatch&) const = default;
};

struct ListUpdate {
    ZoneListDelta delta;
    // True when the upserts are the whole list, whatever the receiver holds.
    bool isWhole { false };
    // Depth of the receiver in the push tree, as in PushVersion.
    uint32_t depth { 0 };
    bool operator==(const ListUpdate&) const = default;
};

// At most 64 statements, the newest ones.
struct ConditionReportBatch {
    std::vector<ConditionReport> statements;
    bool operator==(const ConditionReportBatch&) const = default;
};

// The sender stops; it takes no new work from now on.
struct Leaving {
    InstanceId instance;
    Incarnation incarnation;
    bool operator==(const Leaving&) const = default;
};

using StreamId = Strong<struct StreamIdTag, uint64_t>;
using HeaderList = std::vector<std::pair<std::string, std::string>>;

// Opens a call. The body follows as BodyChunk messages unless hasBody is false.
struct CallStart {
    StreamId stream;
    RequestId requestId;
    // Incarnation of the gate that the caller's node means; a later process refuses the call.
    Incarnation gateIncarnation;
    ServiceName service;
    std::string method;
    std::string target;
    HeaderList headers;
    uint32_t rank { 0 };
    Duration remainingDeadline {};
    double worth { 1 };
    bool isIdempotent { false };
    bool isResend { false };
    uint32_t depth { 1 };
    uint32_t attempt { 1 };
    bool hasBody { false };
    // Key by which a caller marks copies of one non-idempotent request; empty without one.
    std::string idempotencyKey;
    // Time left until an answer is late for its caller; zero when it is late already or there is no such time.
    Duration remainingLatencyTarget {};
    bool operator==(const CallStart&) const = default;
};

struct BodyChunk {
    StreamId stream;
    uint64_t offset { 0 };
    std::string data;
    bool isLast { false };
    bool operator==(const BodyChunk&) const = default;
};

// Allows the peer to send this many more bytes of body on the stream.
struct WindowUpdate {
    StreamId stream;
    uint64_t bytes { 0 };
    bool operator==(const WindowUpdate&) const = default;
};

// Load of the gate, carried by each answer and refusal.
struct LoadHint {
    uint32_t inFlight { 0 };
    uint32_t queued { 0 };
    uint32_t limit { 0 };
    bool isLeaving { false };
    // Mean time that the server takes for a call, without the time in the queue; zero when not known.
    Duration meanServiceTime {};
    bool operator==(const LoadHint&) const = default;
};

struct AnswerStart {
    StreamId stream;
    uint32_t status { 0 };
    HeaderList headers;
    bool hasBody { false };
    LoadHint load;
    // The server ended its answer by closing, so whether it is whole is for the caller to find out.
    bool endsWithClose { false };
    bool operator==(const AnswerStart&) const = default;
};

enum class CallOutcome : uint8_t {
    Answered,
    // Proved: the request did not run and will not.
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

// Asks a peer for what it holds of the source beyond this, while the sender cannot read the source itself.
struct SourceUpdateRequest {
    VersionNumber version;
    Revision revision;
    bool operator==(const SourceUpdateRequest&) const = default;
};

// An entry of a backend server, or its deletion, at a revision of the source.
struct ListedServer {
    InstanceId id;
    Revision revision;
    bool isDeleted { false };
    // What follows is empty for a deletion.
    Incarnation incarnation;
    ServiceName service;
    ZoneName zone;
    Endpoint address;
    uint32_t slots { 0 };
    bool isDraining { false };
    Duration coldFor {};
    bool operator==(const ListedServer&) const = default;
};

struct SourceUpdate {
    VersionNumber version;
    // zstd frame of the configuration's text as the source holds it; empty when the asking node has this version.
    std::string configuration;
    Revision revision;
    std::vector<ListedServer> servers;
    // Time since the source itself, or a chain of peers from it, confirmed what the sender holds.
    Duration age {};
    bool operator==(const SourceUpdate&) const = default;
};

// The order of the alternatives is the type number on the wire; new ones go at the end.
using Message = std::variant<Hello, Ping, Pong, Summary, PushVersion, PushAck, FetchRequest, SnapshotPart, SectionBatch,
    ListUpdate, ConditionReportBatch, Leaving, CallStart, BodyChunk, WindowUpdate, AnswerStart, Refusal, Cancel,
    SourceUpdateRequest, SourceUpdate>;

} // namespace skylark
