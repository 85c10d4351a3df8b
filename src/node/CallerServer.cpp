#include "node/CallerServer.h"

#include "base/Error.h"
#include "node/BackendClient.h"

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <nlohmann/json.hpp>

namespace skylark {

namespace {

    constexpr size_t maxRepeatableBytes = size_t { 256 } * 1024;
    // Only the node states the outcome of a request. A backend server that passes the refusal of a nested call on would
    // otherwise state "not run" for the request that it has run.
    constexpr const char* outcomeHeader = "Skylark-Outcome";

    CallerRequest toCallerRequest(const httplib::Request& request)
    {
        CallerRequest result { .method = request.method,
            .target = request.target,
            .path = request.path,
            .host = request.get_header_value("Host"),
            .headers = {} };
        for (const auto& [name, value] : request.headers) {
            // cpp-httplib has already decoded the body.
            if (!absl::EqualsIgnoreCase(name, "Content-Encoding") || request.get_header_value("Content-Length") == "0")
                result.headers.emplace_back(name, value);
        }
        return result;
    }

    // Returns why the length of the request is ambiguous, or nullptr. Such requests are refused: on a connection shared
    // by several requests, two parties that parse the length differently would allow request smuggling.
    const char* describeAmbiguousLength(const httplib::Request& request)
    {
        const size_t lengthCount = request.get_header_value_count("Content-Length");
        const size_t encodingCount = request.get_header_value_count("Transfer-Encoding");
        if (lengthCount > 1)
            return "the request has more than one Content-Length";
        if (lengthCount > 0 && encodingCount > 0)
            return "the request has both Content-Length and Transfer-Encoding";
        if (encodingCount > 0 && !absl::EqualsIgnoreCase(request.get_header_value("Transfer-Encoding"), "chunked"))
            return "the request has a Transfer-Encoding other than chunked";
        uint64_t length = 0;
        if (lengthCount > 0 && !absl::SimpleAtoi(request.get_header_value("Content-Length"), &length))
            return "the request's Content-Length is not a number";
        return nullptr;
    }

