// Compresses section texts and snapshots with zstd.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace skylark {

std::string compress(std::string_view bytes);
// Returns std::nullopt if the frame is corrupt, does not contain its size or exceeds maxBytes when decompressed.
std::optional<std::string> decompress(std::string_view frame, size_t maxBytes);

} // namespace skylark
