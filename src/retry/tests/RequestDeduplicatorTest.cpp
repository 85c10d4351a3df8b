// Guards against a non-idempotent request that runs twice, and against a false "not run".
#include "retry/RequestDeduplicator.h"
#include "base/Invariant.h"
#include "base/Random.h"
#include "testing/FakeClock.h"
#include "testing/TestSeed.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace skylark {
namespace {

    using namespace std::chrono_literals;

    const Incarnation gateIncarnation { 7 };

    std::string describe(const Claim& claim)
    {
        struct Names {
            std::string operator()(ClaimNew) const { return "new"; }
            std::string operator()(ClaimRunning) const { return "running"; }
            std::string operator()(ClaimDone done) const
            {
                return done.outcome == CallOutcome::Answered ? "done answered" : "done unknown";
            }
            std::string operator()(ClaimRefused refused) const { return claimRefusalName(refused.reason); }
            std::string operator()(ClaimNotCovered) const { return "not covered"; }
        };
        return std::visit(Names {}, claim);
    }

    class RequestDeduplicatorTest : public testing::Test {
    protected:
        ClaimRequest request(const std::string& id, const std::string& key = {}, uint32_t attempt = 1) const
        {
            return { .requestId = RequestId(id),
                .attempt = attempt,
                .idempotencyKey = key,
                .gateIncarnation = gateIncarnation,
                .receivedAt = m_clock.now() };
        }
        std::string claim(const ClaimRequest& request)
        {
            return describe(m_deduplicator.claim(request, m_clock.now()));
        }
        void advanceTime(Duration duration)
        {
            for (Duration elapsed {}; elapsed < duration; elapsed += 1s) {
                m_clock.advance(std::min<Duration>(1s, duration - elapsed));
                m_deduplicator.advance(m_clock.now());
            }
        }

        FakeClock m_clock;
        RequestDeduplicator m_deduplicator { { .gateIncarnation = gateIncarnation, .capacity = 4 }, m_clock.now() };
        const std::string m_refusedBeforeText = claimRefusalName(ClaimRefusal::RefusedBefore);
        const std::string m_capacityReachedText = claimRefusalName(ClaimRefusal::CapacityReached);
        const std::string m_beforePauseText = claimRefusalName(ClaimRefusal::BeforePause);
    };

    TEST_F(RequestDeduplicatorTest, CopyByIdOrByKeyDoesNotRun)
    {
        EXPECT_EQ(claim(request("a", "k")), "new");
        EXPECT_EQ(claim(request("a")), "running");
        EXPECT_EQ(claim(request("a", {}, 2)), "running");
        EXPECT_EQ(claim(request("b", "k")), "running");
        m_deduplicator.finish(RequestId("a"), CallOutcome::Answered, m_clock.now());
        EXPECT_EQ(claim(request("a")), "done answered");
        EXPECT_EQ(claim(request("b", "k")), "done answered");
        EXPECT_EQ(claim(request("b", "k2")), "new");
    }

    TEST_F(RequestDeduplicatorTest, LateCopyOfARefusedAttemptNeverRunsButANewAttemptMay)
    {
        EXPECT_EQ(claim(request("a", "k")), "new");
        m_deduplicator.refuse(RequestId("a"), 1, m_clock.now());
        EXPECT_EQ(claim(request("a", "k")), m_refusedBeforeText);
        EXPECT_EQ(claim(request("a", "k", 2)), "new");
        EXPECT_EQ(claim(request("a", "k")), "running");
        EXPECT_TRUE(m_deduplicator.wasRefused(RequestId("a"), 1));
        EXPECT_FALSE(m_deduplicator.wasRefused(RequestId("a"), 2));
    }

    TEST_F(RequestDeduplicatorTest, RefusesNewRequestsWhenFullAndKeepsTheRefusal)
    {
        for (const char* id : { "a", "b", "c", "d" })
            EXPECT_EQ(claim(request(id)), "new");
        EXPECT_EQ(claim(request("e")), m_capacityReachedText);
        EXPECT_EQ(claim(request("a")), "running");
        m_deduplicator.refuse(RequestId("a"), 1, m_clock.now());
        EXPECT_EQ(claim(request("e")), m_refusedBeforeText);
        EXPECT_EQ(claim(request("f")), "new");
    }

    TEST_F(RequestDeduplicatorTest, EndedRequestIsKeptForTheRetentionAndARunningOneUntilItEnds)
    {
        EXPECT_EQ(claim(request("a", "k")), "new");
        EXPECT_EQ(claim(request("b")), "new");
        m_deduplicator.finish(RequestId("a"), CallOutcome::Unknown, m_clock.now());
        advanceTime(119s);
        EXPECT_EQ(claim(request("a")), "done unknown");
        advanceTime(1s);
        EXPECT_EQ(m_deduplicator.size(), 1u);
        EXPECT_EQ(claim(request("c", "k")), "new");
        EXPECT_EQ(claim(request("b")), "running");
    }

