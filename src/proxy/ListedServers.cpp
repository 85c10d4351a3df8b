#include "proxy/ListedServers.h"

namespace skylark {

ListedServer toListed(const ServerEntry& entry)
{
    ListedServer listed { .id = entry.id, .revision = entry.revision, .isDeleted = !entry.record };
    if (!entry.record)
        return listed;
    const ServerRecord& record = *entry.record;
    listed.incarnation = record.incarnation;
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
    if (!listed.isDeleted) {
        entry.record = ServerRecord { .id = listed.id,
            .incarnation = listed.incarnation,
            .service = listed.service,
            .zone = listed.zone,
            .address = listed.address,
            .slots = static_cast<int>(listed.slots),
            .isDraining = listed.isDraining,
            .remainingSlowStart = listed.remainingSlowStart };
    }
    return entry;
}

} // namespace skylark
