// Counts of messages and bytes by type, control connections and call connections apart.
#pragma once

#include "wire/Codec.h"

#include <array>
#include <atomic>
#include <cstdint>

namespace skylark {

struct TrafficCount {
    uint64_t messages { 0 };
    // Whole frames, without what TCP and IP add.
    uint64_t bytes { 0 };
};

// By Message::index(); messageTypeName() gives the name.
using TrafficByType = std::array<TrafficCount, messageTypeCount>;

struct TrafficSnapshot {
    TrafficByType controlSent {};
    TrafficByType controlReceived {};
    TrafficByType callsSent {};
    TrafficByType callsReceived {};
    // Messages of unknown types, which were skipped.
    uint64_t unknownMessages { 0 };
    // Frames of streams that had ended, which were dropped.
    uint64_t lateFrames { 0 };
    // Connections closed because the peer broke the protocol.
    uint64_t protocolErrors { 0 };
    // Connections closed because they had gone silent.
    uint64_t silentConnections { 0 };
    // Control messages that failed: full queue, no connection, or a connection lost before they were sent.
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
