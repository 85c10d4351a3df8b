#include "node/StateDump.h"

namespace skylark {

namespace {

    nlohmann::json countsToJson(const TrafficByType& traffic)
    {
        nlohmann::json counts = nlohmann::json::object();
        for (size_t type = 0; type < traffic.size(); ++type) {
            if (traffic[type].messages > 0)
                counts[messageTypeName(type)]
                    = { { "messages", traffic[type].messages }, { "bytes", traffic[type].bytes } };
        }
        return counts;
    }

} // namespace

uint64_t controlBytes(const TrafficByType& traffic)
{
    uint64_t bytes = 0;
    for (const TrafficCount& count : traffic)
        bytes += count.bytes;
    return bytes;
}

nlohmann::json trafficToJson(const TrafficSnapshot& traffic)
{
    return { { "controlSent", countsToJson(traffic.controlSent) },
        { "controlReceived", countsToJson(traffic.controlReceived) }, { "callsSent", countsToJson(traffic.callsSent) },
        { "callsReceived", countsToJson(traffic.callsReceived) }, { "openConnections", traffic.openConnections },
        { "openStreams", traffic.openStreams }, { "lateFrames", traffic.lateFrames },
        { "unknownMessages", traffic.unknownMessages }, { "protocolErrors", traffic.protocolErrors },
        { "silentConnections", traffic.silentConnections }, { "failedSends", traffic.failedSends },
        { "refusedConnections", traffic.refusedConnections } };
}

} // namespace skylark
