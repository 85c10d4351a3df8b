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
                ++decoded;
                if (text == "damaged")
                    throw Error({ .step = "decode", .message = "damaged" });
                return std::shared_ptr<const Configuration>();
            };
        }
        void list(const std::string& text, uint64_t revision)
        {
            decoder.onListing({ .items = { { .key = "configuration", .value = text, .revision = Revision(revision) } },
                .revision = Revision(revision) });
            loop.post([this] { loop.stop(); });
            loop.run();
        }

        FakeClock clock;
        EventLoop loop { clock };
        PlatformAdapter adapter;
        int decoded { 0 };
        int delivered { 0 };
        int listings { 0 };
        SourceDecoder decoder { loop, adapter,
            { .onConfiguration = [this](const ConfigurationUpdate&) { ++delivered; },
                .onListing = [this](const std::vector<ServerEntry>&, Revision) { ++listings; } } };
    };

    // Guards against decoding a large configuration again with each listing, which is expensive on a tenth of a core.
    TEST_F(SourceDecoderTest, ConfigurationThatIsListedAgainIsDecodedOnce)
    {
        list("one", 5);
        list("one", 5);
        EXPECT_EQ(decoded, 1);
        EXPECT_EQ(delivered, 1);
        EXPECT_EQ(listings, 2);
        list("two", 6);
        EXPECT_EQ(delivered, 2);
    }

    TEST_F(SourceDecoderTest, DamagedConfigurationChangesNothing)
    {
        list("damaged", 5);
        EXPECT_EQ(delivered, 0);
        EXPECT_EQ(listings, 1);
        list("two", 6);
        EXPECT_EQ(delivered, 1);
    }

} // namespace
} // namespace skylark
