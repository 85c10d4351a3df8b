#include "membership/ZoneEvacuations.h"

#include "base/Random.h"
#include "base/SourceEra.h"

#include <gtest/gtest.h>

namespace skylark {
namespace {

    using namespace std::chrono_literals;

    const TimePoint start = TimePoint() + 1h;
    const ZoneName zoneA("a");
    const ZoneName zoneB("b");

    EvacuationEntry entry(const ZoneName& zone, Revision revision, bool isEvacuated)
    {
        return { .zone = zone, .revision = revision, .isEvacuated = isEvacuated };
    }

    EvacuationChanges listing(std::vector<EvacuationEntry> entries, Revision revision)
    {
        return { .entries = std::move(entries), .isListing = true, .revision = revision };
    }

    class ZoneEvacuationsTest : public testing::Test {
    protected:
        bool applyEntry(const ZoneName& zone, uint64_t revision, bool isEvacuated)
        {
            return !evacuations.apply({ .entries = { entry(zone, Revision(revision), isEvacuated) } }, start).empty();
        }

        ZoneEvacuations evacuations { { .zones = { zoneA, zoneB } } };
    };

    // Guards against an evacuation that a late message from a peer ends or begins again.
    TEST_F(ZoneEvacuationsTest, HigherRevisionWinsInAnyOrder)
    {
        EXPECT_TRUE(applyEntry(zoneA, 5, true));
        EXPECT_FALSE(applyEntry(zoneA, 4, false));
        EXPECT_FALSE(applyEntry(zoneA, 5, false));
        EXPECT_TRUE(evacuations.isEvacuated(zoneA));
        EXPECT_TRUE(applyEntry(zoneA, 9, false));
        EXPECT_FALSE(applyEntry(zoneA, 5, true));
        EXPECT_FALSE(evacuations.isEvacuated(zoneA));
        EXPECT_EQ(evacuations.revision(), Revision(9));
    }

    TEST_F(ZoneEvacuationsTest, UnknownZonesAndUnreadableEntriesChangeNothing)
    {
        EXPECT_FALSE(applyEntry(ZoneName("elsewhere"), 5, true));
        EXPECT_TRUE(evacuations.states().empty());
        EXPECT_TRUE(applyEntry(zoneA, 6, true));
        EXPECT_TRUE(evacuations.apply({ .entries = { { .zone = zoneA, .revision = Revision(7) } } }, start).empty());
        EXPECT_TRUE(
            evacuations.apply(listing({ { .zone = zoneA, .revision = Revision(7) } }, Revision(8)), start).empty());
        EXPECT_TRUE(evacuations.isEvacuated(zoneA));
    }

    // Guards against a zone that stays out of use because the deletion of its key was never seen, and against a stale
    // listing that ends an evacuation.
    TEST_F(ZoneEvacuationsTest, ListingEndsOnlyEvacuationsThatItCovers)
    {
        EXPECT_TRUE(applyEntry(zoneA, 5, true));
        EXPECT_TRUE(applyEntry(zoneB, 8, true));
        EXPECT_EQ(evacuations.apply(listing({}, Revision(7)), start + 1s), std::vector<ZoneName> { zoneA });
        EXPECT_EQ(evacuations.evacuatedZones(), std::set<ZoneName> { zoneB });
        EXPECT_EQ(evacuations.states().at(zoneA).revision, Revision(7));
        EXPECT_EQ(evacuations.states().at(zoneA).since, start + 1s);
        EXPECT_FALSE(applyEntry(zoneA, 6, true)) << "an entry from before the listing";
        EXPECT_TRUE(applyEntry(zoneA, 10, true));
    }

    // Guards against traffic to an evacuated zone because the operator's key was lost with the restore of the source.
    TEST_F(ZoneEvacuationsTest, EvacuationOfAnEarlierEraIsKeptForTheGracePeriod)
    {
        EXPECT_TRUE(applyEntry(zoneA, 900, true));
        EXPECT_TRUE(applyEntry(zoneB, 901, true));
        EXPECT_TRUE(evacuations.apply(listing({}, revisionInEra(1, 3)), start).empty());
        EXPECT_TRUE(evacuations.apply(listing({}, revisionInEra(1, 6)), start + 2s).empty());
        EXPECT_TRUE(evacuations.advance(start + 3900ms).empty());
        EXPECT_TRUE(evacuations.apply({ .entries = { entry(zoneB, revisionInEra(1, 7), true) } }, start + 3s).empty());
        EXPECT_EQ(evacuations.advance(start + 4s), std::vector<ZoneName> { zoneA });
        EXPECT_TRUE(evacuations.advance(start + 1h).empty());
        EXPECT_EQ(evacuations.evacuatedZones(), std::set<ZoneName> { zoneB });
        EXPECT_EQ(evacuations.states().at(zoneA).revision, revisionInEra(1, 3));
        EXPECT_TRUE(evacuations.apply({ .entries = { entry(zoneA, revisionInEra(1, 2), true) } }, start + 5s).empty());
        EXPECT_FALSE(evacuations.apply({ .entries = { entry(zoneA, revisionInEra(1, 4), true) } }, start + 5s).empty());
    }

