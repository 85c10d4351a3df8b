// A parsed and validated section whose references to other sections are not resolved yet.
//
// parseSection() parses a section's text by the schema in docs/design.md and adds every fault to the list.
// The result does not depend on other sections, so SectionCache can keep it under the digest of the text.
#pragma once

#include "document/FaultList.h"

#include <nlohmann/json.hpp>

namespace skylark {

struct ParsedRoute {
    // Its rank number is not set, since that is a position in the global section.
    Route route;
    RankName rank;
    // Position in the section's array.
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

// Returns null if the text is not valid JSON. Invalid parts are omitted or replaced by fallback values, so that
// the checks between sections can find further faults. Do not use the section if there was any fault.
std::shared_ptr<const ParsedSection> parseSection(const SectionText& section, FaultList& faults);

// A name has 1 to 63 characters of a-z, 0-9, '-', '_' and '.' and starts with a letter or digit. It is safe to use
// in a key of the platform and in a file name.
bool isName(std::string_view text);
// A path prefix is "/" or consists of whole segments without a trailing slash, such as "/pitch/list".
bool isPathPrefix(std::string_view text);

inline constexpr size_t maxPrefixBytes = 512;
inline constexpr size_t maxPrefixSegments = 32;
inline constexpr size_t maxHostBytes = 253;

} // namespace skylark
