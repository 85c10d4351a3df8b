// Reads a JSON settings object and checks its keys, types and ranges.
//
// A SettingsReader reads one JSON object. Each read names a key. finish() rejects any key that was not read and
// suggests the most similar known key. Every failure throws an Error with the JSON pointer of the value.
// Durations are strings with a unit ("250ms"), parsed with Abseil.
#pragma once

#include "base/Types.h"

#include <limits>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace skylark {

// Returns the known name with the smallest edit distance, if it is small enough for a misspelling.
std::optional<std::string> nearestName(const std::string& name, const std::vector<std::string>& knownNames);

// Parses a duration such as "250ms" or "1.5s". Returns std::nullopt for other text and outside of 0 to 365 days.
std::optional<Duration> parseDuration(const std::string& text);
// Formats a duration in the form that parseDuration() accepts.
std::string formatDuration(Duration duration);

// Reads a whole file. Throws an Error that names the path and the reason.
std::string readFile(const std::string& path);

class SettingsReader {
public:
    // The JSON value must outlive the reader. Throws Error unless it is an object.
    SettingsReader(const nlohmann::json& object, std::string pointer);

    bool has(const std::string& key) const;
    // Each read marks the key as known and returns the fallback if the key is missing.
    std::string text(const std::string& key, std::optional<std::string> fallback = std::nullopt);
    int64_t integer(const std::string& key, std::optional<int64_t> fallback, int64_t min, int64_t max);
    double number(const std::string& key, std::optional<double> fallback, double min, double max);
    bool boolean(const std::string& key, std::optional<bool> fallback);
    Duration duration(const std::string& key, std::optional<Duration> fallback, Duration min, Duration max);
    Endpoint endpoint(const std::string& key, std::optional<Endpoint> fallback = std::nullopt);
    // Returns the JSON value, or a JSON null if the key is missing.
    const nlohmann::json& value(const std::string& key);
    void finish() const;

    // Throws an Error that names the key, its value and the allowed values.
    [[noreturn]] void throwInvalidValue(const std::string& key, const std::string& allowed) const;

private:
    const nlohmann::json* find(const std::string& key);
    [[noreturn]] void throwMissingValue(const std::string& key) const;

    const nlohmann::json& m_object;
    std::string m_pointer;
    std::set<std::string> m_knownKeys;
};

} // namespace skylark
