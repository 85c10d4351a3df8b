// Plays a fleet of directories that list, watch and ask each other against a full copy of the source's history.
#include "base/Random.h"
#include "membership/ServerDirectory.h"

#include <algorithm>
#include <gtest/gtest.h>

namespace skylark {
namespace {

    using namespace std::chrono_literals;

    // Every change of the source, by revision.
    class History {
    public:
        Revision revision() const { return Revision(m_changes.size()); }
        void change(Random& random)
        {
            const InstanceId id("s" + std::to_string(random.below(12)));
            ServerEntry entry { .id = id, .revision = Revision(m_changes.size() + 1) };
            const auto current = stateAt(revision()).find(id);
            const bool isListed = current != stateAt(revision()).end();
            if (!isListed || random.below(3) > 0)
                entry.record = ServerRecord { .id = id,
                    .incarnation = Incarnation(1),
                    .service = ServiceName("work"),
                    .address = { id.value(), 80 },
                    .isDraining = random.below(2) == 0 };
            m_changes.push_back(entry);
        }
        std::map<InstanceId, ServerEntry> stateAt(Revision revision) const
        {
            std::map<InstanceId, ServerEntry> state;
            for (size_t i = 0; i < revision.value(); ++i) {
                if (m_changes[i].record)
                    state[m_changes[i].id] = m_changes[i];
                else
                    state.erase(m_changes[i].id);
            }
            return state;
        }
        ServerChanges listing(Revision revision) const
        {
            ServerChanges listing { .revision = revision, .isListing = true };
            for (const auto& [id, entry] : stateAt(revision))
                listing.entries.push_back(entry);
            return listing;
        }
        ServerChanges changes(Revision since) const
        {
            return { .entries = { m_changes.begin() + static_cast<ptrdiff_t>(since.value()), m_changes.end() },
                .since = since,
                .revision = revision() };
        }
        bool changedAfter(const InstanceId& id, Revision revision) const
        {
            return std::any_of(m_changes.begin() + static_cast<ptrdiff_t>(revision.value()), m_changes.end(),
                [&id](const ServerEntry& entry) { return entry.id == id; });
        }

    private:
        std::vector<ServerEntry> m_changes;
    };

    // Compares a directory with the source at the directory's revision. Servers that changed later may differ, and
    // deferred deletions keep theirs.
    void expectComplete(const History& history, const ServerDirectory& directory, bool defersDeletions)
    {
        const auto state = history.stateAt(directory.revision());
        const auto view = directory.view();
        for (int number = 0; number < 12; ++number) {
            const InstanceId id("s" + std::to_string(number));
            if (history.changedAfter(id, directory.revision()))
                continue;
            const InstanceState* listed = view->find(id);
            const auto expected = state.find(id);
            if (expected == state.end()) {
                EXPECT_TRUE(!listed || defersDeletions)
                    << id.value() << " was deleted before revision " << directory.revision().value();
            } else if (listed) {
                EXPECT_EQ(listed->record.isLeaving, expected->second.record->isDraining) << id.value();
            } else {
                ADD_FAILURE() << id.value() << " is missing";
            }
        }
    }

