// Settings of skylark-node, checked when the process starts.
#pragma once

#include "base/Log.h"
#include "base/Types.h"

#include <map>
#include <nlohmann/json_fwd.hpp>
#include <string>

namespace skylark {

struct ProxySettings {
    std::string instance;
    ZoneName zone;
    std::map<ZoneName, RegionName> regions;
    // The service of the backend server beside the node.
    ServiceName service;
    Endpoint callerAddress;
    Endpoint readyAddress;
    Endpoint peerAddress;
    // The host under which peers reach this node, as the entry of its backend server names it; empty where it is the
    // host of peerAddress. Differs from that where a forwarder stands in between.
    std::string advertisedHost;
    Endpoint metricsAddress;
    Endpoint serverAddress;
    Endpoint sourceAddress;

    // The platform ends a process this long after asking it to stop.
    Duration stopGrace { std::chrono::seconds(6) };
    // Repeats to a service in any window of the fleet: ratio x requests + slack.
    double retryRatio { 0.2 };
    double retrySlack { 10 };
    Duration retryWindow { std::chrono::seconds(10) };
    // Least time between two calls to the source.
    Duration sourceInterval { std::chrono::milliseconds(400) };
    double logLinesPerSecond { 100 };
    LogLevel logLevel { LogLevel::Info };

    Endpoint advertisedAddress() const
    {
        return advertisedHost.empty() ? peerAddress : Endpoint { advertisedHost, peerAddress.port };
    }
};

// Throws Error that names the key of the first fault; unknown keys are refused.
ProxySettings proxySettingsFromJson(const nlohmann::json& json);
ProxySettings proxySettingsFromFile(const std::string& path);

} // namespace skylark
