#include "base/Types.h"

#include "base/Error.h"

#include <charconv>

namespace skylark {

std::string millisecondsText(Duration duration)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

std::string Endpoint::toString() const { return host + ":" + std::to_string(port); }

Endpoint Endpoint::fromString(const std::string& text)
{
    const size_t colon = text.rfind(':');
    Endpoint endpoint;
    if (colon != std::string::npos && colon > 0) {
        const char* first = text.data() + colon + 1;
        const char* last = text.data() + text.size();
        const auto [end, code] = std::from_chars(first, last, endpoint.port);
        if (code == std::errc() && end == last && first != last) {
            endpoint.host = text.substr(0, colon);
            return endpoint;
        }
    }
    throw Error({ .step = "parse-endpoint", .message = "\"" + text + "\" is not an address of the form host:port" });
}

} // namespace skylark
