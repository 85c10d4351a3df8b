// Token bucket that bounds the retries to one service: a tenth of the calls that succeed at the first attempt, plus
// one per second.
//
// Call recordAttempt() for every attempt when it ends. Only answered first attempts add tokens, so neither retries nor
// calls that an overloaded gate refuses raise the budget. The number of tokens is capped, so that a long idle time
// does not pay for a retry storm. All operations are lock-free.
#pragma once

#include "base/Types.h"
#include "wire/Messages.h"

#include <atomic>

namespace skylark {

struct RetryBudgetOptions {
    // Tokens added for each answered first attempt.
    double share { 0.1 };
    // Tokens added per second, independently of the calls.
    double perSecond { 1 };
    // Maximum number of tokens. The budget starts with a tenth of it.
    double capacity { 50 };
};

class RetryBudget {
public:
    RetryBudget(RetryBudgetOptions options, TimePoint now);

    void recordAttempt(uint32_t number, CallOutcome outcome);
    // Takes a token; returns false when there is none.
    bool withdraw(TimePoint now);
    double tokens(TimePoint now);

private:
    void add(int64_t units);
    void refill(TimePoint now);

    const RetryBudgetOptions m_options;
    const int64_t m_capacity;
    // In millionths of a token; within [0, m_capacity].
    std::atomic<int64_t> m_units;
    std::atomic<TimePoint::rep> m_refilledAt;
};

} // namespace skylark
