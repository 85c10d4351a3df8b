// Decides whether a failed attempt of a call is retried.
//
// - An idempotent request may be retried after any failure, a non-idempotent one only when the attempt is proved not
//   to have run.
// - Only the first level of a call chain retries: if each of nine levels sent a call three times, one failure at the
//   end would cause 3^9 calls.
// - A retry needs enough time left for one more attempt and a token of the service's RetryBudget. The token is taken
//   only when all other conditions hold.
//
// When the call ends without a response, ReturnToCaller holds the outcome of the whole call and not of the last
// attempt: once any attempt was Unknown, a later NotRun does not make the call NotRun.
#pragma once

#include "base/Random.h"
#include "retry/RetryBudget.h"
#include "wire/Messages.h"

#include <variant>

namespace skylark {

struct RetryOptions {
    // The delay before retry n is uniform over [0, firstDelay x 2^(n-1)], with that bound capped at maxDelay.
    Duration firstDelay { std::chrono::milliseconds(5) };
    Duration maxDelay { std::chrono::milliseconds(250) };
    // The minimum time assumed for an attempt, also where no latency has been measured.
    Duration minAttempt { std::chrono::milliseconds(1) };
};

// The attempt that has just ended.
struct Attempt {
    bool isIdempotent { false };
    // Level in the call chain, from 1.
    uint32_t depth { 1 };
    // Counts from 1.
    uint32_t number { 1 };
    // The route's bound on retries.
    uint32_t maxRetries { 0 };
    TimePoint deadline;
    // Mean latency of an attempt (Choice::expectedLatency); zero when unknown.
    Duration expectedLatency {};
    // True once an earlier attempt of the call was Unknown.
    bool mayHaveRun { false };
};

struct Retry {
    Duration delay {};
};

struct ReturnToCaller {
    CallOutcome outcome { CallOutcome::Unknown };
};

using RetryDecision = std::variant<Retry, ReturnToCaller>;

class RetryPolicy {
public:
    explicit RetryPolicy(RetryOptions options);

    // Thread-safe: the policy has no mutable state, and the budget uses atomics.
    RetryDecision decide(
        const Attempt& attempt, CallOutcome outcome, RetryBudget& budget, Random& random, TimePoint now) const;

private:
    RetryOptions m_options;
};

} // namespace skylark
