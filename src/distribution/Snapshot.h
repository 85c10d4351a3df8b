// Transfers a whole version to a node that has no base for a delta.
//
// - A snapshot is the manifest and all section texts in one zstd frame, sent in parts of 256 KiB.
// - The receiver requests each part by its offset, so only one part is in flight. It can resume at the same offset
//   with another peer, since equal versions are encoded to equal bytes.
// - A server serves two peers at a time and limits the rate of the parts. A third peer gets a part with totalBytes 0,
//   which tells it to request the snapshot from another node.
#pragma once

#include "base/TokenBucket.h"
#include "distribution/VersionStore.h"

namespace skylark {

struct DecodedSnapshot {
    Manifest manifest;
    std::vector<SectionText> texts;
};

// The store must have a current version.
std::string encodeSnapshot(const VersionStore& store);
// Throws Error if the bytes are not a snapshot as encodeSnapshot() writes it.
DecodedSnapshot decodeSnapshot(std::string_view bytes);

constexpr size_t snapshotPartBytes = 256 << 10;
// A version is at most 64 MB of text, and its frame is rarely larger than that.
constexpr size_t maxSnapshotBytes = 72 << 20;

class SnapshotServer {
public:
    explicit SnapshotServer(TimePoint now);

    // Returns the part, or a part with totalBytes 0 if two other peers are being served. Empty if the rate limit delays
    // the part; dueParts() returns it later.
    std::optional<SnapshotPart> request(const InstanceId& peer, const Endpoint& endpoint,
        std::pair<Digest, uint64_t> position, const VersionStore& store, TimePoint now);
    // Returns the parts that the rate limit delayed and that may be sent now.
    std::vector<std::pair<std::pair<InstanceId, Endpoint>, SnapshotPart>> dueParts(TimePoint now);
    size_t sessionCount() const { return m_sessions.size(); }

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

    // At most two sessions. Each keeps the frame that it serves, also when a newer version is applied.
    std::vector<Session> m_sessions;
    TokenBucket m_partLimiter;
};

class SnapshotReceiver {
public:
    enum class Progress : uint8_t { Ignored, More, Complete, Busy };

    bool isActive() const { return m_isActive; }
    const InstanceId& peer() const { return m_peer; }
    // Uses this peer from now on and keeps the parts received so far.
    void beginWith(const InstanceId& peer, const Endpoint& endpoint, TimePoint now);
    const Endpoint& endpoint() const { return m_endpoint; }
    // The digest and the offset to request.
    std::pair<Digest, uint64_t> position() const { return { m_digest, m_bytes.size() }; }
    Progress accept(const SnapshotPart& part, const InstanceId& from, TimePoint now);
    // Returns the whole frame after Complete and makes the receiver idle.
    std::string take();
    // Ends the transfer and drops the parts received so far.
    void abandon();
    bool isStalled(TimePoint now) const;

private:
    bool m_isActive { false };
    InstanceId m_peer;
    Endpoint m_endpoint;
    TimePoint m_lastProgress;
    Digest m_digest;
    uint64_t m_totalBytes { 0 };
    std::string m_bytes;
};

} // namespace skylark
