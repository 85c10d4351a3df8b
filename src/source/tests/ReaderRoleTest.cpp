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

    // Each node decides alone; together they form one tree with one reader.
    TEST(ReaderRoleTest, ZoneFormsATreeWithOneReader)
    {
        for (const size_t nodes : { 1u, 2u, 20u, 300u, 1235u }) {
            std::map<Endpoint, std::optional<Endpoint>> followedPeers;
            for (const Endpoint& node : zone(nodes)) {
                ReaderRole role(node, {});
                role.setMembers(zone(nodes));
                followedPeers[node] = role.followedPeer();
            }
            int readers = 0;
            for (const auto& [node, firstPeer] : followedPeers) {
                readers += firstPeer ? 0 : 1;
                size_t steps = 0;
                for (auto peer = firstPeer; peer; peer = followedPeers.at(*peer))
                    ASSERT_LT(++steps, 4u) << "the tree has a loop or is too deep";
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
            EXPECT_EQ(role.readsSource(start), !role.followedPeer());
        }
    }

    // Guards against a starting fleet whose nodes call the source several times each before their peers have
    // responded.
    TEST(ReaderRoleTest, SourceResponseGivesThePeerTimeAfterStartup)
    {
        for (const Endpoint& node : zone(2)) {
            ReaderRole role(node, { .maxPeerAge = 1s });
            role.setMembers(zone(2));
            if (!role.followedPeer())
                continue;
            role.recordSourceResponse(start);
            EXPECT_FALSE(role.readsSource(start + 900ms));
            EXPECT_TRUE(role.readsSource(start + 1100ms));
            role.recordSourceResponse(start + 1100ms);
            EXPECT_TRUE(role.readsSource(start + 1200ms)) << "the peer is still stale";
        }
    }

    // Guards against a node that retries a lost source too seldom and sends calls to a server that has left meanwhile.
    // This happens when the store silently drops the requests of this node alone, so that no peer loses the source.
    // In a run with this fault, a backend server got requests more than 2.5 s after it had started to drain.
    TEST(ReaderRoleTest, LostSourceIsRetriedOftenEnough)
    {
        // Nodes have to know of every change this long after the source can be reached again.
        constexpr Duration maxStaleness = 3s;
        // The timeout of one call that gets no response. The margin is the time to deliver what a call returned.
        constexpr Duration callTimeout = 1s;
        constexpr Duration margin = 500ms;
        for (const Endpoint& node : zone(20)) {
            ReaderRole role(node, {});
            role.setMembers(zone(20));
            EXPECT_LE(callTimeout + role.maxRetryDelay(start) + margin, maxStaleness);
        }
    }

    // Guards against a large fleet that calls a store which is down hundreds of times a second, in vain and at a price.
    TEST(ReaderRoleTest, AttemptsOfALargeFleetAreFewWhileTheSourceIsLostForAll)
    {
        for (const size_t nodes : { size_t { 12 }, size_t { 80 }, size_t { 295 } }) {
            constexpr size_t zones = 6;
            const auto members = zone(nodes / zones);
            double attemptsPerSecond = 0;
            for (const Endpoint& node : members) {
                ReaderRole role(node, {});
                role.setMembers(members);
                role.setFleetSize(nodes);
                role.recordPeerAge(1h, start);
                attemptsPerSecond += zones / std::chrono::duration<double>(role.maxRetryDelay(start)).count();
            }
            // The first nodes try twice a second each, the others have a budget, with the least delay above it.
            const double leaders
                = static_cast<double>(std::min(members.size(), ReaderRoleOptions().maxCandidates) * zones);
            const double cap = static_cast<double>(nodes)
                / std::chrono::duration<double>(ReaderRoleOptions().maxOutageRetryDelay).count();
            EXPECT_LE(attemptsPerSecond, 2 * leaders + std::max(ReaderRoleOptions().outageRetriesPerSecond, cap))
                << nodes;
        }
    }

    // A node that alone has lost the source must not wait as long: its peers go on.
    TEST(ReaderRoleTest, NodeWithAFreshPeerRetriesALostSourceSoon)
    {
        const auto members = zone(200);
        for (const Endpoint& node : members) {
            ReaderRole role(node, {});
            role.setMembers(members);
            role.setFleetSize(21'000);
            role.recordPeerAge(0s, start);
            EXPECT_LE(role.maxRetryDelay(start), 1s);
        }
    }

    // Guards against nodes that wait for a reader that died, was cut off or lost the source.
    TEST(ReaderRoleTest, StalePeerIsReplacedByReadingTheSource)
    {
        for (const Endpoint& node : zone(2)) {
            ReaderRole role(node, { .maxPeerAge = 1s });
            role.setMembers(zone(2));
            if (!role.followedPeer())
                continue;
            role.recordPeerAge(0ms, start);
            EXPECT_FALSE(role.readsSource(start + 1s));
            EXPECT_TRUE(role.readsSource(start + 1001ms));
            // The peer responds, but its own knowledge of the source is 5 s old.
            role.recordPeerAge(5s, start + 2s);
            EXPECT_TRUE(role.readsSource(start + 2s));
            role.recordPeerAge(200ms, start + 3s);
            EXPECT_FALSE(role.readsSource(start + 3s));
        }
    }

    // Guards against a zone in which all nodes read the source for as long as the first one is cut off from it. The
    // second node takes its place, and each other node makes a few calls.
    TEST(ReaderRoleTest, SecondNodeInTheOrderReplacesALostReader)
    {
        const auto members = zone(20);
        std::map<Endpoint, std::unique_ptr<ReaderRole>> roles;
        std::optional<Endpoint> lostReader;
        for (const Endpoint& node : members) {
            roles[node] = std::make_unique<ReaderRole>(node, ReaderRoleOptions { .maxPeerAge = 1s });
            roles[node]->setMembers(members);
            if (!roles[node]->followedPeer())
                lostReader = node;
        }
        int stepsRead = 0;
        for (TimePoint now = start; now < start + 20s; now += 100ms) {
            for (auto& [node, role] : roles) {
                role->advance(now);
                const auto peer = role->followedPeer();
                // The lost reader learns nothing new. The others do while they read the source or follow a node that
                // does.
                if (peer && *peer != *lostReader && !roles[*peer]->followedPeer())
                    role->recordPeerAge(0ms, now);
                else if (peer && *peer != *lostReader && roles[*peer]->readsSource(now))
                    role->recordPeerAge(100ms, now);
            }
            for (const auto& [node, role] : roles)
                stepsRead += node != *lostReader && role->readsSource(now) ? 1 : 0;
        }
        // Counted in steps of 100 ms: the second node reads all the time, the other 18 for less than 3 s each.
        EXPECT_LE(stepsRead, 200 + 18 * 30);
        int readers = 0;
        for (const auto& [node, role] : roles)
            readers += role->readsSource(start + 20s) ? 1 : 0;
        EXPECT_EQ(readers, 2) << "the lost reader, which keeps trying, and its replacement";
    }

    // A change of the zone's order causes no calls by itself: the new peer has the rest of `maxPeerAge` to respond.
    TEST(ReaderRoleTest, NewlyFollowedPeerHasTheRemainingTimeToRespond)
    {
        ReaderRole role({ "10.9.9.9", 1 }, { .maxPeerAge = 1s });
        size_t nodes = 1;
        while (!role.followedPeer())
            role.setMembers(zone(++nodes));
        role.recordPeerAge(0ms, start);
        role.setMembers({ *role.followedPeer(), { "10.8.8.8", 1 }, { "10.7.7.7", 1 } });
        ASSERT_TRUE(role.followedPeer());
        EXPECT_FALSE(role.readsSource(start + 900ms));
        EXPECT_TRUE(role.readsSource(start + 1100ms));
    }

} // namespace
} // namespace skylark
