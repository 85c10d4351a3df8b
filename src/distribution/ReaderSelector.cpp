#include "distribution/ReaderSelector.h"

#include <algorithm>

namespace skylark {

namespace {

    // Number of readers of one zone that are tracked; more than 8 read only briefly during a handover.
    constexpr size_t maxReaderStates = 16;
    // Number of members that get marks directly. It is large enough for gossip to reach the higher ranks before their
    // longer silence timeout ends.
    constexpr size_t maxStandbys = 24;
    // Represents "never" in a mark, whose ages are not optional.
    constexpr Duration never = std::chrono::hours(24);

} // namespace

uint64_t readerPriority(const InstanceId& id, const ZoneName& zone)
{
    constexpr uint64_t readerSeed = 0x7265616465727321;
    return seededHash(id.value(), seededHash(zone.value(), readerSeed));
}

ReaderSelector::ReaderSelector(ReaderOptions options, InstanceId self, ZoneName zone, TimePoint now)
    : m_options(options)
    , m_self(std::move(self))
    , m_zone(std::move(zone))
    , m_startTime(now)
    , m_nextAttempt(now)
    , m_backoff(options.backoff)
    , m_readLimiter(options.reads, now)
{
}

void ReaderSelector::setView(const MembershipView& view)
{
    std::vector<std::pair<uint64_t, const InstanceId*>> others;
    const uint64_t ownPriority = readerPriority(m_self, m_zone);
    m_rank = 0;
    for (const InstanceState* member : view.ofZone(m_zone)) {
        if (member->condition != Condition::Live || member->record.id == m_self)
            continue;
        const uint64_t priority = readerPriority(member->record.id, m_zone);
        others.emplace_back(priority, &member->record.id);
        m_rank += priority < ownPriority ? 1 : 0;
    }
    const size_t standbyCount = std::min(maxStandbys, others.size());
    std::partial_sort(others.begin(), others.begin() + static_cast<ptrdiff_t>(standbyCount), others.end());
    m_standbys.clear();
    for (size_t index = 0; index < standbyCount; ++index)
        m_standbys.push_back(*others[index].second);
}

void ReaderSelector::update(const InstanceId& reader, const ReaderState& reported)
{
    ReaderState& state = m_readerStates[reader];
    state.revision = std::max(state.revision, reported.revision);
    state.lastAttempt = std::max(state.lastAttempt, reported.lastAttempt);
    if (reported.lastSuccess)
        state.lastSuccess = std::max(state.lastSuccess.value_or(*reported.lastSuccess), *reported.lastSuccess);
    if (m_readerStates.size() <= maxReaderStates)
        return;
    const auto oldestReader = std::min_element(m_readerStates.begin(), m_readerStates.end(),
        [](const auto& left, const auto& right) { return left.second.lastAttempt < right.second.lastAttempt; });
    m_readerStates.erase(oldestReader);
}

void ReaderSelector::recordMark(const FreshnessMark& mark, TimePoint now)
{
    if (mark.zone != m_zone || mark.reader == m_self)
        return;
    ReaderState reported { .revision = mark.sourceRevision,
        .lastAttempt = now - std::clamp(mark.sinceAttempt, Duration(), never) };
    if (mark.sinceSuccess < never)
        reported.lastSuccess = now - std::max(mark.sinceSuccess, Duration());
    update(mark.reader, reported);
}

void ReaderSelector::recordOwnAttempt(TimePoint now) { update(m_self, { .lastAttempt = now }); }

void ReaderSelector::recordOwnSuccess(Revision revision, TimePoint now)
{
    update(m_self, { .revision = revision, .lastAttempt = now, .lastSuccess = now });
    m_backoff.reset();
    m_nextAttempt = now;
}

void ReaderSelector::recordOwnFailure(TimePoint now, Random& random)
{
    update(m_self, { .lastAttempt = now });
    m_nextAttempt = now + m_backoff.next(random);
}

std::optional<TimePoint> ReaderSelector::lastSuccess() const
{
    std::optional<TimePoint> last;
    for (const auto& [reader, state] : m_readerStates)
        last = std::max(last, state.lastSuccess);
    return last;
}

TimePoint ReaderSelector::lastAttempt(bool isLowerRankedOnly) const
{
    const uint64_t ownPriority = readerPriority(m_self, m_zone);
    TimePoint last = m_startTime;
    for (const auto& [reader, state] : m_readerStates)
        if (reader != m_self && (!isLowerRankedOnly || readerPriority(reader, m_zone) < ownPriority))
            last = std::max(last, state.lastAttempt);
    return last;
}

size_t ReaderSelector::wantedReaders(TimePoint now) const
{
    const Duration timeWithoutSuccess = now - std::max(lastSuccess().value_or(m_startTime), m_startTime);
    if (timeWithoutSuccess < m_options.extraReaderInterval)
        return m_options.wantedReaders;
    const auto extraReaders
        = static_cast<size_t>((timeWithoutSuccess - m_options.extraReaderInterval) / m_options.extraReaderInterval);
    return std::min(m_options.wantedReaders + extraReaders, m_options.maxReaders);
}

bool ReaderSelector::shouldWatch(TimePoint now)
{
    if (m_rank < wantedReaders(now)) {
        m_isReading = true;
    } else if (m_isReading) {
        m_isReading = now - lastAttempt(true) >= m_options.silenceTimeout;
    } else {
        const Duration silenceTimeout
            = m_options.silenceTimeout + m_options.silenceTimeoutPerRank * static_cast<int64_t>(m_rank);
        m_isReading = now - lastAttempt(false) >= silenceTimeout;
    }
    return m_isReading;
}

std::optional<FreshnessMark> ReaderSelector::mark(TimePoint now) const
{
    const auto latestReader = std::max_element(m_readerStates.begin(), m_readerStates.end(),
        [](const auto& left, const auto& right) { return left.second.lastAttempt < right.second.lastAttempt; });
    if (latestReader == m_readerStates.end())
        return std::nullopt;
    Revision revision;
    for (const auto& [reader, state] : m_readerStates)
        revision = std::max(revision, state.revision);
    const std::optional<TimePoint> success = lastSuccess();
    return FreshnessMark { .zone = m_zone,
        .reader = latestReader->first,
        .sourceRevision = revision,
        .sinceAttempt = now - latestReader->second.lastAttempt,
        .sinceSuccess = success ? now - *success : never };
}

void ReaderSelector::resetAfterPause(TimePoint now)
{
    m_readerStates.clear();
    m_startTime = now;
    m_nextAttempt = now;
    m_isReading = false;
}

} // namespace skylark
