// Feeds the decoder and the frame reader arbitrary bytes, and whole messages of every type with some bytes
// replaced, which get past the first checks more often. What decodes must encode to the same message.
#include "base/Error.h"
#include "wire/Codec.h"
#include "wire/Frame.h"

#include <cstdlib>

using namespace skylark;

namespace {

void decodeAndCompare(std::string_view payload)
{
    try {
        if (const auto message = decode(payload); message && decode(encode(*message)) != message)
            std::abort();
    } catch (const Error&) {
        // Malformed input is refused with an Error and nothing else.
    }
}

template <size_t... Index> std::vector<std::string> samplePayloads(std::index_sequence<Index...>)
{
    std::vector<std::string> payloads { encode(std::variant_alternative_t<Index, Message> {})... };
    payloads.push_back(encode(Summary { .marks = { {} }, .rejected = { {} } }));
    payloads.push_back(
        encode(PushVersion { .manifest = { .changed = { {} }, .removed = { {} } }, .sections = { {} } }));
    payloads.push_back(encode(ListUpdate { .delta = { .upserts = { {} }, .removals = { {} } } }));
    payloads.push_back(encode(ConditionReportBatch { .statements = { {} } }));
    payloads.push_back(encode(CallStart { .headers = { { "name", "value" } } }));
    return payloads;
}

// The first byte chooses a sample; each pair of bytes after it is a position and a new byte.
void alterSample(std::string_view input)
{
    static const std::vector<std::string> samples = samplePayloads(std::make_index_sequence<messageTypeCount>());
    if (input.empty())
        return;
    std::string payload = samples[static_cast<unsigned char>(input[0]) % samples.size()];
    for (size_t i = 1; i + 1 < input.size(); i += 2)
        payload[static_cast<unsigned char>(input[i]) % payload.size()] = input[i + 1];
    decodeAndCompare(payload);
}

void readFrames(std::string_view input)
{
    FrameReader reader;
    try {
        // Two pieces, since a boundary inside a frame is the usual case on a socket.
        for (const std::string_view part : { input.substr(0, input.size() / 2), input.substr(input.size() / 2) }) {
            reader.feed(part);
            while (const auto payload = reader.next()) {
                if (payload->size() > input.size())
                    std::abort();
            }
        }
    } catch (const Error&) {
        // A length outside the bounds.
    }
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size)
{
    const std::string_view input(reinterpret_cast<const char*>(data), size);
    decodeAndCompare(input);
    alterSample(input);
    readFrames(input);
    return 0;
}
