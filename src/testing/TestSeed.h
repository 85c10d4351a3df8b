// Seed and length of randomized tests: fixed by default, so that CI repeats.
//
// SKYLARK_SEED=N runs a test from another seed; SKYLARK_MINUTES=M repeats it with successive seeds for that
// long in total. The seed is part of each failure's trace.
#pragma once

#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <gtest/gtest.h>

namespace skylark {

template <typename Test> void runWithSeeds(uint64_t defaultSeed, Test test)
{
    const char* seedText = std::getenv("SKYLARK_SEED");
    const char* minutesText = std::getenv("SKYLARK_MINUTES");
    uint64_t seed = seedText ? std::strtoull(seedText, nullptr, 10) : defaultSeed;
    const std::chrono::duration<double, std::ratio<60>> length(minutesText ? std::strtod(minutesText, nullptr) : 0);
    const auto start = std::chrono::steady_clock::now();
    do {
        SCOPED_TRACE("SKYLARK_SEED=" + std::to_string(seed));
        test(seed++);
    } while (!testing::Test::HasFailure() && std::chrono::steady_clock::now() - start < length);
}

} // namespace skylark
