#include "admission/CostEstimator.h"

#include "base/Digest.h"

#include <algorithm>
#include <bit>
#include <cmath>

namespace skylark {

namespace {

    double inSeconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }
    double secondsOf(TimePoint time) { return inSeconds(time.time_since_epoch()); }

    // One class for each factor of four; requests without a body are class 0.
    int sizeClass(uint64_t bytes) { return (std::bit_width(bytes) + 1) / 2; }

    // Path below the route's prefix, without the query and with at most maxPathBytes.
    std::string_view pathBelow(const CostRequest& request)
    {
        std::string_view path = request.target.substr(0, request.target.find('?'));
        if (path.starts_with(request.routePrefix))
            path.remove_prefix(request.routePrefix.size());
        while (path.starts_with('/'))
            path.remove_prefix(1);
        return path.substr(0, CostEstimator::maxPathBytes);
    }

    std::string_view takeSegment(std::string_view& path)
    {
        const size_t end = std::min(path.find('/'), path.size());
        const std::string_view segment = path.substr(0, end);
        path.remove_prefix(std::min(end + 1, path.size()));
        return segment;
    }

    // The same in each process, unlike absl::Hash, so that seeded tests are reproducible.
    uint64_t hashOf(std::string_view text, uint64_t seed)
    {
        // Zero marks an empty entry.
        return std::max<uint64_t>(1, seededHash(text, seed));
    }

} // namespace

CostEstimator::CostEstimator(CostEstimatorOptions options)
    : m_options(options)
    , m_fine(fineSets * fineWays)
    , m_recent(recentKeys)
{
}

CostEstimator::FineKeys CostEstimator::fineKeys(const CostRequest& request)
{
    std::string_view path = pathBelow(request);
    FineKeys keys {};
    const uint64_t route = hashOf(request.route, hashOf(request.service, 0));
    keys[0] = hashOf(request.method, route + static_cast<uint64_t>(sizeClass(request.bodyBytes)));
    // A level whose segment is empty has the key 0, and the coarser one stands for it.
    for (size_t level = 1; level < fineLevels && !path.empty(); ++level)
        keys[level] = hashOf(takeSegment(path), keys[level - 1]);
    return keys;
}

double CostEstimator::weightOf(const Mean& mean, double now) const
{
    return mean.weight * std::exp(-std::max(0.0, now - mean.updatedAt) / inSeconds(m_options.memory));
}

void CostEstimator::add(Mean& mean, double seconds, double now) const
{
    const double weight = std::min(weightOf(mean, now), m_options.maxWeight - 1) + 1;
    mean.seconds += (seconds - mean.seconds) / weight;
    mean.weight = weight;
    mean.updatedAt = now;
}

double CostEstimator::combine(const Mean* mean, double coarser, double now) const
{
    if (!mean)
        return coarser;
    // Without a coarser value there is nothing to be drawn to.
    const double priorWeight = coarser > 0 ? m_options.priorWeight : 0;
    const double weight = weightOf(*mean, now);
    return weight + priorWeight > 0 ? (weight * mean->seconds + priorWeight * coarser) / (weight + priorWeight)
                                    : mean->seconds;
}

size_t CostEstimator::indexOf(uint64_t key) const
{
    const size_t begin = key % fineSets * fineWays;
    for (size_t index = begin; index < begin + fineWays; ++index) {
        if (m_fine[index].key == key)
            return index;
    }
    return m_fine.size();
}

bool CostEstimator::wasSeenRecently(uint64_t key, double now)
{
    Sighting& sighting = m_recent[key / fineSets % recentKeys];
    const auto fingerprint = static_cast<uint32_t>(key >> 32);
    const bool isSame = sighting.fingerprint == fingerprint;
    const bool isRecent = sighting.seenAt > 0 && now - sighting.seenAt <= inSeconds(m_options.admissionPeriod);
    sighting = { .fingerprint = fingerprint, .seenAt = now };
    return isSame && isRecent;
}

CostEstimator::Mean* CostEstimator::findOrAdmit(uint64_t key, double now)
{
    if (const size_t index = indexOf(key); index < m_fine.size())
        return &m_fine[index].mean;
    if (!wasSeenRecently(key, now))
        return nullptr;
    auto* set = &m_fine[key % fineSets * fineWays];
    auto* lightest = std::min_element(set, set + fineWays, [&](const FineEntry& left, const FineEntry& right) {
        return weightOf(left.mean, now) < weightOf(right.mean, now);
    });
    if (weightOf(lightest->mean, now) >= m_options.replaceableWeight)
        return nullptr;
    *lightest = { .key = key };
    return &lightest->mean;
}

Duration CostEstimator::expected(const CostRequest& request, TimePoint now) const
{
    const double seconds = secondsOf(now);
    const auto coarse = [](const Coarse& table, std::string_view name) {
        const auto found = table.find(absl::string_view(name.data(), name.size()));
        return found == table.end() ? nullptr : &found->second;
    };
    double estimate = combine(coarse(m_services, request.service), 0, seconds);
    estimate = combine(coarse(m_routes, request.route), estimate, seconds);
    for (const uint64_t key : fineKeys(request)) {
        if (const size_t index = indexOf(key); key != 0 && index < m_fine.size())
            estimate = combine(&m_fine[index].mean, estimate, seconds);
    }
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(estimate));
}

void CostEstimator::record(const CostRequest& request, Duration serviceTime, TimePoint now)
{
    const double seconds = inSeconds(std::min(serviceTime, m_options.maxServiceTime));
    if (seconds <= 0)
        return;
    const double nowSeconds = secondsOf(now);
    const auto addCoarse = [&](Coarse& table, std::string_view name, size_t maxEntries) {
        const absl::string_view key(name.data(), name.size());
        const auto found = table.find(key);
        if (found != table.end())
            add(found->second, seconds, nowSeconds);
        else if (table.size() < maxEntries)
            add(table[std::string(name)], seconds, nowSeconds);
    };
    addCoarse(m_services, request.service, m_options.maxServices);
    addCoarse(m_routes, request.route, m_options.maxRoutes);
    for (const uint64_t key : fineKeys(request)) {
        if (key == 0)
            break;
        if (Mean* mean = findOrAdmit(key, nowSeconds))
            add(*mean, seconds, nowSeconds);
    }
}

size_t CostEstimator::fineEntries() const
{
    return static_cast<size_t>(
        std::count_if(m_fine.begin(), m_fine.end(), [](const FineEntry& entry) { return entry.key != 0; }));
}

} // namespace skylark
