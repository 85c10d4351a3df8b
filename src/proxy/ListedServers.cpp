#include "proxy/ListedServers.h"

#include <algorithm>
#include <limits>

namespace skylark {

namespace {

    // A larger distance, as between two eras of the source, is told as the largest one.
    uint32_t delayedAfter(const ServerEntry& entry)
    {
        if (entry.delayedRevision <= entry.revision)
            return 0;
        const uint64_t distance = entry.delayedRevision.value() - entry.revision.value();
        return static_cast<uint32_t>(std::min<uint64_t>(distance, std::numeric_limits<uint32_t>::max()));
    }

} // namespace

ListedServer toListed(const ServerEntry& entry)
{
    ListedServer listed {
        .id = entry.id, .revision = entry.revision, .isDeleted = !entry.record, .delayedAfter = delayedAfter(entry)
    };
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
    ServerEntry entry { .id = listed.id,
        .revision = listed.revision,
        .delayedRevision
        = listed.delayedAfter > 0 ? Revision(listed.revision.value() + listed.delayedAfter) : Revision() };
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
