// Tests each rule of admission, and compares the queues with simple reference implementations.
#include "admission/AdmissionController.h"
#include "base/Guarded.h"
#include "base/Invariant.h"
#include "base/Random.h"
#include "testing/FakeClock.h"
#include "testing/TestSeed.h"

#include <algorithm>
#include <deque>
#include <rapidcheck/gtest.h>
#include <thread>

namespace skylark {
namespace {

    using namespace std::chrono_literals;

    class AdmissionTest : public testing::Test {
    protected:
        static AdmissionOptions options(int slots = 2, int maxQueue = 4)
        {
            return { .ranks = { { RankName("urgent"), 100ms, 0, 1 }, { RankName("normal"), 1s, 0, 1 },
                         { RankName("bulk"), 5s, 0, 1 } },
                .slots = slots,
                .maxQueue = maxQueue };
        }
        Ticket ticket(uint64_t id, int rank, Duration remaining = 60s) const
        {
            return { .id = TicketId(id), .rank = rank, .deadline = m_clock.now() + remaining, .costHint = 10ms };
        }
        Admission offer(uint64_t id, int rank, Duration remaining = 60s)
        {
            return m_controller.offer(ticket(id, rank, remaining), m_clock.now()).admission;
        }
        std::vector<uint64_t> release(uint64_t id, Duration serviceTime = 10ms)
        {
            const Dispatch dispatch
                = m_controller.release(TicketId(id), ServiceResult::Answered, serviceTime, m_clock.now());
            std::vector<uint64_t> ids;
            for (const Ticket& started : dispatch.started)
                ids.push_back(started.id.value());
            return ids;
        }

        FakeClock m_clock;
        AdmissionController m_controller { options(), m_clock.now() };
    };

    TEST_F(AdmissionTest, StartsUpToTheLimitThenTheMostUrgentWithTheEarliestDeadline)
    {
        EXPECT_EQ(offer(1, 0), Admission::Admitted);
        EXPECT_EQ(offer(2, 0), Admission::Admitted);
        EXPECT_EQ(offer(3, 2), Admission::Queued);
        EXPECT_EQ(offer(4, 1, 50s), Admission::Queued);
        EXPECT_EQ(offer(5, 1, 40s), Admission::Queued);
        EXPECT_EQ(offer(6, 0), Admission::Queued);
        EXPECT_EQ(release(1), std::vector<uint64_t>({ 6 }));
        EXPECT_EQ(release(2), std::vector<uint64_t>({ 5 }));
        EXPECT_EQ(release(5), std::vector<uint64_t>({ 4 }));
        EXPECT_EQ(release(6), std::vector<uint64_t>({ 3 }));
        EXPECT_EQ(m_controller.inFlight(), 2);
    }

    TEST_F(AdmissionTest, FullQueueDropsTheLowestRanksLatestDeadline)
    {
        offer(1, 0);
        offer(2, 0);
        offer(3, 2, 30s);
        offer(4, 2, 40s);
        offer(5, 1);
        offer(6, 1);
        EXPECT_EQ(offer(7, 2, 50s), Admission::Refused) << "the new call itself is the least urgent";
        const AdmitResult result = m_controller.offer(ticket(8, 1), m_clock.now());
        EXPECT_EQ(result.admission, Admission::Queued);
        ASSERT_EQ(result.displaced.size(), 1u);
        EXPECT_EQ(result.displaced[0].ticket.id.value(), 4u);
        EXPECT_EQ(result.displaced[0].reason, RefusalReason::QueueFull);
    }

    TEST_F(AdmissionTest, FullQueueKeepsThePlacesReservedByFloors)
    {
        AdmissionOptions withFloors = options(2, 4);
        withFloors.ranks[2].floor = 0.25;
        m_controller.reconfigure(withFloors, m_clock.now());
        offer(1, 0);
        offer(2, 0);
        offer(3, 2);
        for (uint64_t id = 4; id < 7; ++id)
            EXPECT_EQ(offer(id, 0), Admission::Queued);
        EXPECT_EQ(offer(7, 0, 90s), Admission::Refused);
        EXPECT_EQ(m_controller.queuedOf(2), 1);
    }

