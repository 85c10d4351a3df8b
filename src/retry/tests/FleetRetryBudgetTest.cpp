// Tests many nodes with a budget each against the bound for all of them together.
#include "retry/FleetRetryBudget.h"

#include "base/Random.h"

#include <deque>
#include <gtest/gtest.h>

namespace skylark {
namespace {

    using namespace std::chrono_literals;

    const ServiceName service("orders");
    const TimePoint start = TimePoint() + 1h;

    struct Event {
        TimePoint time;
        bool isRetry { false };
    };

    // The largest excess of retries over the fleet's bound in any window; negative while the bound is kept.
    double maxExcess(const std::vector<Event>& events, double ratio, double slack, Duration window)
    {
        double highestExcess = -slack;
        std::deque<Event> eventsInWindow;
        double requests = 0;
        double retries = 0;
        for (const Event& event : events) {
            eventsInWindow.push_back(event);
            (event.isRetry ? retries : requests) += 1;
            while (event.time - eventsInWindow.front().time > window) {
                (eventsInWindow.front().isRetry ? retries : requests) -= 1;
                eventsInWindow.pop_front();
            }
            highestExcess = std::max(highestExcess, retries - ratio * requests - slack);
        }
        return highestExcess;
    }

    // Guards against nodes that each keep to their own bound but together exceed that of the fleet.
    TEST(FleetRetryBudgetTest, AllNodesTogetherKeepTheBoundInEveryWindow)
    {
        constexpr size_t nodes = 12;
        const FleetRetryBudgetOptions options { .ratio = 0.2, .slack = 60, .window = 10s };
        std::vector<FleetRetryBudget> budgets(nodes, FleetRetryBudget(options));
        Random random(5);
        std::vector<Event> events;
        int allowedRetries = 0;
        for (TimePoint now = start; now < start + 60s; now += 1ms) {
            // The load changes tenfold, and each request attempts three retries.
            const bool isBusy = (now - start) / 15s % 2 == 0;
            if (random.unit() > (isBusy ? 0.5 : 0.05))
                continue;
            FleetRetryBudget& budget = budgets[random.below(nodes)];
            budget.recordRequest(service, now);
            events.push_back({ now, false });
            for (int retry = 0; retry < 3; ++retry) {
                if (!budget.tryTake(service, false, nodes, now))
                    continue;
                events.push_back({ now, true });
                ++allowedRetries;
            }
        }
        EXPECT_LE(maxExcess(events, options.ratio, options.slack, options.window), 0);
        EXPECT_GT(allowedRetries, 500);
    }

    TEST(FleetRetryBudgetTest, RetriesOfCallsThatMayHaveRunUseASmallerShareOfTheBound)
    {
        FleetRetryBudget budget({ .ratio = 0.2, .slack = 0, .window = 10s });
        for (int i = 0; i < 1000; ++i)
            budget.recordRequest(service, start);
        int retriesAfterRun = 0;
        while (budget.tryTake(service, true, 1, start))
            ++retriesAfterRun;
        EXPECT_EQ(retriesAfterRun, 70);
        int allRetries = retriesAfterRun;
        while (budget.tryTake(service, false, 1, start))
            ++allRetries;
        EXPECT_EQ(allRetries, 160);
    }

    TEST(FleetRetryBudgetTest, RequestsOutsideTheWindowAddNoBudget)
    {
        FleetRetryBudget budget({ .ratio = 0.5, .slack = 0, .window = 10s });
        for (int i = 0; i < 100; ++i)
            budget.recordRequest(service, start);
        EXPECT_TRUE(budget.tryTake(service, false, 1, start + 5s));
        EXPECT_FALSE(budget.tryTake(service, false, 1, start + 12s));
    }

} // namespace
} // namespace skylark
