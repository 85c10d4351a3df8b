#include "http/MessageParser.h"

#include <absl/strings/match.h>
#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <optional>

namespace skylark {

namespace {

    namespace http = boost::beast::http;
    using ErrorCode = boost::beast::error_code;
    using BeastView = boost::beast::string_view;

    constexpr int statusBadRequest = 400;
    constexpr int statusTooLarge = 413;
    constexpr int statusHeadersTooLarge = 431;
    constexpr int statusUnavailable = 503;
    constexpr int firstFinalStatus = 200;
    constexpr int statusSwitchingProtocols = 101;
    // A server sends few of them for one response: 100, and some of 102 and 103.
    constexpr int maxInterimResponses = 16;
    constexpr int httpVersion11 = 11;
    // First allocation for a body without a declared length.
    constexpr size_t minBodyCapacity = size_t { 16 } * 1024;
    // A larger buffer is released once it is empty, so that many open connections do not each keep a whole read.
    constexpr size_t maxRetainedBytes = size_t { 4 } * 1024;

    std::string toString(BeastView text) { return { text.data(), text.size() }; }

    int statusOf(const ErrorCode& error)
    {
        if (error == http::error::header_limit)
            return statusHeadersTooLarge;
        if (error == http::error::body_limit)
            return statusTooLarge;
        return statusBadRequest;
    }

    // Receives the parts of one message from Beast's callbacks.
    template <bool isRequest> class MessageCollector final : public http::basic_parser<isRequest> {
    public:
        using Message = std::conditional_t<isRequest, HttpRequest, HttpResponse>;

        explicit MessageCollector(const HttpLimits& limits)
        {
            this->eager(true);
            this->header_limit(limits.headerBytes);
            this->body_limit(boost::optional<uint64_t>(limits.bodyBytes));
            maxBodyBytes = limits.bodyBytes;
        }

        Message message;
        // Only for responses; may be null.
        const ResponseSink* sink { nullptr };
        // May be null.
        const std::function<bool(size_t)>* reserve { nullptr };
        bool isReservationRefused { false };
        uint64_t maxBodyBytes { 0 };
        uint64_t bodyBytes { 0 };
        int contentLengthHeaders { 0 };
        int hostHeaders { 0 };
        bool hasUnsupportedEncoding { false };
        // HTTP/1.0 has no chunked encoding; a response of that version that uses it may be read in two ways.
        bool hasChunkedEncoding { true };
        // The bytes of the current call of put().
        std::string_view input;
        bool wantsContinue { false };

    private:
        void on_request_impl(http::verb, BeastView method, BeastView target, int, ErrorCode&) override
        {
            if constexpr (isRequest) {
                message.method = toString(method);
                message.target = toString(target);
            }
        }
        void on_response_impl(int code, BeastView reason, int version, ErrorCode& error) override
        {
            if constexpr (!isRequest) {
                // No request of this program asks for another protocol.
                if (!isResponseStatus(code) || code == statusSwitchingProtocols)
                    error = http::error::bad_status;
                hasChunkedEncoding = version >= httpVersion11;
                message.status = code;
                message.reason = toString(reason);
            }
        }
        // Beast joins a folded line with the value of the field before it, so that a field whose name begins with a
        // blank would be lost. A joined value is outside the input, or behind a line end in it.
        bool isFolded(BeastView name, BeastView value) const
        {
            const auto begin = reinterpret_cast<uintptr_t>(name.data() + name.size());
            const auto end = reinterpret_cast<uintptr_t>(input.data() + input.size());
            const auto valueBegin = reinterpret_cast<uintptr_t>(value.data());
            if (valueBegin < begin || valueBegin > end)
                return true;
            return std::string_view(name.data() + name.size(), valueBegin - begin).find('\n') != std::string_view::npos;
        }
        void on_field_impl(http::field field, BeastView name, BeastView value, ErrorCode& error) override
        {
            if constexpr (!isRequest) {
                if (isFolded(name, value) || !isFieldName({ name.data(), name.size() })
                    || !isFieldValue({ value.data(), value.size() })) {
                    error = http::error::bad_field;
                    return;
                }
            }
            // Trailer fields must not change what the head said, such as the id of the request.
            if (this->is_header_done())
                return;
            if (field == http::field::content_length)
                ++contentLengthHeaders;
            if (field == http::field::host)
                ++hostHeaders;
            if (field == http::field::transfer_encoding)
                hasUnsupportedEncoding |= !hasChunkedEncoding || !boost::beast::iequals(value, "chunked");
            if (field == http::field::expect)
                wantsContinue = boost::beast::iequals(value, "100-continue");
            message.headers.push_back({ toString(name), toString(value) });
        }
        void on_header_impl(ErrorCode& error) override
        {
            message.keepsAlive = this->keep_alive();
            if constexpr (isRequest) {
                if (const auto length = this->content_length(); length && *length <= maxBodyBytes)
                    reserveBody(*length, 0, error);
            } else {
                if (!sink || message.status < firstFinalStatus)
                    return;
                const auto length = this->content_length();
                if (!sink->onHead(message, length ? std::optional<uint64_t>(*length) : std::nullopt))
                    error = http::error::end_of_stream;
            }
        }
        void on_body_init_impl(const boost::optional<uint64_t>&, ErrorCode&) override { }
        size_t on_body_impl(BeastView body, ErrorCode& error) override
        {
            bodyBytes += body.size();
            if (!sink)
                append(body, error);
            else if (!sink->onBody({ body.data(), body.size() }))
                error = http::error::end_of_stream;
            return body.size();
        }
        void on_chunk_header_impl(uint64_t, BeastView, ErrorCode&) override { }
        void append(BeastView body, ErrorCode& error)
        {
            const size_t needed = message.body.size() + body.size();
            const size_t capacity = message.body.capacity();
            if (needed > capacity) {
                // Halves of the limit, so that the last step copies no more than half of the largest body.
                size_t next = std::max<size_t>(needed, maxBodyBytes);
                while (next / 2 >= std::max(needed, minBodyCapacity))
                    next /= 2;
                // Both buffers exist while the bytes are copied.
                if (!reserveBody(next, capacity, error) || !reserveBody(next, 0, error))
                    return;
            }
            message.body.append(body.data(), body.size());
        }

        bool reserveBody(size_t bytes, size_t copiedBytes, ErrorCode& error)
        {
            if (reserve && *reserve && !(*reserve)(bytes + copiedBytes)) {
                isReservationRefused = true;
                error = http::error::end_of_stream;
                return false;
            }
            message.body.reserve(bytes);
            return true;
        }
        size_t on_chunk_body_impl(uint64_t, BeastView body, ErrorCode& error) override
        {
            return on_body_impl(body, error);
        }
        void on_finish_impl(ErrorCode&) override { }
    };

