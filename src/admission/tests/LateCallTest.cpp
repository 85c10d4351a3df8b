// Tests admission under loads in which many calls cannot be answered within their callers' targets.
#include "admission/InitialTimeoutEstimate.h"
#include "admission/tests/GateSimulator.h"

#include <gtest/gtest.h>

namespace skylark {
namespace {

    using namespace std::chrono_literals;

    constexpr int slots = 12;

    AdmissionOptions options()
    {
        return { .ranks = { { .name = RankName("first"), .target = 500ms },
                     { .name = RankName("second"), .target = 600ms, .floor = 0.1 },
                     { .name = RankName("third"), .target = 1500ms, .floor = 0.1 } },
            .slots = slots };
    }

    // The steady overload of a booking service: 1.5 times the capacity of 12 slots, with callers that time out after
    // 1.2 and 1.5 s.
    std::vector<Stream> overload(Duration secondTarget, Duration thirdTarget)
    {
        return {
            { .rank = 1, .callsPerSecond = 55, .meanServiceTime = 220ms, .deadline = 1200ms, .target = secondTarget },
            { .rank = 2, .callsPerSecond = 20, .meanServiceTime = 290ms, .deadline = 1500ms, .target = thirdTarget }
        };
    }

    // Guards against a queue that under overload answers nearly all calls too late to be of use.
    TEST(LateCallTest, AnsweredCallsAreOnTimeUnderOverload)
    {
        GateSimulator simulator(options(), slots, 4711);
        const std::vector<RankResult> results = simulator.run(overload(600ms, 1500ms), 30s);
        const RankResult& second = results[1];
        const int64_t answered = second.onTime + second.late;
        EXPECT_GT(answered, second.offered / 2);
        EXPECT_GT(second.withinTarget, answered * 9 / 10);
        EXPECT_GT(results[2].withinTarget, 0);
    }

    // The capacity serves the same number of calls with and without targets; only their order changes.
    TEST(LateCallTest, TargetsDoNotReduceThroughput)
    {
        const auto slotSeconds = [](Duration secondTarget, Duration thirdTarget) {
            GateSimulator simulator(options(), slots, 4712);
            const auto results = simulator.run(overload(secondTarget, thirdTarget), 30s);
            return results[1].slotSeconds + results[2].slotSeconds;
        };
        EXPECT_GT(slotSeconds(600ms, 1500ms), 0.95 * slotSeconds(0ms, 0ms));
    }

    // Guards against refusing late calls while slots are free for them.
    TEST(LateCallTest, LateCallsAreServedWhileCapacityIsFree)
    {
        GateSimulator simulator(options(), slots, 4713);
        const auto results = simulator.run(
            { { .rank = 1, .callsPerSecond = 20, .meanServiceTime = 220ms, .deadline = 1200ms, .target = 1ns } }, 20s);
        EXPECT_EQ(results[1].refused, 0);
        EXPECT_EQ(results[1].onTime, results[1].offered);
    }

    TEST(LateCallTest, LateCallWaitsBehindLaterArrivalsThatCanBeOnTime)
    {
        const TimePoint start = TimePoint() + 1h;
        AdmissionController controller({ .ranks = { { .target = 500ms } }, .slots = 1 }, start);
        const auto ticket = [&](uint64_t id, Duration onTimeBy) {
            return Ticket {
                .id = TicketId(id), .deadline = start + 10s, .onTimeBy = start + onTimeBy, .costHint = 100ms
            };
        };
        EXPECT_EQ(controller.offer(ticket(1, 500ms), start).admission, Admission::Admitted);
        EXPECT_EQ(controller.offer(ticket(2, 1ms), start).admission, Admission::Queued);
        EXPECT_EQ(controller.offer(ticket(3, 900ms), start).admission, Admission::Queued);
        const Dispatch dispatch = controller.release(TicketId(1), ServiceResult::Answered, 100ms, start + 100ms);
        ASSERT_EQ(dispatch.started.size(), 1u);
        EXPECT_EQ(dispatch.started[0].id, TicketId(3));
    }

