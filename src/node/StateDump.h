// Conversions for the admin pages.
#pragma once

#include "transport/TrafficCounters.h"

#include <nlohmann/json.hpp>

namespace skylark {

inline int64_t toMilliseconds(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

uint64_t controlBytes(const TrafficByType& traffic);
nlohmann::json trafficToJson(const TrafficSnapshot& traffic);

} // namespace skylark
