// Builds a Configuration from a manifest and the section texts that it names, or reports every fault.
//
// buildConfiguration(manifest, texts) validates each section, then the references between sections.
// The result depends only on the manifest and on the texts whose digests the manifest names. It does not depend
// on the order of the texts, on texts that the manifest does not name, on the clock or on the locale, so all
// nodes accept or reject a version alike. A section whose text is missing or has another digest is a fault.
//
// A node rebuilds its configuration after every accepted change, and a change rarely touches more than one
// section. SectionCache keeps parsed sections by digest, so that the next build parses only the changed ones.
// The result equals that of a full build.
#pragma once

#include "document/Configuration.h"

#include <absl/container/flat_hash_map.h>
#include <variant>

namespace skylark {

// The platform stores values of at most 1 MB, and a section must fit in one frame of 1 MiB with its header.
inline constexpr size_t maxSectionBytes = 1'000'000;
inline constexpr size_t maxManifestBytes = 1'000'000;
inline constexpr size_t maxDocumentBytes = 64'000'000;
inline constexpr size_t maxNesting = 32;
inline constexpr size_t maxSections = 4096;
inline constexpr size_t maxRoutes = 65536;
inline constexpr size_t maxRanks = 16;
// A build reports at most this many faults.
inline constexpr size_t maxFaults = 1000;
// Name of the section that defines the ranks. Every document has it.
inline constexpr const char* globalSection = "global";

struct Fault {
    SectionName section;
    // JSON pointer (RFC 6901) to the faulty value; empty for the section as a whole.
    std::string pointer;
    // At most about 200 bytes of printable ASCII.
    std::string found;
    std::string allowed;

    bool operator==(const Fault&) const = default;
};

// Formats a fault as one line: section, pointer, the value found and the values allowed.
std::string describe(const Fault& fault);

struct ParsedSection;

// Keeps the parsed sections of the last two builds, so that it holds at most two documents. Not thread-safe.
class SectionCache {
public:
    SectionCache();
    ~SectionCache();
    SectionCache(const SectionCache&) = delete;
    SectionCache& operator=(const SectionCache&) = delete;

    size_t size() const { return m_entries.size(); }
    // Numbers of sections taken from the cache and of sections parsed, over all builds.
    uint64_t hits() const { return m_hits; }
    uint64_t misses() const { return m_misses; }

private:
    friend class DocumentBuilder;
    struct Entry {
        std::shared_ptr<const ParsedSection> section;
        uint64_t lastBuild { 0 };
    };

    // Returns null if the cache holds no section with this digest and name.
    std::shared_ptr<const ParsedSection> find(const Digest& digest, const SectionName& name);
    void insert(const Digest& digest, std::shared_ptr<const ParsedSection> section);
    void finishBuild();

    absl::flat_hash_map<Digest, Entry> m_entries;
    uint64_t m_build { 1 };
    uint64_t m_hits { 0 };
    uint64_t m_misses { 0 };
};

// Either the configuration or at least one fault. Faults are ordered by section.
using BuildResult = std::variant<std::shared_ptr<const Configuration>, std::vector<Fault>>;

BuildResult buildConfiguration(const Manifest& manifest, const std::vector<SectionText>& sections);
BuildResult buildConfiguration(const Manifest& manifest, const std::vector<SectionText>& sections, SectionCache& cache);

// Returns the manifest that names exactly these texts. Throws Error if two texts have the same name.
Manifest manifestOf(VersionNumber version, const std::vector<SectionText>& sections);

// Writes {"version": 7, "sections": {"registration": "<32 hexadecimal digits>"}}. The platform assigns the
// revision, so the text does not contain it and manifestFromJson leaves it 0.
std::string manifestToJson(const Manifest& manifest);
// Throws Error for any text that manifestToJson cannot produce, apart from differences in white space and key order.
Manifest manifestFromJson(std::string_view text);

} // namespace skylark
