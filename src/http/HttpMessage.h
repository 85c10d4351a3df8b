// HTTP/1.1 messages that are buffered whole in memory, and their serialization.
//
// The node buffers a message before it forwards it, so that a truncated message never looks complete to the receiver.
// HttpLimits bounds the memory of one message.
#pragma once

#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace skylark {

struct HttpHeader {
    std::string name;
    std::string value;

    bool operator==(const HttpHeader&) const = default;
};

using HttpHeaders = std::vector<HttpHeader>;

// Compares names case-insensitively. Returns null when there is no such header.
const std::string* findHeader(const HttpHeaders& headers, std::string_view name);
// Replaces all headers with this name by one.
void setHeader(HttpHeaders& headers, std::string_view name, std::string value);
void removeHeader(HttpHeaders& headers, std::string_view name);
// Returns the bytes of all names and values.
size_t byteCount(const HttpHeaders& headers);
// Removes the hop-by-hop headers: Connection and the headers that it names, Keep-Alive, Transfer-Encoding, TE, Trailer,
// Upgrade, Proxy-Connection and Expect. Also removes Content-Length, which serialize() adds again. Headers in
// `endToEndNames` stay even if Connection names them: a sender must not name headers that are meant for all recipients.
void removeConnectionHeaders(HttpHeaders& headers, std::span<const std::string_view> endToEndNames = {});

// Returns true for a status from 100 to 599. Others have no meaning, so a message with one is no response.
bool isResponseStatus(int status);
// Returns true for a status from 200 to 299.
bool isSuccessStatus(int status);
// Returns true for a token.
bool isFieldName(std::string_view name);
// Returns true if the value has no control bytes besides tabs.
bool isFieldValue(std::string_view value);

struct HttpLimits {
    uint32_t headerBytes { 64 * 1024 };
    uint64_t bodyBytes { 16 * 1024 * 1024 };
};

struct HttpRequest {
    std::string method;
    std::string target;
    HttpHeaders headers;
    std::string body;
    // The sender keeps the connection open for another request.
    bool keepsAlive { true };
    // Released with the last copy of the request; holds the charge of its bytes (base/MemoryBudget.h), if any.
    std::shared_ptr<const void> allocation;
};

struct HttpResponse {
    int status { 0 };
    std::string reason;
    HttpHeaders headers;
    std::string body;
    bool keepsAlive { true };
    // The response has no length, and its body ends when the connection closes. A sender that fails may also close
    // the connection in an orderly way, so the body may be truncated. The response is forwarded without a length too,
    // so that it does not claim to be complete.
    bool endsWithClose { false };
};

// Adds Content-Length, except to a GET or HEAD request without a body.
std::string serialize(const HttpRequest& request);
// The same without the body, for a request whose body has bodyBytes bytes.
std::string serializeHead(const HttpRequest& request, size_t bodyBytes);
// Adds Content-Length, except to a response that has no body by its status or that ends with the close of the
// connection. Adds "Connection: close" unless the connection stays open.
std::string serialize(const HttpResponse& response);
// The same without the body.
std::string serializeHead(const HttpResponse& response);
// A response with this status has no body.
bool forbidsBody(int status);

const char* reasonPhrase(int status);

} // namespace skylark
