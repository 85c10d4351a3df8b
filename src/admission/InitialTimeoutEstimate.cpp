#include "admission/InitialTimeoutEstimate.h"

#include <algorithm>

namespace skylark {

void InitialTimeoutEstimate::record(Duration remaining)
{
    const Duration rounded = remaining / resolution * resolution;
    Counter* unused = nullptr;
    for (Counter& counter : m_counters) {
        if (counter.count > 0 && counter.value == rounded) {
            // The bound lets a change in the callers' timeouts show within a thousand requests.
            counter.count = std::min(counter.count + 1, maxCount);
            return;
        }
        if (counter.count == 0)
            unused = &counter;
    }
    if (unused) {
        *unused = { .value = rounded, .count = 1 };
        return;
    }
    for (Counter& counter : m_counters)
        --counter.count;
}

Duration InitialTimeoutEstimate::elapsedSinceFirstAttempt(Duration remaining) const
{
    constexpr uint32_t minCount = 5;
    const auto mostFrequent = std::max_element(m_counters.begin(), m_counters.end(),
        [](const Counter& left, const Counter& right) { return left.count < right.count; });
    if (mostFrequent->count < minCount)
        return Duration::zero();
    return std::max(Duration::zero(), mostFrequent->value - remaining);
}

} // namespace skylark
