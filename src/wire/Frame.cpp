#include "wire/Frame.h"

#include "base/Error.h"

namespace skylark {

namespace {
    constexpr unsigned bitsPerByte = 8;
    // A reader releases a larger buffer once it is empty: otherwise thousands of connections would each keep the memory
    // of the largest frame that they carried.
    constexpr size_t maxRetainedBytes = size_t { 16 } * 1024;

    size_t readLength(const char* header)
    {
        size_t length = 0;
        for (size_t i = 0; i < frameHeaderBytes; ++i)
            length = length << bitsPerByte | static_cast<unsigned char>(header[i]);
        return length;
    }

    void checkLength(size_t length)
    {
        if (length > 0 && length <= maxFrameBytes)
            return;
        throw Error({ .step = "frame",
            .message = "the frame length is " + std::to_string(length) + " bytes, outside 1 to "
                + std::to_string(maxFrameBytes) });
    }
} // namespace

void FrameReader::feed(std::string_view bytes)
{
    m_buffer.erase(0, m_position);
    m_position = 0;
    if (m_buffer.empty() && m_buffer.capacity() > maxRetainedBytes)
        m_buffer.shrink_to_fit();
    m_buffer.append(bytes);
}

std::optional<std::string_view> FrameReader::next()
{
    if (bufferedBytes() < frameHeaderBytes)
        return std::nullopt;
    const size_t length = readLength(m_buffer.data() + m_position);
    checkLength(length);
    if (bufferedBytes() < frameHeaderBytes + length)
        return std::nullopt;
    const std::string_view payload(m_buffer.data() + m_position + frameHeaderBytes, length);
    m_position += frameHeaderBytes + length;
    return payload;
}

void writeFrameHeader(char* header, size_t payloadBytes)
{
    checkLength(payloadBytes);
    for (size_t i = frameHeaderBytes; i > 0; --i) {
        header[i - 1] = static_cast<char>(payloadBytes & 0xff);
        payloadBytes >>= bitsPerByte;
    }
}

std::string frameOf(std::string_view payload)
{
    std::string frame(frameHeaderBytes, '\0');
    writeFrameHeader(frame.data(), payload.size());
    frame.append(payload);
    return frame;
}

} // namespace skylark
