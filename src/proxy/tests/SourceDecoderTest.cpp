// Tests what SourceDecoder decodes and posts to the loop.
#include "proxy/SourceDecoder.h"
#include "base/Error.h"
#include "testing/FakeClock.h"

#include <gtest/gtest.h>

namespace skylark {
namespace {

    class SourceDecoderTest : public testing::Test {
    protected:
        SourceDecoderTest()
        {
            adapter.isConfiguration = [](const SourceItem& item) { return item.key == "configuration"; };
            adapter.isServer = [](const SourceItem&) { return false; };
            adapter.decodeConfiguration = [this](const std::string& text, Revision) {
                ++decodeCount;
                if (text == "damaged")
                    throw Error({ .step = "decode", .message = "damaged" });
                return std::shared_ptr<const Configuration>();
            };
        }
        void deliverListing(const std::string& text, uint64_t revision)
        {
            decoder.onListing({ .items = { { .key = "configuration", .value = text, .revision = Revision(revision) } },
                .revision = Revision(revision) });
            loop.post([this] { loop.stop(); });
            loop.run();
        }

        FakeClock clock;
        EventLoop loop { clock };
        PlatformAdapter adapter;
        int decodeCount { 0 };
        int deliveryCount { 0 };
        int listingCount { 0 };
        std::string order;
        SourceDecoder decoder { loop, adapter,
            { .onConfiguration =
                    [this](const ConfigurationUpdate&) {
                        ++deliveryCount;
                        order += "configuration ";
                    },
                .onEvacuations =
                    [this](const EvacuationChanges& changes) {
                        order += "evacuations-" + std::to_string(changes.entries.size()) + " ";
                    },
                .onServers =
                    [this](const ServerChanges& changes) {
                        listingCount += changes.isListing ? 1 : 0;
                        order += "servers ";
                    } } };
    };

    // Guards against decoding a large configuration again with each listing, which is expensive on a tenth of a core.
    TEST_F(SourceDecoderTest, ConfigurationThatIsListedAgainIsDecodedOnce)
    {
        deliverListing("one", 5);
        deliverListing("one", 5);
        EXPECT_EQ(decodeCount, 1);
        EXPECT_EQ(deliveryCount, 1);
        EXPECT_EQ(listingCount, 2);
        deliverListing("two", 6);
        EXPECT_EQ(deliveryCount, 2);
    }

    // Guards against a node that never gets a configuration version: it continued from a revision that covered the
    // version, learned from the server entries of the same answer, while the version was still being decoded.
    TEST_F(SourceDecoderTest, ConfigurationIsDeliveredBeforeTheRevisionThatCoversIt)
    {
        deliverListing("one", 5);
        EXPECT_EQ(order, "evacuations-0 configuration servers ");
    }

    TEST_F(SourceDecoderTest, DamagedConfigurationChangesNothing)
    {
        deliverListing("damaged", 5);
        EXPECT_EQ(deliveryCount, 0);
        EXPECT_EQ(listingCount, 1);
        deliverListing("two", 6);
        EXPECT_EQ(deliveryCount, 1);
    }

    // Guards against requests to an evacuated zone: a node continues from the revision that the servers raise, and
    // requests that wait for the first configuration start as soon as the servers are known.
    TEST_F(SourceDecoderTest, EvacuationsAreDeliveredFirst)
    {
        adapter.decodeEvacuation = [](const SourceItem& item) -> std::optional<EvacuationEntry> {
            if (item.key != "evacuation")
                return std::nullopt;
            return EvacuationEntry { .zone = ZoneName("z"), .revision = item.revision, .isEvacuated = true };
        };
        decoder.onListing({ .items = { { .key = "configuration", .value = "one", .revision = Revision(4) },
                                { .key = "evacuation", .value = "{}", .revision = Revision(5) } },
            .revision = Revision(5) });
        decoder.onChanges({ .items = { { .key = "configuration", .value = "two", .revision = Revision(6) } },
            .revision = Revision(6) });
        loop.post([this] { loop.stop(); });
        loop.run();
        EXPECT_EQ(order, "evacuations-1 configuration servers configuration servers ");
    }

    // A listing without evacuations ends those that the node knows.
    TEST_F(SourceDecoderTest, ListingWithoutEvacuationsIsDelivered)
    {
        deliverListing("one", 5);
        EXPECT_EQ(order, "evacuations-0 configuration servers ");
    }

} // namespace
} // namespace skylark
