// Fuzzes the response parser with arbitrary bytes, and with valid responses in which some bytes are replaced, since
// these pass the first checks more often. The returned responses must be valid, must not depend on how the bytes are
// split into reads, and must survive a round trip unchanged.
#include "http/MessageParser.h"

#include <algorithm>
#include <cstdlib>

using namespace skylark;

namespace {

struct Outcome {
    std::vector<HttpResponse> responses;
    bool isRefused { false };
};

void require(bool condition)
{
    if (!condition)
        std::abort();
}

Outcome parseParts(const std::vector<std::string_view>& parts)
{
    ResponseParser parser({});
    Outcome outcome;
    try {
        for (const std::string_view part : parts) {
            parser.append(part);
            while (auto response = parser.next())
                outcome.responses.push_back(std::move(*response));
        }
        if (auto response = parser.finish())
            outcome.responses.push_back(std::move(*response));
    } catch (const HttpError&) {
        outcome.isRefused = true;
    }
    return outcome;
}

bool areEqual(const HttpResponse& left, const HttpResponse& right)
{
    return left.status == right.status && left.headers == right.headers && left.body == right.body
        && left.endsWithClose == right.endsWithClose;
}

void checkValidity(const HttpResponse& response)
{
    require(response.status >= 200 && response.status <= 599);
    for (const HttpHeader& header : response.headers)
        require(isFieldName(header.name) && isFieldValue(header.value));
}

void checkRoundTrip(HttpResponse response)
{
    removeConnectionHeaders(response.headers);
    const std::string text = serialize(response);
    Outcome outcome = parseParts({ text });
    require(!outcome.isRefused && outcome.responses.size() == 1);
    HttpResponse& parsed = outcome.responses.front();
    removeConnectionHeaders(parsed.headers);
    // A response that forbids a body ends with its head in any case.
    parsed.endsWithClose = response.endsWithClose;
    require(areEqual(parsed, response));
}

void check(std::string_view input)
{
    const Outcome whole = parseParts({ input });
    const Outcome halves = parseParts({ input.substr(0, input.size() / 2), input.substr(input.size() / 2) });
    // A head that arrives in several parts is read once its end has arrived, so an error in it may not be seen yet.
    require(whole.isRefused || !halves.isRefused);
    require(std::equal(
        whole.responses.begin(), whole.responses.end(), halves.responses.begin(), halves.responses.end(), areEqual));
    for (const HttpResponse& response : whole.responses) {
        checkValidity(response);
        checkRoundTrip(response);
    }
}

// The first byte selects a sample. Each following pair of bytes is a position and its replacement byte.
void alterSample(std::string_view input)
{
    static const std::string samples[] = {
        "HTTP/1.1 200 OK\r\nX-Id: 7\r\nContent-Length: 5\r\nX: a b\r\n\r\nhello",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n6;a=b\r\n world\r\n0\r\nT: 1\r\n\r\n",
        "HTTP/1.0 503 Busy\r\nRetry-After: 1\r\nConnection: X-Hop, close\r\nX-Hop: 1\r\n\r\nuntil the end",
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\nX: y\r\n\r\nHTTP/1.1 204 No\r\nX: y\r\n\r\n",
    };
    if (input.empty())
        return;
    std::string bytes = samples[static_cast<unsigned char>(input[0]) % std::size(samples)];
    for (size_t i = 1; i + 1 < input.size(); i += 2)
        bytes[static_cast<unsigned char>(input[i]) % bytes.size()] = input[i + 1];
    check(bytes);
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size)
{
    const std::string_view input(reinterpret_cast<const char*>(data), size);
    check(input);
    alterSample(input);
    return 0;
}
