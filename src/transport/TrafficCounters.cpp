#include "transport/TrafficCounters.h"

namespace skylark {

TrafficSnapshot TrafficCounters::snapshot() const
{
    const auto read = [](const Table& table, ConnectionPurpose purpose) {
        TrafficByType counts;
        const auto& counters = table[static_cast<size_t>(purpose)];
        for (size_t type = 0; type < messageTypeCount; ++type)
            counts[type] = { .messages = counters[type].messages.load(), .bytes = counters[type].bytes.load() };
        return counts;
    };
    return { .controlSent = read(m_sent, ConnectionPurpose::Control),
        .controlReceived = read(m_received, ConnectionPurpose::Control),
        .callsSent = read(m_sent, ConnectionPurpose::Calls),
        .callsReceived = read(m_received, ConnectionPurpose::Calls),
        .unknownMessages = unknownMessages,
        .lateFrames = lateFrames,
        .protocolErrors = protocolErrors,
        .silentConnections = silentConnections,
        .failedSends = failedSends,
        .refusedConnections = refusedConnections,
        .openConnections = openConnections,
        .openStreams = openStreams };
}

} // namespace skylark
