// Reads the fields of one JSON object and collects every fault. SettingsReader, in contrast, stops at the first one.
//
// - Each read names a key and its rule. If the field is invalid, or is missing and has no fallback, the read adds a
//   fault. It then returns the fallback or, without one, the smallest allowed value or an empty value.
// - finish() adds a fault for each key that was not read and suggests the most similar known key.
// - A value that is not an object gives one fault, whatever is read from it.
#pragma once

#include "document/FaultList.h"

#include <nlohmann/json.hpp>
#include <optional>

namespace skylark {

// A predicate for strings and its description for faults.
struct TextRule {
    const char* allowed;
    bool (*isAllowed)(std::string_view);
};

struct ReaderLocation {
    const SectionName& section;
    std::string pointer;
    FaultList& faults;
};

class ObjectReader {
public:
    // The value must outlive the reader.
    ObjectReader(const nlohmann::json& value, ReaderLocation location);

    std::string text(const char* key, const TextRule& rule, const std::optional<std::string>& fallback = std::nullopt);
    int64_t integer(const char* key, std::optional<int64_t> fallback, int64_t min, int64_t max);
    double number(const char* key, std::optional<double> fallback, double min, double max);
    bool boolean(const char* key, bool fallback);
    Duration duration(const char* key, Duration min, Duration max);
    // Returns the elements, or an empty array if the field is missing or invalid. A missing array is a fault if min is
    // above 0.
    const nlohmann::json::array_t& array(const char* key, size_t min, size_t max);
    // Marks the key as known and returns its value, or null if it is missing.
    const nlohmann::json* find(const char* key);
    void finish();

    void addFault(const char* key, std::string found, std::string allowed);
    std::string pointerOf(const char* key) const { return childPointer(m_location.pointer, std::string_view(key)); }

private:
    void addValueFault(const char* key, const nlohmann::json* value, const std::string& allowed);

    const nlohmann::json& m_value;
    ReaderLocation m_location;
    std::vector<std::string> m_knownKeys;
};

// Describes a value for a fault: JSON in ASCII, truncated to about 80 bytes.
std::string describeValue(const nlohmann::json& value);

} // namespace skylark
