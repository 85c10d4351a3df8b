// Parses JSON strictly, so that each accepted text has exactly one meaning.
//
// parseStrictJson() rejects input that parsers commonly accept: duplicate keys, text that is not UTF-8, text
// after the value, a byte order mark, nesting deeper than maxNesting and text longer than a limit. It reports all
// duplicate keys and stops at any other fault. It uses the SAX interface of nlohmann_json, so that it rejects deep
// nesting before memory is allocated for it.
#pragma once

#include "document/FaultList.h"

#include <nlohmann/json.hpp>
#include <optional>

namespace skylark {

// Returns std::nullopt if the text cannot be parsed. If a key is duplicated, its first value is kept.
std::optional<nlohmann::json> parseStrictJson(
    std::string_view text, size_t maxBytes, const SectionName& section, FaultList& faults);

} // namespace skylark
