// Transfer of a whole version to a node that has no base for a delta.
//
// The snapshot is the manifest and all section texts in one zstd frame, sent in parts of 256 KiB. The
// receiver asks for each part by its offset, so one part at a time is on the way, and resumes from the same
// offset with another peer, since equal versions give equal bytes. A server serves two peers at a time and
// paces the parts; a third peer gets a part with totalBytes 0, which says that it must ask elsewhere.
#pragma once

#include "base/TokenBucket.h"
#include "distribution/VersionStore.h"

namespace skylark {

struct DecodedSnapshot {
    Manifest manifest;
    std::vector<SectionText> texts;
};

// A version must be in force.
std::string encodeSnapshot(const VersionStore& store);
// Throws Error for anything that encodeSnapshot() does not write.
DecodedSnapshot decodeSnapshot(std::string_view bytes);

constexpr size_t snapshotPartBytes = 256 << 10;
// A version is at most 64 MB of text; the frame is hardly ever larger than that.
constexpr size_t maxSnapshotBytes = 72 << 20;

class SnapshotServer {
public:
    explicit SnapshotServer(TimePoint now);

    // The part, or a part with totalBytes 0 when two others are being served. Empty when the part has to
    // wait for the pacing; due() gives it later.
    std::optional<SnapshotPart> request(const InstanceId& peer, const Endpoint& endpoint,
        std::pair<Digest, uint64_t> position, const VersionStore& store, TimePoint now);
    // Parts that waited for the pacing.
    std::vector<std::pair<std::pair<InstanceId, Endpoint>, SnapshotPart>> dueParts(TimePoint now);
    size_t sessions() const { return m_sessions.size(); }

private:
    struct Blob {
        Digest digest;
        std::string bytes;
    };
    struct Session {
        InstanceId peer;
        Endpoint endpoint;
        std::shared_ptr<const Blob> blob;
        TimePoint lastUsed;
        std::optional<uint64_t> waitingOffset;
    };
    void dropIdle(TimePoint now);
    std::shared_ptr<const Blob> findOrEncodeBlob(const Digest& digest, const VersionStore& store);
    Session* findOrCreateSession(const InstanceId& peer, const Digest& digest, const VersionStore& store);
    static SnapshotPart partAt(const Blob& blob, uint64_t offset);

    // At most two, each with the frame it serves, which stays the same when a newer version is applied.
    std::vector<Session> m_sessions;
    TokenBucket m_parts;
};

class SnapshotReceiver {
public:
    enum class Progress : uint8_t { Ignored, More, Complete, Busy };

    bool isActive() const { return m_isActive; }
    const InstanceId& peer() const { return m_peer; }
    // Asks this peer from now on; what was received so far is kept.
    void beginWith(const InstanceId& peer, const Endpoint& endpoint, TimePoint now);
    const Endpoint& endpoint() const { return m_endpoint; }
    // The digest and the offset to ask for.
    std::pair<Digest, uint64_t> position() const { return { m_digest, m_bytes.size() }; }
    Progress accept(const SnapshotPart& part, const InstanceId& from, TimePoint now);
    // The whole frame after Complete; the receiver is then idle.
    std::string take();
    // Gives up the transfer and what was received.
    void abandon();
    bool isStalled(TimePoint now) const;

private:
    bool m_isActive { false };
    InstanceId m_peer;
    Endpoint m_endpoint;
    TimePoint m_lastProgress;
    Digest m_digest;
    uint64_t m_total { 0 };
    std::string m_bytes;
};

} // namespace skylark
