// Bounds the retries to one service: a tenth of the calls that succeed at the first attempt, and one a second.
//
// recordAttempt() every attempt when it ends; it deposits only for first attempts that were answered, so that
// neither retries nor calls that a flooded gate refuses add to the budget. Tokens are capped, so that a long
// quiet time does not pay for a storm. All operations are lock-free.
#pragma once

#include "base/Types.h"
#include "wire/Messages.h"

#include <atomic>

namespace skylark {

struct RetryBudgetOptions {
    // Tokens for each first attempt that is answered.
    double share { 0.1 };
    double perSecond { 1 };
    // Most tokens that can be saved up. The budget starts with a tenth of it.
    double capacity { 50 };
};

class RetryBudget {
public:
    RetryBudget(RetryBudgetOptions options, TimePoint now);

    void recordAttempt(uint32_t number, CallOutcome outcome);
    // Takes a token if there is one.
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
