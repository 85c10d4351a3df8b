// Prints the time in nanoseconds to encode and decode the messages of a call.
#include "wire/Codec.h"
#include "wire/Frame.h"

#include <chrono>
#include <cstdio>

using namespace skylark;

namespace {

template <typename Function> double nanosecondsPerRun(Function function)
{
    constexpr int runs = 200000;
    const auto start = std::chrono::steady_clock::now();
    for (int i = 0; i < runs; ++i)
        function();
    return std::chrono::duration<double, std::nano>(std::chrono::steady_clock::now() - start).count() / runs;
}

void measure(const Message& message)
{
    // Printed, so that the compiler cannot remove the measured calls.
    size_t sum = 0;
    std::string buffer;
    const double encodeNs = nanosecondsPerRun([&] {
        buffer.clear();
        sum += appendFrame(buffer, message);
    });
    const std::string payload = encode(message);
    const double decodeNs = nanosecondsPerRun([&] { sum += decode(payload)->index(); });
    std::printf("%-12s %6zu bytes  encode %6.0f ns  decode %6.0f ns  (sum %zu)\n", messageTypeName(message.index()),
        payload.size(), encodeNs, decodeNs, sum);
}

} // namespace

int main()
{
    const HeaderList headers { { "content-type", "application/json" }, { "accept", "application/json" },
        { "user-agent", "bench/1.0" }, { "x-forwarded-for", "192.0.2.1" }, { "cache-control", "no-cache" } };
    measure(CallStart { .stream = StreamId(1001),
        .requestId = RequestId("5f0c7c1a9b7e4d0f8a6b2c3d4e5f6071"),
        .gateIncarnation = Incarnation(1700000000000),
        .service = ServiceName("registration"),
        .method = "POST",
        .target = "/pitches/17/registrations?day=sunday",
        .headers = headers,
        .remainingDeadline = std::chrono::milliseconds(800),
        .hasBody = true });
    measure(BodyChunk { .stream = StreamId(1001), .data = std::string(1024, 'x'), .isLast = true });
    measure(BodyChunk { .stream = StreamId(1001), .data = std::string(65536, 'x') });
    measure(AnswerStart { .stream = StreamId(1001), .status = 200, .headers = headers, .hasBody = true });
    return 0;
}
