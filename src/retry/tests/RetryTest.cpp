// Guards against retries that could run a request twice, that multiply along a call chain or that grow in an overload.
#include "base/Invariant.h"
#include "retry/RetryBudget.h"
#include "retry/RetryPolicy.h"
#include "testing/FakeClock.h"

#include <cmath>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <thread>

namespace skylark {
namespace {

    using namespace std::chrono_literals;

    class RetryTest : public testing::Test {
    protected:
        Attempt idempotentCall() const
        {
            return { .isIdempotent = true, .number = 1, .maxRetries = 2, .deadline = m_clock.now() + 1s };
        }
        // The outcome returned to the caller; none when the call is retried.
        std::optional<CallOutcome> returnedOutcome(const Attempt& attempt, CallOutcome outcome)
        {
            const RetryDecision decision = m_policy.decide(attempt, outcome, m_budget, m_random, m_clock.now());
            const auto* returnToCaller = std::get_if<ReturnToCaller>(&decision);
            return returnToCaller ? std::optional(returnToCaller->outcome) : std::nullopt;
        }

        FakeClock m_clock;
        Random m_random { 1 };
        RetryPolicy m_policy { RetryOptions {} };
        RetryBudget m_budget { RetryBudgetOptions { .capacity = 1000 }, m_clock.now() };
    };

    TEST_F(RetryTest, NonIdempotentCallIsRetriedOnlyWhenProvedNotRun)
    {
        Attempt attempt = idempotentCall();
        attempt.isIdempotent = false;
        EXPECT_EQ(returnedOutcome(attempt, CallOutcome::Unknown), CallOutcome::Unknown);
        EXPECT_EQ(returnedOutcome(attempt, CallOutcome::NotRun), std::nullopt);
        attempt.mayHaveRun = true;
        EXPECT_EQ(returnedOutcome(attempt, CallOutcome::NotRun), CallOutcome::Unknown);
    }

    TEST_F(RetryTest, IdempotentCallIsRetriedUpToTheRoutesBound)
    {
        Attempt attempt = idempotentCall();
        EXPECT_EQ(returnedOutcome(attempt, CallOutcome::Unknown), std::nullopt);
        attempt.number = 2;
        EXPECT_EQ(returnedOutcome(attempt, CallOutcome::NotRun), std::nullopt);
        attempt.number = 3;
        EXPECT_EQ(returnedOutcome(attempt, CallOutcome::NotRun), CallOutcome::NotRun);
        EXPECT_EQ(returnedOutcome(idempotentCall(), CallOutcome::Answered), CallOutcome::Answered);
    }

    TEST_F(RetryTest, DeeperLevelsOfACallChainDoNotRetry)
    {
        Attempt attempt = idempotentCall();
        attempt.depth = 2;
        EXPECT_EQ(returnedOutcome(attempt, CallOutcome::NotRun), CallOutcome::NotRun);
    }

    TEST_F(RetryTest, CallWithAnUnknownAttemptIsNeverReportedAsNotRun)
    {
        Attempt attempt = idempotentCall();
        attempt.number = 3;
        attempt.mayHaveRun = true;
        EXPECT_EQ(returnedOutcome(attempt, CallOutcome::NotRun), CallOutcome::Unknown);
    }

    TEST_F(RetryTest, DelayLeavesTimeForTheAttempt)
    {
        for (int i = 0; i < 1000; ++i) {
            Attempt attempt = idempotentCall();
            attempt.maxRetries = 10;
            attempt.number = 1 + m_random.below(10);
            attempt.deadline = m_clock.now() + m_random.upTo(200ms);
            attempt.expectedLatency = 100ms;
            RetryBudget budget { {}, m_clock.now() };
            const RetryDecision decision
                = m_policy.decide(attempt, CallOutcome::NotRun, budget, m_random, m_clock.now());
            const auto* retry = std::get_if<Retry>(&decision);
            EXPECT_EQ(retry != nullptr, attempt.deadline - m_clock.now() >= 100ms);
            if (retry) {
                EXPECT_LE(m_clock.now() + retry->delay + attempt.expectedLatency, attempt.deadline);
            }
        }
    }