    // The state common to request and response parsing: the buffer and the message in progress.
    template <bool isRequest> struct ParserState {
        using Message = typename MessageCollector<isRequest>::Message;

        HttpLimits limits;
        std::optional<ResponseSink> sink;
        std::function<bool(size_t)> reserve;
        std::string buffer;
        std::optional<MessageCollector<isRequest>> collector;
        // Bytes since the last message that next() returned.
        uint64_t parsedBytes { 0 };

        MessageCollector<isRequest>& current()
        {
            if (!collector) {
                collector.emplace(limits);
                collector->sink = sink ? &*sink : nullptr;
                collector->reserve = &reserve;
            }
            return *collector;
        }

        // Parses buffered bytes and returns true when the message is complete.
        bool parse()
        {
            MessageCollector<isRequest>& parser = current();
            size_t offset = 0;
            while (offset < buffer.size() && !parser.is_done()) {
                ErrorCode error;
                parser.input = std::string_view(buffer).substr(offset);
                const size_t count
                    = parser.put(boost::asio::const_buffer(buffer.data() + offset, buffer.size() - offset), error);
                offset += count;
                if (error == http::error::need_more)
                    break;
                if (parser.isReservationRefused)
                    throw HttpError(statusUnavailable, "the memory for the body is in use");
                if (error)
                    throw HttpError(statusOf(error), error.message());
                if (count == 0)
                    break;
            }
            buffer.erase(0, offset);
            if (buffer.empty() && buffer.capacity() > maxRetainedBytes)
                buffer.shrink_to_fit();
            parsedBytes += offset;
            checkOverhead(parser);
            if (parser.is_header_done())
                checkFraming(parser);
            return parser.is_done();
        }

        void checkOverhead(const MessageCollector<isRequest>& parser) const
        {
            constexpr uint64_t maxBytesPerBodyByte = 16;
            const uint64_t unparsedBytes = parser.is_done() ? 0 : buffer.size();
            if (parsedBytes + unparsedBytes > 2 * limits.headerBytes + (1 + maxBytesPerBodyByte) * parser.bodyBytes)
                throw HttpError(statusHeadersTooLarge, "too many bytes besides the body");
        }

        static void checkFraming(const MessageCollector<isRequest>& parser)
        {
            if (parser.contentLengthHeaders > 1)
                throw HttpError(statusBadRequest, "several Content-Length headers");
            if (parser.hasUnsupportedEncoding)
                throw HttpError(statusBadRequest, "a transfer encoding other than chunked");
            if (isRequest && parser.hostHeaders != 1)
                throw HttpError(statusBadRequest, "not exactly one Host header");
        }

        Message take()
        {
            Message message = std::move(collector->message);
            collector.reset();
            return message;
        }

        bool isWithinMessage() const { return !buffer.empty() || (collector && collector->got_some()); }
    };

} // namespace

HttpError::HttpError(int status, const std::string& message)
    : Error({ .step = "parse-http", .message = message })
    , m_status(status)
{
}

struct RequestParser::State : ParserState<true> { };

RequestParser::RequestParser(HttpLimits limits)
    : m_state(std::make_unique<State>())
{
    m_state->limits = limits;
}

RequestParser::~RequestParser() = default;

void RequestParser::setLimits(HttpLimits limits) { m_state->limits = limits; }

void RequestParser::append(std::string_view bytes) { m_state->buffer.append(bytes); }

std::optional<HttpRequest> RequestParser::next()
{
    if (m_state->buffer.empty() || !m_state->parse())
        return std::nullopt;
    m_state->parsedBytes = 0;
    return m_state->take();
}

bool RequestParser::isWithinMessage() const { return m_state->isWithinMessage(); }

size_t RequestParser::bufferedBytes() const { return m_state->buffer.size(); }

bool RequestParser::isReadingBody() const { return m_state->collector && m_state->collector->is_header_done(); }

void RequestParser::setBodyReservation(std::function<bool(size_t bytes)> reserve)
{
    m_state->reserve = std::move(reserve);
}

bool RequestParser::takeExpectContinue()
{
    return m_state->collector && m_state->collector->is_header_done()
        && std::exchange(m_state->collector->wantsContinue, false);
}

struct ResponseParser::State : ParserState<false> {
    // Interim responses since the last message that next() returned.
    int interimResponses { 0 };
    bool expectsNoBody { false };