    TEST_F(AdmissionTest, CallThatCannotFinishInTimeIsRefusedImmediately)
    {
        EXPECT_EQ(offer(1, 0, 0s), Admission::Refused);
        EXPECT_EQ(offer(2, 0), Admission::Admitted);
        EXPECT_EQ(offer(3, 0), Admission::Admitted);
        release(2, 100ms);
        EXPECT_EQ(offer(4, 0, 99ms), Admission::Refused) << "a slot is free, but the service takes 100 ms";
        EXPECT_EQ(offer(5, 0, 101ms), Admission::Admitted);
        EXPECT_EQ(offer(6, 0, 200ms), Admission::Refused) << "100 ms + 2 x 50 ms deviation + the wait for a slot";
        EXPECT_EQ(offer(7, 0, 400ms), Admission::Queued);
        EXPECT_GT(m_controller.estimatedWait(0, m_clock.now()), 50ms);
        m_clock.advance(301ms);
        const Dispatch dispatch = m_controller.advance(m_clock.now());
        ASSERT_EQ(dispatch.refused.size(), 1u);
        EXPECT_EQ(dispatch.refused[0].reason, RefusalReason::TooLate);
    }

    TEST_F(AdmissionTest, EarlierDeadlineDoesNotWaitForLaterOnes)
    {
        for (uint64_t id = 1; id <= 6; ++id)
            offer(id, 0);
        release(1, 100ms);
        // Three calls wait. Behind them this call would be late; ahead of them it is on time.
        EXPECT_EQ(offer(7, 0, 270ms), Admission::Queued);
        EXPECT_EQ(m_controller.queued(), 4);
    }

    TEST_F(AdmissionTest, StaleEstimateDoesNotRefuseIndefinitely)
    {
        offer(1, 1);
        release(1, 10s);
        EXPECT_EQ(offer(2, 1, 1s), Admission::Refused);
        m_clock.advance(1s);
        EXPECT_EQ(offer(3, 1, 1s), Admission::Admitted);
    }

    TEST_F(AdmissionTest, CancelledWaitingCallNeverStartsAndARunningOneKeepsItsSlot)
    {
        offer(1, 0);
        offer(2, 0);
        offer(3, 0);
        EXPECT_TRUE(m_controller.cancel(TicketId(3)));
        EXPECT_FALSE(m_controller.cancel(TicketId(3)));
        EXPECT_FALSE(m_controller.cancel(TicketId(1)));
        EXPECT_EQ(m_controller.inFlight(), 2);
        EXPECT_TRUE(release(1).empty());
    }

    TEST_F(AdmissionTest, DrainRefusesNewCallsServesTheOthersAndThenIsIdle)
    {
        offer(1, 0);
        offer(2, 0);
        offer(3, 0);
        m_controller.drain();
        const AdmitResult result = m_controller.offer(ticket(4, 0), m_clock.now());
        EXPECT_EQ(result.admission, Admission::Refused);
        EXPECT_EQ(result.reason, RefusalReason::Draining);
        EXPECT_EQ(release(1), std::vector<uint64_t>({ 3 }));
        release(2);
        EXPECT_FALSE(m_controller.isIdle());
        release(3);
        EXPECT_TRUE(m_controller.isIdle());
    }

    TEST_F(AdmissionTest, ReleasingTwiceViolatesAnInvariant)
    {
        offer(1, 0);
        release(1);
        EXPECT_THROW(release(1), InvariantViolation);
        EXPECT_THROW(release(9), InvariantViolation);
    }

    TEST_F(AdmissionTest, RankBelowItsFloorGoesAheadOnItsFloorSlotsOnly)
    {
        AdmissionOptions withFloors = options(4, 100);
        withFloors.ranks[2].floor = 0.3; // 1.2 slots, so at most 2 at a time.
        m_controller.reconfigure(withFloors, m_clock.now());
        for (uint64_t id = 1; id <= 4; ++id)
            offer(id, 0);
        for (uint64_t id = 10; id < 20; ++id)
            offer(id, 0);
        for (uint64_t id = 20; id < 24; ++id)
            offer(id, 2);
        m_clock.advance(5s);
        EXPECT_EQ(release(1), std::vector<uint64_t>({ 20 }));
        EXPECT_EQ(release(2), std::vector<uint64_t>({ 21 }));
        EXPECT_EQ(release(3), std::vector<uint64_t>({ 10 }));
        m_clock.advance(10s); // The rank has now had more than its floor.
        EXPECT_EQ(release(20), std::vector<uint64_t>({ 11 }));
        EXPECT_NEAR(m_controller.shareOf(2, m_clock.now()), 0.5 * (1 - std::exp(-2)), 0.01);
    }

