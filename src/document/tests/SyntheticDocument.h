// Synthetic documents for tests and benchmarks.
#pragma once

#include "document/Builder.h"

#include <absl/strings/str_cat.h>

namespace skylark {

inline SectionText globalText()
{
    return { .name = SectionName(globalSection), .text = R"({"section": "global", "ranks": [
  {"name": "urgent", "target": "100ms", "floor": 0.3, "worth": 100},
  {"name": "normal", "target": "500ms", "floor": 0.2, "worth": 10},
  {"name": "bulk", "target": "5s", "floor": 0.05, "worth": 1}]})" };
}

// Returns a section with one service and the given number of routes. The design size has 3 routes per section.
inline SectionText syntheticSection(const std::string& name, size_t routes, const std::string& rank = "normal")
{
    std::string text
        = absl::StrCat(R"({"section": ")", name, R"(", "owner": ")", name, R"(-team", "services": [{"name": ")", name,
            R"(", "port": 8080, "slots": 13, "connections": 120, "healthPath": "/health"}], "routes": [)");
    for (size_t index = 0; index < routes; ++index)
        absl::StrAppend(&text, index ? "," : "", R"({"name": ")", name, "-", index, R"(", "host": ")", name,
            R"(.internal.example", "pathPrefix": "/api/v1/resource)", index, R"(", "methods": ["GET"], "service": ")",
            name, R"(", "rank": ")", rank, R"(", "deadline": "800ms", "worth": 5, "idempotent": true, "retries": 2})");
    text += R"(], "limits": {"maxBodyBytes": 8388608, "maxQueue": 256}})";
    return { .name = SectionName(name), .text = std::move(text) };
}

inline std::vector<SectionText> syntheticDocument(size_t sections, size_t routesPerSection)
{
    std::vector<SectionText> texts { globalText() };
    for (size_t index = 0; index < sections; ++index)
        texts.push_back(syntheticSection("team-" + std::to_string(index), routesPerSection));
    return texts;
}

// Returns the text with the first occurrence replaced. Throws std::out_of_range if there is none.
inline std::string replaceFirst(std::string text, const std::string& from, const std::string& to)
{
    return text.replace(text.find(from), from.size(), to);
}

inline bool isSame(const BuildResult& left, const BuildResult& right)
{
    const auto* leftFaults = std::get_if<std::vector<Fault>>(&left);
    const auto* rightFaults = std::get_if<std::vector<Fault>>(&right);
    if (leftFaults || rightFaults)
        return leftFaults && rightFaults && *leftFaults == *rightFaults;
    const Configuration& first = *std::get<0>(left);
    const Configuration& second = *std::get<0>(right);
    return first.manifest() == second.manifest() && first.ranks() == second.ranks()
        && first.services() == second.services() && first.routes() == second.routes();
}

} // namespace skylark
