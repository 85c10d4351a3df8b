#include "document/Builder.h"

#include "document/Section.h"

#include <absl/strings/string_view.h>
#include <algorithm>

namespace skylark {

namespace {

    // Converts a text to the type of the hash keys, which refer to the text, so the text must outlive the build.
    absl::string_view toAbsl(std::string_view text) { return { text.data(), text.size() }; }

    std::string declaredBy(const SectionName& section)
    {
        return " is declared by section " + quotedExcerpt(section.value());
    }

    // Identifies the requests that a route matches. An empty method stands for all methods.
    struct MatchKey {
        absl::string_view host;
        absl::string_view prefix;
        absl::string_view method;

        bool operator==(const MatchKey&) const = default;
        template <typename H> friend H AbslHashValue(H state, const MatchKey& key)
        {
            return H::combine(std::move(state), key.host, key.prefix, key.method);
        }
    };

} // namespace

// Runs one build: finds the text of each section, parses the sections that the cache does not hold, and checks the
// references. Sections are processed in the order of the manifest, so that every node takes the same declaration of
// a name as the first one.
class DocumentBuilder {
public:
    DocumentBuilder(const Manifest& manifest, SectionCache* cache)
        : m_manifest(manifest)
        , m_cache(cache)
    {
    }

    BuildResult build(const std::vector<SectionText>& texts)
    {
        checkManifest();
        indexTexts(texts);
        for (const auto& [name, digest] : m_manifest.sections)
            addSection(name, digest);
        if (m_documentBytes > maxDocumentBytes)
            m_faults.add(SectionName(globalSection), "", "a document of " + std::to_string(m_documentBytes) + " bytes",
                "at most " + std::to_string(maxDocumentBytes) + " bytes");
        collectRanks();
        for (const auto& section : m_sections)
            collectServices(*section);
        for (const auto& section : m_sections)
            collectRoutes(*section);
        if (m_cache)
            m_cache->finishBuild();
        if (!m_faults.isEmpty())
            return m_faults.takeSorted();
        return std::make_shared<const Configuration>(
            m_manifest, std::move(m_ranks), std::move(m_services), std::move(m_routes));
    }

private:
    struct IndexedText {
        const SectionText* text;
        Digest digest;
    };

    void checkManifest()
    {
        if (m_manifest.sections.size() > maxSections)
            m_faults.add(SectionName(globalSection), "",
                "a manifest of " + std::to_string(m_manifest.sections.size()) + " sections",
                "at most " + std::to_string(maxSections) + " sections");
        if (!m_manifest.sections.contains(SectionName(globalSection)))
            m_faults.add(SectionName(globalSection), "", "no such section in the manifest",
                "a section named \"global\" with the ranks");
        for (const auto& [name, digest] : m_manifest.sections)
            if (!isName(name.value()))
                m_faults.add(name, "", "the name " + quotedExcerpt(name.value()),
                    "1 to 63 of a-z, 0-9, '-', '_' and '.', starting with a letter or digit");
    }

    // If several texts have the same name, keeps the one with the manifest's digest, or else the one with the smallest
    // digest.
    void indexTexts(const std::vector<SectionText>& texts)
    {
        m_texts.reserve(texts.size());
        for (const SectionText& text : texts) {
            const auto named = m_manifest.sections.find(text.name);
            if (named == m_manifest.sections.end())
                continue;
            const IndexedText candidate { .text = &text, .digest = digestOf(text.text) };
            const auto [entry, isNew] = m_texts.try_emplace(toAbsl(text.name.value()), candidate);
            const bool isPreferred = candidate.digest == named->second
                || (entry->second.digest != named->second && candidate.digest < entry->second.digest);
            if (!isNew && isPreferred)
                entry->second = candidate;
        }
    }

    void addSection(const SectionName& name, const Digest& digest)
    {
        const auto entry = m_texts.find(toAbsl(name.value()));
        if (entry == m_texts.end() || entry->second.digest != digest) {
            m_hasUnreadableSection = true;
            m_faults.add(name, "",
                entry == m_texts.end() ? "no text" : "a text with digest " + entry->second.digest.hex(),
                "the text with digest " + digest.hex());
            return;
        }
        const SectionText& text = *entry->second.text;
        m_documentBytes += text.text.size();
        std::shared_ptr<const ParsedSection> section = m_cache ? m_cache->find(digest, name) : nullptr;
        if (!section) {
            const size_t faultsBefore = m_faults.size();
            section = parseSection(text, m_faults);
            if (m_cache && section && m_faults.size() == faultsBefore && !m_faults.isFull())
                m_cache->insert(digest, section);
        }
        if (section)
            m_sections.push_back(std::move(section));
        else
            m_hasUnreadableSection = true;
    }

    void collectRanks()
    {
        const auto global = std::find_if(m_sections.begin(), m_sections.end(),
            [](const auto& section) { return section->name.value() == globalSection; });
        if (global != m_sections.end())
            m_ranks = (*global)->ranks;
    }

    void collectServices(const ParsedSection& section)
    {
        for (const ParsedService& service : section.services) {
            if (service.policy.name.value().empty())
                continue;
            const auto [first, isNew] = m_services.try_emplace(service.policy.name, service.policy);
            if (!isNew)
                m_faults.add(section.name, "/services/" + std::to_string(service.index) + "/name",
                    quotedExcerpt(service.policy.name.value()) + ", which" + declaredBy(first->second.section),
                    "each service once in a document");
        }
    }