    TEST_F(RequestDeduplicatorTest, RequestsFromBeforeAPauseAreRefused)
    {
        const ClaimRequest earlyRequest = request("early");
        m_clock.advance(2500ms); // No advance() meanwhile, so the process counts as paused.
        EXPECT_EQ(claim(earlyRequest), m_beforePauseText);
        m_deduplicator.advance(m_clock.now());
        EXPECT_EQ(claim(request("buffered")), m_beforePauseText);
        m_clock.advance(200ms);
        m_deduplicator.advance(m_clock.now());
        EXPECT_EQ(claim(request("fresh")), "new");
        EXPECT_EQ(claim(earlyRequest), m_refusedBeforeText);
    }

    TEST_F(RequestDeduplicatorTest, RequestForAnEarlierProcessIsRefused)
    {
        ClaimRequest requestToEarlierProcess = request("a");
        requestToEarlierProcess.gateIncarnation = Incarnation(6);
        EXPECT_EQ(claim(requestToEarlierProcess), claimRefusalName(ClaimRefusal::OtherIncarnation));
    }

    TEST_F(RequestDeduplicatorTest, MarkedResendRunsOnlyWithinTheCoveredPeriod)
    {
        ClaimRequest resend = request("a", "k");
        resend.isResend = true;
        EXPECT_EQ(claim(resend), "not covered") << "the gate is younger than the retention";
        advanceTime(120s);
        resend.receivedAt = m_clock.now();
        ClaimRequest withoutKey = resend;
        withoutKey.idempotencyKey.clear();
        EXPECT_EQ(claim(withoutKey), "not covered") << "without a key the first copy may have gone elsewhere";
        EXPECT_EQ(claim(resend), "new");
        EXPECT_EQ(claim(withoutKey), "running");
        m_deduplicator.recordOwnershipChange(m_clock.now());
        ClaimRequest resendAfterMove = resend;
        resendAfterMove.requestId = RequestId("b");
        resendAfterMove.idempotencyKey = "k2";
        EXPECT_EQ(claim(resendAfterMove), "not covered") << "the key may have moved here from another gate";
        advanceTime(120s);
        resendAfterMove.receivedAt = m_clock.now();
        EXPECT_EQ(claim(resendAfterMove), "new");
        m_clock.advance(3s);
        resendAfterMove.requestId = RequestId("c");
        resendAfterMove.idempotencyKey = "k3";
        EXPECT_EQ(claim(resendAfterMove), "not covered") << "the gate was paused";
    }

    TEST_F(RequestDeduplicatorTest, FinishingTwiceOrRefusingAFinishedRequestViolatesAnInvariant)
    {
        EXPECT_EQ(claim(request("a")), "new");
        EXPECT_THROW(m_deduplicator.refuse(RequestId("a"), 2, m_clock.now()), InvariantViolation);
        EXPECT_THROW(m_deduplicator.finish(RequestId("a"), CallOutcome::NotRun, m_clock.now()), InvariantViolation);
        m_deduplicator.finish(RequestId("a"), CallOutcome::Answered, m_clock.now());
        EXPECT_THROW(m_deduplicator.finish(RequestId("a"), CallOutcome::Answered, m_clock.now()), InvariantViolation);
        EXPECT_THROW(m_deduplicator.refuse(RequestId("a"), 1, m_clock.now()), InvariantViolation);
        EXPECT_THROW(m_deduplicator.finish(RequestId("b"), CallOutcome::Answered, m_clock.now()), InvariantViolation);
    }

    TEST(RefusalFilterTest, KeepsEachIdForTheRetentionWithFewFalsePositives)
    {
        FakeClock clock;
        RefusalFilter filter(120s, clock.now());
        constexpr int count = 300'000;
        for (int i = 0; i < count; ++i)
            filter.add(digestOf("refused" + std::to_string(i)), clock.now());
        int falsePositives = 0;
        for (int i = 0; i < count; ++i) {
            ASSERT_TRUE(filter.contains(digestOf("refused" + std::to_string(i))));
            falsePositives += filter.contains(digestOf("other" + std::to_string(i)));
        }
        EXPECT_LT(falsePositives, count / 1000);
        clock.advance(239s);
        filter.advance(clock.now());
        EXPECT_TRUE(filter.contains(digestOf("refused1")));
        clock.advance(1s);
        filter.advance(clock.now());
        EXPECT_FALSE(filter.contains(digestOf("refused1")));
    }

