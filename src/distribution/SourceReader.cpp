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
    m_watch = Request { .number = ++m_lastNumber, .sent = now };
    return { .number = m_lastNumber, .prefix = sourcePrefix, .after = after, .wait = watchWait };
}

bool SourceReader::endWatch(uint64_t number)
{
    if (!m_watch || m_watch->number != number)
        return false;
    m_watch.reset();
    return true;
}

void SourceReader::want(const std::string& key, Revision revision, TimePoint due)
{
    const auto found = m_wanted.find(key);
    if (found != m_wanted.end()) {
        found->second.revision = std::max(found->second.revision, revision);
        // A failed read keeps its backoff.
        if (found->second.failures == 0)
            found->second.due = std::min(found->second.due, due);
        return;
    }
    if (m_wanted.size() < maxWanted)
        m_wanted.emplace(key, Wanted { .revision = revision, .due = due });
}

std::vector<ReadKey> SourceReader::dueReads(TimePoint now,
    const std::function<bool(const std::string&, Revision)>& isNeeded, const std::function<bool()>& tryRead)
{
    std::vector<ReadKey> reads;
    absl::erase_if(m_wanted,
        [&](const auto& entry) { return !entry.second.isReading && !isNeeded(entry.first, entry.second.revision); });
    for (auto& [key, wanted] : m_wanted) {
        if (wanted.isReading || wanted.due > now)
            continue;
        if (m_reads.size() >= maxReadsAtOnce || !tryRead())
            break;
        wanted.isReading = true;
        m_reads.push_back({ .number = ++m_lastNumber, .key = key, .sent = now });
        reads.push_back({ .number = m_lastNumber, .key = key });
    }
    invariant(m_reads.size() <= maxReadsAtOnce, { .rule = "reads at one time are bounded", .step = "read-source" });
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

std::optional<std::string> SourceReader::endRead(uint64_t number, Revision answered, TimePoint now, Random& random)
{
    std::optional<std::string> key = takeRead(number);
    const auto found = key ? m_wanted.find(*key) : m_wanted.end();
    if (found == m_wanted.end())
        return key;
    if (answered < found->second.revision)
        postpone(found->second, now, random);
    else
        m_wanted.erase(found);
    return key;
}

void SourceReader::postpone(Wanted& wanted, TimePoint now, Random& random)
{
    // Full jitter, as in base/Backoff.h: up to 0.5 s after the first failure, up to 8 s from the fifth on.
    constexpr int mostDoublings = 4;
    const int doublings = std::min(wanted.failures, mostDoublings);
    const Duration ceiling = std::chrono::milliseconds(500) * (int64_t { 1 } << doublings);
    ++wanted.failures;
    wanted.isReading = false;
    wanted.due = now + random.upTo(ceiling);
}

std::optional<std::string> SourceReader::failRead(uint64_t number, TimePoint now, Random& random)
{
    std::optional<std::string> key = takeRead(number);
    const auto found = key ? m_wanted.find(*key) : m_wanted.end();
    if (found != m_wanted.end())
        postpone(found->second, now, random);
    return key;
}

void SourceReader::endBackoff(TimePoint now)
{
    for (auto& [key, wanted] : m_wanted) {
        if (wanted.failures == 0)
            continue;
        wanted.failures = 0;
        wanted.due = now;
    }
}

SourceReader::Lost SourceReader::lost(TimePoint now) const
{
    Lost result;
    if (m_watch && now - m_watch->sent >= answerTimeout)
        result.watch = m_watch->number;
    for (const Request& read : m_reads)
        if (now - read.sent >= answerTimeout)
            result.reads.push_back(read.number);
    return result;
}

void SourceReader::reset()
{
    m_watch.reset();
    m_reads.clear();
    m_wanted.clear();
}

} // namespace skylark
