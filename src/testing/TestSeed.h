// Runs randomized tests with a fixed seed by default, so that CI runs are reproducible.
//
// - SKYLARK_SEED=N sets the first seed.
// - SKYLARK_MINUTES=M repeats the test with successive seeds for M minutes in total.
//
// Each failure message contains the seed.
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
    const std::chrono::duration<double, std::ratio<60>> totalTime(minutesText ? std::strtod(minutesText, nullptr) : 0);
    const auto start = std::chrono::steady_clock::now();
    do {
        SCOPED_TRACE("SKYLARK_SEED=" + std::to_string(seed));
        test(seed++);
    } while (!testing::Test::HasFailure() && std::chrono::steady_clock::now() - start < totalTime);
}

} // namespace skylark
