#include "base/Invariant.h"

#include <atomic>

namespace skylark {

namespace {
    std::atomic<uint64_t> violations { 0 };
}

void reportViolation(const InvariantDetails& details)
{
    violations.fetch_add(1, std::memory_order_relaxed);
    throw InvariantViolation({ .step = details.step,
        .peer = details.peer,
        .message = std::string("invariant violated: ") + details.rule,
        .advice = "save the state dump of this process and report a bug" });
}

uint64_t violationCount() { return violations.load(std::memory_order_relaxed); }

} // namespace skylark
