#include "routing/ServiceTable.h"

#include "routing/ZoneShares.h"

#include <absl/container/flat_hash_map.h>
#include <algorithm>
#include <map>

namespace skylark {

namespace {

    // If half of the members are healthy, eight draws fail once in 256 times. A scan of all members follows then.
    constexpr int drawAttempts = 8;
    // Assumed latency in seconds of a service before its first response.
    constexpr double unknownLatency = 0.001;

    size_t tierOf(const RouterOptions& options, const InstanceRecord& record)
    {
        if (record.region == options.region)
            return record.zone == options.zone ? 0 : 1;
        const auto found = std::find(options.regionOrder.begin(), options.regionOrder.end(), record.region);
        return 2 + static_cast<size_t>(found - options.regionOrder.begin());
    }

    double zonePenaltyOf(const LeastExpectedTime& policy, const RoutingRequest& request)
    {
        constexpr double kilobyte = 1024;
        const double penalty = policy.zonePenalty
            + policy.zonePenaltyPerKilobyte * static_cast<double>(request.expectedBytes.value()) / kilobyte;
        const double target = std::chrono::duration<double>(request.target).count();
        return target > 0 ? std::min(penalty, policy.maxPenaltyShareOfTarget * target) : penalty;
    }

    using Statistics = absl::flat_hash_map<InstanceId, std::shared_ptr<InstanceStatistics>>;

    Statistics statisticsOf(const ServiceTable* table)
    {
        Statistics result;
        if (!table)
            return result;
        for (const ZoneMembers& zone : table->zones()) {
            for (const Member& member : zone.members)
                result.emplace(member.state->record.id, member.statistics);
        }
        return result;
    }

