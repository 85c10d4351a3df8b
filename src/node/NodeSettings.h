// Settings of one skylarkd, read from a JSON file.
//
// Every key is checked for type and range, an unknown key is refused with the nearest known one, and keys
// that are left out have the defaults below. `skylarkd --print-default-config` prints them all.
#pragma once

#include "base/Log.h"
#include "base/Types.h"

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace skylark {

struct NodeSettings {
    InstanceId instance { "instance-1" };
    // The number that the platform's list gives for this instance; 0 takes the time of the start. It must be
    // the list's own number where the list has one, since a higher number overrides a lower one.
    Incarnation incarnation;
    ServiceName service { "service" };
    ZoneName zone { "zone-a" };
    RegionName region { "region-1" };

    // Where callers' requests, peers and operators reach this node.
    Endpoint callerAddress { "127.0.0.1", 8001 };
    Endpoint peerAddress { "127.0.0.1", 9001 };
    Endpoint adminAddress { "127.0.0.1", 7001 };
    Endpoint backendAddress { "127.0.0.1", 6001 };
    Endpoint platformAddress { "127.0.0.1", 5000 };
    // Peers to ask when starting, before an instance list is known.
    std::vector<Endpoint> peers;

    // Threads for callers' connections; a connection holds one while it is open.
    int callerThreads { 128 };
    // Threads that hand calls to the backend server; bounds the concurrency limit.
    int gateThreads { 32 };
    // Used for a service until a configuration names its slots.
    int defaultSlots { 12 };
    // Longest header block of a caller's request.
    ByteCount maxHeaderBytes { 64 * 1024 };
    // A request without a route is bounded by this.
    Duration maxDeadline { std::chrono::minutes(10) };
    // Idle caller connections are closed after this.
    Duration keepAliveTimeout { std::chrono::seconds(60) };
    // A graceful shutdown ends after this, whatever still runs.
    Duration shutdownTimeout { std::chrono::seconds(30) };

    LogLevel logLevel { LogLevel::Info };
    LogFormat logFormat { LogFormat::Json };
};

// Throws Error that names the key and what is allowed.
NodeSettings nodeSettingsFromJson(const nlohmann::json& json);
// Reads and checks a file; also refuses text that is not JSON.
NodeSettings nodeSettingsFromFile(const std::string& path);
// The form that nodeSettingsFromJson reads.
nlohmann::json nodeSettingsToJson(const NodeSettings& settings);

} // namespace skylark
