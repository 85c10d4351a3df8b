// Fuzzes the decoder and the frame reader with arbitrary bytes, and with valid messages of every type in which some
// bytes are replaced, since these pass the first checks more often. A decoded message must survive a round trip
// unchanged.
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
        // Malformed input must cause an Error and no other exception.
    }
}

template <size_t... Index> std::vector<std::string> samplePayloads(std::index_sequence<Index...>)
{
    std::vector<std::string> payloads { encode(std::variant_alternative_t<Index, Message> {})... };
    payloads.push_back(encode(Summary { .marks = { {} }, .rejected = { {} } }));
    payloads.push_back(
        encode(PushVersion { .manifest = { .changed = { {} }, .removed = { {} } }, .sections = { {} } }));
    payloads.push_back(encode(ListUpdate { .delta = { .upserts = { {} }, .removals = { {} } } }));
    payloads.push_back(encode(ConditionReportBatch { .reports = { {} } }));
    payloads.push_back(encode(CallStart { .headers = { { "name", "value" } } }));
    return payloads;
}

// The first byte selects a sample. Each following pair of bytes is a position and its replacement byte.
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
        // Feeds two parts, because reads from a socket usually end inside a frame.
        for (const std::string_view part : { input.substr(0, input.size() / 2), input.substr(input.size() / 2) }) {
            reader.feed(part);
            while (const auto payload = reader.next()) {
                if (payload->size() > input.size())
                    std::abort();
            }
        }
    } catch (const Error&) {
        // The input declares a frame length outside the bounds.
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