    void play(uint64_t seed)
    {
        SCOPED_TRACE("seed " + std::to_string(seed));
        constexpr size_t nodes = 6;
        Random random(seed);
        History history;
        TimePoint now = TimePoint() + 1h;
        std::vector<ServerDirectory> fleet(nodes, ServerDirectory({ .maxEntries = 64 }));
        std::vector<bool> isLost(nodes, false);
        // Answers on their way, which may overtake each other.
        std::vector<std::pair<size_t, ServerChanges>> answers;
        for (int step = 0; step < 600; ++step) {
            now += std::chrono::milliseconds(random.below(500));
            const size_t index = random.below(nodes);
            ServerDirectory& node = fleet[index];
            const uint64_t action = random.below(9);
            SCOPED_TRACE("step " + std::to_string(step) + ", action " + std::to_string(action));
            switch (action) {
            case 0:
            case 1:
                history.change(random);
                break;
            case 2:
                if (!isLost[index])
                    node.apply(history.listing(history.revision()), now);
                break;
            case 3:
                if (!isLost[index])
                    node.apply(history.changes(node.revision()), now);
                break;
            case 4: {
                const size_t asked = random.below(nodes);
                if (asked != index && random.below(10) > 0)
                    answers.emplace_back(index, fleet[asked].changesSince(node.revision()));
                break;
            }
            case 5:
                if (!answers.empty()) {
                    const size_t chosen = random.below(answers.size());
                    fleet[answers[chosen].first].apply(answers[chosen].second, now);
                    answers.erase(answers.begin() + static_cast<ptrdiff_t>(chosen));
                }
                break;
            case 6:
                // A single entry, as from a read of one key.
                if (history.revision() > Revision(0) && !isLost[index])
                    for (const auto& [id, entry] : history.stateAt(history.revision()))
                        if (random.below(4) == 0)
                            node.apply(entry, now);
                break;
            case 7:
                if (random.below(4) == 0) {
                    node = ServerDirectory({ .maxEntries = 64 });
                    isLost[index] = false;
                    // A possibly stale first listing.
                    node.apply(history.listing(Revision(random.below(history.revision().value() + 1))), now);
                    std::erase_if(answers, [index](const auto& answer) { return answer.first == index; });
                } else if (isLost[index]) {
                    isLost[index] = false;
                    node.recordSourceReturn(
                        now, random.below(2) == 0 ? SourceOutage::AllNodes : SourceOutage::ThisNode);
                } else if (random.below(3) == 0) {
                    isLost[index] = true;
                    node.recordSourceLost();
                }
                break;
            default:
                if (random.below(20) == 0)
                    now += 70s;
                node.advance(now);
            }
            node.advance(now);
            expectComplete(history, node, node.mayDeferDeletions(now));
            if (testing::Test::HasFailure())
                return;
        }
        // Everyone asks the one node that has the source: all have the source's state then.
        fleet[0].recordSourceReturn(now, SourceOutage::ThisNode);
        now += 3s;
        fleet[0].advance(now);
        fleet[0].apply(history.changes(fleet[0].revision()), now);
        fleet[0].advance(now);
        for (ServerDirectory& node : fleet) {
            node.recordSourceReturn(now, SourceOutage::ThisNode);
            node.apply(fleet[0].changesSince(node.revision()), now);
            node.advance(now + 3s);
            EXPECT_EQ(node.revision(), history.revision());
            expectComplete(history, node, false);
        }
    }

    // Guards against servers that a node keeps after they have left, because its revision passed a deletion unseen:
    // starts, stale listings, lost and overtaking answers, outages and forgotten deletions, in any order.
    TEST(ServerDirectoryFleetTest, RevisionNeverPassesAChangeThatIsNotKnown)
    {
        constexpr uint64_t seeds = 200;
        for (uint64_t seed = 1; seed <= seeds && !testing::Test::HasFailure(); ++seed)
            play(seed);
    }

