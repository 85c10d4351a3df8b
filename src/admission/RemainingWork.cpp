#include "admission/RemainingWork.h"

#include <algorithm>

namespace skylark {

void RemainingWork::add(uint64_t call, Duration expected)
{
    if (m_waiting.emplace(call, expected).second)
        m_waitingWork += expected;
}

void RemainingWork::start(uint64_t call, TimePoint now)
{
    const auto found = m_waiting.find(call);
    if (found == m_waiting.end())
        return;
    m_running.emplace(call, RunningCall { .expected = found->second, .startedAt = now });
    m_waitingWork -= found->second;
    m_waiting.erase(found);
}

void RemainingWork::remove(uint64_t call)
{
    if (const auto found = m_waiting.find(call); found != m_waiting.end()) {
        m_waitingWork -= found->second;
        m_waiting.erase(found);
        return;
    }
    m_running.erase(call);
}

Duration RemainingWork::remaining(TimePoint now) const
{
    Duration sum = m_waitingWork;
    for (const auto& [call, running] : m_running) {
        const auto least = std::chrono::duration_cast<Duration>(running.expected * overdueShare);
        sum += std::max(least, running.expected - (now - running.startedAt));
    }
    return sum;
}

} // namespace skylark
