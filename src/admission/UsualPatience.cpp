#include "admission/UsualPatience.h"

#include <algorithm>

namespace skylark {

void UsualPatience::note(Duration remaining)
{
    const Duration rounded = remaining / step * step;
    Counter* free = nullptr;
    for (Counter& counter : m_counters) {
        if (counter.count > 0 && counter.value == rounded) {
            // Bounded, so that a change of the callers' habit shows within a thousand requests.
            counter.count = std::min(counter.count + 1, mostCount);
            return;
        }
        if (counter.count == 0)
            free = &counter;
    }
    if (free) {
        *free = { .value = rounded, .count = 1 };
        return;
    }
    for (Counter& counter : m_counters)
        --counter.count;
}

Duration UsualPatience::waitedBefore(Duration remaining) const
{
    constexpr uint32_t leastCount = 5;
    const auto most = std::max_element(m_counters.begin(), m_counters.end(),
        [](const Counter& left, const Counter& right) { return left.count < right.count; });
    if (most->count < leastCount)
        return Duration::zero();
    return std::max(Duration::zero(), most->value - remaining);
}

} // namespace skylark
