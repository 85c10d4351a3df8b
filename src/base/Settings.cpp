#include "base/Settings.h"

#include "base/Error.h"

#include <absl/time/time.h>
#include <algorithm>
#include <cerrno>
#include <cstring>
#include <fstream>
#include <sstream>

namespace skylark {

namespace {

    constexpr const char* step = "read-settings";

    size_t editDistance(const std::string& left, const std::string& right)
    {
        std::vector<size_t> distances(right.size() + 1);
        for (size_t column = 0; column <= right.size(); ++column)
            distances[column] = column;
        for (size_t row = 1; row <= left.size(); ++row) {
            size_t diagonal = distances[0];
            distances[0] = row;
            for (size_t column = 1; column <= right.size(); ++column) {
                const size_t substitution = diagonal + (left[row - 1] == right[column - 1] ? 0 : 1);
                diagonal = distances[column];
                distances[column] = std::min({ substitution, distances[column] + 1, distances[column - 1] + 1 });
            }
        }
        return distances[right.size()];
    }

} // namespace

std::optional<std::string> nearestName(const std::string& name, const std::vector<std::string>& knownNames)
{
    // Two edits cover common typing errors. A higher bound would suggest unrelated names.
    constexpr size_t maxEdits = 2;
    std::optional<std::string> nearest;
    size_t minDistance = maxEdits + 1;
    for (const std::string& candidate : knownNames) {
        const size_t distance = editDistance(name, candidate);
        if (distance < minDistance) {
            minDistance = distance;
            nearest = candidate;
        }
    }
    return nearest;
}

std::optional<Duration> parseDuration(const std::string& text)
{
    absl::Duration parsed;
    if (!absl::ParseDuration(text, &parsed) || parsed < absl::ZeroDuration() || parsed > absl::Hours(24 * 365))
        return std::nullopt;
    return absl::ToChronoNanoseconds(parsed);
}

std::string formatDuration(Duration duration) { return absl::FormatDuration(absl::FromChrono(duration)); }

std::string readFile(const std::string& path)
{
    std::ifstream file(path, std::ios::binary);
    std::ostringstream text;
    if (file)
        text << file.rdbuf();
    if (!file || file.bad())
        throw Error({ .step = "read-file", .message = "cannot read " + path + ": " + std::strerror(errno) });
    return text.str();
}

SettingsReader::SettingsReader(const nlohmann::json& object, std::string pointer)
    : m_object(object)
    , m_pointer(std::move(pointer))
{
    if (!object.is_object())
        throw Error({ .step = step, .message = "\"" + m_pointer + "\" is not a JSON object" });
}

bool SettingsReader::has(const std::string& key) const { return m_object.contains(key); }

const nlohmann::json* SettingsReader::find(const std::string& key)
{
    m_knownKeys.insert(key);
    const auto entry = m_object.find(key);
    return entry == m_object.end() ? nullptr : &*entry;
}

std::string SettingsReader::text(const std::string& key, std::optional<std::string> fallback)
{
    const nlohmann::json* value = find(key);
    if (!value && fallback)
        return *fallback;
    if (!value)
        throwMissingValue(key);
    if (!value->is_string())
        throwInvalidValue(key, "a string");
    return value->get<std::string>();
}

int64_t SettingsReader::integer(const std::string& key, std::optional<int64_t> fallback, int64_t min, int64_t max)
{
    const nlohmann::json* value = find(key);
    if (!value && fallback)
        return *fallback;
    if (!value)
        throwMissingValue(key);
    const std::string allowed = "an integer from " + std::to_string(min) + " to " + std::to_string(max);
    if (!value->is_number_integer())
        throwInvalidValue(key, allowed);
    const int64_t number = value->get<int64_t>();
    if (number < min || number > max)
        throwInvalidValue(key, allowed);
    return number;
}

double SettingsReader::number(const std::string& key, std::optional<double> fallback, double min, double max)
{
    const nlohmann::json* value = find(key);
    if (!value && fallback)
        return *fallback;
    if (!value)
        throwMissingValue(key);
    if (!value->is_number() || value->get<double>() < min || value->get<double>() > max)
        throwInvalidValue(key, "a number from " + std::to_string(min) + " to " + std::to_string(max));
    return value->get<double>();
}

bool SettingsReader::boolean(const std::string& key, std::optional<bool> fallback)
{
    const nlohmann::json* value = find(key);
    if (!value && fallback)
        return *fallback;
    if (!value)
        throwMissingValue(key);
    if (!value->is_boolean())
        throwInvalidValue(key, "true or false");
    return value->get<bool>();
}

Duration SettingsReader::duration(const std::string& key, std::optional<Duration> fallback, Duration min, Duration max)
{
    const nlohmann::json* value = find(key);
    if (!value && fallback)
        return *fallback;
    if (!value)
        throwMissingValue(key);
    const std::string allowed = "a duration with its unit, from " + formatDuration(min) + " to " + formatDuration(max);
    if (!value->is_string())
        throwInvalidValue(key, allowed);
    const std::optional<Duration> parsed = parseDuration(value->get<std::string>());
    if (!parsed || *parsed < min || *parsed > max)
        throwInvalidValue(key, allowed);
    return *parsed;
}

Endpoint SettingsReader::endpoint(const std::string& key, std::optional<Endpoint> fallback)
{
    if (!find(key) && fallback)
        return *fallback;
    const std::string address = text(key);
    try {
        return Endpoint::fromString(address);
    } catch (const Error&) {
        throwInvalidValue(key, "an address of the form host:port");
    }
}

const nlohmann::json& SettingsReader::value(const std::string& key)
{
    static const nlohmann::json nullValue;
    const nlohmann::json* value = find(key);
    return value ? *value : nullValue;
}

void SettingsReader::finish() const
{
    for (const auto& [key, value] : m_object.items()) {
        if (m_knownKeys.contains(key))
            continue;
        const auto nearest = nearestName(key, { m_knownKeys.begin(), m_knownKeys.end() });
        throw Error({ .step = step,
            .message = "unknown key \"" + m_pointer + "/" + key + "\"",
            .advice = nearest ? "did you mean \"" + *nearest + "\"?" : "" });
    }
}

void SettingsReader::throwInvalidValue(const std::string& key, const std::string& allowed) const
{
    std::string found = m_object.contains(key) ? m_object.at(key).dump() : "nothing";
    constexpr size_t maxShownBytes = 80;
    if (found.size() > maxShownBytes)
        found = found.substr(0, maxShownBytes) + "...";
    throw Error({ .step = step, .message = "\"" + m_pointer + "/" + key + "\" is " + found + "; expected " + allowed });
}

void SettingsReader::throwMissingValue(const std::string& key) const
{
    throw Error({ .step = step, .message = "\"" + m_pointer + "/" + key + "\" is missing" });
}

} // namespace skylark
