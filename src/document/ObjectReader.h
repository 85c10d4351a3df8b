// Reads the fields of one JSON object and collects every fault, where SettingsReader stops at the first.
//
// Each read names a key with its rule and gives the fallback, or an empty value where the key is required,
// when the field is absent or faulty; the fault is in the list then. finish() adds a fault for each key that
// was not read, with the nearest known key. What is read from a value that is not an object is one fault.
#pragma once

#include "document/FaultList.h"

#include <nlohmann/json.hpp>
#include <optional>

namespace skylark {

// What a text must be, and how a fault names it.
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
    // The elements; empty where the array is absent, which is a fault if least is above 0, or faulty.
    const nlohmann::json::array_t& array(const char* key, size_t min, size_t max);
    // Null where the optional object is absent.
    const nlohmann::json* find(const char* key);
    void finish();

    void fault(const char* key, std::string found, std::string allowed);
    std::string pointerOf(const char* key) const { return childPointer(m_location.pointer, std::string_view(key)); }

private:
    void refuse(const char* key, const nlohmann::json* value, const std::string& allowed);

    const nlohmann::json& m_value;
    ReaderLocation m_location;
    std::vector<std::string> m_known;
};

// A value as a fault shows it: JSON in ASCII, cut to about 80 bytes.
std::string describeValue(const nlohmann::json& value);

} // namespace skylark
