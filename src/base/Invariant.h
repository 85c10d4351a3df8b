// Invariants that are checked in every build.
//
// invariant(condition, {...}) throws InvariantViolation when condition is false and counts it. The count is
// exported as a metric; a value above zero is a fault of the program and not of its input.
#pragma once

#include "base/Error.h"

#include <cstdint>

namespace skylark {

struct InvariantDetails {
    const char* rule;
    const char* step;
    std::string peer {};
};

class InvariantViolation : public Error {
public:
    using Error::Error;
};

[[noreturn]] void reportViolation(const InvariantDetails& details);

inline void invariant(bool condition, const InvariantDetails& details)
{
    if (!condition) [[unlikely]]
        reportViolation(details);
}

// Number of violations since the process started.
uint64_t violationCount();

} // namespace skylark
