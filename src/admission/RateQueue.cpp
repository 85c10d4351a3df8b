#include "admission/RateQueue.h"

#include <algorithm>

namespace skylark {

std::vector<TicketId> RateQueue::offer(const Entry& entry, const Turns& turns, TimePoint now)
{
    const auto position = std::upper_bound(m_entries.begin(), m_entries.end(), entry,
        [](const Entry& left, const Entry& right) { return left.rank < right.rank; });
    m_entries.insert(position, entry);
    std::vector<TicketId> refused = expire(turns, now);
    if (m_entries.size() > m_maxSize) {
        refused.push_back(m_entries.back().id);
        m_entries.pop_back();
    }
    return refused;
}

std::vector<TicketId> RateQueue::expire(const Turns& turns, TimePoint now)
{
    std::vector<TicketId> refused;
    TimePoint turn = now + turns.first;
    std::erase_if(m_entries, [&](const Entry& entry) {
        if (turn <= entry.startBy) {
            turn += turns.interval;
            return false;
        }
        refused.push_back(entry.id);
        return true;
    });
    return refused;
}

TicketId RateQueue::takeFirst()
{
    const TicketId id = m_entries.front().id;
    m_entries.erase(m_entries.begin());
    return id;
}

std::vector<TicketId> RateQueue::takeAll()
{
    std::vector<TicketId> ids;
    for (const Entry& entry : m_entries)
        ids.push_back(entry.id);
    m_entries.clear();
    return ids;
}

bool RateQueue::cancel(TicketId id)
{
    return std::erase_if(m_entries, [id](const Entry& entry) { return entry.id == id; }) > 0;
}

} // namespace skylark
