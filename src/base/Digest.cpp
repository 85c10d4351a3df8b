#include "base/Digest.h"

#include "base/Error.h"

#include <charconv>
#include <cstdio>
#include <xxhash.h>

namespace skylark {

namespace {
    constexpr size_t hexDigits = 32;
    constexpr size_t hexDigitsPerHalf = 16;
} // namespace

std::string Digest::hex() const
{
    char text[hexDigits + 1];
    std::snprintf(text, sizeof(text), "%016llx%016llx", static_cast<unsigned long long>(high),
        static_cast<unsigned long long>(low));
    return { text, hexDigits };
}

Digest Digest::fromHex(std::string_view text)
{
    Digest digest;
    if (text.size() == hexDigits) {
        const char* middle = text.data() + hexDigitsPerHalf;
        const char* end = text.data() + hexDigits;
        const auto first = std::from_chars(text.data(), middle, digest.high, 16);
        const auto second = std::from_chars(middle, end, digest.low, 16);
        if (first.ec == std::errc() && first.ptr == middle && second.ec == std::errc() && second.ptr == end)
            return digest;
    }
    throw Error({ .step = "parse-digest", .message = "the text is not a digest of 32 hexadecimal digits" });
}

Digest digestOf(std::string_view bytes)
{
    const XXH128_hash_t hash = XXH3_128bits(bytes.data(), bytes.size());
    return { .high = hash.high64, .low = hash.low64 };
}

uint64_t seededHash(std::string_view bytes, uint64_t seed)
{
    return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

} // namespace skylark
