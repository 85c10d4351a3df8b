#include "distribution/Snapshot.h"

#include "Fleet.h"
#include "base/Compression.h"
#include "base/Error.h"

#include <gtest/gtest.h>

namespace skylark {
namespace {

    using std::chrono::milliseconds;
    using std::chrono::seconds;

    const TimePoint start { std::chrono::hours(1) };
    const Endpoint anyEndpoint { .host = "127.0.0.1", .port = 7000 };

    class SnapshotTest : public testing::Test {
    protected:
        SnapshotTest()
        {
            // Random bytes do not compress, so the snapshot has several parts.
            Random random(3);
            for (int section = 0; section < 20; ++section) {
                std::string text(100000, ' ');
                for (char& character : text)
                    character = static_cast<char>(' ' + random.below(64));
                texts["s" + std::to_string(section)] = text;
            }
            store.offer(manifestOf(7, 70, texts), textsOf(texts), start);
        }
        std::optional<SnapshotPart> requestPart(
            const std::string& peer, const SnapshotReceiver& receiver, TimePoint now)
        {
            return server.request(InstanceId(peer), anyEndpoint, receiver.position(), store, now);
        }

        std::map<std::string, std::string> texts;
        VersionStore store { { .build = buildForTest } };
        SnapshotServer server { start };
        SnapshotReceiver receiver;
        const InstanceId firstPeer { "one" };
        const InstanceId secondPeer { "two" };
    };

    TEST_F(SnapshotTest, ResumesAtTheOffsetWithAnotherPeer)
    {
        SnapshotServer otherServer(start);
        receiver.beginWith(firstPeer, anyEndpoint, start);
        auto part = requestPart("me", receiver, start);
        ASSERT_TRUE(part && part->totalBytes > 3 * snapshotPartBytes);
        EXPECT_EQ(receiver.accept(*part, firstPeer, start), SnapshotReceiver::Progress::More);
        // Duplicates and parts from other peers are ignored.
        EXPECT_EQ(receiver.accept(*part, firstPeer, start), SnapshotReceiver::Progress::Ignored);
        EXPECT_EQ(receiver.accept(*requestPart("me", receiver, start), secondPeer, start),
            SnapshotReceiver::Progress::Ignored);
        EXPECT_TRUE(receiver.isStalled(start + seconds(1)));
        receiver.beginWith(secondPeer, anyEndpoint, start + seconds(1));
        size_t parts = 1;
        SnapshotReceiver::Progress progress = SnapshotReceiver::Progress::More;
        while (progress == SnapshotReceiver::Progress::More) {
            part = otherServer.request(InstanceId("me"), anyEndpoint, receiver.position(), store, start + seconds(1));
            EXPECT_EQ(part->offset, parts * snapshotPartBytes);
            progress = receiver.accept(*part, secondPeer, start + seconds(1));
            ++parts;
        }
        ASSERT_EQ(progress, SnapshotReceiver::Progress::Complete);
        EXPECT_EQ(parts, (part->totalBytes + snapshotPartBytes - 1) / snapshotPartBytes);
        const DecodedSnapshot snapshot = decodeSnapshot(receiver.take());
        EXPECT_EQ(snapshot.manifest, store.current()->manifest());
        EXPECT_EQ(otherServer.sessionCount(), 0U);
    }

    TEST_F(SnapshotTest, ServesTwoPeersAtATimeAndDropsIdleSessions)
    {
        EXPECT_GT(requestPart("a", receiver, start)->totalBytes, 0U);
        EXPECT_GT(requestPart("b", receiver, start)->totalBytes, 0U);
        const auto refused = requestPart("c", receiver, start);
        EXPECT_EQ(refused->totalBytes, 0U);
        receiver.beginWith(firstPeer, anyEndpoint, start);
        EXPECT_EQ(receiver.accept(*refused, firstPeer, start), SnapshotReceiver::Progress::Busy);
        EXPECT_GT(requestPart("c", receiver, start + seconds(2))->totalBytes, 0U);
    }

    TEST_F(SnapshotTest, KeepsServingAVersionThatWasReplaced)
    {
        receiver.beginWith(firstPeer, anyEndpoint, start);
        receiver.accept(*requestPart("me", receiver, start), firstPeer, start);
        texts["s0"] = "changed";
        store.offer(manifestOf(8, 80, texts), textsOf(texts), start);
        const auto part = requestPart("me", receiver, start);
        EXPECT_EQ(receiver.accept(*part, firstPeer, start), SnapshotReceiver::Progress::More);
        // Another server has only the newer version, whose transfer starts at offset 0.
        SnapshotServer otherServer(start);
        const auto newer = otherServer.request(InstanceId("me"), anyEndpoint, receiver.position(), store, start);
        EXPECT_EQ(newer->offset, 0U);
        EXPECT_EQ(receiver.accept(*newer, firstPeer, start), SnapshotReceiver::Progress::More);
        EXPECT_EQ(receiver.position().first, store.currentDigest());
    }

    TEST_F(SnapshotTest, LimitsTheRateOfParts)
    {
        size_t sent = 0;
        while (sent < 100 && requestPart("a", receiver, start))
            ++sent;
        EXPECT_EQ(sent, 16U);
        EXPECT_TRUE(server.dueParts(start + milliseconds(10)).empty());
        EXPECT_EQ(server.dueParts(start + milliseconds(100)).size(), 1U);
        EXPECT_TRUE(server.dueParts(start + seconds(1)).empty());
    }

    TEST_F(SnapshotTest, RejectsDamagedFrames)
    {
        std::string bytes = encodeSnapshot(store);
        EXPECT_THROW(decodeSnapshot(bytes.substr(0, bytes.size() / 2)), Error);
        EXPECT_THROW(decodeSnapshot(compress("no snapshot")), Error);
        EXPECT_THROW(decodeSnapshot("no frame"), Error);
        // A small frame that declares a huge content must be refused before memory is allocated for it.
        EXPECT_FALSE(decompress(compress(std::string(1000, 'x')), 999));
    }

} // namespace
} // namespace skylark
