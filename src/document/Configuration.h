// One accepted version of the document, whole and immutable.
//
// A Configuration is built from a manifest and exactly the section texts that the manifest names (see
// buildConfiguration in document/Builder.h). It is shared by std::shared_ptr<const Configuration> and
// published by RcuCell, so a request sees one version from start to end. match() is the request path: it
// walks a compiled table and allocates nothing.
#pragma once

#include "base/Digest.h"
#include "base/Types.h"

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace skylark {

// Names what an accepted version consists of. Versions are ordered by number, then by the platform's
// revision of the manifest, which decides between two manifests that were published under one number.
struct Manifest {
    VersionNumber version;
    Revision revision;
    std::map<SectionName, Digest> sections;

    // Covers the version number and the sections; the revision is left out, since it is not content.
    Digest digest() const;
    bool isNewerThan(const Manifest& other) const;

    bool operator==(const Manifest&) const = default;
};

// A section's text; the digest in the manifest covers these bytes.
struct SectionText {
    SectionName name;
    std::string text;
};

// Ranks are numbered by their place in the global section; 0 is the most urgent.
struct RankPolicy {
    RankName name;
    Duration target {};
    // Share of a gate's capacity, from 0 to 1, that the rank keeps under any flood.
    double floor { 0 };
    // Value of one call answered within its deadline, relative to the other ranks.
    double worth { 1 };

    bool operator==(const RankPolicy&) const = default;
};

struct ServicePolicy {
    ServiceName name;
    SectionName section;
    uint16_t port { 0 };
    // Requests that one backend server runs at a time.
    int slots { 1 };
    // Connections that one backend server accepts.
    int connections { 1 };
    std::string healthPath;
    // Calls that may wait at one gate, over all ranks.
    int maxQueue { 256 };

    bool operator==(const ServicePolicy&) const = default;
};

// One part of a weighted split of a route's requests.
struct WeightedService {
    ServiceName service;
    uint32_t weight { 1 };

    bool operator==(const WeightedService&) const = default;
};

// What a caller may send, and how long it may take or stay idle.
struct CallerLimits {
    uint32_t headerBytes { 64 * 1024 };
    uint64_t bodyBytes { 16 * 1024 * 1024 };
    // From a request's first byte to the end of its headers.
    Duration headerTimeout { std::chrono::seconds(5) };
    Duration idleTimeout { std::chrono::seconds(60) };

    bool operator==(const CallerLimits&) const = default;
};

struct Route {
    std::string name;
    SectionName section;
    // Empty matches every host.
    std::string host;
    std::string pathPrefix;
    // Empty matches every method.
    std::vector<std::string> methods;
    ServiceName service;
    // Empty: all requests go to `service`.
    std::vector<WeightedService> split {};
    int rank { 0 };
    Duration deadline {};
    double worth { 1 };
    bool isIdempotent { false };
    int retries { 0 };
    ByteCount maxBodyBytes;
    // Time from the caller's first attempt within which an answer is worth most; zero when not stated.
    Duration target {};
    // Only paths below the prefix and a slash match, and not the prefix itself.
    bool isSubtreeOnly { false };

    bool operator==(const Route&) const = default;
};

class RouteTable;

class Configuration {
public:
    // Prefer buildConfiguration(), which validates. The parts must be consistent.
    Configuration(Manifest manifest, std::vector<RankPolicy> ranks, std::map<ServiceName, ServicePolicy> services,
        std::vector<Route> routes, CallerLimits limits = {});
    ~Configuration();
    Configuration(const Configuration&) = delete;
    Configuration& operator=(const Configuration&) = delete;

    const Manifest& manifest() const { return m_manifest; }
    const std::vector<RankPolicy>& ranks() const { return m_ranks; }
    const std::map<ServiceName, ServicePolicy>& services() const { return m_services; }
    const std::vector<Route>& routes() const { return m_routes; }
    const CallerLimits& limits() const { return m_limits; }

    // Null where there is no such service.
    const ServicePolicy* service(const ServiceName& name) const;

    // The route of a request, or null. The host is compared without port and without regard to case; the
    // path without its query. The longest prefix wins, then a given host, then given methods.
    const Route* match(std::string_view host, std::string_view method, std::string_view path) const;

private:
    Manifest m_manifest;
    std::vector<RankPolicy> m_ranks;
    std::map<ServiceName, ServicePolicy> m_services;
    std::vector<Route> m_routes;
    CallerLimits m_limits;
    std::unique_ptr<const RouteTable> m_table;
};

} // namespace skylark
