// Encodes messages as msgpack and decodes them.
//
// A message is the array [protocolVersion, type, fields...] of wire/Messages.h. decode() is strict. It throws an Error
// with the step "decode" for:
// - a wrong type or a missing field;
// - a number out of range or an element count above its bound;
// - bytes after the array.
//
// decode() checks counts before it allocates the elements, so a payload of n bytes causes allocations of at most about
// 48 n bytes and 10 MB, whatever counts it declares. It ignores fields beyond the known ones, so that a newer peer can
// append fields.
//
// Names are encoded as msgpack strings. Plain std::string fields may hold any bytes and are encoded as binary.
#pragma once

#include "wire/Messages.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace skylark {

constexpr size_t messageTypeCount = std::variant_size_v<Message>;

// Returns the payload of a frame. protocolVersion is the version negotiated with the peer.
std::string encode(const Message& message, uint32_t protocolVersion = maxProtocolVersion);

// Appends the whole frame, including its length header, to the buffer and returns the number of appended bytes. If the
// payload would exceed maxFrameBytes, throws Error and leaves the buffer unchanged.
size_t appendFrame(std::string& buffer, const Message& message, uint32_t protocolVersion = maxProtocolVersion);

// Returns nullopt for a message type that this version does not know; callers skip and count it. Decodes a Hello of any
// protocol version, because the Hello negotiates the version. Throws Error for malformed input.
std::optional<Message> decode(std::string_view payload);

// Returns the type name for metrics and log lines, such as "CallStart". index is Message::index(). Three types have
// exported names that differ from their struct names and must not change: ConditionReportBatch is "HearsayBatch",
// SourceUpdateRequest is "HeldSourceRequest" and SourceUpdate is "HeldSource".
const char* messageTypeName(size_t index);

} // namespace skylark
