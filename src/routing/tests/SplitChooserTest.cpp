#include "routing/SplitChooser.h"

#include <gtest/gtest.h>
#include <map>

namespace skylark {
namespace {

    Route splitRoute(uint32_t first, uint32_t second, uint32_t third)
    {
        return { .name = "r",
            .service = ServiceName("a"),
            .split = { { ServiceName("a"), first }, { ServiceName("b"), second }, { ServiceName("c"), third } } };
    }

    // After any number of requests, each service is off its share by at most one request.
    TEST(SplitChooserTest, EachServiceGetsItsShareOfAnySequence)
    {
        SplitChooser chooser;
        const Route route = splitRoute(70, 25, 5);
        std::map<std::string, double> counts;
        for (int n = 1; n <= 1000; ++n) {
            ++counts[chooser.choose(route).value()];
            EXPECT_NEAR(counts["a"], n * 0.70, 1);
            EXPECT_NEAR(counts["b"], n * 0.25, 1);
            EXPECT_NEAR(counts["c"], n * 0.05, 1);
        }
    }

    TEST(SplitChooserTest, RouteWithoutSplitGoesToItsService)
    {
        SplitChooser chooser;
        EXPECT_EQ(chooser.choose({ .name = "r", .service = ServiceName("only") }), ServiceName("only"));
    }

    // Guards against credits of an earlier version that distort the shares after a change of weights.
    TEST(SplitChooserTest, ChangedWeightsApplyFromTheNextRequest)
    {
        SplitChooser chooser;
        for (int i = 0; i < 99; ++i)
            chooser.choose(splitRoute(1, 1, 98));
        const Route changed = splitRoute(100, 0, 0);
        for (int i = 0; i < 10; ++i)
            EXPECT_EQ(chooser.choose(changed), ServiceName("a"));
    }

} // namespace
} // namespace skylark
