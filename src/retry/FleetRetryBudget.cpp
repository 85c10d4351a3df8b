#include "retry/FleetRetryBudget.h"

#include <algorithm>

namespace skylark {

FleetRetryBudget::FleetRetryBudget(FleetRetryBudgetOptions options)
    : m_options(options)
{
}

int64_t FleetRetryBudget::sliceNumber(TimePoint now) const
{
    return now.time_since_epoch().count() / std::max<int64_t>(1, m_options.window.count() / sliceCount);
}

FleetRetryBudget::Slice& FleetRetryBudget::sliceAt(const ServiceName& service, TimePoint now)
{
    const int64_t number = sliceNumber(now);
    Slice& slice = m_windows[service][static_cast<size_t>(number % (sliceCount + 1))];
    if (slice.number != number)
        slice = { .number = number };
    return slice;
}

void FleetRetryBudget::recordRequest(const ServiceName& service, TimePoint now) { ++sliceAt(service, now).requests; }

bool FleetRetryBudget::tryTake(const ServiceName& service, bool mayHaveRun, size_t nodes, TimePoint now)
{
    Slice& currentSlice = sliceAt(service, now);
    double requests = 0;
    // Starts at 1 for the retry that is requested.
    double retries = 1;
    for (const Slice& slice : m_windows[service]) {
        if (slice.number < 0 || currentSlice.number - slice.number > sliceCount)
            continue;
        retries += slice.retries;
        // The oldest slice lies partly outside the window. To stay within the bound, its retries are counted and its
        // requests are not.
        requests += currentSlice.number - slice.number < sliceCount ? slice.requests : 0;
    }
    const double bound = m_options.ratio * requests + m_options.slack / static_cast<double>(std::max<size_t>(1, nodes));
    if (retries > (mayHaveRun ? m_options.safetyFactorAfterRun : m_options.safetyFactor) * bound)
        return false;
    ++currentSlice.retries;
    return true;
}

} // namespace skylark
