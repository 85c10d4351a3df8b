// Strong types for identifiers and units.
//
// A value of one kind cannot be passed where another is expected: an InstanceId is not a ServiceName
// although both hold text. Construction is explicit and value() gives the plain value back. The types
// compare, hash with Abseil and cost no more than the value they hold.
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

// Number that operators raise with each accepted manifest.
using VersionNumber = Strong<struct VersionNumberTag, uint64_t>;
// Modification counter of the platform's configuration service.
using Revision = Strong<struct RevisionTag, uint64_t>;
// Distinguishes successive processes under one instance id; a restart has a higher one.
using Incarnation = Strong<struct IncarnationTag, uint64_t>;
using ByteCount = Strong<struct ByteCountTag, uint64_t>;

using TimePoint = std::chrono::steady_clock::time_point;
using Duration = std::chrono::nanoseconds;

// Whole milliseconds as digits, without a unit.
std::string millisecondsText(Duration duration);

// An IP number and a TCP port.
struct Endpoint {
    std::string host;
    uint16_t port { 0 };

    // Gives "host:port".
    std::string toString() const;
    // Reads "host:port"; throws Error on anything else.
    static Endpoint fromString(const std::string& text);

    // As for Strong: a false report of clang-tidy 14.
    auto operator<=>(const Endpoint&) const = default;
    bool operator==(const Endpoint&) const = default;

    template <typename H> friend H AbslHashValue(H state, const Endpoint& endpoint)
    {
        return H::combine(std::move(state), endpoint.host, endpoint.port);
    }
};

} // namespace skylark
