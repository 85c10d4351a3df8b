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

} // namespace
} // namespace skylark
