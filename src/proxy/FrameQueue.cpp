#include "proxy/FrameQueue.h"

#include <algorithm>

namespace skylark {

void FrameQueue::add(StreamId stream, uint32_t rank, SharedBody body)
{
    cancel(stream);
    if (body->empty())
        return;
    m_pendingBytes += body->size();
    const auto [position, isNew] = m_ranks.try_emplace(rank);
    if (isNew)
        position->second.servedAt = m_pieces;
    position->second.entries.push_back({ .stream = stream, .body = std::move(body) });
}

size_t FrameQueue::cancel(StreamId stream)
{
    for (auto rank = m_ranks.begin(); rank != m_ranks.end(); ++rank) {
        std::deque<Entry>& entries = rank->second.entries;
        const auto found = std::find_if(
            entries.begin(), entries.end(), [stream](const Entry& entry) { return entry.stream == stream; });
        if (found == entries.end())
            continue;
        const size_t bytes = found->remaining();
        m_pendingBytes -= bytes;
        entries.erase(found);
        if (entries.empty())
            m_ranks.erase(rank);
        return bytes;
    }
    return 0;
}

std::map<uint32_t, FrameQueue::Rank>::iterator FrameQueue::nextRank()
{
    if (m_ranks.size() <= 1 || m_urgentRun < maxUrgentRun) {
        m_urgentRun = m_ranks.size() > 1 ? m_urgentRun + 1 : 0;
        return m_ranks.begin();
    }
    m_urgentRun = 0;
    return std::min_element(std::next(m_ranks.begin()), m_ranks.end(),
        [](const auto& left, const auto& right) { return left.second.servedAt < right.second.servedAt; });
}

std::optional<BodyChunk> FrameQueue::next()
{
    if (m_ranks.empty())
        return std::nullopt;
    const auto rank = nextRank();
    std::deque<Entry>& entries = rank->second.entries;
    rank->second.servedAt = ++m_pieces;
    Entry entry = std::move(entries.front());
    entries.pop_front();
    const size_t size = std::min(pieceBytes, entry.remaining());
    BodyChunk chunk { .stream = entry.stream,
        .offset = entry.offset,
        .data = entry.body->substr(entry.offset, size),
        .isLast = size == entry.remaining() };
    entry.offset += size;
    m_pendingBytes -= size;
    if (!chunk.isLast)
        entries.push_back(std::move(entry));
    else if (entries.empty())
        m_ranks.erase(rank);
    return chunk;
}

} // namespace skylark
