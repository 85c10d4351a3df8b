// One section after its own checks, before its references to other sections are resolved.
//
// parseSection() reads a section's text by the schema of docs/design.md and adds every fault to the list.
// The result does not depend on other sections, so that SectionCache can keep it by the text's digest.
#pragma once

#include "document/FaultList.h"

#include <nlohmann/json.hpp>

namespace skylark {

struct ParsedRoute {
    // Without its rank, which is a place in the global section.
    Route route;
    RankName rank;
    // Place in the section's array.
    size_t index { 0 };
};

struct ParsedService {
    ServicePolicy policy;
    size_t index { 0 };
};

struct ParsedSection {
    SectionName name;
    std::vector<RankPolicy> ranks;
    std::vector<ParsedService> services;
    std::vector<ParsedRoute> routes;
};

// Null where the text is not readable as JSON. Faulty parts are left out or have their fallback values, so
// that the checks between sections find further faults; the section must not be used after any fault.
std::shared_ptr<const ParsedSection> parseSection(const SectionText& section, FaultList& faults);

// 1 to 63 of a-z, 0-9, '-', '_' and '.', starting with a letter or digit; such a name can stand in a key of
// the platform and in a file name.
bool isName(std::string_view text);
// "/" or whole segments without a slash at the end: "/pitch/list".
bool isPathPrefix(std::string_view text);

inline constexpr size_t maxPrefixBytes = 512;
inline constexpr size_t maxPrefixSegments = 32;
inline constexpr size_t maxHostBytes = 253;

} // namespace skylark
