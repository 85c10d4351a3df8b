// Invariant checks that are enabled in every build type.
//
// invariant(condition, {...}) counts a violation and throws InvariantViolation if the condition is false. The count
// is exported as a metric; a value above zero indicates a bug in the program, not invalid input.
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
