#include "distribution/Distributor.h"

#include "base/Invariant.h"

#include <algorithm>

namespace skylark {

namespace {

    constexpr size_t peersToQuery = 3;
    constexpr size_t maxCrossZonePeriod = 5;
    // An idle reader gets a response every 10 s, and its mark takes some seconds to propagate.
    constexpr Duration maxFreshMarkAge = std::chrono::seconds(20);
    // After this time without any message the instance list may be useless, so seed and recent peers are queried too.
    constexpr Duration maxSilence = std::chrono::seconds(5);
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
    , m_snapshotServer(now)
    , m_lastCallTime(now)
    , m_lastMessageTime(now)
{
    // Several nodes may share one settings file that lists all of them.
    std::erase(m_options.seedPeers, m_options.self.peer);
}

void Distributor::beginCall(TimePoint now)
{
    const Duration gap = now - m_lastCallTime;
    m_lastCallTime = std::max(m_lastCallTime, now);
    if (gap > m_options.maxTickInterval)
        resume(now);
}

Actions Distributor::takeActions() { return std::exchange(m_actions, {}); }

void Distributor::send(const InstanceId& to, const Endpoint& endpoint, Message message)
{
    m_actions.emplace_back(Send { .to = to, .endpoint = endpoint, .message = std::move(message) });
}

void Distributor::report(LogLevel level, const std::string& event, LogFields fields)
{
    m_actions.emplace_back(ReportEvent { .level = level, .event = event, .fields = std::move(fields) });
}

void Distributor::reportRateLimited(const std::string& event, LogFields fields, TimePoint now)
{
    const auto [last, isNew] = m_lastReports.try_emplace(event, now);
    if (!isNew && now - last->second < reportInterval)
        return;
    last->second = now;
    report(LogLevel::Warning, event, std::move(fields));
}

Actions Distributor::start(TimePoint now)
{
    m_lastCallTime = now;
    m_nextSummary = now + m_random.upTo(m_options.summaryInterval);
    m_round = m_random.below(maxCrossZonePeriod);
    m_bootstrapDue = m_options.seedPeers.empty()
        ? now + m_random.upTo(m_options.bootstrapJitterWithoutPeers)
        : now + m_options.bootstrapDelay + m_random.upTo(m_options.bootstrapJitter);
    beginResync(now);
    return takeActions();
}

void Distributor::resume(TimePoint now)
{
    report(LogLevel::Warning, "clock-gap",
        { { "advice", "the process was paused; serving stops until the configuration version is verified" } });
    m_table.recordClockGap(now);
    m_selector.resetAfterPause(now);
    m_zoneMarks.clear();
    m_source.reset();
    m_watchAfter.reset();
    m_source.scheduleRead(manifestKey, Revision(), now);
    m_lastMessageTime = now;
    beginResync(now);
}

void Distributor::beginResync(TimePoint now)
{
    m_isServing = false;
    m_resync = Resync { .startTime = now };
    absl::btree_set<Endpoint> queried;
    // randomPeer() may return the same peer again; 12 attempts are enough to find three peers if there are three.
    for (size_t attempts = 0; attempts < peersToQuery * 4 && queried.size() < peersToQuery; ++attempts) {
        const std::optional<Peer> peer = randomPeer();
        if (peer && queried.insert(peer->endpoint).second)
            sendSummary(peer->id, peer->endpoint, false, now);
    }
}

bool Distributor::hasFreshMark(TimePoint now) const
{
    const std::optional<FreshnessMark> ownMark = m_selector.mark(now);
    if (ownMark && ownMark->sinceSuccess < maxFreshMarkAge)
        return true;
    return std::any_of(m_zoneMarks.begin(), m_zoneMarks.end(), [&](const auto& entry) {
        return entry.second.lastSuccess && now - *entry.second.lastSuccess < maxFreshMarkAge;
    });
}

void Distributor::updateResync(TimePoint now)
{
    if (!m_resync || !m_store.current())
        return;
    const size_t memberCount = m_table.view()->instances().size();
    const size_t otherCount = memberCount > 0 ? memberCount - 1 : m_options.seedPeers.size();
    const bool hasResponses = m_resync->responders.size() >= std::min(peersToQuery, otherCount);
    // This node has queried the source, or has received the mark of a reader since the resync began.
    const bool isSourceQueried = hasFreshMark(now) && m_source.scheduledReadCount() == 0;
    const bool isNewest = m_store.currentOrder() >= m_store.highestSeen();
    const bool isTimedOut = now - m_resync->startTime >= m_options.maxResyncTime;
    if (!isTimedOut && !(hasResponses && isSourceQueried && isNewest))
        return;
    m_resync.reset();
    m_isServing = true;
    report(LogLevel::Info, "serving", { { "version", std::to_string(m_store.currentOrder().version.value()) } });
}

void Distributor::publishView(TimePoint now)
{
    if (now < m_nextPublish || !m_table.publishIfChanged())
        return;
    // A rebuild of the view takes about 1.7 us for each instance. Under constant change the interval grows with the
    // table, up to 2 s from 20,000 instances on, where rebuilds would otherwise take a sixth of a core.
    const bool isChangingConstantly = now - m_nextPublish < m_publishWait;
    const auto maxFactor = std::clamp<int64_t>(static_cast<int64_t>(m_table.view()->instances().size() / 2000), 1, 10);
    m_publishWait = isChangingConstantly ? std::min(m_publishWait * 2, m_options.publishInterval * maxFactor)
                                         : m_options.publishInterval;
    m_nextPublish = now + m_publishWait;
    m_selector.setView(*m_table.view());
    m_actions.emplace_back(PublishMembership { .view = m_table.view() });
}

Actions Distributor::tick(TimePoint now)
{
    beginCall(now);
    m_table.advance(now);
    publishView(now);
    handleOfferOutcome(m_store.advance(now), std::nullopt, now);
    push(m_pushes.expire(now));
    continueSnapshots(now);
    updateSourceRequests(now);
    repairPending(now);
    gossip(now);
    updateResync(now);
    return takeActions();
}

Actions Distributor::handle(const Message& message, const PeerIdentity& from, TimePoint now)
{
    beginCall(now);
    m_lastMessageTime = now;
    m_table.observeSuccess(from.id, from.incarnation, now);
    std::visit([&](const auto& alternative) { on(alternative, from, now); }, message);
    updateResync(now);
    return takeActions();
}

Actions Distributor::sendFailed(const InstanceId& peer, const Endpoint& endpoint, TimePoint now)
{
    beginCall(now);
    std::erase_if(m_recentPeers, [&](const Peer& recentPeer) { return recentPeer.endpoint == endpoint; });
    if (const InstanceState* state = m_table.view()->find(peer))
        m_table.observeFailure(peer, state->record.incarnation, now);
    push(m_pushes.replaceUnreachable(peer, now));
    if (m_snapshotReceiver.isActive() && m_snapshotReceiver.endpoint() == endpoint)
        m_snapshotRetryTime = now;
    return takeActions();
}

std::optional<Distributor::Peer> Distributor::randomMember(bool isOwnZone)
{
    const MembershipView& view = *m_table.view();
    const ZoneName& ownZone = m_options.self.zone;
    const auto& zones = view.zones();
    const auto isCandidate = [&](const ZoneName& zone) { return (zone == ownZone) == isOwnZone; };
    const auto count = static_cast<size_t>(std::count_if(zones.begin(), zones.end(), isCandidate));
    if (count == 0)
        return std::nullopt;
    size_t chosenIndex = m_random.below(count);
    const auto zone = std::find_if(
        zones.begin(), zones.end(), [&](const ZoneName& name) { return isCandidate(name) && chosenIndex-- == 0; });
    // Suspect members are included, so that the two sides of a partition find each other once it heals.
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
    return randomPeer(m_random.below(maxCrossZonePeriod) != 0);
}

std::optional<Distributor::Peer> Distributor::randomPeer(bool isOwnZone)
{
    const bool isSilent = m_lastCallTime - m_lastMessageTime >= maxSilence;
    if (!isSilent || m_random.below(2) == 0) {
        if (auto member = randomMember(isOwnZone))
            return member;
        if (auto member = randomMember(!isOwnZone))
            return member;
    }
    const size_t seedCount = m_options.seedPeers.size();
    const size_t count = seedCount + m_recentPeers.size();
    if (count == 0)
        return std::nullopt;
    const size_t chosenIndex = m_random.below(count);
    return chosenIndex < seedCount ? Peer { .endpoint = m_options.seedPeers[chosenIndex] }
                                   : m_recentPeers[chosenIndex - seedCount];
}

std::vector<FreshnessMark> Distributor::marks(TimePoint now) const
{
    std::vector<FreshnessMark> result;
    if (const auto ownMark = m_selector.mark(now))
        result.push_back(*ownMark);
    for (const auto& [zone, mark] : m_zoneMarks)
        result.push_back({ .zone = zone,
            .reader = mark.reader,
            .sourceRevision = mark.revision,
            .sinceAttempt = now - mark.lastAttempt,
            .sinceSuccess = mark.lastSuccess ? now - *mark.lastSuccess : never });
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
    std::vector<FreshnessMark> summaryMarks = marks(now);
    const size_t ownMarkCount = m_selector.mark(now) ? 1 : 0;
    std::shuffle(summaryMarks.begin() + static_cast<ptrdiff_t>(ownMarkCount), summaryMarks.end(), m_random.engine());
    summaryMarks.resize(std::min(summaryMarks.size(), ownMarkCount + otherMarksPerSummary));
    summary.marks = std::move(summaryMarks);
    const auto& rejected = m_store.rejected();
    for (auto entry = rejected.rbegin(); entry != rejected.rend(); ++entry)
        if (entry->version >= order.version && summary.rejected.size() < rejectedPerSummary)
            summary.rejected.push_back(*entry);
    send(to, endpoint, std::move(summary));
}

bool Distributor::isCrossZoneRound()
{
    // One round in five goes to another zone; the others stay within the zone, where traffic is cheap. In small zones
    // up to every other round goes to another zone, so that each zone sends about two such summaries a second. The
    // round is chosen at random in each period: with a fixed round, nodes with synchronized timers left gaps of 3 s
    // without any summary between zones.
    const size_t ownMembers = m_table.view()->ofZone(m_options.self.zone).size();
    const size_t period = std::clamp<size_t>(ownMembers / 2, 2, maxCrossZonePeriod);
    if (m_round % period == 0)
        m_crossZoneRound = m_round + m_random.below(period);
    return m_round == m_crossZoneRound;
}

void Distributor::gossip(TimePoint now)
{
    if (now < m_nextSummary)
        return;
    // A node without a version cannot serve, so it queries peers more often.
    const Duration interval = m_store.current() ? m_options.summaryInterval : m_options.summaryIntervalWithoutVersion;
    m_nextSummary = std::max(m_nextSummary + interval, now);
    ++m_round;
    if (const std::optional<Peer> peer = randomPeer(!isCrossZoneRound())) {
        sendSummary(peer->id, peer->endpoint, false, now);
        if (std::vector<ConditionReport> reports = m_table.conditionReports(now); !reports.empty())
            send(peer->id, peer->endpoint, ConditionReportBatch { .reports = std::move(reports) });
    }
    if (!m_isReader)
        return;
    // A reader sends to half of its standbys in each round. In the same round, readers of even and odd rank use
    // opposite halves.
    const std::vector<InstanceId>& standbys = m_selector.standbys();
    const size_t first = (m_round + m_selector.rank()) % 2 == 0 ? 0 : standbysPerRound;
    for (size_t index = first; index < std::min(first + standbysPerRound, standbys.size()); ++index)
        if (const InstanceState* state = m_table.view()->find(standbys[index]))
            sendSummary(state->record.id, state->record.peer, true, now);
}

} // namespace skylark
