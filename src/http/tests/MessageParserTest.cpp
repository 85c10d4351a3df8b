// Guards against request smuggling, truncated messages that look complete, and results that depend on how the bytes are
// split into reads.
#include "http/MessageParser.h"

#include "base/Random.h"

#include <algorithm>
#include <cctype>
#include <cstring>
#include <gtest/gtest.h>
#include <vector>

namespace skylark {
namespace {

    const std::string simpleRequest = "GET /a/b?c=d HTTP/1.1\r\nHost: x.example\r\nX-Id: 7\r\n\r\n";
    const std::string chunkedRequest = "POST /p HTTP/1.1\r\nHost: x.example\r\nTransfer-Encoding: chunked\r\n\r\n"
                                       "5\r\nhello\r\n6;a=b\r\n world\r\n0\r\n\r\n";

    int statusOf(const std::string& bytes, HttpLimits limits = {})
    {
        RequestParser parser(limits);
        parser.append(bytes);
        try {
            while (parser.next()) { }
        } catch (const HttpError& error) {
            return error.status();
        }
        return 0;
    }

    TEST(RequestParserTest, ReturnsPipelinedRequestsOneByOne)
    {
        RequestParser parser({});
        parser.append(simpleRequest + chunkedRequest);
        const auto first = parser.next();
        ASSERT_TRUE(first);
        EXPECT_EQ(first->method, "GET");
        EXPECT_EQ(first->target, "/a/b?c=d");
        EXPECT_EQ(*findHeader(first->headers, "x-id"), "7");
        EXPECT_TRUE(parser.isWithinMessage());
        const auto second = parser.next();
        ASSERT_TRUE(second);
        EXPECT_EQ(second->body, "hello world");
        EXPECT_FALSE(parser.next());
        EXPECT_FALSE(parser.isWithinMessage());
    }

    TEST(RequestParserTest, ResultIsIndependentOfReadBoundaries)
    {
        Random random(11);
        const std::string bytes = simpleRequest + chunkedRequest + simpleRequest;
        for (int round = 0; round < 300; ++round) {
            RequestParser parser({});
            std::vector<std::string> bodies;
            for (size_t offset = 0; offset < bytes.size();) {
                const size_t count = std::min<size_t>(bytes.size() - offset, 1 + random.below(20));
                parser.append(bytes.substr(offset, count));
                offset += count;
                while (const auto request = parser.next())
                    bodies.push_back(request->target + request->body);
            }
            EXPECT_EQ(bodies, (std::vector<std::string> { "/a/b?c=d", "/phello world", "/a/b?c=d" }));
        }
    }

