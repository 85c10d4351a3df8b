#include "retry/RetryBudget.h"

#include <algorithm>

namespace skylark {

namespace {

    constexpr int64_t unitsPerToken = 1'000'000;
    // Each refill is rounded down to a whole number of units; with shorter steps these losses would add up.
    constexpr Duration minRefillStep = std::chrono::milliseconds(1);

} // namespace

RetryBudget::RetryBudget(RetryBudgetOptions options, TimePoint now)
    : m_options(options)
    , m_capacity(static_cast<int64_t>(options.capacity * unitsPerToken))
    , m_units(m_capacity / 10)
    , m_refilledAt(now.time_since_epoch().count())
{
}

void RetryBudget::recordAttempt(uint32_t number, CallOutcome outcome)
{
    if (number == 1 && outcome == CallOutcome::Answered)
        add(static_cast<int64_t>(m_options.share * unitsPerToken));
}

bool RetryBudget::withdraw(TimePoint now)
{
    refill(now);
    int64_t units = m_units.load(std::memory_order_relaxed);
    while (units >= unitsPerToken) {
        if (m_units.compare_exchange_weak(units, units - unitsPerToken, std::memory_order_relaxed))
            return true;
    }
    return false;
}

double RetryBudget::tokens(TimePoint now)
{
    refill(now);
    return static_cast<double>(m_units.load(std::memory_order_relaxed)) / unitsPerToken;
}

void RetryBudget::add(int64_t units)
{
    int64_t old = m_units.load(std::memory_order_relaxed);
    while (!m_units.compare_exchange_weak(old, std::min(m_capacity, old + units), std::memory_order_relaxed)) { }
}

void RetryBudget::refill(TimePoint now)
{
    const TimePoint::rep time = now.time_since_epoch().count();
    TimePoint::rep lastRefill = m_refilledAt.load(std::memory_order_relaxed);
    if (time - lastRefill < minRefillStep.count())
        return;
    // Only the thread that advances m_refilledAt adds the tokens of that step.
    if (!m_refilledAt.compare_exchange_strong(lastRefill, time, std::memory_order_relaxed))
        return;
    const std::chrono::duration<double> elapsed = Duration(time - lastRefill);
    // The tokens are bounded before the conversion, which a long idle time could otherwise overflow.
    const double tokens = std::min(elapsed.count() * m_options.perSecond, m_options.capacity);
    add(static_cast<int64_t>(tokens * unitsPerToken));
}

} // namespace skylark