    // Servers that send heartbeats, drain, leave, lose their entries and start again, while the source executes some of
    // the heartbeats late. With all writes in hand the state is simple: the latest heartbeat so far, unless a deletion
    // came after it.
    class HeartbeatHistory {
    public:
        explicit HeartbeatHistory(Random& random)
            : m_random(random)
        {
        }
        void change()
        {
            const InstanceId id("s" + std::to_string(m_random.below(6)));
            Server& server = m_servers[id];
            switch (m_random.below(8)) {
            case 0:
                leave(id, server);
                break;
            case 1:
                // The entry expires; the server goes on.
                append({ .id = id, .revision = nextRevision() });
                break;
            case 2:
                server = { .incarnation = Incarnation(server.incarnation.value() + 1) };
                append(nextHeartbeat(id, server));
                break;
            case 3:
                if (!server.hasLeft)
                    server.isDraining = true;
                [[fallthrough]];
            default:
                if (!server.hasLeft)
                    sendHeartbeat(id, server);
            }
            executeDelayed();
        }
        Revision revision() const { return Revision(m_changes.size()); }
        ServerChanges changes(Revision since) const
        {
            return { .entries = { m_changes.begin() + static_cast<ptrdiff_t>(since.value()), m_changes.end() },
                .since = since,
                .revision = revision() };
        }
        // The source's present items.
        ServerChanges listing() const
        {
            std::map<InstanceId, ServerEntry> items;
            for (const ServerEntry& change : m_changes)
                items[change.id] = change;
            ServerChanges listing { .revision = revision(), .isListing = true };
            for (const auto& [id, item] : items) {
                if (item.record)
                    listing.entries.push_back(item);
            }
            return listing;
        }
        // The source's present item for this key, as a read returns it.
        std::optional<ServerEntry> item(const InstanceId& id) const
        {
            for (auto change = m_changes.rbegin(); change != m_changes.rend(); ++change) {
                if (change->id == id)
                    return *change;
            }
            return std::nullopt;
        }
        // The servers in use, by id: true if the server drains.
        std::map<InstanceId, bool> state() const
        {
            std::map<InstanceId, HeartbeatPosition> latest;
            std::map<InstanceId, bool> state;
            for (const ServerEntry& change : m_changes) {
                if (!change.record) {
                    state.erase(change.id);
                } else if (change.record->position() > latest[change.id]) {
                    latest[change.id] = change.record->position();
                    state[change.id] = change.record->isDraining;
                }
            }
            return state;
        }

    private:
        struct Server {
            Incarnation incarnation { 1 };
            uint64_t number { 0 };
            bool isDraining { false };
            bool hasLeft { false };
        };
        Revision nextRevision() const { return Revision(m_changes.size() + 1); }
        void append(ServerEntry entry)
        {
            entry.revision = nextRevision();
            m_changes.push_back(std::move(entry));
        }
        static ServerEntry nextHeartbeat(const InstanceId& id, Server& server)
        {
            return { .id = id,
                .record = ServerRecord { .id = id,
                    .incarnation = server.incarnation,
                    .heartbeat = HeartbeatNumber(++server.number),
                    .service = ServiceName("work"),
                    .address = { id.value(), 80 },
                    .isDraining = server.isDraining } };
        }
        void sendHeartbeat(const InstanceId& id, Server& server)
        {
            ServerEntry heartbeat = nextHeartbeat(id, server);
            if (m_random.below(3) == 0)
                m_delayed.push_back(std::move(heartbeat));
            else
                append(std::move(heartbeat));
        }
        // The source is stable for a while before a server leaves, so a heartbeat after the delayed ones is known.
        void leave(const InstanceId& id, Server& server)
        {
            if (!server.hasLeft)
                append(nextHeartbeat(id, server));
            server.hasLeft = true;
            append({ .id = id });
        }
        void executeDelayed()
        {
            if (m_delayed.empty() || m_random.below(2) == 0)
                return;
            const size_t chosen = m_random.below(m_delayed.size());
            append(m_delayed[chosen]);
            m_delayed.erase(m_delayed.begin() + static_cast<ptrdiff_t>(chosen));
        }

        Random& m_random;
        std::vector<ServerEntry> m_changes;
        std::vector<ServerEntry> m_delayed;
        std::map<InstanceId, Server> m_servers;
    };

    std::map<InstanceId, bool> serversInUse(const ServerDirectory& directory)
    {
        const auto view = directory.view();
        std::map<InstanceId, bool> servers;
        for (const InstanceState& state : view->instances())
            servers[state.record.id] = state.record.isLeaving;
        return servers;
    }

