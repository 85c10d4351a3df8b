#include "proxy/ServerNotices.h"

#include <absl/strings/numbers.h>
#include <algorithm>
#include <cmath>

namespace skylark {

namespace {

    constexpr size_t maxEntries = 4096;

} // namespace

ServerNotice readServerNotice(const HttpHeaders& headers, const HttpConventions& conventions)
{
    ServerNotice notice;
    if (const std::string* text = findHeader(headers, conventions.serverLimit)) {
        const bool isNumber = absl::SimpleAtod(*text, &notice.rate);
        const bool isValid = isNumber && std::isfinite(notice.rate) && notice.rate >= 0;
        notice.rateNotice = isValid ? RateNotice::Named : RateNotice::Invalid;
    }
    const std::string* leaving = findHeader(headers, conventions.serverLeaving);
    notice.isLeaving = leaving && *leaving == "1";
    return notice;
}

ServerNotices::Entry& ServerNotices::entryOf(const Server& server, TimePoint now)
{
    const auto found = m_entries.find(server.id);
    if (found == m_entries.end() && m_entries.size() >= maxEntries)
        removeOldest();
    Entry& entry = m_entries[server.id];
    if (entry.server.incarnation < server.incarnation)
        entry = { .server = server };
    entry.heardAt = now;
    return entry;
}

void ServerNotices::removeOldest()
{
    const auto oldest = std::min_element(m_entries.begin(), m_entries.end(),
        [](const auto& left, const auto& right) { return left.second.heardAt < right.second.heardAt; });
    m_entries.erase(oldest);
}

void ServerNotices::record(const Server& server, const ServerNotice& notice, TimePoint now)
{
    const bool saysNothing = notice.rateNotice == RateNotice::None && !notice.isLeaving;
    if (saysNothing && !m_entries.contains(server.id))
        return;
    Entry& entry = entryOf(server, now);
    // An answer of an earlier start that arrives late.
    if (entry.server.incarnation != server.incarnation)
        return;
    entry.isLeaving |= notice.isLeaving;
    if (notice.rateNotice == RateNotice::Named)
        entry.rate = notice.rate;
    else if (notice.rateNotice == RateNotice::None && !entry.isLeaving)
        m_entries.erase(server.id);
}

size_t ServerNotices::indexOf(int rank) { return std::min(static_cast<size_t>(std::max(0, rank)), rankCount - 1); }

TimePoint ServerNotices::Entry::pauseEnd(int rank) const
{
    const auto end = pausedUntil.begin() + static_cast<std::ptrdiff_t>(indexOf(rank)) + 1;
    return *std::max_element(pausedUntil.begin(), end);
}

void ServerNotices::pause(const Server& server, TimePoint until, TimePoint now, int rank)
{
    Entry& entry = entryOf(server, now);
    if (entry.server.incarnation != server.incarnation)
        return;
    TimePoint& pausedUntil = entry.pausedUntil[indexOf(rank)];
    pausedUntil = std::max(pausedUntil, until);
}

void ServerNotices::update(const MembershipView& view)
{
    absl::erase_if(m_entries, [&view](const auto& entry) {
        const InstanceState* state = view.find(entry.first);
        return state && state->record.incarnation > entry.second.server.incarnation;
    });
}

std::optional<double> ServerNotices::rate(const InstanceId& id, Incarnation incarnation) const
{
    const auto found = m_entries.find(id);
    if (found == m_entries.end() || found->second.server.incarnation != incarnation)
        return std::nullopt;
    return found->second.rate;
}

std::vector<InstanceId> ServerNotices::unusable(const ServiceName& service, TimePoint now, int rank) const
{
    std::vector<InstanceId> ids;
    for (const auto& [id, entry] : m_entries) {
        if (entry.server.service == service && (entry.isLeaving || entry.pauseEnd(rank) > now))
            ids.push_back(id);
    }
    return ids;
}

Duration ServerNotices::nextTurn(const ServiceName& service, Duration turn, Duration maxDelay, TimePoint now)
{
    if (m_lastTurn.size() >= maxEntries && !m_lastTurn.contains(service))
        m_lastTurn.clear();
    TimePoint& last = m_lastTurn[service];
    if (last < now || last + turn > now + maxDelay)
        last = now;
    last += turn;
    return last - now;
}

std::optional<Duration> ServerNotices::shortestPause(const ServiceName& service, TimePoint now, int rank) const
{
    std::optional<Duration> shortest;
    for (const auto& [id, entry] : m_entries) {
        const TimePoint pauseEnd = entry.pauseEnd(rank);
        if (entry.server.service == service && !entry.isLeaving && pauseEnd > now)
            shortest = std::min(shortest.value_or(Duration::max()), Duration(pauseEnd - now));
    }
    return shortest;
}

} // namespace skylark
