// Builds a Configuration from a manifest and the section texts that it names, or says all that is wrong.
//
// buildConfiguration(manifest, texts) checks each section by itself, then the references between sections.
// The result is a function of the manifest and of the texts with the manifest's digests: the order of the
// texts, texts that the manifest does not name, the clock and the locale have no influence, so all nodes
// accept or reject a version alike. A section whose text is absent or has another digest is a fault.
//
// A node rebuilds its configuration at every accepted change, and a change rarely touches more than one
// section. A SectionCache keeps the parsed sections by digest, so that the next build parses only what is
// new; the result equals that of a full build.
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
// Faults beyond this number are not reported.
inline constexpr size_t maxFaults = 1000;
// Holds the ranks; every document has it.
inline constexpr const char* globalSection = "global";

struct Fault {
    SectionName section;
    // JSON pointer (RFC 6901) of the place; empty for the section as a whole.
    std::string pointer;
    // At most about 200 bytes of printable ASCII.
    std::string found;
    std::string allowed;

    bool operator==(const Fault&) const = default;
};

// One line: section, pointer, what was found and what is allowed.
std::string describe(const Fault& fault);

struct ParsedSection;

// Keeps the sections that the last two builds used, so that it holds at most two documents. For one thread.
class SectionCache {
public:
    SectionCache();
    ~SectionCache();
    SectionCache(const SectionCache&) = delete;
    SectionCache& operator=(const SectionCache&) = delete;

    size_t size() const { return m_entries.size(); }
    // Sections taken from the cache and sections parsed, over all builds.
    uint64_t hits() const { return m_hits; }
    uint64_t misses() const { return m_misses; }

private:
    friend class DocumentBuilder;
    struct Entry {
        std::shared_ptr<const ParsedSection> section;
        uint64_t lastBuild { 0 };
    };

    // Null where no section of this digest and name is known.
    std::shared_ptr<const ParsedSection> find(const Digest& digest, const SectionName& name);
    void insert(const Digest& digest, std::shared_ptr<const ParsedSection> section);
    void finishBuild();

    absl::flat_hash_map<Digest, Entry> m_entries;
    uint64_t m_build { 1 };
    uint64_t m_hits { 0 };
    uint64_t m_misses { 0 };
};

// Either the configuration or at least one fault, ordered by section.
using BuildResult = std::variant<std::shared_ptr<const Configuration>, std::vector<Fault>>;

BuildResult buildConfiguration(const Manifest& manifest, const std::vector<SectionText>& sections);
BuildResult buildConfiguration(const Manifest& manifest, const std::vector<SectionText>& sections, SectionCache& cache);

// The manifest that accepts exactly these texts. Throws Error if two have one name.
Manifest manifestOf(VersionNumber version, const std::vector<SectionText>& sections);

// {"version": 7, "sections": {"registration": "<32 hexadecimal digits>"}}. The revision is the platform's
// and not part of the text; manifestFromJson leaves it 0.
std::string manifestToJson(const Manifest& manifest);
// Throws Error for any text that manifestToJson cannot have written, apart from white space and key order.
Manifest manifestFromJson(std::string_view text);

} // namespace skylark