    TEST_F(AdmissionTest, LongCallsOfTheLowestRankLeaveASlotForTheMostUrgent)
    {
        m_controller.reconfigure(options(4), m_clock.now());
        AdmissionController& controller = m_controller;
        for (uint64_t id = 1; id <= 4; ++id) {
            Ticket longCall = ticket(id, 2);
            longCall.costHint = 2s;
            const Admission expected = id <= 3 ? Admission::Admitted : Admission::Queued;
            EXPECT_EQ(controller.offer(longCall, m_clock.now()).admission, expected) << id;
        }
        EXPECT_EQ(offer(5, 0), Admission::Admitted);
    }

    // Compares FIFO admission with a std::deque.
    RC_GTEST_PROP(FifoAdmissionPropertyTest, MatchesADeque, (const std::vector<uint8_t>& actions))
    {
        FakeClock clock;
        AdmissionController controller(
            { .ranks = {}, .slots = 2, .maxQueue = 3, .policy = FifoAdmission {} }, clock.now());
        std::deque<uint64_t> waitingIds;
        std::vector<uint64_t> runningIds;
        uint64_t id = 0;
        for (const uint8_t action : actions) {
            clock.advance(1ms);
            if (action % 3 < 2) {
                const auto result = controller.offer({ TicketId(++id), action % 5, clock.now() + 1h }, clock.now());
                if (runningIds.size() < 2) {
                    RC_ASSERT(result.admission == Admission::Admitted);
                    runningIds.push_back(id);
                } else if (waitingIds.size() < 3) {
                    RC_ASSERT(result.admission == Admission::Queued);
                    waitingIds.push_back(id);
                } else {
                    RC_ASSERT(result.admission == Admission::Refused);
                }
            } else if (!runningIds.empty()) {
                const auto chosen = runningIds.begin() + action % static_cast<int>(runningIds.size());
                const Dispatch dispatch
                    = controller.release(TicketId(*chosen), ServiceResult::Failed, 1ms, clock.now());
                runningIds.erase(chosen);
                RC_ASSERT(dispatch.started.size() == (waitingIds.empty() ? 0u : 1u));
                if (!waitingIds.empty()) {
                    RC_ASSERT(dispatch.started[0].id.value() == waitingIds.front());
                    runningIds.push_back(waitingIds.front());
                    waitingIds.pop_front();
                }
            }
        }
    }

    // Reference implementation of the ranked queues without floors: one vector with linear searches.
    class ReferenceQueue {
    public:
        explicit ReferenceQueue(size_t bound)
            : m_bound(bound)
        {
        }
        // Returns the id of the dropped call, if any.
        std::optional<uint64_t> add(const Ticket& ticket)
        {
            m_waiting.push_back(ticket);
            if (m_waiting.size() <= m_bound)
                return std::nullopt;
            // Among equal calls the newest is dropped.
            auto worst = m_waiting.begin();
            for (auto entry = m_waiting.begin(); entry != m_waiting.end(); ++entry) {
                if (std::tie(entry->rank, entry->deadline) >= std::tie(worst->rank, worst->deadline))
                    worst = entry;
            }
            const uint64_t id = worst->id.value();
            m_waiting.erase(worst);
            return id;
        }
        void refuseExpired(TimePoint now)
        {
            std::erase_if(m_waiting, [now](const Ticket& ticket) { return ticket.deadline <= now; });
        }
        std::optional<uint64_t> pop()
        {
            if (m_waiting.empty())
                return std::nullopt;
            const auto best
                = std::min_element(m_waiting.begin(), m_waiting.end(), [](const Ticket& a, const Ticket& b) {
                      return std::tie(a.rank, a.deadline) < std::tie(b.rank, b.deadline);
                  });
            const uint64_t id = best->id.value();
            m_waiting.erase(best);
            return id;
        }
        bool cancel(TicketId id)
        {
            return std::erase_if(m_waiting, [id](const Ticket& ticket) { return ticket.id == id; }) > 0;
        }
        size_t size() const { return m_waiting.size(); }

    private:
        size_t m_bound;
        std::vector<Ticket> m_waiting;
    };