    TEST_F(RetryTest, BudgetIsNotSpentOnCallsThatAreNotRetried)
    {
        const double tokensBefore = m_budget.tokens(m_clock.now());
        Attempt lateAttempt = idempotentCall();
        lateAttempt.deadline = m_clock.now();
        returnedOutcome(lateAttempt, CallOutcome::NotRun);
        EXPECT_EQ(m_budget.tokens(m_clock.now()), tokensBefore);
        returnedOutcome(idempotentCall(), CallOutcome::NotRun);
        EXPECT_EQ(m_budget.tokens(m_clock.now()), tokensBefore - 1);
    }

    TEST_F(RetryTest, FloodOfRefusedCallsDoesNotAddToTheBudget)
    {
        RetryBudget budget { {}, m_clock.now() };
        int retries = 0;
        for (int i = 0; i < 100'000; ++i) { // 10 s of refused calls, each retried once when the budget allows it.
            budget.recordAttempt(1, CallOutcome::NotRun);
            budget.recordAttempt(2, CallOutcome::Answered);
            budget.recordAttempt(1, CallOutcome::Unknown);
            retries += budget.withdraw(m_clock.now());
            m_clock.advance(100us);
        }
        EXPECT_LE(retries, 5 + 10);
        EXPECT_GE(retries, 14);
    }

    TEST_F(RetryTest, BudgetIsATenthOfAnsweredFirstAttemptsAndCapped)
    {
        RetryBudget budget { {}, m_clock.now() };
        while (budget.withdraw(m_clock.now())) { }
        for (int i = 0; i < 100; ++i)
            budget.recordAttempt(1, CallOutcome::Answered);
        EXPECT_NEAR(budget.tokens(m_clock.now()), 10, 1e-6);
        for (int i = 0; i < 100'000; ++i)
            budget.recordAttempt(1, CallOutcome::Answered);
        m_clock.advance(24h * 365 * 100);
        EXPECT_EQ(budget.tokens(m_clock.now()), 50);
    }

    // Compares the budget with a reference model with floating-point tokens.
    RC_GTEST_PROP(RetryBudgetTest, MatchesTheReferenceModel, ())
    {
        FakeClock clock;
        RetryBudget budget { { .capacity = 5 }, clock.now() };
        double tokens = 0.5;
        for (const int action : *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 4))) {
            if (action == 0) {
                clock.advance(125ms);
                tokens = std::min(5.0, tokens + 0.125);
            } else if (action == 1) {
                budget.recordAttempt(1, CallOutcome::Answered);
                tokens = std::min(5.0, tokens + 0.1);
            } else if (std::abs(tokens - 1) > 1e-3) {
                const bool hasToken = tokens >= 1;
                RC_ASSERT(budget.withdraw(clock.now()) == hasToken);
                tokens -= hasToken ? 1 : 0;
            }
            RC_ASSERT(std::abs(budget.tokens(clock.now()) - tokens) < 1e-3);
        }
    }

    // Under concurrent use, no token may be taken twice or refilled twice. The threads synchronize by spinning, since
    // threads that wake from a barrier seldom run at the same moment.
    TEST_F(RetryTest, ThreadsNeverWithdrawMoreThanWasDeposited)
    {
        constexpr int threadCount = 4;
        constexpr int rounds = 5'000;
        RetryBudget budget { { .perSecond = 1000, .capacity = 1e6 }, m_clock.now() };
        while (budget.withdraw(m_clock.now())) { }
        std::atomic<int> withdrawnTokens = 0;
        std::atomic<int> arrivals = 0;
        std::vector<std::thread> threads;
        for (int t = 0; t < threadCount; ++t) {
            threads.emplace_back([&] {
                for (int i = 1; i <= rounds; ++i) {
                    ++arrivals;
                    while (arrivals < i * threadCount)
                        std::this_thread::yield();
                    withdrawnTokens += budget.withdraw(m_clock.now() + i * 1ms);
                    budget.recordAttempt(1, CallOutcome::Answered);
                }
            });
        }
        for (std::thread& thread : threads)
            thread.join();
        while (budget.withdraw(m_clock.now() + rounds * 1ms))
            ++withdrawnTokens;
        EXPECT_EQ(withdrawnTokens, threadCount * rounds / 10 + rounds);
    }

} // namespace
} // namespace skylark
