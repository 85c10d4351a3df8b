#include "retry/RetryPolicy.h"

#include "base/Invariant.h"

#include <algorithm>

namespace skylark {

namespace {

    bool mayRetry(const Attempt& attempt, CallOutcome outcome)
    {
        if (attempt.depth != 1 || attempt.number > attempt.maxRetries)
            return false;
        return attempt.isIdempotent || (outcome == CallOutcome::NotRun && !attempt.mayHaveRun);
    }

} // namespace

RetryPolicy::RetryPolicy(RetryOptions options)
    : m_options(options)
{
}

RetryDecision RetryPolicy::decide(
    const Attempt& attempt, CallOutcome outcome, RetryBudget& budget, Random& random, TimePoint now) const
{
    invariant(attempt.number >= 1, { .rule = "attempts count from 1", .step = "retry" });
    if (outcome == CallOutcome::Answered)
        return ReturnToCaller { outcome };
    const bool isUnknown = outcome == CallOutcome::Unknown || attempt.mayHaveRun;
    const ReturnToCaller returnToCaller { isUnknown ? CallOutcome::Unknown : CallOutcome::NotRun };
    if (!mayRetry(attempt, outcome))
        return returnToCaller;
    const Duration availableDelay = attempt.deadline - now - std::max(attempt.expectedLatency, m_options.minAttempt);
    if (availableDelay < Duration::zero() || !budget.withdraw(now))
        return returnToCaller;
    const int64_t doublings = std::min<uint32_t>(attempt.number - 1, 16);
    const Duration delayBound = std::min(m_options.maxDelay, m_options.firstDelay * (int64_t { 1 } << doublings));
    return Retry { random.upTo(std::min(delayBound, availableDelay)) };
}

} // namespace skylark