    // A server slows down with its load even below the limit.
    constexpr double slowdownAtLimit = 0.3;
    constexpr double minSuccessRate = 0.1;
    constexpr double assumedLimit = 8;

} // namespace

std::shared_ptr<const ServiceTable> ServiceTable::build(const RouterOptions& options, const ServiceName& service,
    const std::shared_ptr<const MembershipView>& view, const ServiceTable* previous, bool isRefresh, TimePoint now)
{
    // Instances of evacuated zones are left out, so that no way of choosing can return one.
    MembershipView::Members instances = view->ofService(service);
    std::erase_if(instances, [](const InstanceState* state) { return state->isEvacuated; });
    if (instances.empty())
        return nullptr;
    auto table = std::make_shared<ServiceTable>();
    table->m_view = view;
    table->m_size = instances.size();
    table->m_ejectedCounter = previous ? previous->m_ejectedCounter : std::make_shared<std::atomic<int>>(0);
    const Statistics previousStatistics = statisticsOf(previous);
    // Regions that are not in regionOrder share a tier number; the region name in the key separates and orders them.
    std::map<std::tuple<size_t, std::string, std::string>, ZoneMembers> zones;
    for (const InstanceState* state : instances) {
        const size_t tier = tierOf(options, state->record);
        const std::string& region = state->record.region.value();
        ZoneMembers& zone = zones[{ tier, region, state->record.zone.value() }];
        Member member { .state = state };
        const auto found = previousStatistics.find(state->record.id);
        if (found != previousStatistics.end() && found->second->incarnation() == state->record.incarnation)
            member.statistics = found->second;
        else
            member.statistics = std::make_shared<InstanceStatistics>(state->record.incarnation);
        zone.tier = tier;
        zone.zone = state->record.zone;
        zone.region = state->record.region;
        const bool isOlder = zone.members.empty() || state->firstSeen < zone.oldestFirstSeen;
        zone.oldestFirstSeen = isOlder ? state->firstSeen : zone.oldestFirstSeen;
        zone.members.push_back(std::move(member));
    }
    std::string lastRegion;
    size_t tier = 0;
    for (auto& [key, zone] : zones) {
        // Each region other than the own one gets its own tier.
        tier = std::max(tier + (zone.tier >= 2 && zone.region.value() != lastRegion ? 1 : 0), zone.tier);
        lastRegion = zone.region.value();
        zone.tier = tier;
        table->m_zones.push_back(std::move(zone));
    }
    table->m_ejectedCounter->store(static_cast<int>(table->countEjected()), std::memory_order_relaxed);
    table->computeMeanLatency(now);
    table->computeMeanServiceTime();
    ZoneShares(options, now).compute(*table, previous, isRefresh);
    if (const auto* best = std::get_if<BestScore>(&options.policy))
        table->computeScores(options, best->coefficients, now);
    else if (const auto* proportional = std::get_if<ScoreProportional>(&options.policy))
        table->computeScores(options, proportional->coefficients, now);
    return table;
}

size_t ServiceTable::countEjected() const
{
    size_t count = 0;
    for (const ZoneMembers& zone : m_zones) {
        for (const Member& member : zone.members)
            count += member.statistics->isEjected() ? 1 : 0;
    }
    return count;
}

size_t ServiceTable::countNotLeaving() const
{
    size_t count = 0;
    for (const ZoneMembers& zone : m_zones) {
        for (const Member& member : zone.members)
            count += member.isLeaving() ? 0 : 1;
    }
    return count;
}

void ServiceTable::computeMeanLatency(TimePoint now)
{
    double sum = 0;
    int knownCount = 0;
    for (const ZoneMembers& zone : m_zones) {
        for (const Member& member : zone.members) {
            if (!member.statistics->hasLatency())
                continue;
            sum += member.statistics->latencySeconds(0, now);
            ++knownCount;
        }
    }
    m_meanLatency = knownCount > 0 ? sum / knownCount : unknownLatency;
}

void ServiceTable::computeMeanServiceTime()
{
    double sum = 0;
    int knownCount = 0;
    for (const ZoneMembers& zone : m_zones) {
        for (const Member& member : zone.members) {
            const double seconds = member.statistics->smoothedServiceSeconds();
            sum += seconds;
            knownCount += seconds > 0 ? 1 : 0;
        }
    }
    m_meanServiceSeconds = knownCount > 0 ? sum / knownCount : 0;
}

void ServiceTable::computeScores(const RouterOptions& options, const ScoreCoefficients& coefficients, TimePoint now)
{
    double leastLatency = m_meanLatency;
    for (const ZoneMembers& zone : m_zones) {
        for (const Member& member : zone.members)
            leastLatency = std::min(leastLatency, member.statistics->latencySeconds(m_meanLatency, now));
    }
    for (ZoneMembers& zone : m_zones) {
        for (Member& member : zone.members) {
            const InstanceStatistics& statistics = *member.statistics;
            const double latency = statistics.latencySeconds(m_meanLatency, now);
            const double limit = statistics.hint().limit;
            const double utilization
                = limit > 0 ? std::min(1.0, statistics.reportedLoad(options.loadLifetime, now) / limit) : 0;
            // Each metric ranges from 0 to 10; 10 is the best.
            member.score = coefficients.latency * (latency > 0 ? 10 * leastLatency / latency : 10)
                + coefficients.load * 10 * (1 - utilization) + coefficients.successRate * 10 * statistics.successRate();
        }
    }
}

const Member* ServiceTable::pick(const RouterOptions& options, const ZoneMembers& zone,
    std::span<const InstanceId> excluded, Random& random, TimePoint now) const
{
    struct Visitor {
        const ServiceTable& table;
        const RouterOptions& options;
        const ZoneMembers& zone;
        std::span<const InstanceId> excluded;
        Random& random;
        TimePoint now;
        const Member* operator()(const TwoChoices&) const
        {
            return table.pickOfTwo(options, zone, excluded, random, now);
        }
        const Member* operator()(const RandomChoice&) const
        {
            return table.pickRandom(options, zone, excluded, random, now, nullptr);
        }
        const Member* operator()(const LeastExpectedTime&) const
        {
            return table.pickOfTwo(options, zone, excluded, random, now);
        }
        const Member* operator()(const BestScore&) const { return pickBest(zone, excluded); }
        const Member* operator()(const ScoreProportional&) const { return pickByScore(zone, excluded, random); }
    };
    return std::visit(Visitor { *this, options, zone, excluded, random, now }, options.policy);
}

double ServiceTable::expectedTime(const RouterOptions& options, double zonePenalty, const ZoneMembers& zone,
    const Member& member, TimePoint now) const
{
    const InstanceStatistics& statistics = *member.statistics;
    const double hintLimit = statistics.hint().limit;
    const double limit = hintLimit > 0 ? hintLimit : assumedLimit;
    // Includes the new call.
    const double load = statistics.estimatedLoad(options.hintLifetime, now) + 1;
    // The service time of a new instance counts as up to almost twice as long, so that it gets fewer calls.
    const double slowStartFactor = 2 - slowStartWeight(options, zone, member, now);
    const double service = statistics.serviceSeconds(m_meanLatency) * slowStartFactor;
    const double wait = std::max(0.0, load - limit) / limit * service;
    const double time
        = service * (1 + slowdownAtLimit * std::min(1.0, load / limit)) + wait + (zone.tier > 0 ? zonePenalty : 0);
    // A failed call costs its own time and that of the next attempt.
    return time / std::max(minSuccessRate, statistics.successRate());
}

std::optional<double> ServiceTable::expectedTimeByCost(const RouterOptions& options, const RoutingRequest& request,
    double zonePenalty, const ZoneMembers& zone, const Member& member, TimePoint now) const
{
    const InstanceStatistics& statistics = *member.statistics;
    const double speed = statistics.speedFactor(m_meanServiceSeconds, now);
    const std::optional<double> work = statistics.remainingSeconds(speed, m_meanServiceSeconds);
    if (!work || m_meanServiceSeconds <= 0 || request.expectedCost <= Duration::zero())
        return std::nullopt;
    const double slowStartFactor = 2 - slowStartWeight(options, zone, member, now);
    const double service = std::chrono::duration<double>(request.expectedCost).count() * speed * slowStartFactor;
    const double meanService = m_meanServiceSeconds * speed * slowStartFactor;
    const double limit = statistics.hint().limit;
    const double load = statistics.estimatedLoad(options.hintLifetime, now) + 1;
    const double waitByCount = std::max(0.0, load - limit) / limit * meanService;
    // While the call waits, the other slots stay occupied; when it starts, their calls are on average half done.
    const double waitByWork = load > limit ? std::max(0.0, *work - (limit - 1) * meanService / 2) / limit : 0;
    // All nodes would send to the same instance on an old hint, so the count of this node's own calls replaces it.
    const double weight = statistics.hintWeight(options.hintLifetime, now);
    const double wait = weight * waitByWork + (1 - weight) * waitByCount;
    const double time
        = service * (1 + slowdownAtLimit * std::min(1.0, load / limit)) + wait + (zone.tier > 0 ? zonePenalty : 0);
    return time / std::max(minSuccessRate, statistics.successRate());
}

const Member* ServiceTable::pickByExpectedTime(const RouterOptions& options, const LeastExpectedTime& policy,
    const RoutingRequest& request, Random& random, TimePoint now) const
{
    const double penalty = zonePenaltyOf(policy, request);
    const Member* best = nullptr;
    double leastTime = 0;
    uint64_t ties = 1;
    const auto consider = [&](const ZoneMembers& zone, const Member& member) {
        if (!member.isHealthy() || isExcluded(request.excluded, member))
            return;
        const std::optional<double> timeByCost
            = options.isCostAware ? expectedTimeByCost(options, request, penalty, zone, member, now) : std::nullopt;
        const double time = timeByCost ? *timeByCost : expectedTime(options, penalty, zone, member, now);
        // Reservoir sampling picks uniformly among instances with equal times.
        ties = best && time == leastTime ? ties + 1 : 1;
        if (best && (time > leastTime || (time == leastTime && random.below(ties) != 0)))
            return;
        best = &member;
        leastTime = time;
    };
    const size_t groups = m_zones.size() > 1 ? 2 : 1;
    const size_t maxCandidates = options.isCostAware ? groups * policy.costAwareCandidates : policy.maxCandidates;
    if (m_size <= maxCandidates) {
        for (const ZoneMembers& zone : m_zones) {
            for (const Member& member : zone.members)
                consider(zone, member);
        }
        return best;
    }
    for (size_t draw = 0; draw < maxCandidates; ++draw) {
        const bool isOwnZone = draw < maxCandidates / 2;
        const ZoneMembers& zone = isOwnZone ? m_zones.front() : m_zones[random.below(m_zones.size())];
        consider(zone, zone.members[random.below(zone.members.size())]);
    }
    return best;
}

const ZoneMembers& ServiceTable::zoneFor(double unit) const
{
    for (const ZoneMembers& zone : m_zones) {
        if (unit < zone.share)
            return zone;
        unit -= zone.share;
    }
    return m_zones.front();
}

const Member* ServiceTable::ownerOf(std::string_view key) const
{
    const uint64_t seed = seededHash(key, 0);
    const Member* owner = nullptr;
    uint64_t highestHash = 0;
    for (const ZoneMembers& zone : m_zones) {
        for (const Member& member : zone.members) {
            const InstanceId& id = member.state->record.id;
            const uint64_t hash = seededHash(id.value(), seed);
            if (owner && (hash < highestHash || (hash == highestHash && id.value() > owner->state->record.id.value())))
                continue;
            owner = &member;
            highestHash = hash;
        }
    }
    return owner;
}

double ServiceTable::scoreOf(const RouterOptions& options, const Member& member, TimePoint now) const
{
    const bool isByScore = std::holds_alternative<BestScore>(options.policy)
        || std::holds_alternative<ScoreProportional>(options.policy);
    if (isByScore)
        return member.score;
    // The load includes the new call, so that idle instances are compared by latency.
    return (member.statistics->choiceLoad(options.hintLifetime, now) + 1)
        * member.statistics->latencySeconds(m_meanLatency, now);
}

double ServiceTable::slowStartWeight(
    const RouterOptions& options, const ZoneMembers& zone, const Member& member, TimePoint now) const
{
    const auto ramp = [&](TimePoint firstSeen) {
        const double relativeAge = std::chrono::duration<double>(now - firstSeen) / options.slowStart;
        return options.slowStartShare + (1 - options.slowStartShare) * std::clamp(relativeAge, 0.0, 1.0);
    };
    // The weight is relative to the oldest member, so that members that are all new share the calls evenly.
    return ramp(member.state->firstSeen) / ramp(zone.oldestFirstSeen);
}

const Member* ServiceTable::pickOfTwo(const RouterOptions& options, const ZoneMembers& zone,
    std::span<const InstanceId> excluded, Random& random, TimePoint now) const
{
    const Member* first = pickRandom(options, zone, excluded, random, now, nullptr);
    const Member* second = first ? pickRandom(options, zone, excluded, random, now, first) : nullptr;
    if (!second)
        return first;
    return scoreOf(options, *second, now) < scoreOf(options, *first, now) ? second : first;
}

// A new instance is accepted as the first candidate with a probability of its slow-start weight and never as the
// second, so that its share of the calls is at most its weight although it is idle and wins each comparison.
const Member* ServiceTable::pickRandom(const RouterOptions& options, const ZoneMembers& zone,
    std::span<const InstanceId> excluded, Random& random, TimePoint now, const Member* first) const
{
    const auto isUsable
        = [&](const Member& member) { return &member != first && member.isHealthy() && !isExcluded(excluded, member); };
    for (int i = 0; i < drawAttempts; ++i) {
        const Member& member = zone.members[random.below(zone.members.size())];
        if (!isUsable(member))
            continue;
        const double weight = slowStartWeight(options, zone, member, now);
        if (first ? weight >= 1 : random.unit() < weight)
            return &member;
    }
    // Reservoir sampling picks uniformly among the usable members in one pass.
    const Member* chosen = nullptr;
    uint64_t seenCount = 0;
    for (const Member& member : zone.members) {
        const bool isAllowed = !first || slowStartWeight(options, zone, member, now) >= 1;
        if (isAllowed && isUsable(member) && random.below(++seenCount) == 0)
            chosen = &member;
    }
    return chosen;
}

const Member* ServiceTable::pickBest(const ZoneMembers& zone, std::span<const InstanceId> excluded)
{
    const Member* best = nullptr;
    for (const Member& member : zone.members) {
        if (member.isHealthy() && !isExcluded(excluded, member) && (!best || member.score > best->score))
            best = &member;
    }
    return best;
}

const Member* ServiceTable::pickByScore(const ZoneMembers& zone, std::span<const InstanceId> excluded, Random& random)
{
    const Member* chosen = nullptr;
    double sum = 0;
    for (const Member& member : zone.members) {
        if (!member.isHealthy() || isExcluded(excluded, member))
            continue;
        // The lower bound above zero lets an instance with the worst score still get calls.
        const double score = std::max(member.score, 0.01);
        sum += score;
        if (random.unit() * sum < score)
            chosen = &member;
    }
    return chosen;
}

} // namespace skylark