    // Reference implementation with plain containers, linear searches and no bound on refusals.
    class ReferenceDeduplicator {
    public:
        ReferenceDeduplicator(size_t capacity, TimePoint start)
            : m_capacity(capacity)
            , m_coveredSince(start)
        {
        }
        std::string claim(const ClaimRequest& request, TimePoint now)
        {
            std::erase_if(m_entries, [&](const Entry& e) { return e.isDone && now - e.endedAt >= 120s; });
            for (const Entry& e : m_entries) {
                if (e.id == request.requestId)
                    return stateOf(e);
            }
            for (const Entry& e : m_entries) {
                if (!e.key.empty() && e.key == request.idempotencyKey)
                    return stateOf(e);
            }
            if (request.isResend && (request.idempotencyKey.empty() || now - m_coveredSince < 120s))
                return "not covered";
            for (const auto& [id, attempt] : m_refused) {
                if (id == request.requestId && attempt == request.attempt)
                    return claimRefusalName(ClaimRefusal::RefusedBefore);
            }
            if (m_entries.size() == m_capacity) {
                m_refused.emplace_back(request.requestId, request.attempt);
                return claimRefusalName(ClaimRefusal::CapacityReached);
            }
            m_entries.push_back({ .id = request.requestId, .key = request.idempotencyKey });
            return "new";
        }
        void finish(const RequestId& id, CallOutcome outcome, TimePoint now)
        {
            for (Entry& e : m_entries) {
                if (e.id == id)
                    e.isDone = true, e.outcome = outcome, e.endedAt = now;
            }
        }
        void refuse(const RequestId& id, uint32_t attempt)
        {
            std::erase_if(m_entries, [&](const Entry& e) { return e.id == id; });
            m_refused.emplace_back(id, attempt);
        }

    private:
        struct Entry {
            RequestId id;
            std::string key;
            bool isDone { false };
            CallOutcome outcome { CallOutcome::Unknown };
            TimePoint endedAt;
        };
        static std::string stateOf(const Entry& e)
        {
            if (!e.isDone)
                return "running";
            return e.outcome == CallOutcome::Answered ? "done answered" : "done unknown";
        }

        size_t m_capacity;
        TimePoint m_coveredSince;
        std::vector<Entry> m_entries;
        std::vector<std::pair<RequestId, uint32_t>> m_refused;
    };

    // Compares the deduplicator with the reference step by step. Refusals are kept for at least one retention, so the
    // ids are drawn anew in each period of 100 s and expired ones do not come back.
    void compareWithReference(uint64_t seed, int steps)
    {
        Random random(seed);
        FakeClock clock;
        constexpr size_t capacity = 12;
        RequestDeduplicator deduplicator({ .gateIncarnation = gateIncarnation, .capacity = capacity }, clock.now());
        ReferenceDeduplicator reference(capacity, clock.now());
        const TimePoint start = clock.now();
        std::map<RequestId, uint32_t> running;
        for (int i = 0; i < steps; ++i) {
            clock.advance(random.upTo(1500ms));
            deduplicator.advance(clock.now());
            if (random.below(2) == 0 || running.empty()) {
                const std::string period = std::to_string((clock.now() - start) / 100s);
                ClaimRequest request { .requestId = RequestId(period + "/" + std::to_string(random.below(20))),
                    .attempt = static_cast<uint32_t>(1 + random.below(3)),
                    .idempotencyKey = random.below(2) ? "k" + std::to_string(random.below(30)) : "",
                    .gateIncarnation = gateIncarnation,
                    .isResend = random.below(4) == 0,
                    .receivedAt = clock.now() };
                const std::string expected = reference.claim(request, clock.now());
                ASSERT_EQ(describe(deduplicator.claim(request, clock.now())), expected) << "step " << i;
                if (expected == "new") {
                    ASSERT_TRUE(running.emplace(request.requestId, request.attempt).second);
                }
                continue;
            }
            const auto chosen = std::next(running.begin(), static_cast<int>(random.below(running.size())));
            if (random.below(3) == 0) {
                reference.refuse(chosen->first, chosen->second);
                deduplicator.refuse(chosen->first, chosen->second, clock.now());
            } else {
                const CallOutcome outcome = random.below(2) ? CallOutcome::Answered : CallOutcome::Unknown;
                reference.finish(chosen->first, outcome, clock.now());
                deduplicator.finish(chosen->first, outcome, clock.now());
            }
            running.erase(chosen);
        }
    }

    RC_GTEST_PROP(RequestDeduplicatorPropertyTest, MatchesTheReferenceModel, ())
    {
        compareWithReference(*rc::gen::arbitrary<uint64_t>(), 300);
        RC_ASSERT(!testing::Test::HasFailure());
    }

    TEST(RequestDeduplicatorLongTest, MatchesTheReferenceModelOverALongRun)
    {
        runWithSeeds(11, [](uint64_t seed) { compareWithReference(seed, 20'000); });
    }

} // namespace
} // namespace skylark
