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
    if (const auto entry = m_entries.find(key); entry != m_entries.end())
        return entry->second.reply ? CallArrival::Ended : CallArrival::Running;
    if (m_entries.size() >= m_options.capacity)
        return CallArrival::CapacityExceeded;
    m_entries.emplace(key, Entry { .deadline = deadline });
    return CallArrival::New;
}

void CallDeduplicator::end(const CallKey& key, GateReplyPtr reply, TimePoint now)
{
    const auto entry = m_entries.find(key);
    invariant(entry != m_entries.end() && !entry->second.reply, { .rule = "a call ends once", .step = "call-ledger" });
    size_t bytes = bodyBytes(*reply);
    if (bytes > m_options.maxReplyBytes - m_replyBytes) {
        reply = makeRefusal(CallOutcome::Unknown, "call-ledger", "the reply was too large to be kept");
        bytes = 0;
    }
    m_replyBytes += bytes;
    entry->second.replyBytes = bytes;
    entry->second.reply = std::move(reply);
    m_endedCalls.push_back({ .expiresAt = std::max(now, entry->second.deadline) + m_options.margin, .key = key });
}

size_t CallDeduplicator::bodyBytes(const GateReply& reply)
{
    const auto* answer = std::get_if<GateResponse>(&reply);
    return answer ? answer->response.body.size() : 0;
}

GateReplyPtr CallDeduplicator::reply(const CallKey& key) const
{
    const auto entry = m_entries.find(key);
    return entry == m_entries.end() ? nullptr : entry->second.reply;
}

void CallDeduplicator::advance(TimePoint now)
{
    while (!m_endedCalls.empty() && m_endedCalls.front().expiresAt <= now) {
        const auto entry = m_entries.find(m_endedCalls.front().key);
        m_replyBytes -= entry->second.replyBytes;
        m_entries.erase(entry);
        m_endedCalls.pop_front();
    }
}

} // namespace skylark
