// Reads a settings object in JSON with checked keys, types and ranges.
//
// A SettingsReader is made over one JSON object. Each read names a key, and finish() refuses every key
// that was not read, suggesting the nearest known one. All faults are thrown as Error with the JSON
// pointer of the place. Durations are text with a unit ("250ms"), read by Abseil.
#pragma once

#include "base/Types.h"

#include <limits>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace skylark {

// The known name with the smallest edit distance, if it is near enough to be a spelling of it.
std::optional<std::string> nearestName(const std::string& name, const std::vector<std::string>& known);

// Reads "250ms", "1.5s" or "2m". Gives nothing for any other text, infinite or negative durations.
std::optional<Duration> parseDuration(const std::string& text);
// Writes the form that parseDuration reads.
std::string formatDuration(Duration duration);

// Reads a whole file; throws Error that names the path and the reason.
std::string readFile(const std::string& path);

class SettingsReader {
public:
    // The JSON object must outlive the reader. Throws unless it is an object.
    SettingsReader(const nlohmann::json& object, std::string pointer);

    bool has(const std::string& key) const;
    // Each read marks the key as known, and gives the fallback where the key is absent.
    std::string text(const std::string& key, std::optional<std::string> fallback = std::nullopt);
    int64_t integer(const std::string& key, std::optional<int64_t> fallback, int64_t min, int64_t max);
    double number(const std::string& key, std::optional<double> fallback, double min, double max);
    bool boolean(const std::string& key, std::optional<bool> fallback);
    Duration duration(const std::string& key, std::optional<Duration> fallback, Duration min, Duration max);
    Endpoint endpoint(const std::string& key, std::optional<Endpoint> fallback = std::nullopt);
    // The value itself; null where it is absent.
    const nlohmann::json& value(const std::string& key);
    void finish() const;

    // Throws Error for the key with what is allowed there.
    [[noreturn]] void refuse(const std::string& key, const std::string& allowed) const;

private:
    const nlohmann::json* find(const std::string& key);
    [[noreturn]] void refuseMissing(const std::string& key) const;

    const nlohmann::json& m_object;
    std::string m_pointer;
    std::set<std::string> m_known;
};

} // namespace skylark
