// 128-bit content digests computed with XXH3 (libxxhash).
//
// A digest distinguishes versions of a text and detects corruption in transit. It is not cryptographic and does not
// prevent forgery; the platform controls who may publish.
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

// Seeded 64-bit hash for rendezvous hashing. All nodes compute the same value.
uint64_t seededHash(std::string_view bytes, uint64_t seed);

} // namespace skylark
