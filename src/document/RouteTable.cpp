#include "document/RouteTable.h"

#include "base/Invariant.h"
#include "document/Section.h"

#include <algorithm>
#include <array>

namespace skylark {

namespace {

    absl::string_view toAbsl(std::string_view text) { return { text.data(), text.size() }; }

    std::string_view keyPrefix(const Route& route)
    {
        return route.pathPrefix == "/" ? std::string_view() : std::string_view(route.pathPrefix);
    }

    bool hasUpperCase(std::string_view text)
    {
        return std::any_of(
            text.begin(), text.end(), [](char character) { return character >= 'A' && character <= 'Z'; });
    }

    std::string_view withoutPort(std::string_view host)
    {
        if (!host.empty() && host.front() == '[')
            return host.substr(0, host.find(']') + 1);
        return host.substr(0, host.find(':'));
    }

    bool isSortedBefore(const Route* left, const Route* right)
    {
        if (const int order = left->host.compare(right->host))
            return order < 0;
        if (const int order = left->pathPrefix.compare(right->pathPrefix))
            return order < 0;
        return !left->methods.empty() && right->methods.empty();
    }

} // namespace

RouteTable::RouteTable(const std::vector<Route>& routes)
{
    m_sortedRoutes.reserve(routes.size());
    for (const Route& route : routes) {
        invariant(isPathPrefix(route.pathPrefix) && !hasUpperCase(route.host),
            { .rule = "routes have whole path segments and lower-case hosts",
                .step = "compile-routes",
                .peer = route.name });
        m_sortedRoutes.push_back(&route);
        const std::string_view prefix = keyPrefix(route);
        m_maxSegments
            = std::max<size_t>(m_maxSegments, static_cast<size_t>(std::count(prefix.begin(), prefix.end(), '/')));
        if (route.host.empty())
            m_hasAnyHost = true;
        else
            m_hosts.try_emplace(toAbsl(route.host), static_cast<HostId>(m_hosts.size() + 1));
    }
    std::stable_sort(m_sortedRoutes.begin(), m_sortedRoutes.end(), isSortedBefore);
    for (uint32_t index = 0; index < m_sortedRoutes.size(); ++index) {
        const Route& route = *m_sortedRoutes[index];
        const Key key { .host = route.host.empty() ? anyHost : m_hosts.at(toAbsl(route.host)),
            .prefix = toAbsl(keyPrefix(route)) };
        ++m_ranges.try_emplace(key, Range { .first = index, .count = 0 }).first->second.count;
    }
}

std::optional<RouteTable::HostId> RouteTable::findHostId(std::string_view host) const
{
    host = withoutPort(host);
    std::array<char, maxHostBytes> lowerCaseHost;
    if (host.empty() || host.size() > lowerCaseHost.size())
        return std::nullopt;
    std::transform(host.begin(), host.end(), lowerCaseHost.begin(), [](char character) {
        return character >= 'A' && character <= 'Z' ? static_cast<char>(character + 32) : character;
    });
    const auto entry = m_hosts.find(absl::string_view(lowerCaseHost.data(), host.size()));
    return entry == m_hosts.end() ? std::nullopt : std::optional(entry->second);
}

const Route* RouteTable::matchPrefix(
    HostId host, std::string_view prefix, std::string_view path, std::string_view method) const
{
    const auto entry = m_ranges.find(Key { .host = host, .prefix = toAbsl(prefix) });
    if (entry == m_ranges.end())
        return nullptr;
    const auto first = m_sortedRoutes.begin() + entry->second.first;
    const auto found = std::find_if(first, first + entry->second.count, [&](const Route* route) {
        if (route->isSubtreeOnly && path.size() == prefix.size())
            return false;
        return route->methods.empty()
            || std::find(route->methods.begin(), route->methods.end(), method) != route->methods.end();
    });
    return found == first + entry->second.count ? nullptr : *found;
}

const Route* RouteTable::match(std::string_view host, std::string_view method, std::string_view path) const
{
    path = path.substr(0, path.find_first_of("?#"));
    if (path.empty() || path.front() != '/')
        return nullptr;
    const std::optional<HostId> hostId = findHostId(host);

    // End positions of the path's prefixes at segment boundaries, up to the depth of the deepest route.
    std::array<size_t, maxPrefixSegments + 1> prefixEnds;
    size_t count = 0;
    prefixEnds[count++] = 0;
    for (size_t end = 0; end < path.size() && count <= m_maxSegments;) {
        end = std::min(path.find('/', end + 1), path.size());
        prefixEnds[count++] = end;
    }
    while (count-- > 0) {
        const std::string_view prefix = path.substr(0, prefixEnds[count]);
        if (prefix.size() > maxPrefixBytes)
            continue;
        if (const Route* route = hostId ? matchPrefix(*hostId, prefix, path, method) : nullptr)
            return route;
        if (const Route* route = m_hasAnyHost ? matchPrefix(anyHost, prefix, path, method) : nullptr)
            return route;
    }
    return nullptr;
}

} // namespace skylark
