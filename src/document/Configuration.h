// One complete, immutable version of the accepted document.
//
// A Configuration is built from a manifest and exactly the section texts that the manifest names (see
// buildConfiguration in document/Builder.h). It is shared as std::shared_ptr<const Configuration> and
// published through RcuCell, so a request uses one version from start to end. match() runs for every request: it
// searches a precompiled table and does not allocate.
#pragma once

#include "base/Digest.h"
#include "base/Types.h"

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace skylark {

// Lists the sections of an accepted version by digest. Versions are ordered by number, then by the platform's
// revision of the manifest, which decides between two manifests published under the same number.
struct Manifest {
    VersionNumber version;
    Revision revision;
    std::map<SectionName, Digest> sections;

    // Covers the version number and the sections, but not the revision, which is not part of the content.
    Digest digest() const;
    bool isNewerThan(const Manifest& other) const;

    bool operator==(const Manifest&) const = default;
};

// The text of a section. The digest in the manifest covers exactly these bytes.
struct SectionText {
    SectionName name;
    std::string text;
};

// A rank's number is its position in the global section; 0 is the most urgent rank.
struct RankPolicy {
    RankName name;
    Duration target {};
    // Share of a gate's capacity, from 0 to 1, that is reserved for the rank under any overload.
    double floor { 0 };
    // Value of one call that completes within its deadline, relative to the other ranks.
    double worth { 1 };

    bool operator==(const RankPolicy&) const = default;
};

struct ServicePolicy {
    ServiceName name;
    SectionName section;
    uint16_t port { 0 };
    // Number of requests that one backend server runs concurrently.
    int slots { 1 };
    // Number of connections that one backend server accepts.
    int connections { 1 };
    std::string healthPath;
    // Maximum number of calls that wait at one gate, over all ranks.
    int maxQueue { 256 };
    // Requests per second that one backend server bears while it is cold; zero if the service states no such limit.
    double coldRequestsPerSecond { 0 };
    // Time for which a backend server is cold after its start.
    Duration coldStart {};

    bool operator==(const ServicePolicy&) const = default;
};

// One target of a route that splits its requests by weight.
struct WeightedService {
    ServiceName service;
    uint32_t weight { 1 };

    bool operator==(const WeightedService&) const = default;
};

// Limits on the size of a caller's requests and on the time it may take or stay idle.
struct CallerLimits {
    uint32_t headerBytes { 64 * 1024 };
    uint64_t bodyBytes { 16 * 1024 * 1024 };
    // Maximum time from the first byte of a request to the end of its headers.
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
    // If empty, all requests go to `service`.
    std::vector<WeightedService> split {};
    int rank { 0 };
    Duration deadline {};
    double worth { 1 };
    bool isIdempotent { false };
    int retries { 0 };
    ByteCount maxBodyBytes;
    // Time from the caller's first attempt within which a response has its full worth; zero if not specified.
    Duration target {};
    // If true, the prefix itself does not match; the prefix with a trailing slash and all paths below it do.
    bool isSubtreeOnly { false };
    // This release does not know the route's kind, so that its requests are never repeated.
    bool hasUnknownKind { false };
    // This release knows no destination in the route's action: `service` is empty and all requests are refused.
    bool hasUnknownAction { false };

    bool operator==(const Route&) const = default;
};

class RouteTable;

class Configuration {
public:
    // Does not validate its arguments, which must be consistent. Prefer buildConfiguration(), which validates.
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

    // Returns null if there is no such service.
    const ServicePolicy* service(const ServiceName& name) const;

    // Returns the route of a request, or null. The host is compared case-insensitively and without its port, the path
    // without its query. The longest prefix wins, then a route with a host, then a route with methods.
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
