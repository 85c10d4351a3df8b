// Strong types for identifiers and units.
//
// A value of one type cannot be passed where another is expected: an InstanceId is not a ServiceName, although both
// contain a string. Construction is explicit, and value() returns the wrapped value. The types are comparable and
// hashable with Abseil and have no overhead over the wrapped value.
#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <string>
#include <utility>

namespace skylark {

template <typename Tag, typename T> class Strong {
public:
    using ValueType = T;

    Strong() = default;
    explicit Strong(T value)
        : m_value(std::move(value))
    {
    }

    const T& value() const { return m_value; }
    auto operator<=>(const Strong&) const = default;
    bool operator==(const Strong&) const = default;

    template <typename H> friend H AbslHashValue(H state, const Strong& strong)
    {
        return H::combine(std::move(state), strong.m_value);
    }

private:
    T m_value {};
};

using ServiceName = Strong<struct ServiceNameTag, std::string>;
using ZoneName = Strong<struct ZoneNameTag, std::string>;
using RegionName = Strong<struct RegionNameTag, std::string>;
using SectionName = Strong<struct SectionNameTag, std::string>;
using RankName = Strong<struct RankNameTag, std::string>;
using InstanceId = Strong<struct InstanceIdTag, std::string>;
using RequestId = Strong<struct RequestIdTag, std::string>;

// Number that operators increase with each accepted manifest.
using VersionNumber = Strong<struct VersionNumberTag, uint64_t>;
// Modification counter of the platform's configuration service.
using Revision = Strong<struct RevisionTag, uint64_t>;
// Distinguishes successive processes with the same instance id. Each restart has a higher value.
using Incarnation = Strong<struct IncarnationTag, uint64_t>;
// Counts the heartbeats of one process; each heartbeat has a higher value.
using HeartbeatNumber = Strong<struct HeartbeatNumberTag, uint64_t>;
using ByteCount = Strong<struct ByteCountTag, uint64_t>;

using TimePoint = std::chrono::steady_clock::time_point;
using Duration = std::chrono::nanoseconds;

// Formats a duration as a number of whole milliseconds, without a unit.
std::string millisecondsText(Duration duration);

// An IP address and a TCP port.
struct Endpoint {
    std::string host;
    uint16_t port { 0 };

    // Returns "host:port".
    std::string toString() const;
    // Parses "host:port". Throws Error for any other text.
    static Endpoint fromString(const std::string& text);

    // If modernize-use-nullptr is enabled, clang-tidy 14 reports a false positive here and for Strong.
    auto operator<=>(const Endpoint&) const = default;
    bool operator==(const Endpoint&) const = default;

    template <typename H> friend H AbslHashValue(H state, const Endpoint& endpoint)
    {
        return H::combine(std::move(state), endpoint.host, endpoint.port);
    }
};

} // namespace skylark