    // Guards against request smuggling, where two servers disagree on where a request ends.
    TEST(RequestParserTest, RejectsAmbiguousFraming)
    {
        const std::string start = "POST /p HTTP/1.1\r\nHost: x\r\n";
        EXPECT_EQ(statusOf(start + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd"), 400);
        EXPECT_EQ(statusOf(start + "Content-Length: 3\r\nContent-Length: 3\r\n\r\nabc"), 400);
        EXPECT_EQ(statusOf(start + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"), 400);
        EXPECT_EQ(statusOf(start + "Transfer-Encoding: gzip\r\n\r\n"), 400);
        EXPECT_EQ(statusOf(start + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n"), 400);
        EXPECT_EQ(statusOf(start + "Host: y\r\n\r\n"), 400);
        EXPECT_EQ(statusOf("GET / HTTP/1.1\r\n\r\n"), 400);
        EXPECT_EQ(statusOf("GET / HTTP/1.1\r\nHost : x\r\n\r\n"), 400);
    }

    TEST(RequestParserTest, EnforcesLimits)
    {
        const HttpLimits limits { .headerBytes = 200, .bodyBytes = 10 };
        EXPECT_EQ(statusOf("GET / HTTP/1.1\r\nHost: x\r\nX: " + std::string(300, 'a') + "\r\n\r\n", limits), 431);
        EXPECT_EQ(statusOf("GET / HTTP/1.1\r\nHost: x\r\nX: " + std::string(3000, 'a'), limits), 431);
        EXPECT_EQ(statusOf("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 11\r\n\r\n", limits), 413);
        EXPECT_EQ(
            statusOf("POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\nb\r\n01234567890\r\n", limits),
            413);
        EXPECT_EQ(statusOf("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\n0123456789", limits), 0);
    }

    TEST(RequestParserTest, ReportsExpectContinueOnce)
    {
        RequestParser parser({});
        parser.append("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\nExpect: 100-continue\r\n\r\n");
        EXPECT_FALSE(parser.next());
        EXPECT_TRUE(parser.takeExpectContinue());
        EXPECT_FALSE(parser.takeExpectContinue());
        parser.append("x");
        EXPECT_TRUE(parser.next());
    }

    // Guards against a truncated response that looks complete.
    TEST(ResponseParserTest, TruncatedResponseIsNotReturned)
    {
        ResponseParser parser({});
        parser.append("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nabc");
        EXPECT_FALSE(parser.next());
        EXPECT_FALSE(parser.finish());
        ResponseParser chunked({});
        chunked.append("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n");
        EXPECT_FALSE(chunked.next());
        EXPECT_FALSE(chunked.finish());
    }

    TEST(ResponseParserTest, ResponseWithoutLengthEndsWithTheConnection)
    {
        ResponseParser parser({});
        parser.append("HTTP/1.1 200 OK\r\nX: y\r\n\r\nabc");
        EXPECT_FALSE(parser.next());
        const auto response = parser.finish();
        ASSERT_TRUE(response);
        EXPECT_EQ(response->body, "abc");
        EXPECT_TRUE(response->endsWithClose);
        // The response may be truncated, so it is serialized without a length too.
        EXPECT_EQ(serialize(*response).find("Content-Length"), std::string::npos);
    }

    TEST(ResponseParserTest, SkipsInterimResponsesAndBuffersBytesAfterTheFinalOne)
    {
        ResponseParser parser({});
        parser.append("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\naHTTP/1.1 200 OK\r\n");
        const auto response = parser.next();
        ASSERT_TRUE(response);
        EXPECT_EQ(response->body, "a");
        EXPECT_TRUE(parser.isWithinMessage());
    }

    TEST(ResponseParserTest, BytesThatAreNotHttpAreAnError)
    {
        ResponseParser parser({});
        parser.append("\x16\x03\x01 what is this\r\n\r\n");
        EXPECT_THROW(parser.next(), HttpError);
    }

    // Returns the status of the first whole response, or 0 if the bytes are refused. Fails if they are neither.
    int responseStatusOf(const std::string& bytes)
    {
        ResponseParser parser({});
        parser.append(bytes);
        try {
            const auto response = parser.next();
            EXPECT_TRUE(response) << "neither a response nor an error: " << bytes;
            return response ? response->status : -1;
        } catch (const HttpError&) {
            return 0;
        }
    }

    // Guards against a status outside the valid range that is taken for an interim response, for which the caller then
    // waits until its deadline, or that is forwarded.
    TEST(ResponseParserTest, OnlyStatusesFrom100To599AreResponses)
    {
        for (int status = 0; status <= 999; ++status) {
            std::string digits = std::to_string(status);
            digits.insert(0, 3 - digits.size(), '0');
            const bool isFinal = status >= 200 && status <= 599;
            const bool isInterim = status >= 100 && status <= 199 && status != 101;
            const std::string head = "HTTP/1.1 " + digits + " Text\r\n";
            const std::string final = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
            const std::string bytes = isInterim ? head + "\r\n" + final : head + "Content-Length: 0\r\n\r\n";
            const int expected = isFinal ? status : isInterim ? 200 : 0;
            EXPECT_EQ(responseStatusOf(bytes), expected) << digits;
        }
        for (const char* status : { "20", "2000", "2x0", "-20", "+20", " 20", "" })
            EXPECT_EQ(responseStatusOf(std::string("HTTP/1.1 ") + status + " OK\r\nContent-Length: 0\r\n\r\n"), 0)
                << status;
    }

    // Guards against a server that sends interim responses without end.
    TEST(ResponseParserTest, InterimResponsesAreBoundedInNumberAndSize)
    {
        const std::string interim = "HTTP/1.1 102 Processing\r\n\r\n";
        const std::string final = "HTTP/1.1 204 No Content\r\n\r\n";
        std::string bytes;
        for (int count = 0; count <= 20; ++count) {
            EXPECT_EQ(responseStatusOf(bytes + final), count <= 16 ? 204 : 0) << count;
            bytes += interim;
        }
        ResponseParser parser({ .headerBytes = 1000 });
        const std::string largeInterim = "HTTP/1.1 103 Early Hints\r\nX: " + std::string(900, 'a') + "\r\n\r\n";
        EXPECT_THROW(
            {
                for (int count = 0; count < 10; ++count) {
                    parser.append(largeInterim);
                    parser.next();
                }
            },
            HttpError);
    }

    // Guards against interim responses of one exchange that count against the next one on the connection.
    TEST(ResponseParserTest, InterimResponsesAreCountedForEachResponse)
    {
        ResponseParser parser({});
        for (int exchange = 0; exchange < 10; ++exchange) {
            for (int count = 0; count < 5; ++count)
                parser.append("HTTP/1.1 100 Continue\r\n\r\n");
            parser.append("HTTP/1.1 204 No Content\r\n\r\n");
            ASSERT_TRUE(parser.next()) << exchange;
        }
    }

    // Guards against a response to a HEAD request that waits for a body, because an interim response came before it.
    TEST(ResponseParserTest, InterimResponseBeforeAResponseWithoutBody)
    {
        ResponseParser parser({});
        parser.expectNoBody();
        parser.append("HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n");
        const auto response = parser.next();
        ASSERT_TRUE(response);
        EXPECT_EQ(response->status, 200);
        EXPECT_FALSE(parser.isWithinMessage());
        parser.append("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab");
        const auto next = parser.next();
        ASSERT_TRUE(next);
        EXPECT_EQ(next->body, "ab");
    }

    bool isTokenByte(int byte) { return std::isalnum(byte) || (byte != 0 && std::strchr("!#$%&'*+-.^_`|~", byte)); }

    // Guards against a response that is forwarded with an invalid field name: each byte at the first, a middle and the
    // last place of the name of the first and of the last field. A blank at the first place is a line folding, which
    // would make the field a part of the value before it.
    TEST(ResponseParserTest, FieldNamesAreTokens)
    {
        const std::vector<std::string> fields { "X-First: 1\r\n", "X-Other: 2\r\n", "Content-Length: 2\r\n" };
        for (int byte = 0; byte < 256; ++byte) {
            if (byte == ':')
                continue;
            for (const size_t changedField : { size_t(0), fields.size() - 1 }) {
                const size_t nameSize = fields[changedField].find(':');
                for (const size_t position : { size_t(0), nameSize / 2, nameSize - 1 }) {
                    for (const bool replaces : { false, true }) {
                        std::vector<std::string> changed = fields;
                        changed[changedField].replace(position, replaces ? 1 : 0, 1, static_cast<char>(byte));
                        // The body's length may be lost with the name, so the response ends with the connection.
                        ResponseParser parser({});
                        parser.append("HTTP/1.1 200 OK\r\n" + changed[0] + changed[1] + changed[2] + "\r\nok");
                        bool isAccepted = false;
                        try {
                            isAccepted = parser.next() || parser.finish();
                        } catch (const HttpError&) {
                        }
                        EXPECT_EQ(isAccepted, isTokenByte(byte))
                            << "byte " << byte << ", field " << changedField << ", position " << position;
                    }
                }
            }
        }
    }

    TEST(ResponseParserTest, FieldValuesHaveNoControlBytesButATab)
    {
        for (int byte = 0; byte < 256; ++byte) {
            const bool isAllowed = byte == '\t' || (byte >= ' ' && byte != 127);
            const std::string text(1, static_cast<char>(byte));
            for (const std::string& value : { text + "ab", "a" + text + "b", "ab" + text })
                EXPECT_EQ(responseStatusOf("HTTP/1.1 204 No\r\nX: " + value + "\r\n\r\n"), isAllowed ? 204 : 0) << byte;
        }
    }

    // Guards against a field that disappears into the value of the field before it, for example the length.
    TEST(ResponseParserTest, FoldedLinesAreRefusedHoweverTheyAreSplit)
    {
        for (const char* fields : { "X: y\r\n Content-Length: 0\r\n", "X: y\r\n\tContent-Length: 0\r\n",
                 "X:\r\n Content-Length: 0\r\n", "X: y\r\n \r\n", "X:\r\n \r\n" }) {
            const std::string bytes = std::string("HTTP/1.1 204 No\r\n") + fields + "\r\n";
            EXPECT_EQ(responseStatusOf(bytes), 0) << bytes;
            for (size_t split = 1; split < bytes.size(); ++split) {
                ResponseParser parser({});
                EXPECT_THROW(
                    {
                        parser.append(bytes.substr(0, split));
                        parser.next();
                        parser.append(bytes.substr(split));
                        parser.next();
                    },
                    HttpError)
                    << bytes << split;
            }
        }
    }

    // Guards against a trailer field that is taken for a header, such as a second id of the request.
    TEST(RequestParserTest, TrailerFieldsAreDropped)
    {
        RequestParser parser({});
        parser.append("POST /x HTTP/1.1\r\nHost: h\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n"
                      "Id: 2\r\nHost: g\r\n\r\nGET /y HTTP/1.1\r\nHost: h\r\n\r\n");
        const auto request = parser.next();
        ASSERT_TRUE(request);
        EXPECT_EQ(request->body, "a");
        EXPECT_EQ(
            request->headers, (HttpHeaders { { "Host", "h" }, { "Id", "1" }, { "Transfer-Encoding", "chunked" } }));
        const auto next = parser.next();
        ASSERT_TRUE(next);
        EXPECT_EQ(next->target, "/y");
    }

    // Guards against a trailer field that changes what the head said, such as the id of the request. An invalid trailer
    // still makes the whole message invalid.
    TEST(ResponseParserTest, TrailerFieldsAreCheckedAndDropped)
    {
        const std::string start = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n";
        ResponseParser parser({});
        parser.append(start + "X-Trailer: 1\r\n\r\n");
        const auto response = parser.next();
        ASSERT_TRUE(response);
        EXPECT_EQ(response->body, "a");
        EXPECT_FALSE(findHeader(response->headers, "X-Trailer"));
        for (const char* trailer :
            { "X Y: 1\r\n", "X\x01: 1\r\n", "X: \x01\r\n", "X: 1\r\n Y: 2\r\n", "Content-Length: 1\r\n" })
            EXPECT_EQ(responseStatusOf(start + trailer + "\r\n"), 0) << trailer;
    }

    // Guards against two readings of one message: an HTTP/1.0 sender knows no chunked encoding.
    TEST(ResponseParserTest, AmbiguousFramingIsRefused)
    {
        for (const char* message : { "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
                 "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 1\r\n\r\n0\r\n\r\n",
                 "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
                 "HTTP/1.1 200 OK\r\nContent-Length: 1, 1\r\nContent-Length: 1\r\n\r\na",
                 "HTTP/1.1 200 OK\r\nTransfer-Encoding: identity\r\n\r\na",
                 "HTTP/2.0 200 OK\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 200 O\x01K\r\n\r\n" })
            EXPECT_EQ(responseStatusOf(message), 0) << message;
    }

    TEST(HttpMessageTest, RemovesHopByHopHeaders)
    {
        HttpHeaders headers { { "Connection", "close, X-Hop" }, { "x-hop", "1" }, { "Keep-Alive", "timeout=5" },
            { "Transfer-Encoding", "chunked" }, { "Content-Length", "5" }, { "X-Kept", "2" } };
        removeConnectionHeaders(headers);
        EXPECT_EQ(headers, (HttpHeaders { { "X-Kept", "2" } }));
    }

    // Guards against a sender that takes a header off which the recipients rely on.
    TEST(HttpMessageTest, ConnectionCannotNameHeadersForAllRecipients)
    {
        const std::vector<std::string_view> kept { "X-Kept", "Connection" };
        HttpHeaders headers { { "Connection", "x-kept, X-Drop" }, { "X-Kept", "1" }, { "X-Drop", "2" } };
        removeConnectionHeaders(headers, kept);
        EXPECT_EQ(headers, (HttpHeaders { { "X-Kept", "1" } }));
    }

    TEST(HttpMessageTest, ParsesSerializedMessages)
    {
        const HttpRequest request {
            .method = "PUT", .target = "/x", .headers = { { "Host", "h" }, { "A", "b" } }, .body = "data"
        };
        RequestParser parser({});
        parser.append(serialize(request));
        const auto parsedRequest = parser.next();
        ASSERT_TRUE(parsedRequest);
        EXPECT_EQ(parsedRequest->method, "PUT");
        EXPECT_EQ(parsedRequest->body, "data");
        const HttpResponse response { .status = 503, .headers = { { "Retry-After", "0.250" } }, .keepsAlive = false };
        ResponseParser responseParser({});
        responseParser.append(serialize(response));
        const auto parsedResponse = responseParser.next();
        ASSERT_TRUE(parsedResponse);
        EXPECT_EQ(parsedResponse->reason, "Service Unavailable");
        EXPECT_FALSE(parsedResponse->keepsAlive);
    }

    // Feeds the pattern again and again; returns the bytes that the parser took before it threw.
    size_t bytesUntilError(const std::string& beginning, const std::string& pattern)
    {
        constexpr size_t maxBytes = 64 * 1024 * 1024;
        ResponseParser parser({ .headerBytes = 8192, .bodyBytes = 65536 });
        parser.append(beginning);
        size_t bytes = beginning.size();
        try {
            while (bytes < maxBytes) {
                if (parser.next())
                    return bytes;
                parser.append(pattern);
                bytes += pattern.size();
            }
        } catch (const HttpError&) {
        }
        return bytes;
    }

    // Guards against a faulty server that sends without end until the process has no memory left.
    TEST(ResponseParserTest, EndlessBytesOfAnyPartAreRefused)
    {
        const std::string status = "HTTP/1.1 200 OK\r\n";
        const std::string chunked = status + "Transfer-Encoding: chunked\r\n\r\n";
        const std::string letters(1000, 'a');
        constexpr size_t bound = 200000;
        EXPECT_LT(bytesUntilError("HTTP/1.1 200 ", letters), bound) << "reason";
        EXPECT_LT(bytesUntilError(status + "X: ", letters), bound) << "one field";
        EXPECT_LT(bytesUntilError(status, "X: y\r\n"), bound) << "fields";
        EXPECT_LT(bytesUntilError(chunked + "5;x=", letters), bound) << "chunk extension";
        EXPECT_LT(bytesUntilError(chunked, std::string(1000, '0')), bound) << "chunk size";
        EXPECT_LT(bytesUntilError(chunked, "1;x=" + letters + "\r\nb\r\n"), 200 * bound) << "small chunks";
        EXPECT_LT(bytesUntilError(chunked + "0\r\nX: ", letters), bound) << "one trailer";
        EXPECT_LT(bytesUntilError(chunked + "0\r\n", "X: y\r\n"), bound) << "trailers";
        EXPECT_LT(bytesUntilError(status + "\r\n", letters), bound) << "body without a length";
        EXPECT_LT(bytesUntilError("", "HTTP/1.1 100 Continue\r\n\r\n"), bound) << "interim responses";
    }

    // Guards against a body that is stored before its bytes are charged, against growth that holds more than one and a
    // half times the limit, and against a refused body that is taken for a malformed one.
    TEST(RequestParserTest, AsksBeforeItAllocatesABody)
    {
        constexpr size_t limit = size_t { 1 } << 20;
        std::vector<size_t> asked;
        bool isGranted = true;
        const auto makeParser = [&] {
            asked.clear();
            auto parser = std::make_unique<RequestParser>(HttpLimits { .bodyBytes = limit });
            parser->setBodyReservation([&](size_t bytes) {
                asked.push_back(bytes);
                return isGranted;
            });
            return parser;
        };
        const std::string start = "POST / HTTP/1.1\r\nHost: x\r\n";
        const auto declared = makeParser();
        declared->append(start + "Content-Length: 1000000\r\n\r\n");
        EXPECT_FALSE(declared->next());
        EXPECT_EQ(asked, std::vector<size_t> { 1000000 });
        EXPECT_TRUE(declared->isReadingBody());
        declared->append(std::string(1000000, 'x'));
        EXPECT_EQ(declared->next()->body.size(), 1000000u);
        EXPECT_EQ(asked.size(), 1u);

        const auto chunked = makeParser();
        chunked->append(start + "Transfer-Encoding: chunked\r\n\r\n");
        const std::string chunk = "3e8\r\n" + std::string(1000, 'x') + "\r\n";
        for (int i = 0; i < 1000; ++i) {
            chunked->append(chunk);
            EXPECT_FALSE(chunked->next());
            EXPECT_GE(asked.back(), size_t { 1000 } * (i + 1));
        }
        EXPECT_LE(*std::max_element(asked.begin(), asked.end()), limit + limit / 2);
        chunked->append("0\r\n\r\n");
        EXPECT_EQ(chunked->next()->body.size(), 1000000u);

        isGranted = false;
        const auto refused = makeParser();
        refused->append(start + "Content-Length: 10\r\n\r\n");
        try {
            refused->next();
            FAIL() << "the body was accepted";
        } catch (const HttpError& error) {
            EXPECT_EQ(error.status(), 503);
        }
    }

} // namespace
} // namespace skylark
