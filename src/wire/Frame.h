// Splits a byte stream into frames. A frame is a 4-byte big-endian length followed by that many bytes of payload.
//
// Pass received bytes to feed(), then call next() until it returns nullopt. The reader buffers only received bytes and
// never allocates by a declared length, so it holds at most one frame and the bytes of the last feed().
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace skylark {

constexpr size_t frameHeaderBytes = 4;
// The limit applies to the payload, without the header.
constexpr size_t maxFrameBytes = size_t { 1 } << 20;

class FrameReader {
public:
    void feed(std::string_view bytes);

    // Returns the next whole payload, valid until the next call of feed(). Throws Error with the step "frame" when the
    // length is zero or above maxFrameBytes; the connection is unusable afterwards.
    std::optional<std::string_view> next();

    size_t bufferedBytes() const { return m_buffer.size() - m_position; }

private:
    std::string m_buffer;
    size_t m_position { 0 };
};

// Returns the payload with its header. Throws Error when the payload is empty or too large.
std::string frameOf(std::string_view payload);

// Writes the payload length into the frameHeaderBytes bytes at header. Throws Error as frameOf() does.
void writeFrameHeader(char* header, size_t payloadBytes);

} // namespace skylark
