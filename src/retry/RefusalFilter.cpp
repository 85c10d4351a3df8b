#include "retry/RefusalFilter.h"

#include <algorithm>

namespace skylark {

RefusalFilter::RefusalFilter(Duration retention, TimePoint now)
    : m_retention(retention)
    , m_rotatedAt(now)
    , m_filters { Bits(bitCount / 64), Bits(bitCount / 64) }
{
}

void RefusalFilter::add(const Digest& digest, TimePoint now)
{
    advance(now);
    for (int hash = 0; hash < hashCount; ++hash) {
        const uint64_t bit = bitOf(digest, hash);
        m_filters[m_newer][bit / 64] |= uint64_t { 1 } << (bit % 64);
    }
}

bool RefusalFilter::contains(const Digest& digest) const
{
    for (const Bits& bits : m_filters) {
        bool isSet = true;
        for (int hash = 0; isSet && hash < hashCount; ++hash) {
            const uint64_t bit = bitOf(digest, hash);
            isSet = (bits[bit / 64] >> (bit % 64)) & 1;
        }
        if (isSet)
            return true;
    }
    return false;
}

void RefusalFilter::advance(TimePoint now)
{
    const int64_t generations = (now - m_rotatedAt) / m_retention;
    if (generations <= 0)
        return;
    for (int64_t i = 0; i < std::min<int64_t>(generations, 2); ++i) {
        m_newer = 1 - m_newer;
        m_filters[m_newer].assign(bitCount / 64, 0);
    }
    m_rotatedAt += generations * m_retention;
}

uint64_t RefusalFilter::bitOf(const Digest& digest, int hash)
{
    // Double hashing over the two halves of the digest; an odd step can reach every bit.
    return (digest.high + static_cast<uint64_t>(hash) * (digest.low | 1)) % bitCount;
}

} // namespace skylark
