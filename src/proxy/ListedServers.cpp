#include "proxy/ListedServers.h"

namespace skylark {

ListedServer toListed(const ServerEntry& entry)
{
    ListedServer listed { .id = entry.id, .revision = entry.revision, .isDeleted = !entry.record };
    const HeartbeatPosition position = entry.record ? entry.record->position() : entry.lastHeartbeat;
    listed.incarnation = position.incarnation;
    listed.knowsHeartbeat = position.number.has_value();
    listed.heartbeat = position.number.value_or(HeartbeatNumber());
    if (!entry.record)
        return listed;
    const ServerRecord& record = *entry.record;
    listed.service = record.service;
    listed.zone = record.zone;
    listed.address = record.address;
    listed.slots = static_cast<uint32_t>(std::max(0, record.slots));
    listed.isDraining = record.isDraining;
    listed.remainingSlowStart = record.remainingSlowStart;
    return listed;
}

ServerEntry fromListed(const ListedServer& listed)
{
    ServerEntry entry { .id = listed.id, .revision = listed.revision };
    const HeartbeatPosition position { .incarnation = listed.incarnation,
        .number = listed.knowsHeartbeat ? std::optional(listed.heartbeat) : std::nullopt };
    if (listed.isDeleted) {
        entry.lastHeartbeat = position;
        return entry;
    }
    entry.record = ServerRecord { .id = listed.id,
        .incarnation = position.incarnation,
        .heartbeat = position.number,
        .service = listed.service,
        .zone = listed.zone,
        .address = listed.address,
        .slots = static_cast<int>(listed.slots),
        .isDraining = listed.isDraining,
        .remainingSlowStart = listed.remainingSlowStart };
    return entry;
}

} // namespace skylark
