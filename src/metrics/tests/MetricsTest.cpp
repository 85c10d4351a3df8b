#include "metrics/Metrics.h"

#include <gtest/gtest.h>

namespace skylark {
namespace {

    TEST(MetricsTest, RequestsAreCountedWithTheirLatency)
    {
        Metrics metrics;
        metrics.countRequest("0", "answered", std::chrono::milliseconds(30));
        metrics.countRequest("0", "answered", std::chrono::milliseconds(300));
        metrics.setValue("source_lost", 1);
        const std::string text = metrics.exposition();
        EXPECT_NE(text.find("skylark_requests_total{outcome=\"answered\",rank=\"0\"} 2"), std::string::npos) << text;
        EXPECT_NE(text.find("skylark_request_seconds_bucket{rank=\"0\",le=\"0.05\"} 1"), std::string::npos) << text;
        EXPECT_NE(text.find("skylark_state{value=\"source_lost\"} 1"), std::string::npos) << text;
    }

} // namespace
} // namespace skylark