    void compareWithReference(uint64_t seed, int steps)
    {
        Random random(seed);
        FakeClock clock;
        // Service times of zero make every estimate zero, so only calls past their deadlines are refused.
        AdmissionOptions options {
            .ranks = std::vector<RankPolicy>(3, RankPolicy { .target = 1s }), .slots = 3, .maxQueue = 6
        };
        AdmissionController controller(options, clock.now());
        uint64_t id = 0;
        for (int rank = 0; rank < 3; ++rank) {
            controller.offer({ TicketId(++id), rank, clock.now() + 1s }, clock.now());
            controller.release(TicketId(id), ServiceResult::Answered, 0s, clock.now());
        }
        ReferenceQueue reference(6);
        std::vector<uint64_t> runningIds;
        for (int i = 0; i < steps; ++i) {
            clock.advance(std::chrono::milliseconds(random.below(3)));
            const uint64_t action = random.below(10);
            const Dispatch expiry = controller.advance(clock.now());
            const size_t sizeBefore = reference.size();
            reference.refuseExpired(clock.now());
            ASSERT_EQ(expiry.refused.size(), sizeBefore - reference.size());
            ASSERT_TRUE(expiry.started.empty());
            if (action < 6) {
                const Ticket ticket { TicketId(++id), static_cast<int>(random.below(4)),
                    clock.now() + std::chrono::milliseconds(1 + random.below(40)) };
                Ticket clampedTicket = ticket;
                clampedTicket.rank = std::min(ticket.rank, 2);
                const AdmitResult result = controller.offer(ticket, clock.now());
                if (runningIds.size() < 3) {
                    ASSERT_EQ(result.admission, Admission::Admitted);
                    runningIds.push_back(id);
                } else if (const auto droppedId = reference.add(clampedTicket); droppedId == id) {
                    ASSERT_EQ(result.admission, Admission::Refused);
                } else {
                    ASSERT_EQ(result.admission, Admission::Queued);
                    ASSERT_EQ(result.displaced.size(), droppedId ? 1u : 0u);
                    if (droppedId) {
                        ASSERT_EQ(result.displaced[0].ticket.id.value(), *droppedId);
                    }
                }
            } else if (action < 7) {
                const TicketId anyId(1 + random.below(id));
                ASSERT_EQ(controller.cancel(anyId), reference.cancel(anyId));
            } else if (!runningIds.empty()) {
                const auto chosen = runningIds.begin() + static_cast<int>(random.below(runningIds.size()));
                const Dispatch dispatch
                    = controller.release(TicketId(*chosen), ServiceResult::Answered, 0s, clock.now());
                runningIds.erase(chosen);
                const auto nextId = reference.pop();
                ASSERT_EQ(dispatch.started.size(), nextId ? 1u : 0u);
                if (nextId) {
                    ASSERT_EQ(dispatch.started[0].id.value(), *nextId);
                    runningIds.push_back(*nextId);
                }
            }
            ASSERT_EQ(static_cast<size_t>(controller.queued()), reference.size());
        }
    }

    RC_GTEST_PROP(RankedAdmissionPropertyTest, MatchesALinearSearch, ())
    {
        compareWithReference(*rc::gen::arbitrary<uint64_t>(), 300);
        RC_ASSERT(!testing::Test::HasFailure());
    }

    TEST(RankedAdmissionLongTest, MatchesALinearSearchOverALongRun)
    {
        runWithSeeds(21, [](uint64_t seed) { compareWithReference(seed, 20'000); });
    }

    // Guarded must keep the invariants under concurrent use; ThreadSanitizer runs this test too.
    TEST(GuardedAdmissionTest, ThreadsShareOneController)
    {
        const SystemClock clock;
        const uint64_t violationsBefore = violationCount();
        Guarded<AdmissionController> admission(AdmissionOptions { .slots = 3, .maxQueue = 2 }, clock.now());
        std::vector<std::thread> threads;
        for (uint64_t t = 0; t < 4; ++t) {
            threads.emplace_back([&, t] {
                for (uint64_t i = 0; i < 2'000; ++i) {
                    const TicketId id(t * 1'000'000 + i);
                    const TimePoint now = clock.now();
                    const AdmitResult result = admission.with([&](auto& value) {
                        return value.offer({ id, 0, now + 1h }, now);
                    });
                    if (result.admission != Admission::Admitted) {
                        admission.with([&](auto& value) { value.cancel(id); });
                        continue;
                    }
                    std::deque<TicketId> runningIds { id };
                    while (!runningIds.empty()) {
                        const Dispatch dispatch = admission.with([&](auto& value) {
                            return value.release(runningIds.front(), ServiceResult::Failed, 1us, now);
                        });
                        runningIds.pop_front();
                        for (const Ticket& started : dispatch.started)
                            runningIds.push_back(started.id);
                    }
                }
            });
        }
        for (std::thread& thread : threads)
            thread.join();
        EXPECT_EQ(violationCount(), violationsBefore);
        EXPECT_TRUE(admission.with([](auto& value) { return value.isIdle(); }));
    }

} // namespace
} // namespace skylark
