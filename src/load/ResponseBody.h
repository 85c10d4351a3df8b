// The response body of a stand-in backend server, which the load generator checks.
//
// The body contains the request id, so that the check detects a truncated response and one for another request.
#pragma once

#include <algorithm>
#include <string>

namespace skylark {

// Returns the request id, a newline, and letters up to the given size, or only the id and the newline when the size is
// smaller than that.
inline std::string responseBody(const std::string& requestId, size_t bytes)
{
    std::string body = requestId + "\n";
    const size_t size = std::max(bytes, body.size());
    body.reserve(size);
    while (body.size() < size)
        body.push_back(static_cast<char>('a' + body.size() % 26));
    return body;
}

} // namespace skylark
