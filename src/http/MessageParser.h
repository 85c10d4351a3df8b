// Splits a byte stream into whole HTTP/1.1 messages, using the parser of Boost.Beast.
//
// Pass received bytes to append(), then call next() until it returns nullopt. The parsers reject a message with
// ambiguous framing (several or conflicting lengths, or an unknown transfer encoding), because another server could
// read the end of a forwarded message as a second request (request smuggling). They buffer at most one message and the
// bytes that one read delivered beyond it. What is not body (heads, interim responses, chunk sizes and extensions,
// trailers) may take twice the head's limit and 16 bytes more for each byte of the body; a peer that sends more, such
// as a chunk extension without end, is refused. A response has a status from 100 to 599 and at most 16 interim
// responses before it; 101 is refused, because no request of this program asks for another protocol. Its field names
// are tokens, its values have no control bytes besides tabs, and no line is folded. Trailer fields are checked and
// dropped.
#pragma once

#include "base/Error.h"
#include "http/HttpMessage.h"

#include <functional>
#include <memory>
#include <optional>

namespace skylark {

class HttpError : public Error {
public:
    HttpError(int status, const std::string& message);
    // The status with which to respond to the sender of the bad request.
    int status() const { return m_status; }

private:
    int m_status;
};

class RequestParser {
public:
    explicit RequestParser(HttpLimits limits);
    ~RequestParser();

    // Applies to messages that have not begun.
    void setLimits(HttpLimits limits);
    void append(std::string_view bytes);
    // Returns the next whole request. Throws HttpError for a malformed one; the connection is unusable afterwards.
    std::optional<HttpRequest> next();
    // Returns true while the parser holds bytes of a message that next() has not returned.
    bool isWithinMessage() const;
    // Bytes that were received and not parsed.
    size_t bufferedBytes() const;
    // The body of a message is being received.
    bool isReadingBody() const;
    // Called with the bytes that the body in progress is about to occupy, before the parser allocates them: the
    // declared length when the head has been read, or the next step of a chunked body. If it returns false, next()
    // throws HttpError with 503.
    void setBodyReservation(std::function<bool(size_t bytes)> reserve);
    // Returns true once for a message whose sender waits for "100 Continue" before it sends the body.
    bool takeExpectContinue();

private:
    struct State;
    std::unique_ptr<State> m_state;
};

// Receives a response while it arrives, in place of one whole message. A callback that returns false ends the parsing.
struct ResponseSink {
    std::function<bool(const HttpResponse& head, std::optional<uint64_t> length)> onHead;
    std::function<bool(std::string_view part)> onBody;
};

class ResponseParser {
public:
    explicit ResponseParser(HttpLimits limits);
    ~ResponseParser();

    // Passes responses on while they arrive; next() then returns them without their bodies. Interim responses are not
    // passed on. If a callback returns false, next() throws HttpError.
    void setSink(ResponseSink sink);
    // Declares that the next response belongs to a HEAD request and has no body.
    void expectNoBody();
    void append(std::string_view bytes);
    // Returns the next whole response and skips interim ones (1xx). Throws HttpError for a malformed one.
    std::optional<HttpResponse> next();
    // Call when the peer closes the connection in an orderly way. Returns the response whose end the close marks, if
    // any.
    std::optional<HttpResponse> finish();
    bool isWithinMessage() const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace skylark
