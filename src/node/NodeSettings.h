// Settings of one skylarkd, read from a JSON file.
//
// - Every key is checked for type and range.
// - An unknown key is rejected with a suggestion of the most similar known key.
// - Omitted keys have the defaults below, which `skylarkd --print-default-config` prints.
#pragma once

#include "base/Log.h"
#include "base/Types.h"

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace skylark {

struct NodeSettings {
    InstanceId instance { "instance-1" };
    // The incarnation number of this instance in the platform's instance list; 0 uses the start time. If the list has
    // a number, this setting must equal it, since a higher number overrides a lower one.
    Incarnation incarnation;
    ServiceName service { "service" };
    ZoneName zone { "zone-a" };
    RegionName region { "region-1" };

    // Listen addresses for callers, peers and operators, and the addresses of the backend server and the platform.
    Endpoint callerAddress { "127.0.0.1", 8001 };
    Endpoint peerAddress { "127.0.0.1", 9001 };
    Endpoint adminAddress { "127.0.0.1", 7001 };
    Endpoint backendAddress { "127.0.0.1", 6001 };
    Endpoint platformAddress { "127.0.0.1", 5000 };
    // Peers to query at startup, before an instance list is available.
    std::vector<Endpoint> peers;

    // Threads for caller connections; each open connection occupies one.
    int callerThreads { 128 };
    // Threads that send calls to the backend server. This bounds the concurrency limit.
    int gateThreads { 32 };
    // Slots of the backend server until a configuration defines the service.
    int defaultSlots { 12 };
    // Maximum size of the request line and headers of a caller's request.
    ByteCount maxHeaderBytes { 64 * 1024 };
    // Upper bound of the deadline that a caller's header may request.
    Duration maxDeadline { std::chrono::minutes(10) };
    // Idle caller connections are closed after this time.
    Duration keepAliveTimeout { std::chrono::seconds(60) };
    // A graceful shutdown ends after this time even if calls are still running.
    Duration shutdownTimeout { std::chrono::seconds(30) };

    LogLevel logLevel { LogLevel::Info };
    LogFormat logFormat { LogFormat::Json };
};

// Throws an Error that names the invalid key and the allowed values.
NodeSettings nodeSettingsFromJson(const nlohmann::json& json);
// Reads and checks a settings file. Also throws Error if the file is not JSON.
NodeSettings nodeSettingsFromFile(const std::string& path);
// Returns the settings in the format that nodeSettingsFromJson() reads.
nlohmann::json nodeSettingsToJson(const NodeSettings& settings);

} // namespace skylark
