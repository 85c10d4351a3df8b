// Set of refused ids in bounded memory, kept for a limited time, with false positives but no false negatives.
//
// Two Bloom filters alternate: ids are added to the newer one and looked up in both. After each `retention` the older
// one is cleared and becomes the newer one. An id is thus kept for one to two retentions. With 2^23 bits and 4 hashes,
// 300,000 refusals in one retention give about 0.03% false positives.
#pragma once

#include "base/Digest.h"
#include "base/Types.h"

#include <array>
#include <vector>

namespace skylark {

class RefusalFilter {
public:
    RefusalFilter(Duration retention, TimePoint now);

    void add(const Digest& digest, TimePoint now);
    bool contains(const Digest& digest) const;
    // Clears the older filter once the retention has passed.
    void advance(TimePoint now);

private:
    static constexpr uint64_t bitCount = uint64_t { 1 } << 23;
    static constexpr int hashCount = 4;
    using Bits = std::vector<uint64_t>;

    static uint64_t bitOf(const Digest& digest, int hash);

    Duration m_retention;
    TimePoint m_rotatedAt;
    std::array<Bits, 2> m_filters;
    size_t m_newer { 0 };
};

} // namespace skylark
