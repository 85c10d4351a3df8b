#include "document/Configuration.h"

#include "document/RouteTable.h"

namespace skylark {

Digest Manifest::digest() const
{
    std::string bytes = std::to_string(version.value());
    for (const auto& [name, digest] : sections)
        bytes += '\n' + std::to_string(name.value().size()) + ' ' + name.value() + ' ' + digest.hex();
    return digestOf(bytes);
}

bool Manifest::isNewerThan(const Manifest& other) const
{
    return std::pair(version, revision) > std::pair(other.version, other.revision);
}

Configuration::Configuration(Manifest manifest, std::vector<RankPolicy> ranks,
    std::map<ServiceName, ServicePolicy> services, std::vector<Route> routes, CallerLimits limits)
    : m_manifest(std::move(manifest))
    , m_ranks(std::move(ranks))
    , m_services(std::move(services))
    , m_routes(std::move(routes))
    , m_limits(limits)
    , m_table(std::make_unique<const RouteTable>(m_routes))
{
}

Configuration::~Configuration() = default;

const ServicePolicy* Configuration::service(const ServiceName& name) const
{
    const auto entry = m_services.find(name);
    return entry == m_services.end() ? nullptr : &entry->second;
}

const Route* Configuration::match(std::string_view host, std::string_view method, std::string_view path) const
{
    return m_table->match(host, method, path);
}

} // namespace skylark
