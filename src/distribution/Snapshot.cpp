#include "distribution/Snapshot.h"

#include "base/Compression.h"
#include "base/Error.h"
#include "base/Invariant.h"

#include <algorithm>
#include <msgpack.hpp>

namespace skylark {

namespace {

    constexpr size_t maxSessions = 2;
    // A receiver requests the next part within a round trip; one that does not has switched to another peer.
    constexpr Duration sessionIdleTimeout = std::chrono::seconds(2);
    constexpr Duration receiverTimeout = std::chrono::seconds(1);
    // 10 MB/s after the first 4 MB, so that many nodes that start simultaneously do not saturate a server's link.
    constexpr TokenBucketOptions partRateLimit { .perSecond = 40, .burst = 16 };
    // Room for 64 MB of texts and their names.
    constexpr size_t maxDecodedBytes = 68 << 20;

    using EncodedSections = std::vector<std::pair<std::string, std::string>>;

} // namespace

std::string encodeSnapshot(const VersionStore& store)
{
    const std::shared_ptr<const Configuration> current = store.current();
    invariant(current != nullptr, { .rule = "a snapshot requires a current version", .step = "encode-snapshot" });
    const auto texts = store.currentTexts();
    msgpack::sbuffer buffer;
    msgpack::packer<msgpack::sbuffer> packer(buffer);
    packer.pack_array(3);
    packer.pack(current->manifest().version.value());
    packer.pack(current->manifest().revision.value());
    packer.pack_array(static_cast<uint32_t>(texts.size()));
    for (const auto& [name, text] : texts) {
        packer.pack_array(2);
        packer.pack(name.value());
        packer.pack(*text);
    }
    return compress({ buffer.data(), buffer.size() });
}

DecodedSnapshot decodeSnapshot(std::string_view bytes)
{
    const std::optional<std::string> encoded = decompress(bytes, maxDecodedBytes);
    if (!encoded)
        throw Error({ .step = "decode-snapshot", .message = "the snapshot frame is damaged or too large" });
    try {
        const msgpack::object_handle handle = msgpack::unpack(encoded->data(), encoded->size());
        std::tuple<uint64_t, uint64_t, EncodedSections> fields;
        handle.get().convert(fields);
        DecodedSnapshot snapshot;
        snapshot.manifest.version = VersionNumber(std::get<0>(fields));
        snapshot.manifest.revision = Revision(std::get<1>(fields));
        for (auto& [name, text] : std::get<2>(fields)) {
            snapshot.manifest.sections[SectionName(name)] = digestOf(text);
            snapshot.texts.push_back({ .name = SectionName(name), .text = std::move(text) });
        }
        return snapshot;
    } catch (const std::bad_alloc&) {
        throw;
    } catch (const std::exception& exception) {
        throw Error({ .step = "decode-snapshot", .message = exception.what() });
    }
}

SnapshotServer::SnapshotServer(TimePoint now)
    : m_partLimiter(partRateLimit, now)
{
}

void SnapshotServer::dropIdle(TimePoint now)
{
    std::erase_if(m_sessions, [&](const Session& session) { return now - session.lastUsed >= sessionIdleTimeout; });
}

std::shared_ptr<const SnapshotServer::Blob> SnapshotServer::findOrEncodeBlob(
    const Digest& digest, const VersionStore& store)
{
    for (const Session& session : m_sessions)
        if (session.blob->digest == digest)
            return session.blob;
    return std::make_shared<const Blob>(Blob { .digest = store.currentDigest(), .bytes = encodeSnapshot(store) });
}

SnapshotServer::Session* SnapshotServer::findOrCreateSession(
    const InstanceId& peer, const Digest& digest, const VersionStore& store)
{
    const bool isResumed = digest != Digest();
    const Digest requestedDigest = isResumed ? digest : store.currentDigest();
    auto session = std::find_if(
        m_sessions.begin(), m_sessions.end(), [&](const Session& candidate) { return candidate.peer == peer; });
    if (session == m_sessions.end()) {
        if (m_sessions.size() >= maxSessions)
            return nullptr;
        m_sessions.push_back({ .peer = peer, .blob = findOrEncodeBlob(requestedDigest, store) });
        return &m_sessions.back();
    }
    if (session->blob->digest != requestedDigest)
        session->blob = findOrEncodeBlob(requestedDigest, store);
    return &*session;
}

SnapshotPart SnapshotServer::partAt(const Blob& blob, uint64_t offset)
{
    const uint64_t start = offset <= blob.bytes.size() ? offset : 0;
    return { .manifestDigest = blob.digest,
        .offset = start,
        .totalBytes = blob.bytes.size(),
        .data = blob.bytes.substr(start, snapshotPartBytes) };
}

std::optional<SnapshotPart> SnapshotServer::request(const InstanceId& peer, const Endpoint& endpoint,
    std::pair<Digest, uint64_t> position, const VersionStore& store, TimePoint now)
{
    const auto [digest, offset] = position;
    dropIdle(now);
    Session* session = findOrCreateSession(peer, digest, store);
    if (!session)
        return SnapshotPart { .manifestDigest = store.currentDigest() };
    invariant(m_sessions.size() <= maxSessions,
        { .rule = "a node serves at most two snapshots at a time", .step = "serve-snapshot", .peer = peer.value() });
    session->endpoint = endpoint;
    session->lastUsed = now;
    // If the session serves a different version than the requested one, the transfer starts at offset 0.
    const uint64_t start = session->blob->digest == digest ? offset : 0;
    if (!m_partLimiter.tryTake(now)) {
        session->waitingOffset = start;
        return std::nullopt;
    }
    SnapshotPart part = partAt(*session->blob, start);
    if (part.offset + part.data.size() == part.totalBytes)
        std::erase_if(m_sessions, [&](const Session& candidate) { return candidate.peer == peer; });
    return part;
}

std::vector<std::pair<std::pair<InstanceId, Endpoint>, SnapshotPart>> SnapshotServer::dueParts(TimePoint now)
{
    std::vector<std::pair<std::pair<InstanceId, Endpoint>, SnapshotPart>> parts;
    for (Session& session : m_sessions) {
        if (!session.waitingOffset || !m_partLimiter.tryTake(now))
            continue;
        parts.emplace_back(std::pair(session.peer, session.endpoint), partAt(*session.blob, *session.waitingOffset));
        session.waitingOffset.reset();
        session.lastUsed = now;
    }
    dropIdle(now);
    return parts;
}

void SnapshotReceiver::beginWith(const InstanceId& peer, const Endpoint& endpoint, TimePoint now)
{
    m_isActive = true;
    m_peer = peer;
    m_endpoint = endpoint;
    m_lastProgress = now;
}

SnapshotReceiver::Progress SnapshotReceiver::accept(const SnapshotPart& part, const InstanceId& from, TimePoint now)
{
    if (!m_isActive || (from != m_peer && !m_peer.value().empty()))
        return Progress::Ignored;
    m_peer = from;
    if (part.totalBytes == 0)
        return Progress::Busy;
    const bool isOtherSnapshot = part.manifestDigest != m_digest || part.totalBytes != m_totalBytes;
    if (isOtherSnapshot && part.offset == 0) {
        m_digest = part.manifestDigest;
        m_totalBytes = part.totalBytes;
        m_bytes.clear();
    }
    const bool isNextPart = part.manifestDigest == m_digest && part.offset == m_bytes.size();
    if (!isNextPart || part.data.empty() || part.totalBytes > maxSnapshotBytes
        || m_bytes.size() + part.data.size() > part.totalBytes)
        return Progress::Ignored;
    m_bytes += part.data;
    m_lastProgress = now;
    return m_bytes.size() == m_totalBytes ? Progress::Complete : Progress::More;
}

std::string SnapshotReceiver::take()
{
    std::string bytes = std::move(m_bytes);
    abandon();
    return bytes;
}

void SnapshotReceiver::abandon()
{
    m_isActive = false;
    m_digest = {};
    m_totalBytes = 0;
    m_bytes.clear();
}

bool SnapshotReceiver::isStalled(TimePoint now) const { return m_isActive && now - m_lastProgress >= receiverTimeout; }

} // namespace skylark
