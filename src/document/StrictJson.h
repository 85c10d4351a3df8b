// Reads JSON that has exactly one meaning.
//
// parseStrictJson() refuses what parsers commonly let pass: duplicate keys, text that is not UTF-8, text
// after the value, a byte order mark, nesting beyond maxNesting and text beyond a size. Duplicate keys are
// all reported; the other faults end the reading. It is a SAX handler over nlohmann_json, so that a text is
// refused before its nesting costs memory.
#pragma once

#include "document/FaultList.h"

#include <nlohmann/json.hpp>
#include <optional>

namespace skylark {

// Gives nothing where the text cannot be read. With duplicate keys, it gives the first value of each.
std::optional<nlohmann::json> parseStrictJson(
    std::string_view text, size_t maxBytes, const SectionName& section, FaultList& faults);

} // namespace skylark
