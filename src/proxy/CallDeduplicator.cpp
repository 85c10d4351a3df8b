#include "proxy/CallDeduplicator.h"

#include "base/Invariant.h"

#include <algorithm>

namespace skylark {

CallDeduplicator::CallDeduplicator(CallDeduplicatorOptions options)
    : m_options(options)
{
}

CallArrival CallDeduplicator::begin(const CallKey& key, TimePoint deadline, TimePoint now)
{
    advance(now);
    if (const auto known = m_entries.find(key); known != m_entries.end())
        return known->second.reply ? CallArrival::Ended : CallArrival::Running;
    if (m_entries.size() >= m_options.capacity)
        return CallArrival::CapacityExceeded;
    m_entries.emplace(key, Entry { .deadline = deadline });
    return CallArrival::New;
}

void CallDeduplicator::end(const CallKey& key, GateReplyPtr reply, TimePoint now)
{
    const auto known = m_entries.find(key);
    invariant(known != m_entries.end() && !known->second.reply, { .rule = "a call ends once", .step = "call-ledger" });
    known->second.reply = std::move(reply);
    m_ended.push_back({ .at = std::max(now, known->second.deadline) + m_options.margin, .key = key });
}

GateReplyPtr CallDeduplicator::reply(const CallKey& key) const
{
    const auto known = m_entries.find(key);
    return known == m_entries.end() ? nullptr : known->second.reply;
}

void CallDeduplicator::advance(TimePoint now)
{
    while (!m_ended.empty() && m_ended.front().at <= now) {
        m_entries.erase(m_ended.front().key);
        m_ended.pop_front();
    }
}

} // namespace skylark
