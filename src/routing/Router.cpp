#include "routing/Router.h"

#include "routing/ServiceTable.h"

#include <absl/container/flat_hash_map.h>

namespace skylark {

struct Router::Tables {
    std::shared_ptr<const MembershipView> view;
    // One entry per service that this node has called and that has instances.
    absl::flat_hash_map<ServiceName, std::shared_ptr<const ServiceTable>> services;
};

namespace {

    // With fewer calls the success rate of an instance is not significant.
    constexpr uint32_t minCallsForRate = 20;

    Choice makeChoice(
        const Member& member, ChoiceReason reason, const std::shared_ptr<const ServiceTable>& table, TimePoint now)
    {
        const InstanceRecord& record = member.state->record;
        const double latency = member.statistics->latencySeconds(table->meanLatency(), now);
        return { .instance = record.id,
            .incarnation = record.incarnation,
            .peer = record.peer,
            .zone = record.zone,
            .reason = reason,
            .expectedLatency = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(latency)),
            .speedFactor = member.statistics->speedFactor(table->meanServiceSeconds(), now),
            .statistics = member.statistics,
            .table = table };
    }

    const Member* findProbe(const ServiceTable& table, const RoutingRequest& request, TimePoint now)
    {
        if (table.ejectedCounter()->load(std::memory_order_relaxed) == 0)
            return nullptr;
        for (const ZoneMembers& zone : table.zones()) {
            for (const Member& member : zone.members) {
                const bool isCandidate = member.state->condition == Condition::Live && !member.isLeaving()
                    && !isExcluded(request.excluded, member);
                if (isCandidate && member.statistics->tryProbe(request.isIdempotent, now))
                    return &member;
            }
        }
        return nullptr;
    }

    // Returns a random instance that is not leaving, preferably one that was not tried yet.
    const Member* findLastResort(const ServiceTable& table, std::span<const InstanceId> excluded, Random& random)
    {
        const Member* chosen = nullptr;
        bool isChosenExcluded = false;
        uint64_t seenCount = 0;
        for (const ZoneMembers& zone : table.zones()) {
            for (const Member& member : zone.members) {
                if (member.isLeaving())
                    continue;
                const bool isTried = isExcluded(excluded, member);
                if (chosen && isTried && !isChosenExcluded)
                    continue;
                if (chosen && isChosenExcluded && !isTried)
                    seenCount = 0;
                if (random.below(++seenCount) == 0) {
                    chosen = &member;
                    isChosenExcluded = isTried;
                }
            }
        }
        return chosen;
    }

    const char* conditionText(const RouterOptions& options, const Member& member, TimePoint now)
    {
        if (member.isLeaving())
            return "leaving";
        if (member.state->condition != Condition::Live)
            return conditionName(member.state->condition);
        if (member.statistics->isEjected())
            return "ejected";
        return now - member.state->firstSeen < options.slowStart ? "slow start" : "live";
    }

} // namespace

const char* choiceReasonName(ChoiceReason reason)
{
    switch (reason) {
    case ChoiceReason::Policy:
        return "policy";
    case ChoiceReason::OwnerOfKey:
        return "owner of the idempotency key";
    case ChoiceReason::Probe:
        return "probe of an ejected instance";
    case ChoiceReason::LastResort:
        return "no instance looks healthy";
    }
    return "unknown";
}

Router::Router(RouterOptions options)
    : m_options(std::move(options))
    , m_tables(std::make_shared<Tables>())
{
}

Router::~Router() = default;

void Router::update(const std::shared_ptr<const MembershipView>& view, TimePoint now)
{
    const std::lock_guard lock(m_buildMutex);
    rebuild(view, false, now);
}

void Router::advance(TimePoint now)
{
    const std::lock_guard lock(m_buildMutex);
    if (now - m_lastRefresh < m_options.refreshInterval)
        return;
    m_lastRefresh = now;
    const std::shared_ptr<const Tables> tables = m_tables.load();
    for (const auto& [service, table] : tables->services)
        ejectByRate(*table, now);
    rebuild(tables->view, true, now);
}

std::optional<Choice> Router::choose(const RoutingRequest& request, Random& random, TimePoint now)
{
    std::optional<Choice> choice = chooseMember(request, random, now);
    if (choice)
        choice->expectedCost = request.expectedCost;
    return choice;
}

std::optional<Choice> Router::chooseMember(const RoutingRequest& request, Random& random, TimePoint now)
{
    const std::shared_ptr<const ServiceTable> table = tableOf(request.service, now);
    if (!table)
        return std::nullopt;
    if (!request.isIdempotent && !request.idempotencyKey.empty())
        return makeChoice(*table->ownerOf(request.idempotencyKey), ChoiceReason::OwnerOfKey, table, now);
    if (const Member* probe = findProbe(*table, request, now))
        return makeChoice(*probe, ChoiceReason::Probe, table, now);

    const auto* leastExpectedTime = std::get_if<LeastExpectedTime>(&m_options.policy);
    const Member* member = leastExpectedTime
        ? table->pickByExpectedTime(m_options, *leastExpectedTime, request, random, now)
        : table->pick(m_options, table->zoneFor(random.unit()), request.excluded, random, now);
    for (auto zone = table->zones().begin(); !member && zone != table->zones().end(); ++zone)
        member = table->pick(m_options, *zone, request.excluded, random, now);
    // A healthy instance that was already tried is preferred to an unhealthy one.
    for (auto zone = table->zones().begin(); !member && zone != table->zones().end(); ++zone)
        member = table->pick(m_options, *zone, {}, random, now);
    if (member)
        return makeChoice(*member, ChoiceReason::Policy, table, now);
    if (const Member* lastResort = findLastResort(*table, request.excluded, random))
        return makeChoice(*lastResort, ChoiceReason::LastResort, table, now);
    return std::nullopt;
}