    std::optional<HttpResponse> takeFinalResponse()
    {
        HttpResponse response = take();
        if (response.status < firstFinalStatus) {
            if (++interimResponses > maxInterimResponses)
                throw HttpError(statusBadRequest, "too many interim responses");
            if (expectsNoBody)
                current().skip(true);
            return std::nullopt;
        }
        interimResponses = 0;
        expectsNoBody = false;
        return response;
    }
};

ResponseParser::ResponseParser(HttpLimits limits)
    : m_state(std::make_unique<State>())
{
    m_state->limits = limits;
}

ResponseParser::~ResponseParser() = default;

void ResponseParser::setSink(ResponseSink sink) { m_state->sink = std::move(sink); }

void ResponseParser::expectNoBody()
{
    m_state->expectsNoBody = true;
    m_state->current().skip(true);
}

void ResponseParser::append(std::string_view bytes) { m_state->buffer.append(bytes); }

std::optional<HttpResponse> ResponseParser::next()
{
    while (!m_state->buffer.empty() && m_state->parse()) {
        if (auto response = m_state->takeFinalResponse()) {
            m_state->parsedBytes = 0;
            return response;
        }
    }
    return std::nullopt;
}

std::optional<HttpResponse> ResponseParser::finish()
{
    if (!m_state->collector || !m_state->collector->got_some())
        return std::nullopt;
    ErrorCode error;
    m_state->collector->put_eof(error);
    if (error || !m_state->collector->is_done())
        return std::nullopt;
    auto response = m_state->takeFinalResponse();
    if (response)
        response->endsWithClose = true;
    return response;
}

bool ResponseParser::isWithinMessage() const { return m_state->isWithinMessage(); }

} // namespace skylark
