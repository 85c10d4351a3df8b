// 128-bit content digests by XXH3 (libxxhash).
//
// The digest tells apart versions of a text and finds damage on the way. It does not resist a forger;
// the platform decides who may publish.
#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace skylark {

struct Digest {
    uint64_t high { 0 };
    uint64_t low { 0 };

    // 32 lower-case hexadecimal digits.
    std::string hex() const;
    // Throws Error unless the text is 32 hexadecimal digits.
    static Digest fromHex(std::string_view text);

    auto operator<=>(const Digest&) const = default;
    bool operator==(const Digest&) const = default;

    template <typename H> friend H AbslHashValue(H state, const Digest& digest)
    {
        return H::combine(std::move(state), digest.high, digest.low);
    }
};

Digest digestOf(std::string_view bytes);

// 64-bit hash with a seed, equal on every node; for rendezvous hashing.
uint64_t seededHash(std::string_view bytes, uint64_t seed);

} // namespace skylark
