// Counts of messages and bytes by type, separately for control connections and call connections.
#pragma once

#include "wire/Codec.h"

#include <array>
#include <atomic>
#include <cstdint>

namespace skylark {

struct TrafficCount {
    uint64_t messages { 0 };
    // Whole frames, without the headers of TCP and IP.
    uint64_t bytes { 0 };
};

// Indexed by Message::index(); messageTypeName() returns the name of a type.
using TrafficByType = std::array<TrafficCount, messageTypeCount>;

struct TrafficSnapshot {
    TrafficByType controlSent {};
    TrafficByType controlReceived {};
    TrafficByType callsSent {};
    TrafficByType callsReceived {};
    // Messages of unknown types, which were skipped.
    uint64_t unknownMessages { 0 };
    // Frames that were dropped because their stream had ended.
    uint64_t lateFrames { 0 };
    // Connections closed because the peer violated the protocol.
    uint64_t protocolErrors { 0 };
    // Connections closed because nothing arrived although a reply was expected.
    uint64_t silentConnections { 0 };
    // Failed sends of control messages: one for each send() that found the queue full or the connection closed, and one
    // for each connection that failed with messages queued or not yet replied to.
    uint64_t failedSends { 0 };
    // Connections refused or closed because a limit was reached.
    uint64_t refusedConnections { 0 };
    uint64_t openConnections { 0 };
    uint64_t openStreams { 0 };
};

class TrafficCounters {
public:
    void countSent(ConnectionPurpose purpose, size_t type, size_t bytes) { add(m_sent, purpose, type, bytes); }
    void countReceived(ConnectionPurpose purpose, size_t type, size_t bytes) { add(m_received, purpose, type, bytes); }
    TrafficSnapshot snapshot() const;

    std::atomic<uint64_t> unknownMessages { 0 };
    std::atomic<uint64_t> lateFrames { 0 };
    std::atomic<uint64_t> protocolErrors { 0 };
    std::atomic<uint64_t> silentConnections { 0 };
    std::atomic<uint64_t> failedSends { 0 };
    std::atomic<uint64_t> refusedConnections { 0 };
    std::atomic<uint64_t> openConnections { 0 };
    std::atomic<uint64_t> openStreams { 0 };

private:
    struct AtomicCount {
        std::atomic<uint64_t> messages { 0 };
        std::atomic<uint64_t> bytes { 0 };
    };
    using Table = std::array<std::array<AtomicCount, messageTypeCount>, 2>;

    static void add(Table& table, ConnectionPurpose purpose, size_t type, size_t bytes)
    {
        AtomicCount& counter = table[static_cast<size_t>(purpose)][type];
        counter.messages.fetch_add(1, std::memory_order_relaxed);
        counter.bytes.fetch_add(bytes, std::memory_order_relaxed);
    }

    Table m_sent;
    Table m_received;
};

} // namespace skylark
