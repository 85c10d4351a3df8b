// Finds the route of a request without allocating.
//
// The table maps each pair of host and path prefix to its routes. match() looks up the prefixes of the path from
// the longest to "/", first with the request's host and then without a host. This takes one or two hash lookups
// per segment, independent of the number of routes. Hosts have integer ids, so that a lookup hashes only an
// integer and the prefix. The table refers to the routes that it was built from.
#pragma once

#include "document/Configuration.h"

#include <absl/container/flat_hash_map.h>
#include <absl/strings/string_view.h>
#include <optional>

namespace skylark {

class RouteTable {
public:
    // The routes must outlive the table and must not be moved.
    explicit RouteTable(const std::vector<Route>& routes);

    const Route* match(std::string_view host, std::string_view method, std::string_view path) const;

private:
    using HostId = uint32_t;
    static constexpr HostId anyHost = 0;

    struct Key {
        HostId host;
        // Empty for "/".
        absl::string_view prefix;

        bool operator==(const Key&) const = default;
        template <typename H> friend H AbslHashValue(H state, const Key& key)
        {
            return H::combine(std::move(state), key.host, key.prefix);
        }
    };
    struct Range {
        uint32_t first;
        uint32_t count;
    };

    std::optional<HostId> findHostId(std::string_view host) const;
    const Route* matchPrefix(
        HostId host, std::string_view prefix, std::string_view path, std::string_view method) const;

    absl::flat_hash_map<absl::string_view, HostId> m_hosts;
    absl::flat_hash_map<Key, Range> m_ranges;
    // Grouped by key. Within a group, routes with methods come first.
    std::vector<const Route*> m_sortedRoutes;
    bool m_hasAnyHost { false };
    size_t m_maxSegments { 0 };
};

} // namespace skylark
