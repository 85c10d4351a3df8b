#include "base/Compression.h"

#include "base/Error.h"

#include <zstd.h>

namespace skylark {

std::string compress(std::string_view bytes)
{
    // Level 3 is the library's default. Section texts are small, so a higher level saves little.
    constexpr int level = 3;
    std::string frame(ZSTD_compressBound(bytes.size()), '\0');
    const size_t size = ZSTD_compress(frame.data(), frame.size(), bytes.data(), bytes.size(), level);
    if (ZSTD_isError(size))
        throw Error({ .step = "compress",
            .message = std::string("zstd cannot compress the data: ") + ZSTD_getErrorName(size) });
    frame.resize(size);
    return frame;
}

std::optional<std::string> decompress(std::string_view frame, size_t maxBytes)
{
    const unsigned long long size = ZSTD_getFrameContentSize(frame.data(), frame.size());
    if (size == ZSTD_CONTENTSIZE_UNKNOWN || size == ZSTD_CONTENTSIZE_ERROR || size > maxBytes)
        return std::nullopt;
    std::string bytes(size, '\0');
    const size_t written = ZSTD_decompress(bytes.data(), bytes.size(), frame.data(), frame.size());
    if (ZSTD_isError(written) || written != size)
        return std::nullopt;
    return bytes;
}

} // namespace skylark