    void collectRoutes(const ParsedSection& section)
    {
        for (const ParsedRoute& parsed : section.routes) {
            const std::string pointer = "/routes/" + std::to_string(parsed.index);
            if (m_routes.size() == maxRoutes) {
                m_faults.add(section.name, pointer, "more than " + std::to_string(maxRoutes) + " routes",
                    "at most " + std::to_string(maxRoutes) + " routes in a document");
                return;
            }
            const Route& route = parsed.route;
            checkName(route, pointer);
            checkMatchKeys(route, pointer);
            if (!route.service.value().empty() && !m_hasUnreadableSection && !m_services.contains(route.service))
                m_faults.add(section.name, pointer + "/service", quotedExcerpt(route.service.value()),
                    "a service that a section of the document declares");
            m_routes.push_back(route);
            m_routes.back().rank = resolveRank(parsed, section.name, pointer);
        }
    }

    void checkName(const Route& route, const std::string& pointer)
    {
        if (route.name.empty())
            return;
        const auto [first, isNew] = m_routeNames.try_emplace(toAbsl(route.name), &route);
        if (!isNew)
            m_faults.add(route.section, pointer + "/name",
                quotedExcerpt(route.name) + ", which" + declaredBy(first->second->section),
                "each route name once in a document");
    }

    // Rejects routes that share a host, prefix and method, since their order would decide which one takes a request.
    void checkMatchKeys(const Route& route, const std::string& pointer)
    {
        if (route.pathPrefix.empty())
            return;
        static const std::vector<std::string> everyMethod { "" };
        bool isReported = false;
        for (const std::string& method : route.methods.empty() ? everyMethod : route.methods) {
            const auto [first, isNew] = m_matchKeys.try_emplace(
                MatchKey { toAbsl(route.host), toAbsl(route.pathPrefix), toAbsl(method) }, &route);
            if (!isNew && !isReported)
                m_faults.add(route.section, pointer,
                    "the host, path prefix and " + (method.empty() ? "methods" : "method " + method) + " of route "
                        + quotedExcerpt(first->second->name),
                    "routes that differ in host, path prefix or methods");
            isReported = isReported || !isNew;
        }
    }

    int resolveRank(const ParsedRoute& parsed, const SectionName& section, const std::string& pointer)
    {
        if (parsed.rank.value().empty() || m_ranks.empty())
            return 0;
        const auto rank = std::find_if(
            m_ranks.begin(), m_ranks.end(), [&](const RankPolicy& policy) { return policy.name == parsed.rank; });
        if (rank != m_ranks.end())
            return static_cast<int>(rank - m_ranks.begin());
        std::string names;
        for (const RankPolicy& policy : m_ranks)
            names += (names.empty() ? "" : ", ") + quotedExcerpt(policy.name.value());
        m_faults.add(
            section, pointer + "/rank", quotedExcerpt(parsed.rank.value()), "a rank of the global section: " + names);
        return 0;
    }

    const Manifest& m_manifest;
    SectionCache* m_cache;
    FaultList m_faults;
    absl::flat_hash_map<absl::string_view, IndexedText> m_texts;
    size_t m_documentBytes { 0 };
    // Set if a section is missing or cannot be parsed. Its declarations are then unknown, so references to services are
    // not checked.
    bool m_hasUnreadableSection { false };
    std::vector<std::shared_ptr<const ParsedSection>> m_sections;
    std::vector<RankPolicy> m_ranks;
    std::map<ServiceName, ServicePolicy> m_services;
    std::vector<Route> m_routes;
    absl::flat_hash_map<absl::string_view, const Route*> m_routeNames;
    absl::flat_hash_map<MatchKey, const Route*> m_matchKeys;
};

SectionCache::SectionCache() = default;
SectionCache::~SectionCache() = default;

std::shared_ptr<const ParsedSection> SectionCache::find(const Digest& digest, const SectionName& name)
{
    const auto entry = m_entries.find(digest);
    // A section text contains its own name, so it is valid under at most one name.
    if (entry == m_entries.end() || entry->second.section->name != name) {
        ++m_misses;
        return nullptr;
    }
    ++m_hits;
    entry->second.lastBuild = m_build;
    return entry->second.section;
}

void SectionCache::insert(const Digest& digest, std::shared_ptr<const ParsedSection> section)
{
    m_entries.insert_or_assign(digest, Entry { .section = std::move(section), .lastBuild = m_build });
}

void SectionCache::finishBuild()
{
    absl::erase_if(m_entries, [this](const auto& entry) { return entry.second.lastBuild + 1 < m_build; });
    ++m_build;
}

BuildResult buildConfiguration(const Manifest& manifest, const std::vector<SectionText>& sections)
{
    return DocumentBuilder(manifest, nullptr).build(sections);
}

BuildResult buildConfiguration(const Manifest& manifest, const std::vector<SectionText>& sections, SectionCache& cache)
{
    return DocumentBuilder(manifest, &cache).build(sections);
}

} // namespace skylark
