// A seeded random number generator, passed to each randomized decision so that tests are reproducible.
#pragma once

#include "base/Types.h"

#include <random>

namespace skylark {

class Random {
public:
    explicit Random(uint64_t seed)
        : m_engine(seed)
    {
    }

    // Uniform over [0, bound); bound must be above zero.
    uint64_t below(uint64_t bound) { return std::uniform_int_distribution<uint64_t>(0, bound - 1)(m_engine); }
    // Uniform over [0, 1).
    double unit() { return std::uniform_real_distribution<double>(0.0, 1.0)(m_engine); }
    // Uniform over [0, limit].
    Duration upTo(Duration limit)
    {
        return Duration(std::uniform_int_distribution<Duration::rep>(0, limit.count())(m_engine));
    }
    std::mt19937_64& engine() { return m_engine; }

private:
    std::mt19937_64 m_engine;
};

} // namespace skylark
