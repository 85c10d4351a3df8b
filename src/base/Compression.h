// Compression of section texts and snapshots by zstd.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace skylark {

std::string compress(std::string_view bytes);
// Empty where the frame is damaged, does not state its size or would exceed the bound.
std::optional<std::string> decompress(std::string_view frame, size_t maxBytes);

} // namespace skylark
