#include "proxy/ListedServers.h"

#include <gtest/gtest.h>

namespace skylark {
namespace {

    using namespace std::chrono_literals;

    // Guards against a field that a peer does not receive.
    TEST(ListedServersTest, EntryArrivesUnchanged)
    {
        const ServerEntry entry { .id = InstanceId("s1"),
            .revision = Revision(9),
            .record = ServerRecord { .id = InstanceId("s1"),
                .incarnation = Incarnation(3),
                .heartbeat = HeartbeatNumber(0),
                .service = ServiceName("work"),
                .zone = ZoneName("z"),
                .address = { "10.0.0.1", 80 },
                .slots = 4,
                .isDraining = true,
                .remainingSlowStart = 5ms } };
        const ServerEntry received = fromListed(toListed(entry));
        EXPECT_EQ(received.id, entry.id);
        EXPECT_EQ(received.revision, entry.revision);
        EXPECT_EQ(received.record, entry.record);
    }

    // Guards against a follower that takes a delayed heartbeat of a server that has left for a new one.
    TEST(ListedServersTest, DeletionTellsTheLastHeartbeat)
    {
        const ServerEntry deletion { .id = InstanceId("s1"),
            .revision = Revision(9),
            .lastHeartbeat = { .incarnation = Incarnation(3), .number = HeartbeatNumber(7) } };
        const ServerEntry received = fromListed(toListed(deletion));
        EXPECT_FALSE(received.record);
        EXPECT_EQ(received.lastHeartbeat, deletion.lastHeartbeat);
    }

    // Guards against a next reader that does not know which states a listing hides.
    TEST(ListedServersTest, DelayedRevisionArrives)
    {
        ServerEntry entry { .id = InstanceId("s1"), .revision = Revision(9), .delayedRevision = Revision(12) };
        EXPECT_EQ(fromListed(toListed(entry)).delayedRevision, Revision(12));
        entry.delayedRevision = Revision();
        EXPECT_EQ(fromListed(toListed(entry)).delayedRevision, Revision());
        // Across eras only that there is one matters.
        entry.delayedRevision = Revision(uint64_t { 3 } << 40);
        EXPECT_GT(fromListed(toListed(entry)).delayedRevision, entry.revision);
    }

    TEST(ListedServersTest, HeartbeatOfAnEarlierReleaseIsUnknown)
    {
        const ServerEntry received = fromListed({ .id = InstanceId("s1"), .incarnation = Incarnation(3) });
        ASSERT_TRUE(received.record);
        EXPECT_EQ(received.record->incarnation, Incarnation(3));
        EXPECT_EQ(received.record->heartbeat, std::nullopt);
    }

} // namespace
} // namespace skylark