    // Guards against a rank's mean that refuses or demotes cheap calls because others of the rank are expensive, and
    // against an expensive call that starts too late because a cheap one with a slightly earlier target went first.
    TEST(LateCallTest, CallsAreJudgedAndOrderedByTheirOwnCost)
    {
        const TimePoint start = TimePoint() + 1h;
        AdmissionController controller({ .ranks = { { .target = 500ms } }, .slots = 1, .usesCostHints = true }, start);
        const auto ticket = [&](uint64_t id, Duration onTimeBy, Duration cost) {
            return Ticket {
                .id = TicketId(id), .deadline = start + 10s, .onTimeBy = start + onTimeBy, .costHint = cost
            };
        };
        EXPECT_EQ(controller.offer(ticket(1, 10s, 100ms), start).admission, Admission::Admitted);
        EXPECT_EQ(controller.offer(ticket(2, 900ms, 10ms), start).admission, Admission::Queued);
        EXPECT_EQ(controller.offer(ticket(3, 1s, 500ms), start).admission, Admission::Queued);
        EXPECT_EQ(controller.offer(ticket(4, 700ms, 5s), start).admission, Admission::Queued);
        std::vector<TicketId> order;
        for (uint64_t running = 1; running < 4;) {
            const Dispatch dispatch
                = controller.release(TicketId(running), ServiceResult::Answered, 100ms, start + 100ms);
            ASSERT_EQ(dispatch.started.size(), 1u);
            order.push_back(dispatch.started[0].id);
            running = dispatch.started[0].id.value();
        }
        // Call 4 cannot be on time and waits behind the others although its target is the earliest.
        EXPECT_EQ(order, (std::vector { TicketId(3), TicketId(2), TicketId(4) }));
    }

    // Guards against a waiting call that passes its deadline behind other calls and is never refused.
    TEST(LateCallTest, LateCallPastItsDeadlineIsRefused)
    {
        const TimePoint start = TimePoint() + 1h;
        AdmissionController controller({ .ranks = { { .target = 500ms } }, .slots = 1 }, start);
        controller.offer({ .id = TicketId(1), .deadline = start + 10s, .onTimeBy = start + 9s, .costHint = 1s }, start);
        controller.offer({ .id = TicketId(2), .deadline = start + 3s, .onTimeBy = start, .costHint = 1s }, start);
        controller.offer({ .id = TicketId(3), .deadline = start + 10s, .onTimeBy = start + 9s, .costHint = 1s }, start);
        const Dispatch dispatch = controller.advance(start + 3s);
        ASSERT_EQ(dispatch.refused.size(), 1u);
        EXPECT_EQ(dispatch.refused[0].ticket.id, TicketId(2));
    }

    TEST(InitialTimeoutEstimateTest, RetriesAreDistinguishedFromFirstAttempts)
    {
        InitialTimeoutEstimate estimate;
        EXPECT_EQ(estimate.elapsedSinceFirstAttempt(100ms), 0ms);
        Random random(7);
        for (int i = 0; i < 300; ++i) {
            estimate.record(2500ms);
            // Nearly half of the requests are retries, which have the rest of their caller's time.
            if (i % 5 < 4)
                estimate.record(random.upTo(2400ms));
        }
        EXPECT_EQ(estimate.elapsedSinceFirstAttempt(2500ms), 0ms);
        EXPECT_EQ(estimate.elapsedSinceFirstAttempt(1800ms), 700ms);
        EXPECT_EQ(estimate.elapsedSinceFirstAttempt(5s), 0ms);
    }

    // Guards against one caller with a long deadline that makes all others look late.
    TEST(InitialTimeoutEstimateTest, RareValuesAreIgnored)
    {
        InitialTimeoutEstimate estimate;
        for (int i = 0; i < 300; ++i) {
            estimate.record(1500ms);
            if (i % 20 == 0)
                estimate.record(std::chrono::seconds(30 + i));
        }
        EXPECT_EQ(estimate.elapsedSinceFirstAttempt(1500ms), 0ms);
    }

} // namespace
} // namespace skylark
