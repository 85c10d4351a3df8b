// Settings of skylark-node, validated when the process starts.
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
    // The service of the local backend server.
    ServiceName service;
    Endpoint callerAddress;
    Endpoint readyAddress;
    Endpoint peerAddress;
    // The host at which peers reach this node, as listed in the entry of its backend server. Empty if it is the host of
    // peerAddress; it differs if peers connect through a TCP forwarder.
    std::string advertisedHost;
    Endpoint metricsAddress;
    Endpoint serverAddress;
    Endpoint sourceAddress;

    // The platform kills the process this long after requesting its stop.
    Duration stopGrace { std::chrono::seconds(6) };
    // A server that gives notice that it leaves gets no request after this long.
    Duration drainTime { std::chrono::milliseconds(2500) };
    // The fleet sends at most ratio * requests + slack retries to a service in any window.
    double retryRatio { 0.2 };
    double retrySlack { 10 };
    Duration retryWindow { std::chrono::seconds(10) };
    // Minimum time between two calls to the source.
    Duration sourceInterval { std::chrono::milliseconds(400) };
    // Requests that a cold server may get in one second, summed over all nodes: coldOverage * the service's rate +
    // coldSlack.
    double coldOverage { 1.5 };
    double coldSlack { 8 };
    // The platform kills the process when it uses more memory than this.
    ByteCount memoryLimit { 256 * 1024 * 1024 };
    // Number of file descriptors that the process may have open.
    int descriptorLimit { 4096 };
    // Bits per second of the instance's own link; zero if unknown.
    double linkBitsPerSecond { 0 };
    // Routes and admits requests by their expected cost instead of counting each as one.
    bool costAwareRouting { false };
    double logLinesPerSecond { 100 };
    LogLevel logLevel { LogLevel::Info };

    Endpoint advertisedAddress() const
    {
        return advertisedHost.empty() ? peerAddress : Endpoint { advertisedHost, peerAddress.port };
    }
};

// Throws Error with the key of the first invalid setting; unknown keys are rejected.
ProxySettings proxySettingsFromJson(const nlohmann::json& json);
ProxySettings proxySettingsFromFile(const std::string& path);

} // namespace skylark
