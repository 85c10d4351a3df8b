#include "distribution/SourceReader.h"

#include "base/Invariant.h"

#include <algorithm>

namespace skylark {

namespace {
    constexpr std::string_view instancesPrefix = "skylarkbay/instances/";
} // namespace

std::string instancesKey(const ZoneName& zone) { return std::string(instancesPrefix) + zone.value(); }

std::string sectionKey(const SectionName& name, const Digest& digest)
{
    return std::string(sourcePrefix) + "sections/" + name.value() + "/" + digest.hex();
}

std::optional<ZoneName> zoneOfKey(const std::string& key)
{
    if (!key.starts_with(instancesPrefix) || key.size() == instancesPrefix.size())
        return std::nullopt;
    return ZoneName(key.substr(instancesPrefix.size()));
}

Watch SourceReader::beginWatch(Revision after, TimePoint now)
{
    m_watch = Request { .number = ++m_lastNumber, .sentTime = now };
    return { .number = m_lastNumber, .prefix = sourcePrefix, .after = after, .wait = watchWait };
}

bool SourceReader::completeWatch(uint64_t number)
{
    if (!m_watch || m_watch->number != number)
        return false;
    m_watch.reset();
    return true;
}

void SourceReader::scheduleRead(const std::string& key, Revision revision, TimePoint due)
{
    const auto found = m_scheduledReads.find(key);
    if (found != m_scheduledReads.end()) {
        found->second.revision = std::max(found->second.revision, revision);
        // A failed read keeps its backoff.
        if (found->second.failures == 0)
            found->second.due = std::min(found->second.due, due);
        return;
    }
    if (m_scheduledReads.size() < maxScheduledReads)
        m_scheduledReads.emplace(key, ScheduledRead { .revision = revision, .due = due });
}

std::vector<ReadKey> SourceReader::dueReads(TimePoint now,
    const std::function<bool(const std::string&, Revision)>& isNeeded, const std::function<bool()>& tryRead)
{
    std::vector<ReadKey> reads;
    absl::erase_if(m_scheduledReads,
        [&](const auto& entry) { return !entry.second.isReading && !isNeeded(entry.first, entry.second.revision); });
    for (auto& [key, scheduled] : m_scheduledReads) {
        if (scheduled.isReading || scheduled.due > now)
            continue;
        if (m_reads.size() >= maxConcurrentReads || !tryRead())
            break;
        scheduled.isReading = true;
        m_reads.push_back({ .number = ++m_lastNumber, .key = key, .sentTime = now });
        reads.push_back({ .number = m_lastNumber, .key = key });
    }
    invariant(m_reads.size() <= maxConcurrentReads,
        { .rule = "the number of concurrent source reads is bounded", .step = "read-source" });
    return reads;
}

std::optional<std::string> SourceReader::takeRead(uint64_t number)
{
    const auto found
        = std::find_if(m_reads.begin(), m_reads.end(), [&](const Request& read) { return read.number == number; });
    if (found == m_reads.end())
        return std::nullopt;
    std::string key = found->key;
    m_reads.erase(found);
    return key;
}

std::optional<std::string> SourceReader::completeRead(
    uint64_t number, Revision responseRevision, TimePoint now, Random& random)
{
    std::optional<std::string> key = takeRead(number);
    const auto found = key ? m_scheduledReads.find(*key) : m_scheduledReads.end();
    if (found == m_scheduledReads.end())
        return key;
    if (responseRevision < found->second.revision)
        scheduleRetry(found->second, now, random);
    else
        m_scheduledReads.erase(found);
    return key;
}

void SourceReader::scheduleRetry(ScheduledRead& scheduled, TimePoint now, Random& random)
{
    // Full jitter, as in base/Backoff.h: up to 0.5 s after the first failure, up to 8 s from the fifth on.
    constexpr int maxDoublings = 4;
    const int doublings = std::min(scheduled.failures, maxDoublings);
    const Duration ceiling = std::chrono::milliseconds(500) * (int64_t { 1 } << doublings);
    ++scheduled.failures;
    scheduled.isReading = false;
    scheduled.due = now + random.upTo(ceiling);
}

std::optional<std::string> SourceReader::failRead(uint64_t number, TimePoint now, Random& random)
{
    std::optional<std::string> key = takeRead(number);
    const auto found = key ? m_scheduledReads.find(*key) : m_scheduledReads.end();
    if (found != m_scheduledReads.end())
        scheduleRetry(found->second, now, random);
    return key;
}

void SourceReader::endBackoff(TimePoint now)
{
    for (auto& [key, scheduled] : m_scheduledReads) {
        if (scheduled.failures == 0)
            continue;
        scheduled.failures = 0;
        scheduled.due = now;
    }
}

SourceReader::TimedOutRequests SourceReader::timedOutRequests(TimePoint now) const
{
    TimedOutRequests result;
    if (m_watch && now - m_watch->sentTime >= responseTimeout)
        result.watch = m_watch->number;
    for (const Request& read : m_reads)
        if (now - read.sentTime >= responseTimeout)
            result.reads.push_back(read.number);
    return result;
}

void SourceReader::reset()
{
    m_watch.reset();
    m_reads.clear();
    m_scheduledReads.clear();
}

} // namespace skylark
