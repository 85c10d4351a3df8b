#include "document/ObjectReader.h"

#include "base/Settings.h"

#include <algorithm>

namespace skylark {

using Json = nlohmann::json;

std::string describeValue(const Json& value)
{
    if (value.is_string())
        return quotedExcerpt(value.get_ref<const std::string&>());
    if (value.is_object())
        return "an object";
    if (value.is_array())
        return "an array of " + std::to_string(value.size()) + " elements";
    return value.dump();
}

ObjectReader::ObjectReader(const Json& value, ReaderLocation location)
    : m_value(value)
    , m_location(std::move(location))
{
    if (!m_value.is_object())
        m_location.faults.add(m_location.section, m_location.pointer, describeValue(m_value), "an object");
}

void ObjectReader::addFault(const char* key, std::string found, std::string allowed)
{
    if (!m_location.faults.isFull())
        m_location.faults.add(m_location.section, pointerOf(key), std::move(found), std::move(allowed));
}

const Json* ObjectReader::find(const char* key)
{
    if (!m_value.is_object())
        return nullptr;
    m_knownKeys.emplace_back(key);
    const auto entry = m_value.find(key);
    return entry == m_value.end() ? nullptr : &*entry;
}

void ObjectReader::addValueFault(const char* key, const Json* value, const std::string& allowed)
{
    if (m_value.is_object())
        addFault(key, value ? describeValue(*value) : "nothing", allowed);
}

std::string ObjectReader::text(const char* key, const TextRule& rule, const std::optional<std::string>& fallback)
{
    const Json* value = find(key);
    if (value && value->is_string() && rule.isAllowed(value->get_ref<const std::string&>()))
        return value->get<std::string>();
    if (value || !fallback)
        addValueFault(key, value, rule.allowed);
    return fallback.value_or("");
}

int64_t ObjectReader::integer(const char* key, std::optional<int64_t> fallback, int64_t min, int64_t max)
{
    const Json* value = find(key);
    // A number above the range of int64_t converts to a negative number, which no caller allows.
    if (value && value->is_number_integer()) {
        const int64_t number = value->get<int64_t>();
        if (number >= min && number <= max)
            return number;
    }
    if (value || !fallback)
        addValueFault(key, value, "an integer from " + std::to_string(min) + " to " + std::to_string(max));
    return fallback.value_or(min);
}

double ObjectReader::number(const char* key, std::optional<double> fallback, double min, double max)
{
    const Json* value = find(key);
    if (value && value->is_number() && value->get<double>() >= min && value->get<double>() <= max)
        return value->get<double>();
    if (value || !fallback)
        addValueFault(key, value, "a number from " + Json(min).dump() + " to " + Json(max).dump());
    return fallback.value_or(min);
}

bool ObjectReader::boolean(const char* key, bool fallback)
{
    const Json* value = find(key);
    if (value && value->is_boolean())
        return value->get<bool>();
    if (value)
        addValueFault(key, value, "true or false");
    return fallback;
}

Duration ObjectReader::duration(const char* key, Duration min, Duration max)
{
    const Json* value = find(key);
    if (value && value->is_string()) {
        const std::optional<Duration> parsed = parseDuration(value->get_ref<const std::string&>());
        if (parsed && *parsed >= min && *parsed <= max)
            return *parsed;
    }
    addValueFault(key, value, "a duration with its unit, from " + formatDuration(min) + " to " + formatDuration(max));
    return min;
}

const Json::array_t& ObjectReader::array(const char* key, size_t min, size_t max)
{
    static const Json::array_t emptyArray;
    const Json* value = find(key);
    if (value && value->is_array() && value->size() >= min && value->size() <= max)
        return value->get_ref<const Json::array_t&>();
    if (value || min > 0)
        addValueFault(key, value, "an array of " + std::to_string(min) + " to " + std::to_string(max) + " elements");
    return emptyArray;
}

void ObjectReader::finish()
{
    if (!m_value.is_object())
        return;
    // Longer keys are not misspellings of a known key, and computing their edit distances would be slow.
    constexpr size_t maxComparedBytes = 64;
    for (const auto& [key, value] : m_value.items()) {
        if (m_location.faults.isFull())
            return;
        if (std::find(m_knownKeys.begin(), m_knownKeys.end(), key) != m_knownKeys.end())
            continue;
        const auto nearest = key.size() <= maxComparedBytes ? nearestName(key, m_knownKeys) : std::nullopt;
        std::string allowed = nearest ? "\"" + *nearest + "\" (the most similar known key)" : "one of";
        for (size_t index = 0; !nearest && index < m_knownKeys.size(); ++index)
            allowed += (index ? ", \"" : " \"") + m_knownKeys[index] + "\"";
        m_location.faults.add(m_location.section, childPointer(m_location.pointer, key),
            "the unknown key " + quotedExcerpt(key), allowed);
    }
}

} // namespace skylark
