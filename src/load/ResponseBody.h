// The body that a stand-in backend server answers with, which the load generator checks.
//
// It names the request, so that an answer given to the wrong caller or cut short is seen.
#pragma once

#include <algorithm>
#include <string>

namespace skylark {

// The request's id, a line end, and letters up to the size. A size too small for the id is raised.
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
