#include "base/MemoryBudget.h"

#include <algorithm>

namespace skylark {

MemoryBudgetOptions memoryBudgetFor(size_t instanceBytes)
{
    constexpr size_t minProgramBytes = size_t { 32 } << 20;
    constexpr size_t programShare = 4;
    constexpr size_t reservedShare = 6;
    const size_t programBytes = std::max(minProgramBytes, instanceBytes / programShare);
    // At least a quarter, so that an instance with less memory than the program's share serves small requests.
    const size_t total = std::max(instanceBytes / 4, instanceBytes - std::min(instanceBytes, programBytes));
    return { .totalBytes = total, .reservedBytes = total / reservedShare };
}

bool MemoryBudget::change(size_t oldBytes, size_t newBytes)
{
    if (newBytes > oldBytes) {
        const size_t limit
            = newBytes > m_options.smallBytes ? m_options.totalBytes - m_options.reservedBytes : m_options.totalBytes;
        const size_t increase = newBytes - oldBytes;
        if (increase > limit || m_chargedBytes > limit - increase)
            return false;
    }
    m_chargedBytes = m_chargedBytes - oldBytes + newBytes;
    return true;
}

bool MemoryCharge::resize(size_t bytes)
{
    if (m_budget && !m_budget->change(m_bytes, bytes))
        return false;
    m_bytes = bytes;
    return true;
}

} // namespace skylark
