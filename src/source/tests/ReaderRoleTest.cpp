#include "source/ReaderRole.h"

#include <gtest/gtest.h>
#include <map>
#include <memory>

namespace skylark {
namespace {

    using namespace std::chrono_literals;

    const TimePoint start = TimePoint() + 1h;

    std::vector<Endpoint> zone(size_t nodes)
    {
        std::vector<Endpoint> members;
        for (size_t i = 0; i < nodes; ++i)
            members.push_back({ "10.0." + std::to_string(i / 250) + "." + std::to_string(i % 250), 7000 });
        return members;
    }

    // Each node decides alone, and together they form one tree with one reader.
    TEST(ReaderRoleTest, ZoneFormsATreeWithOneReader)
    {
        for (const size_t nodes : { 1u, 2u, 20u, 300u, 1235u }) {
            std::map<Endpoint, std::optional<Endpoint>> followed;
            for (const Endpoint& node : zone(nodes)) {
                ReaderRole role(node, {});
                role.setMembers(zone(nodes));
                followed[node] = role.followed();
            }
            int readers = 0;
            for (const auto& [node, first] : followed) {
                readers += first ? 0 : 1;
                size_t steps = 0;
                for (auto peer = first; peer; peer = followed.at(*peer))
                    ASSERT_LT(++steps, 4u) << "a loop or too deep a tree";
            }
            EXPECT_EQ(readers, 1) << nodes;
        }
    }

    TEST(ReaderRoleTest, NodeReadsTheSourceUntilItsPeerIsFresh)
    {
        const auto members = zone(2);
        for (const Endpoint& node : members) {
            ReaderRole role(node, {});
            EXPECT_TRUE(role.readsSource(start));
            role.setMembers(members);
            EXPECT_TRUE(role.readsSource(start));
            role.recordPeerAge(100ms, start);
            EXPECT_EQ(role.readsSource(start), !role.followed());
        }
    }

    // Guards against a fleet that starts and calls the source several times a node before its peers have answered.
    TEST(ReaderRoleTest, SourceResponseGivesThePeerTimeAfterStartup)
    {
        for (const Endpoint& node : zone(2)) {
            ReaderRole role(node, { .maxPeerAge = 1s });
            role.setMembers(zone(2));
            if (!role.followed())
                continue;
            role.recordSourceResponse(start);
            EXPECT_FALSE(role.readsSource(start + 900ms));
            EXPECT_TRUE(role.readsSource(start + 1100ms));
            role.recordSourceResponse(start + 1100ms);
            EXPECT_TRUE(role.readsSource(start + 1200ms)) << "the peer is still stale";
        }
    }

    // Guards against a node that had the source for itself lost, tries it too seldom and sends calls to a server that
    // left meanwhile (DRAIN on a day on which the store turned nodes away in silence).
    TEST(ReaderRoleTest, LostSourceIsRetriedOftenEnough)
    {
        // Nodes are held to what they should know from this long after the source can be reached again.
        constexpr Duration maxStaleness = 3s;
        // Of one silent call, and to deliver what it brought.
        constexpr Duration callTimeout = 1s;
        constexpr Duration margin = 500ms;
        for (const Endpoint& node : zone(20)) {
            ReaderRole role(node, {});
            role.setMembers(zone(20));
            EXPECT_LE(callTimeout + role.maxRetryDelay() + margin, maxStaleness);
        }
    }

    // Guards against nodes that wait for a reader that died, was cut off or lost the source.
    TEST(ReaderRoleTest, StalePeerIsReplacedByReadingTheSource)
    {
        for (const Endpoint& node : zone(2)) {
            ReaderRole role(node, { .maxPeerAge = 1s });
            role.setMembers(zone(2));
            if (!role.followed())
                continue;
            role.recordPeerAge(0ms, start);
            EXPECT_FALSE(role.readsSource(start + 1s));
            EXPECT_TRUE(role.readsSource(start + 1001ms));
            // The peer answers, but has not heard of the source for long itself.
            role.recordPeerAge(5s, start + 2s);
            EXPECT_TRUE(role.readsSource(start + 2s));
            role.recordPeerAge(200ms, start + 3s);
            EXPECT_FALSE(role.readsSource(start + 3s));
        }
    }

    // Guards against a zone in which all nodes read the source for as long as its first one is cut off from it: the
    // second takes its place, and each other node makes a few calls.
    TEST(ReaderRoleTest, SecondNodeInTheOrderReplacesALostReader)
    {
        const auto members = zone(20);
        std::map<Endpoint, std::unique_ptr<ReaderRole>> roles;
        std::optional<Endpoint> lost;
        for (const Endpoint& node : members) {
            roles[node] = std::make_unique<ReaderRole>(node, ReaderRoleOptions { .maxPeerAge = 1s });
            roles[node]->setMembers(members);
            if (!roles[node]->followed())
                lost = node;
        }
        int secondsRead = 0;
        for (TimePoint now = start; now < start + 20s; now += 100ms) {
            for (auto& [node, role] : roles) {
                role->advance(now);
                const auto peer = role->followed();
                // The lost reader knows nothing new; the others do while they read or follow somebody who does.
                if (peer && *peer != *lost && !roles[*peer]->followed())
                    role->recordPeerAge(0ms, now);
                else if (peer && *peer != *lost && roles[*peer]->readsSource(now))
                    role->recordPeerAge(100ms, now);
            }
            for (const auto& [node, role] : roles)
                secondsRead += node != *lost && role->readsSource(now) ? 1 : 0;
        }
        // In steps of 100 ms: the second all the time, the other 18 for less than 3 s each.
        EXPECT_LE(secondsRead, 200 + 18 * 30);
        int readers = 0;
        for (const auto& [node, role] : roles)
            readers += role->readsSource(start + 20s) ? 1 : 0;
        EXPECT_EQ(readers, 2) << "the lost one, in vain, and its substitute";
    }

    // A change of the zone's order makes no calls by itself: the new peer has the rest of `maxPeerAge` to answer.
    TEST(ReaderRoleTest, NewlyFollowedPeerHasTheRemainingTimeToRespond)
    {
        ReaderRole role({ "10.9.9.9", 1 }, { .maxPeerAge = 1s });
        size_t nodes = 1;
        while (!role.followed())
            role.setMembers(zone(++nodes));
        role.recordPeerAge(0ms, start);
        role.setMembers({ *role.followed(), { "10.8.8.8", 1 }, { "10.7.7.7", 1 } });
        ASSERT_TRUE(role.followed());
        EXPECT_FALSE(role.readsSource(start + 900ms));
        EXPECT_TRUE(role.readsSource(start + 1100ms));
    }

} // namespace
} // namespace skylark
