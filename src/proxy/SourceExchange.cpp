#include "proxy/SourceExchange.h"

#include "base/Log.h"

#include <algorithm>

namespace skylark {

namespace {

    // Older than any patience.
    constexpr Duration incompleteAge = std::chrono::hours(1);

} // namespace

SourceExchange::SourceExchange(EventLoop& loop, SourceExchangeOptions options, Callbacks callbacks)
    : m_loop(loop)
    , m_options(std::move(options))
    , m_callbacks(std::move(callbacks))
    , m_role(m_options.self, {})
    , m_random(m_options.seed)
    // Nothing is confirmed yet.
    , m_confirmedAt(loop.now() - incompleteAge)
    , m_confirmedByPeerAt(m_confirmedAt)
{
}

Duration SourceExchange::age() const { return m_loop.now() - m_confirmedAt; }

void SourceExchange::noteSourceAnswer(Duration age)
{
    m_isSourceLost = false;
    m_confirmedAt = std::max(m_confirmedAt, m_loop.now() - age);
    m_role.recordSourceResponse(m_loop.now());
}

void SourceExchange::noteChange()
{
    m_held.remove_if([this](const Held& held) { return answer(held, false); });
}

void SourceExchange::hold(const HeldSourceRequest& request, Reply reply)
{
    const Held held { .request = request, .reply = std::move(reply), .since = m_loop.now() };
    const bool isFull = m_held.size() >= m_options.mostHeld;
    if (!answer(held, isFull))
        m_held.push_back(held);
}

bool SourceExchange::answer(const Held& held, bool isForced)
{
    HeldSource source = m_callbacks.held(held.request);
    if (!isForced && source.configuration.empty() && source.servers.empty())
        return false;
    source.age = m_callbacks.isComplete() ? age() : incompleteAge;
    held.reply(source);
    return true;
}

void SourceExchange::notePeerReply(const Endpoint& peer, const HeldSource& held)
{
    const TimePoint now = m_loop.now();
    m_confirmedByPeerAt = std::max(m_confirmedByPeerAt, now - held.age);
    m_confirmedAt = std::max(m_confirmedAt, m_confirmedByPeerAt);
    if (m_role.followed() != peer)
        return;
    const bool wasHeld = m_askedAt && now - *m_askedAt >= m_options.leastQuestionTime;
    m_askedAt.reset();
    m_role.recordPeerAge(held.age, now);
    // Without news the next question goes out at once, since the age grows until its answer. With news the question
    // waits for the tick, by when the news have been applied.
    if (wasHeld && held.configuration.empty() && held.servers.empty())
        askFollowed(now);
}

void SourceExchange::tick()
{
    const TimePoint now = m_loop.now();
    m_held.remove_if([&](const Held& held) { return now - held.since >= m_options.holdTime && answer(held, true); });
    m_role.advance(now);
    const bool isOtherPeer = m_role.followed() != m_askedPeer;
    if (m_role.followed() && (isOtherPeer || !m_askedAt || now - *m_askedAt > m_options.questionTimeout))
        askFollowed(now);
    // A node that lost the source goes on trying though a peer is fresh: until it is back itself it keeps servers whose
    // entries may have lapsed because they are cut off like the node.
    const bool readsSource = m_role.readsSource(now) || (m_isReading && m_isSourceLost);
    if (readsSource != m_isReading) {
        m_isReading = readsSource;
        logEvent(LogLevel::Info, readsSource ? "source-reading-started" : "source-reading-ended",
            { { "followed", m_role.followed() ? m_role.followed()->toString() : "" },
                { "age_ms", millisecondsText(age()) } });
        m_callbacks.setReading(readsSource);
    }
    if (m_isReading && m_isSourceLost && now - m_searchedAt > m_options.searchInterval)
        askAnyPeer(now);
}

void SourceExchange::askFollowed(TimePoint now)
{
    if (m_callbacks.ask(*m_role.followed(), m_callbacks.question()))
        m_askedAt = now;
    m_askedPeer = m_role.followed();
}

void SourceExchange::askAnyPeer(TimePoint now)
{
    const std::vector<Endpoint> peers = m_callbacks.reachablePeers();
    if (peers.empty())
        return;
    // A question to a peer without a connection only opens one.
    constexpr size_t mostTries = 4;
    const size_t first = m_random.below(peers.size());
    for (size_t i = 0; i < std::min(mostTries, peers.size()); ++i) {
        if (!m_callbacks.ask(peers[(first + i) % peers.size()], m_callbacks.question()))
            continue;
        m_searchedAt = now;
        return;
    }
}

} // namespace skylark
