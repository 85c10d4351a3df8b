// The functions of Manifest and Configuration that these tests need, where the document library is absent.
#include "document/Configuration.h"

namespace skylark {

class RouteTable { };

Digest Manifest::digest() const
{
    std::string text = std::to_string(version.value());
    for (const auto& [name, digest] : sections)
        text += '\0' + name.value() + '\0' + digest.hex();
    return digestOf(text);
}

bool Manifest::isNewerThan(const Manifest& other) const
{
    return version != other.version ? version > other.version : revision > other.revision;
}

Configuration::Configuration(Manifest manifest, std::vector<RankPolicy> ranks,
    std::map<ServiceName, ServicePolicy> services, std::vector<Route> routes)
    : m_manifest(std::move(manifest))
    , m_ranks(std::move(ranks))
    , m_services(std::move(services))
    , m_routes(std::move(routes))
{
}

Configuration::~Configuration() = default;

} // namespace skylark
