// The bodies that wait to be sent on one connection, cut into pieces.
//
// The owner calls next() when the connection accepts more bytes. A body is shared and not copied until then. Order:
// - The pieces of one stream follow each other without a gap. Streams of one rank take turns.
// - The most urgent rank (the lowest number) goes first. After maxUrgentRun pieces in a row for which a less urgent
// rank
//   waited, one piece of the rank that was served least recently follows, so that a body of any rank is completed.
//
// Bound: the owner bounds pendingBytes(). cancel() costs time linear in the number of waiting bodies.
//
// Not thread-safe; does no input or output.
#pragma once

#include "wire/Messages.h"

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace skylark {

using SharedBody = std::shared_ptr<const std::string>;

class FrameQueue {
public:
    // The size of the largest piece. A message that is sent ahead of the bodies waits for at most one of them.
    static constexpr size_t pieceBytes = 16 * 1024;
    static constexpr int maxUrgentRun = 7;

    // Adds a body; an empty one is ignored. Replaces a body of the same stream that still waits, since the head that
    // was sent before this body starts the stream anew.
    void add(StreamId stream, uint32_t rank, SharedBody body);
    // Drops the rest of the stream's body. Returns the number of bytes that are not sent.
    size_t cancel(StreamId stream);
    // The next piece to send; none if no body waits.
    std::optional<BodyChunk> next();

    bool isEmpty() const { return m_ranks.empty(); }
    size_t pendingBytes() const { return m_pendingBytes; }

private:
    struct Entry {
        StreamId stream;
        SharedBody body;
        size_t offset { 0 };

        size_t remaining() const { return body->size() - offset; }
    };
    struct Rank {
        // Never empty.
        std::deque<Entry> entries;
        // The number of the last piece that was sent for the rank.
        uint64_t servedAt { 0 };
    };

    std::map<uint32_t, Rank>::iterator nextRank();

    std::map<uint32_t, Rank> m_ranks;
    size_t m_pendingBytes { 0 };
    uint64_t m_pieces { 0 };
    // Pieces of the most urgent rank since a less urgent rank that waited was served.
    int m_urgentRun { 0 };
};

} // namespace skylark
