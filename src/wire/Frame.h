// Cuts a byte stream into frames: a 4-byte big-endian length, then that many bytes of payload.
//
// feed() the received bytes, then call next() until it gives nothing. The reader keeps only bytes that were
// received, never what a length announces, so that it holds at most one frame and the last feed.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace skylark {

constexpr size_t frameHeaderBytes = 4;
// Of the payload.
constexpr size_t maxFrameBytes = size_t { 1 } << 20;

class FrameReader {
public:
    void feed(std::string_view bytes);

    // The next whole payload, valid until the next call of feed(). Throws Error with the step "frame" when
    // the length is zero or above maxFrameBytes; the connection cannot be used any further.
    std::optional<std::string_view> next();

    size_t bufferedBytes() const { return m_buffer.size() - m_position; }

private:
    std::string m_buffer;
    size_t m_position { 0 };
};

// Throws Error when the payload is empty or too large.
std::string frameOf(std::string_view payload);

// Writes the length of a payload into frameHeaderBytes bytes; throws as frameOf.
void writeFrameHeader(char* header, size_t payloadBytes);

} // namespace skylark
