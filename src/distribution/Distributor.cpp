#include "distribution/Distributor.h"

#include "base/Invariant.h"

#include <algorithm>

namespace skylark {

namespace {

    constexpr size_t peersToAsk = 3;
    constexpr size_t mostRoundsPerCrossing = 5;
    // A reader at rest gets an answer every 10 s, and its mark takes some seconds to spread.
    constexpr Duration freshMark = std::chrono::seconds(20);
    // After this long without any message the list may be useless, so the peers of the settings are asked.
    constexpr Duration unheard = std::chrono::seconds(5);
    constexpr Duration reportInterval = std::chrono::seconds(10);
    constexpr size_t standbysPerRound = 12;
    constexpr size_t otherMarksPerSummary = 2;
    constexpr size_t rejectedPerSummary = 2;
    constexpr Duration never = std::chrono::hours(24);

} // namespace

Distributor::Distributor(DistributorOptions options, TimePoint now)
    : m_options(std::move(options))
    , m_random(m_options.seed)
    , m_table(m_options.membership)
    , m_store(m_options.versions)
    , m_selector(m_options.readers, m_options.self.id, m_options.self.zone, now)
    , m_pushes(m_options.push, m_options.self.id, m_options.self.zone)
    , m_snapshots(now)
    , m_lastEntry(now)
    , m_lastHeard(now)
{
    // One settings file may serve many nodes and name them all.
    std::erase(m_options.seedPeers, m_options.self.peer);
}

void Distributor::enter(TimePoint now)
{
    const Duration gap = now - m_lastEntry;
    m_lastEntry = std::max(m_lastEntry, now);
    if (gap > m_options.clockGap)
        resume(now);
}

Actions Distributor::leave() { return std::exchange(m_actions, {}); }

void Distributor::send(const InstanceId& to, const Endpoint& endpoint, Message message)
{
    m_actions.emplace_back(Send { .to = to, .endpoint = endpoint, .message = std::move(message) });
}

void Distributor::report(LogLevel level, const std::string& event, LogFields fields)
{
    m_actions.emplace_back(ReportEvent { .level = level, .event = event, .fields = std::move(fields) });
}

void Distributor::reportSeldom(const std::string& event, LogFields fields, TimePoint now)
{
    const auto [last, isNew] = m_lastReports.try_emplace(event, now);
    if (!isNew && now - last->second < reportInterval)
        return;
    last->second = now;
    report(LogLevel::Warning, event, std::move(fields));
}

Actions Distributor::start(TimePoint now)
{
    m_lastEntry = now;
    m_nextSummary = now + m_random.upTo(m_options.summaryInterval);
    m_round = m_random.below(mostRoundsPerCrossing);
    m_bootstrapDue = m_options.seedPeers.empty()
        ? now + m_random.upTo(m_options.loneBootstrapSpread)
        : now + m_options.bootstrapDelay + m_random.upTo(m_options.bootstrapSpread);
    beginHold(now);
    return leave();
}

void Distributor::resume(TimePoint now)
{
    report(LogLevel::Warning, "clock-gap", { { "advice", "the process was paused; it checks its version again" } });
    m_table.recordClockGap(now);
    m_selector.noteClockGap(now);
    m_zoneMarks.clear();
    m_source.reset();
    m_watchAfter.reset();
    m_source.want(manifestKey, Revision(), now);
    m_lastHeard = now;
    beginHold(now);
}

void Distributor::beginHold(TimePoint now)
{
    m_isServing = false;
    m_hold = Hold { .since = now };
    absl::btree_set<Endpoint> asked;
    // Random choices may repeat; a few more tries than peers are enough to find three if there are three.
    for (size_t tries = 0; tries < peersToAsk * 4 && asked.size() < peersToAsk; ++tries) {
        const std::optional<Peer> peer = randomPeer();
        if (peer && asked.insert(peer->endpoint).second)
            sendSummary(peer->id, peer->endpoint, false, now);
    }
}

bool Distributor::hasFreshMark(TimePoint now) const
{
    const std::optional<FreshnessMark> own = m_selector.mark(now);
    if (own && own->sinceSuccess < freshMark)
        return true;
    return std::any_of(m_zoneMarks.begin(), m_zoneMarks.end(),
        [&](const auto& entry) { return entry.second.success && now - *entry.second.success < freshMark; });
}

void Distributor::updateHold(TimePoint now)
{
    if (!m_hold || !m_store.current())
        return;
    const size_t members = m_table.view()->instances().size();
    const size_t others = members > 0 ? members - 1 : m_options.seedPeers.size();
    const bool isAnswered = m_hold->answered.size() >= std::min(peersToAsk, others);
    // The source was asked by this node or by the reader whose mark was heard since the hold began.
    const bool isSourceAsked = hasFreshMark(now) && m_source.wantedCount() == 0;
    const bool isNewest = m_store.currentOrder() >= m_store.highestSeen();
    const bool isOver = now - m_hold->since >= m_options.startupHold;
    if (!isOver && !(isAnswered && isSourceAsked && isNewest))
        return;
    m_hold.reset();
    m_isServing = true;
    report(LogLevel::Info, "serving", { { "version", std::to_string(m_store.currentOrder().version.value()) } });
}

void Distributor::publishView(TimePoint now)
{
    if (now < m_nextPublish || !m_table.publishIfChanged())
        return;
    // A rebuild costs about 1.7 us for each instance. Under constant change the interval grows with the table,
    // to 2 s from 20,000 instances on, where rebuilds would otherwise take a sixth of a core.
    const bool isConstant = now - m_nextPublish < m_publishWait;
    const auto largest = std::clamp<int64_t>(static_cast<int64_t>(m_table.view()->instances().size() / 2000), 1, 10);
    m_publishWait
        = isConstant ? std::min(m_publishWait * 2, m_options.publishInterval * largest) : m_options.publishInterval;
    m_nextPublish = now + m_publishWait;
    m_selector.setView(*m_table.view());
    m_actions.emplace_back(PublishMembership { .view = m_table.view() });
}

Actions Distributor::tick(TimePoint now)
{
    enter(now);
    m_table.advance(now);
    publishView(now);
    concludeOffer(m_store.advance(now), std::nullopt, now);
    push(m_pushes.expire(now));
    continueSnapshots(now);
    driveSource(now);
    repairPending(now);
    gossip(now);
    updateHold(now);
    return leave();
}

Actions Distributor::handle(const Message& message, const PeerIdentity& from, TimePoint now)
{
    enter(now);
    m_lastHeard = now;
    m_table.observeSuccess(from.id, from.incarnation, now);
    std::visit([&](const auto& each) { on(each, from, now); }, message);
    updateHold(now);
    return leave();
}

Actions Distributor::sendFailed(const InstanceId& peer, const Endpoint& endpoint, TimePoint now)
{
    enter(now);
    std::erase_if(m_acquaintances, [&](const Peer& each) { return each.endpoint == endpoint; });
    if (const InstanceState* state = m_table.view()->find(peer))
        m_table.observeFailure(peer, state->record.incarnation, now);
    push(m_pushes.failed(peer, now));
    if (m_snapshot.isActive() && m_snapshot.endpoint() == endpoint)
        m_snapshotRetry = now;
    return leave();
}

std::optional<Distributor::Peer> Distributor::randomMember(bool isOwnZone)
{
    const MembershipView& view = *m_table.view();
    const ZoneName& own = m_options.self.zone;
    const auto& zones = view.zones();
    const auto isOther = [&](const ZoneName& zone) { return (zone == own) == isOwnZone; };
    const auto count = static_cast<size_t>(std::count_if(zones.begin(), zones.end(), isOther));
    if (count == 0)
        return std::nullopt;
    size_t chosen = m_random.below(count);
    const auto zone = std::find_if(
        zones.begin(), zones.end(), [&](const ZoneName& each) { return isOther(each) && chosen-- == 0; });
    // Suspect members are chosen as well: after a partition the two sides find each other that way.
    const MembershipView::Members& members = view.ofZone(*zone);
    const InstanceState* member = members[m_random.below(members.size())];
    if (member->record.id == m_options.self.id) {
        if (members.size() == 1)
            return std::nullopt;
        const size_t next
            = static_cast<size_t>(std::find(members.begin(), members.end(), member) - members.begin()) + 1;
        member = members[next % members.size()];
    }
    return Peer { .id = member->record.id, .endpoint = member->record.peer };
}

std::optional<Distributor::Peer> Distributor::randomPeer()
{
    return randomPeer(m_random.below(mostRoundsPerCrossing) != 0);
}

std::optional<Distributor::Peer> Distributor::randomPeer(bool isOwnZone)
{
    const bool isUnheard = m_lastEntry - m_lastHeard >= unheard;
    if (!isUnheard || m_random.below(2) == 0) {
        if (auto member = randomMember(isOwnZone))
            return member;
        if (auto member = randomMember(!isOwnZone))
            return member;
    }
    const size_t seeds = m_options.seedPeers.size();
    const size_t count = seeds + m_acquaintances.size();
    if (count == 0)
        return std::nullopt;
    const size_t chosen = m_random.below(count);
    return chosen < seeds ? Peer { .endpoint = m_options.seedPeers[chosen] } : m_acquaintances[chosen - seeds];
}

std::vector<FreshnessMark> Distributor::marks(TimePoint now) const
{
    std::vector<FreshnessMark> result;
    if (const auto own = m_selector.mark(now))
        result.push_back(*own);
    for (const auto& [zone, mark] : m_zoneMarks)
        result.push_back({ .zone = zone,
            .reader = mark.reader,
            .sourceRevision = mark.revision,
            .sinceAttempt = now - mark.attempt,
            .sinceSuccess = mark.success ? now - *mark.success : never });
    return result;
}

void Distributor::sendSummary(const InstanceId& to, const Endpoint& endpoint, bool isReply, TimePoint now)
{
    const VersionOrder order = m_store.currentOrder();
    Summary summary { .version = order.version,
        .manifestRevision = order.revision,
        .manifestDigest = m_store.currentDigest(),
        .listsDigest = m_table.listsDigest(),
        .isReply = isReply };
    std::vector<FreshnessMark> all = marks(now);
    const size_t own = m_selector.mark(now) ? 1 : 0;
    std::shuffle(all.begin() + static_cast<ptrdiff_t>(own), all.end(), m_random.engine());
    all.resize(std::min(all.size(), own + otherMarksPerSummary));
    summary.marks = std::move(all);
    const auto& rejected = m_store.rejected();
    for (auto each = rejected.rbegin(); each != rejected.rend(); ++each)
        if (each->version >= order.version && summary.rejected.size() < rejectedPerSummary)
            summary.rejected.push_back(*each);
    send(to, endpoint, std::move(summary));
}

bool Distributor::isCrossingRound()
{
    // Four rounds in five stay within the zone, where traffic is cheap; the fifth carries news between zones.
    // In small zones it is up to every other round, so that each zone crosses about twice a second. The round
    // is drawn anew in each period: with fixed ones, nodes that are in step left gaps of 3 s without any.
    const size_t ownMembers = m_table.view()->ofZone(m_options.self.zone).size();
    const size_t period = std::clamp<size_t>(ownMembers / 2, 2, mostRoundsPerCrossing);
    if (m_round % period == 0)
        m_crossing = m_round + m_random.below(period);
    return m_round == m_crossing;
}

void Distributor::gossip(TimePoint now)
{
    if (now < m_nextSummary)
        return;
    // A node that holds no version cannot serve, so it asks around more often.
    const Duration interval = m_store.current() ? m_options.summaryInterval : m_options.emptyInterval;
    m_nextSummary = std::max(m_nextSummary + interval, now);
    ++m_round;
    if (const std::optional<Peer> peer = randomPeer(!isCrossingRound())) {
        sendSummary(peer->id, peer->endpoint, false, now);
        if (std::vector<ConditionReport> statements = m_table.statements(now); !statements.empty())
            send(peer->id, peer->endpoint, ConditionReportBatch { .statements = std::move(statements) });
    }
    if (!m_isReader)
        return;
    // Half of the standbys in each round; another reader's half is the other one in the same round.
    const std::vector<InstanceId>& standbys = m_selector.standbys();
    const size_t first = (m_round + m_selector.rank()) % 2 == 0 ? 0 : standbysPerRound;
    for (size_t index = first; index < std::min(first + standbysPerRound, standbys.size()); ++index)
        if (const InstanceState* state = m_table.view()->find(standbys[index]))
            sendSummary(state->record.id, state->record.peer, true, now);
}

} // namespace skylark