    void playDelayedHeartbeats(uint64_t seed)
    {
        SCOPED_TRACE("seed " + std::to_string(seed));
        Random random(seed);
        HeartbeatHistory history(random);
        TimePoint now = TimePoint() + 1h;
        ServerDirectory reader({});
        std::vector<ServerDirectory> followers(3, ServerDirectory({}));
        for (int step = 0; step < 400; ++step) {
            SCOPED_TRACE("step " + std::to_string(step));
            now += std::chrono::milliseconds(random.below(100));
            history.change();
            ServerDirectory& follower = followers[random.below(followers.size())];
            if (random.below(4) == 0) {
                if (const auto item = history.item(InstanceId("s" + std::to_string(random.below(6)))))
                    follower.apply(*item, now);
            }
            if (random.below(2) == 0)
                continue;
            reader.apply(history.changes(reader.revision()), now);
            ASSERT_EQ(serversInUse(reader), history.state());
            if (random.below(2) == 0)
                continue;
            follower.apply(reader.changesSince(follower.revision()), now);
            ASSERT_EQ(follower.revision(), history.revision());
            ASSERT_EQ(serversInUse(follower), history.state());
        }
    }

    // Guards against servers that are in use again after they have left, or no longer drain, because the source
    // executed one of their heartbeats late: at a node that reads the source, at its followers, and at a follower that
    // reads a single entry itself.
    TEST(ServerDirectoryFleetTest, DelayedHeartbeatsChangeNoServer)
    {
        constexpr uint64_t seeds = 200;
        for (uint64_t seed = 1; seed <= seeds && !testing::Test::HasFailure(); ++seed)
            playDelayedHeartbeats(seed);
    }

    void playStartsWithDelayedHeartbeats(uint64_t seed)
    {
        SCOPED_TRACE("seed " + std::to_string(seed));
        constexpr size_t nodes = 5;
        Random random(seed);
        HeartbeatHistory history(random);
        TimePoint now = TimePoint() + 1h;
        // Has read every change; the other nodes start again, read the source in turn and ask each other.
        ServerDirectory oldest({});
        std::vector<ServerDirectory> others(nodes, ServerDirectory({}));
        for (int step = 0; step < 400; ++step) {
            SCOPED_TRACE("step " + std::to_string(step));
            now += std::chrono::milliseconds(random.below(100));
            history.change();
            oldest.apply(history.changes(oldest.revision()), now);
            ASSERT_EQ(serversInUse(oldest), history.state());
            ServerDirectory& node = others[random.below(nodes)];
            ServerDirectory& other = others[random.below(nodes)];
            switch (random.below(6)) {
            case 0:
                node = ServerDirectory({});
                node.apply(history.listing(), now);
                break;
            case 1:
                node.apply(history.changes(node.revision()), now);
                break;
            case 2:
                if (&node != &other)
                    node.apply(other.changesSince(node.revisionForRequest()), now);
                break;
            case 3:
                // The second node follows one that follows.
                node.apply(oldest.changesSince(node.revisionForRequest()), now);
                ASSERT_EQ(node.revision(), history.revision());
                ASSERT_EQ(serversInUse(node), history.state());
                other.apply(node.changesSince(other.revisionForRequest()), now);
                ASSERT_EQ(other.revision(), history.revision());
                ASSERT_EQ(serversInUse(other), history.state());
                break;
            default:
                break;
            }
        }
    }

    // Guards against a node that uses a draining server, or one that has left, for good: it listed a delayed heartbeat
    // when it started, and the nodes that it follows had ignored it. Starts and changes of the reader come in any
    // order.
    TEST(ServerDirectoryFleetTest, StartedNodesLearnWhichListedHeartbeatsAreDelayed)
    {
        constexpr uint64_t seeds = 200;
        for (uint64_t seed = 1; seed <= seeds && !testing::Test::HasFailure(); ++seed)
            playStartsWithDelayedHeartbeats(seed);
    }

} // namespace
} // namespace skylark
