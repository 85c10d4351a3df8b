// Cuts a byte stream into whole HTTP/1.1 messages, with the parser of Boost.Beast.
//
// append() the received bytes, then call next() until it gives nothing. A message that could be read in two ways
// (several or conflicting lengths, an unknown transfer encoding) is refused: passed on, its end could be taken for
// another request. The parsers hold at most one message and what one read brought beyond it.
#pragma once

#include "base/Error.h"
#include "http/HttpMessage.h"

#include <memory>
#include <optional>

namespace skylark {

class HttpError : public Error {
public:
    HttpError(int status, const std::string& message);
    // What to answer the sender of a bad request.
    int status() const { return m_status; }

private:
    int m_status;
};

class RequestParser {
public:
    explicit RequestParser(HttpLimits limits);
    ~RequestParser();

    // Holds for messages that have not begun.
    void setLimits(HttpLimits limits);
    void append(std::string_view bytes);
    // Throws HttpError; the connection cannot be used any further.
    std::optional<HttpRequest> next();
    // True while a message has begun and is not whole.
    bool isWithinMessage() const;
    // True once for a message whose sender waits for "100 Continue" before it sends the body.
    bool takeExpectContinue();

private:
    struct State;
    std::unique_ptr<State> m_state;
};

class ResponseParser {
public:
    explicit ResponseParser(HttpLimits limits);
    ~ResponseParser();

    // The next response answers a HEAD request and has no body.
    void expectNoBody();
    void append(std::string_view bytes);
    // Interim responses (1xx) are skipped. Throws HttpError.
    std::optional<HttpResponse> next();
    // The peer closed in order: a response whose length is given by the close is whole now.
    std::optional<HttpResponse> finish();
    bool isWithinMessage() const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace skylark