    bool hasBody(const httplib::Request& request)
    {
        return request.has_header("Transfer-Encoding")
            || (request.has_header("Content-Length") && request.get_header_value("Content-Length") != "0");
    }

} // namespace

CallerServer::CallerServer(
    CallerServerOptions options, CallDispatcher& dispatcher, Metrics& metrics, const Clock& clock)
    : m_options(std::move(options))
    , m_dispatcher(dispatcher)
    , m_metrics(metrics)
    , m_clock(clock)
    , m_server(m_options.http)
{
    const auto handleWithoutBody
        = [this](const httplib::Request& request, httplib::Response& response) { handle(request, response, nullptr); };
    const auto handleWithBody = [this](const httplib::Request& request, httplib::Response& response,
                                    const httplib::ContentReader& body) { handle(request, response, &body); };
    m_server.Get(".*", handleWithoutBody);
    m_server.Options(".*", handleWithoutBody);
    m_server.Post(".*", handleWithBody);
    m_server.Put(".*", handleWithBody);
    m_server.Patch(".*", handleWithBody);
    m_server.Delete(".*", handleWithBody);
    m_port = m_server.bind(m_options.listen);
    if (m_port == 0) {
        throw Error({ .step = "listen-for-callers",
            .peer = m_options.listen.toString(),
            .message = "cannot listen for callers on this address",
            .advice = "check callerAddress and whether another process holds the port" });
    }
}

CallerServer::~CallerServer() { drain(); }

void CallerServer::start()
{
    m_thread = std::thread([this] { m_server.listen_after_bind(); });
}

void CallerServer::drain()
{
    m_server.drain();
    if (m_thread.joinable())
        m_thread.join();
}

void CallerServer::handle(
    const httplib::Request& request, httplib::Response& response, const httplib::ContentReader* body)
{
    const CallerRequest callerRequest = toCallerRequest(request);
    // cpp-httplib would handle Range, Accept-Encoding and a multipart Content-Type itself, but they are meant for the
    // backend server. The const_cast is safe: cpp-httplib creates the request as a non-const object.
    auto& mutableRequest = const_cast<httplib::Request&>(request);
    mutableRequest.ranges.clear();
    mutableRequest.headers.erase("Accept-Encoding");
    mutableRequest.headers.erase("Content-Type");
    try {
        serve(callerRequest, request, response, body);
    } catch (const std::exception& error) {
        HttpServer::closeAfterRequest();
        writeError(
            response, { .status = 500, .outcome = CallOutcome::Unknown, .step = "serve", .message = error.what() });
    }
    if (m_server.isDraining())
        HttpServer::closeAfterRequest();
    if (HttpServer::willCloseAfterRequest())
        mutableRequest.set_header("Connection", "close");
}

void CallerServer::serve(const CallerRequest& callerRequest, const httplib::Request& request,
    httplib::Response& response, const httplib::ContentReader* body)
{
    bool isBodyRead = !hasBody(request);
    CallResult result = CallError { .status = 400, .step = "read-request" };
    std::string rank = "unranked";
    const TimePoint arrivedAt = m_clock.now();
    if (const char* lengthError = describeAmbiguousLength(request)) {
        std::get<CallError>(result).message = lengthError;
    } else if (!isBodyRead && !body) {
        std::get<CallError>(result).message = "a " + request.method + " request has a body";
    } else if (!m_isServing.load()) {
        result = CallError { .step = "startup", .message = "this node does not serve yet or any more" };
    } else {
        auto classified = m_dispatcher.classify(callerRequest);
        if (auto* call = std::get_if<ClassifiedCall>(&classified)) {
            rank = call->rankName();
            result = forward(*call, isBodyRead ? nullptr : body, isBodyRead);
        } else {
            result = std::get<CallError>(classified);
        }
    }
    if (!isBodyRead)
        HttpServer::closeAfterRequest();
    if (const auto* error = std::get_if<CallError>(&result)) {
        const bool hasNoRoute = error->status == 404;
        m_metrics.countRequest(rank, hasNoRoute ? "no-route" : outcomeName(error->outcome), m_clock.now() - arrivedAt);
        writeError(response, *error);
        return;
    }
    m_metrics.countRequest(rank, outcomeName(CallOutcome::Answered), m_clock.now() - arrivedAt);
    writeResponse(callerRequest, response, std::get<CallResponse>(result));
}

CallResult CallerServer::forward(ClassifiedCall& call, const httplib::ContentReader* body, bool& isBodyRead)
{
    if (!body)
        return m_dispatcher.call(call, "");
    std::string bufferedBody;
    uint64_t receivedBytes = 0;
    std::shared_ptr<CallDispatcher::Attempt> attempt;
    std::optional<CallError> error;
    isBodyRead = (*body)([&](const char* data, size_t size) {
        receivedBytes += size;
        if (receivedBytes > call.route->maxBodyBytes.value()) {
            error = CallError {
                .status = 413, .step = "read-request", .message = "the body is longer than the route allows"
            };
            return false;
        }
        if (m_clock.now() >= call.deadline) {
            error = CallError { .status = 408, .step = "read-request", .message = "the body did not arrive in time" };
            return false;
        }
        if (attempt)
            return attempt->stream().sendBody(std::string(data, size), false, call.deadline);
        bufferedBody.append(data, size);
        if (bufferedBody.size() <= maxRepeatableBytes)
            return true;
        auto startResult = m_dispatcher.startStreaming(call, std::move(bufferedBody));
        if (const auto* failure = std::get_if<CallError>(&startResult)) {
            error = *failure;
            return false;
        }
        attempt = std::get<std::shared_ptr<CallDispatcher::Attempt>>(startResult);
        return true;
    });
    if (error) {
        // The gate may already have sent the first part of the body to the backend server.
        if (attempt)
            error->outcome = CallOutcome::Unknown;
        return *error;
    }
    if (!attempt && !isBodyRead)
        return CallError { .status = 400, .step = "read-request", .message = "the body was cut off or is malformed" };
    if (!attempt)
        return m_dispatcher.call(call, bufferedBody);
    if (isBodyRead)
        attempt->stream().sendBody("", true, call.deadline);
    return m_dispatcher.finishStreaming(call, attempt);
}

void CallerServer::writeResponse(
    const CallerRequest& callerRequest, httplib::Response& response, const CallResponse& callResponse)
{
    response.status = static_cast<int>(callResponse.start.status);
    std::string contentType;
    std::optional<uint64_t> contentLength;
    for (const auto& [name, value] : callResponse.start.headers) {
        uint64_t number = 0;
        if (absl::EqualsIgnoreCase(name, "Content-Length") && absl::SimpleAtoi(value, &number))
            contentLength = number;
        else if (absl::EqualsIgnoreCase(name, "Content-Type"))
            contentType = value;
        else if (!absl::EqualsIgnoreCase(name, outcomeHeader))
            response.headers.emplace(name, value);
    }
    if (callerRequest.method == "HEAD" || !callResponse.start.hasBody) {
        if (!contentType.empty())
            response.set_header("Content-Type", contentType);
        if (callerRequest.method == "HEAD" && contentLength)
            response.set_header("Content-Length", std::to_string(*contentLength));
        return;
    }
    std::optional<std::string> firstPart
        = callResponse.body ? callResponse.body : callResponse.stream->readBody(callResponse.deadline);
    if (contentLength && firstPart && firstPart->size() == *contentLength) {
        if (!contentType.empty())
            response.set_header("Content-Type", contentType);
        response.body = std::move(*firstPart);
        return;
    }
    streamResponse(response, callResponse, contentType, contentLength, std::move(firstPart));
}

void CallerServer::streamResponse(httplib::Response& response, const CallResponse& callResponse,
    const std::string& contentType, std::optional<uint64_t> contentLength, std::optional<std::string> firstPart)
{
    // Held by a shared_ptr, since cpp-httplib copies the content provider.
    struct ResponseBody {
        std::shared_ptr<ClientStream> stream;
        TimePoint deadline;
        std::optional<std::string> firstPart;

        std::optional<std::string> next()
        {
            return firstPart ? std::exchange(firstPart, std::nullopt) : stream->readBody(deadline);
        }
    };
    const auto responseBody = std::make_shared<ResponseBody>(
        ResponseBody { callResponse.stream, callResponse.deadline, std::move(firstPart) });
    // On false, cpp-httplib closes the connection, which shows the caller that the body is truncated.
    const auto write = [responseBody](httplib::DataSink& sink, bool isChunked) {
        try {
            const std::optional<std::string> part = responseBody->next();
            if (part)
                return sink.write(part->data(), part->size());
            if (isChunked)
                sink.done();
            return isChunked;
        } catch (const Error&) {
            return false;
        }
    };
    if (contentLength) {
        response.set_content_provider(*contentLength, contentType,
            [write](size_t, size_t, httplib::DataSink& sink) { return write(sink, false); });
    } else {
        response.set_chunked_content_provider(
            contentType, [write](size_t, httplib::DataSink& sink) { return write(sink, true); });
    }
}

void CallerServer::writeError(httplib::Response& response, const CallError& error)
{
    const nlohmann::json body = { { "outcome", outcomeName(error.outcome) }, { "step", error.step },
        { "peer", error.peer }, { "message", error.message } };
    response.status = error.status;
    response.set_header(outcomeHeader, outcomeName(error.outcome));
    response.set_content(body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace), "application/json");
}

} // namespace skylark
