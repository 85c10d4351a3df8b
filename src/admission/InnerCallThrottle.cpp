#include "admission/InnerCallThrottle.h"

#include <algorithm>

namespace skylark {

InnerCallThrottle::InnerCallThrottle(InnerCallThrottleOptions options)
    : m_options(options)
{
}

void InnerCallThrottle::noteRun(int rank, bool isWasted, TimePoint now)
{
    if (rank <= 0)
        return;
    const auto index = static_cast<size_t>(rank);
    if (m_ranks.size() <= index)
        m_ranks.resize(index + 1);
    Rank& state = m_ranks[index];
    ++state.runs;
    state.wasted += isWasted ? 1 : 0;
    state.lastRun = now;
    if (now - state.began < m_options.interval || state.runs < m_options.leastRuns)
        return;
    const double wastedPart = static_cast<double>(state.wasted) / state.runs;
    const double next = state.share * (1 - m_options.decrease * wastedPart) + m_options.increase;
    state.share = std::clamp(next, m_options.leastShare, 1.0);
    state.runs = 0;
    state.wasted = 0;
    state.began = now;
}

bool InnerCallThrottle::admits(int rank, Random& random, TimePoint now)
{
    if (rank <= 0 || static_cast<size_t>(rank) >= m_ranks.size())
        return true;
    Rank& state = m_ranks[static_cast<size_t>(rank)];
    if (now - state.lastRun > m_options.memory)
        state.share = 1;
    return state.share >= 1 || random.unit() < state.share;
}

double InnerCallThrottle::share(int rank) const
{
    return rank <= 0 || static_cast<size_t>(rank) >= m_ranks.size() ? 1 : m_ranks[static_cast<size_t>(rank)].share;
}

} // namespace skylark
