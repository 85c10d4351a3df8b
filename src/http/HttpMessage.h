// HTTP/1.1 messages that are held whole in memory, and their text form.
//
// The node buffers a message before it passes it on, so that a broken one never looks complete at the other end.
// HttpLimits bounds what one message may take.
#pragma once

#include <cstdint>
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

// Names compare without regard to case. Null where there is none.
const std::string* findHeader(const HttpHeaders& headers, std::string_view name);
// Replaces all headers of the name by one.
void setHeader(HttpHeaders& headers, std::string_view name, std::string value);
void removeHeader(HttpHeaders& headers, std::string_view name);
// Removes what concerns one connection only: Connection and the names in it, Keep-Alive, Transfer-Encoding, TE,
// Trailer, Upgrade, Proxy-Connection, Expect and Content-Length, which the writer adds again.
void removeConnectionHeaders(HttpHeaders& headers);

struct HttpLimits {
    uint32_t headerBytes { 64 * 1024 };
    uint64_t bodyBytes { 16 * 1024 * 1024 };
};

struct HttpRequest {
    std::string method;
    std::string target;
    HttpHeaders headers;
    std::string body;
    // The sender leaves the connection open for another request.
    bool keepsAlive { true };
};

struct HttpResponse {
    int status { 0 };
    std::string reason;
    HttpHeaders headers;
    std::string body;
    bool keepsAlive { true };
    // Without a length: the body ends where the connection does. A body that was received so may have been cut by an
    // orderly close, and is passed on so as not to claim more than is known.
    bool endsWithClose { false };
};

// Both add Content-Length; a request without body of a method that has none stays without.
std::string serialize(const HttpRequest& request);
// Adds "Connection: close" unless the connection stays open.
std::string serialize(const HttpResponse& response);

const char* reasonPhrase(int status);

} // namespace skylark
