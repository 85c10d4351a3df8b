// Turns messages into msgpack and back.
//
// A message is the array [protocolVersion, type, fields...] of wire/Messages.h. decode() is strict: a wrong
// type, a missing field, a count above its bound, a number out of range or bytes after the array give an
// Error with the step "decode". Counts are checked before space for the elements is taken, so that a payload of
// n bytes makes it allocate at most about 48 n bytes and 10 MB, whatever counts it announces. Fields beyond the
// known ones are ignored, so that a newer peer may add some at the end.
//
// Names are written as msgpack strings; plain std::string fields, which may hold any bytes, as binary.
#pragma once

#include "wire/Messages.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace skylark {

constexpr size_t messageTypeCount = std::variant_size_v<Message>;

// The payload of a frame. The version is the one that the two sides agreed on.
std::string encode(const Message& message, uint32_t protocolVersion = maxProtocolVersion);

// Appends the whole frame, with its length, to the buffer and gives the number of bytes appended. Throws
// Error and leaves the buffer as it was when the frame would be larger than maxFrameBytes.
size_t appendFrame(std::string& buffer, const Message& message, uint32_t protocolVersion = maxProtocolVersion);

// Empty for a type that this version does not know, which callers skip and count. A Hello is decoded
// whatever its protocol version, since it decides the version. Throws Error on anything malformed.
std::optional<Message> decode(std::string_view payload);

// For metrics and log lines, as "CallStart"; index is Message::index().
const char* messageTypeName(size_t index);

} // namespace skylark