void Router::recordCallStarted(const Choice& choice) { choice.statistics->recordCallStarted(choice.expectedCost); }

void Router::recordCallFinished(const Choice& choice, const CallReport& report, TimePoint now)
{
    InstanceStatistics& statistics = *choice.statistics;
    statistics.recordCallFinished(report, now);
    if (report.outcome == CallOutcome::Answered && !report.isFault)
        statistics.recordServiceTime(report.serviceTime, choice.expectedCost, now);
    const bool isSuccess = report.outcome == CallOutcome::Answered && !report.isFault;
    if (choice.reason == ChoiceReason::Probe) {
        finishProbe(choice, isSuccess, report.isFault, now);
        return;
    }
    if (!report.isFault || statistics.isEjected() || statistics.failuresInRow() < m_options.failuresToEject)
        return;
    // If another thread holds the mutex, the next failure retries the ejection.
    const std::unique_lock lock(m_buildMutex, std::try_to_lock);
    if (lock.owns_lock() && !statistics.isEjected())
        ejectIfAllowed(*choice.table, statistics, now);
}

void Router::finishProbe(const Choice& choice, bool isSuccess, bool isFault, TimePoint now)
{
    const std::lock_guard lock(m_buildMutex);
    InstanceStatistics& statistics = *choice.statistics;
    if (!statistics.isEjected())
        return;
    if (isFault) {
        statistics.eject(m_options, now);
    } else if (isSuccess) {
        statistics.restore(now);
        choice.table->ejectedCounter()->fetch_sub(1, std::memory_order_relaxed);
    } else {
        statistics.abandonProbe();
    }
}

void Router::ejectIfAllowed(const ServiceTable& table, InstanceStatistics& statistics, TimePoint now)
{
    if ((table.countEjected() + 1) * 3 > table.countNotLeaving())
        return;
    statistics.eject(m_options, now);
    table.ejectedCounter()->fetch_add(1, std::memory_order_relaxed);
}

void Router::ejectByRate(const ServiceTable& table, TimePoint now)
{
    double sum = 0;
    int knownCount = 0;
    for (const ZoneMembers& zone : table.zones()) {
        for (const Member& member : zone.members) {
            if (member.statistics->callCount() < minCallsForRate)
                continue;
            sum += member.statistics->successRate();
            ++knownCount;
        }
    }
    for (const ZoneMembers& zone : table.zones()) {
        for (const Member& member : zone.members) {
            InstanceStatistics& statistics = *member.statistics;
            const bool isKnown = statistics.callCount() >= minCallsForRate;
            if (isKnown && !statistics.isEjected() && statistics.successRate() < sum / knownCount / 2)
                ejectIfAllowed(table, statistics, now);
        }
    }
}

std::optional<Choice> Router::ownerOf(const ServiceName& service, std::string_view idempotencyKey, TimePoint now)
{
    const std::shared_ptr<const ServiceTable> table = tableOf(service, now);
    if (!table)
        return std::nullopt;
    return makeChoice(*table->ownerOf(idempotencyKey), ChoiceReason::OwnerOfKey, table, now);
}

std::vector<CandidateExplanation> Router::explain(const ServiceName& service, TimePoint now)
{
    std::vector<CandidateExplanation> lines;
    const std::shared_ptr<const ServiceTable> table = tableOf(service, now);
    if (!table)
        return lines;
    for (const ZoneMembers& zone : table->zones()) {
        for (const Member& member : zone.members) {
            const InstanceStatistics& statistics = *member.statistics;
            const double latency = statistics.latencySeconds(table->meanLatency(), now);
            lines.push_back({ .instance = member.state->record.id,
                .zone = zone.zone,
                .region = zone.region,
                .condition = conditionText(m_options, member, now),
                .score = table->scoreOf(m_options, member, now),
                .zoneShare = zone.share,
                .inFlight = statistics.inFlight(),
                .load = statistics.hint(),
                .meanLatency = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(latency)),
                .successRate = statistics.successRate(),
                .ejectedFor = statistics.ejectedFor(now) });
        }
    }
    return lines;
}

std::shared_ptr<const ServiceTable> Router::tableOf(const ServiceName& service, TimePoint now)
{
    const std::shared_ptr<const Tables> tables = m_tables.load();
    if (const auto found = tables->services.find(service); found != tables->services.end())
        return found->second;
    if (!tables->view || tables->view->ofService(service).empty())
        return nullptr;
    return addTable(service, now);
}

std::shared_ptr<const ServiceTable> Router::addTable(const ServiceName& service, TimePoint now)
{
    const std::lock_guard lock(m_buildMutex);
    const std::shared_ptr<const Tables> oldTables = m_tables.load();
    if (const auto found = oldTables->services.find(service); found != oldTables->services.end())
        return found->second;
    auto table = ServiceTable::build(m_options, service, oldTables->view, nullptr, false, now);
    if (!table)
        return nullptr;
    auto tables = std::make_shared<Tables>(*oldTables);
    tables->services.emplace(service, table);
    m_tables.store(std::move(tables));
    return table;
}

void Router::rebuild(const std::shared_ptr<const MembershipView>& view, bool isRefresh, TimePoint now)
{
    const std::shared_ptr<const Tables> oldTables = m_tables.load();
    auto tables = std::make_shared<Tables>();
    tables->view = view;
    for (const auto& [service, table] : oldTables->services) {
        if (auto built = ServiceTable::build(m_options, service, view, table.get(), isRefresh, now))
            tables->services.emplace(service, std::move(built));
    }
    m_tables.store(std::move(tables));
}

} // namespace skylark