    // Guards against a follower that keeps such an evacuation for good: it reads no listing, and the revision of its
    // peer does not rise when the peer drops the evacuation.
    TEST_F(ZoneEvacuationsTest, EvacuationOfAnEarlierEraIsDroppedByANodeThatLearnsOfTheEraFromAPeer)
    {
        EXPECT_TRUE(applyEntry(zoneA, 900, true));
        EXPECT_TRUE(
            evacuations
                .apply({ .entries = { entry(zoneA, Revision(900), true), entry(zoneB, revisionInEra(1, 3), false) } },
                    start)
                .empty());
        EXPECT_TRUE(evacuations.advance(start + 3900ms).empty());
        EXPECT_EQ(evacuations.advance(start + 4s), std::vector<ZoneName> { zoneA });
    }

    TEST_F(ZoneEvacuationsTest, EvacuationThatReappearsWithACopyIsInForceAgain)
    {
        EXPECT_TRUE(applyEntry(zoneA, 5, true));
        EXPECT_TRUE(applyEntry(zoneA, 900, false));
        EXPECT_FALSE(evacuations.apply(listing({ entry(zoneA, revisionInEra(1, 5), true) }, revisionInEra(1, 6)), start)
                         .empty());
        EXPECT_TRUE(evacuations.isEvacuated(zoneA));
        EXPECT_FALSE(applyEntry(zoneA, 901, false)) << "a peer in the earlier era";
        EXPECT_FALSE(evacuations.apply({ .entries = { entry(zoneA, revisionInEra(1, 7), false) } }, start).empty());
    }

    // Compares nodes that get random parts of one history, by watch, listing and each other, with the history itself.
    // Guards against nodes that disagree for good.
    TEST(ZoneEvacuationsFleetTest, NodesAgreeWithTheSourceAfterRandomExchanges)
    {
        for (uint64_t seed = 1; seed <= 300; ++seed) {
            Random random(seed);
            std::map<ZoneName, EvacuationEntry> source;
            uint64_t revision = 0;
            std::vector<ZoneEvacuations> nodes(4, ZoneEvacuations({ .zones = { zoneA, zoneB } }));
            const auto present = [&] {
                std::vector<EvacuationEntry> entries;
                for (const auto& [zone, state] : source) {
                    if (state.isEvacuated == true)
                        entries.push_back(state);
                }
                return listing(entries, Revision(revision));
            };
            std::vector<EvacuationChanges> earlierListings { present() };
            for (int step = 0; step < 60; ++step) {
                ZoneEvacuations& node = nodes[random.below(nodes.size())];
                switch (random.below(4)) {
                case 0: {
                    const ZoneName& zone = random.below(2) == 0 ? zoneA : zoneB;
                    source[zone] = entry(zone, Revision(++revision), random.below(2) == 0);
                    earlierListings.push_back(present());
                    break;
                }
                case 1:
                    node.apply(earlierListings[random.below(earlierListings.size())], start);
                    break;
                case 2:
                    for (const auto& [zone, state] : source)
                        node.apply({ .entries = { state } }, start);
                    break;
                default: {
                    EvacuationChanges update;
                    for (const auto& [zone, state] : nodes[random.below(nodes.size())].states())
                        update.entries.push_back(entry(zone, state.revision, state.isEvacuated));
                    node.apply(update, start);
                }
                }
            }
            std::set<ZoneName> expected;
            for (const EvacuationEntry& state : present().entries)
                expected.insert(state.zone);
            nodes[0].apply(present(), start);
            EvacuationChanges update;
            for (const auto& [zone, state] : nodes[0].states())
                update.entries.push_back(entry(zone, state.revision, state.isEvacuated));
            for (ZoneEvacuations& node : nodes) {
                node.apply(update, start);
                EXPECT_EQ(node.evacuatedZones(), expected) << "seed " << seed;
            }
        }
    }

} // namespace
} // namespace skylark
