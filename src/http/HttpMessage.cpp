#include "http/HttpMessage.h"

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <absl/strings/str_split.h>
#include <algorithm>
#include <array>
#include <boost/beast/http/status.hpp>

namespace skylark {

namespace {

    constexpr std::array<std::string_view, 9> connectionHeaders { "Connection", "Keep-Alive", "Transfer-Encoding", "TE",
        "Trailer", "Upgrade", "Proxy-Connection", "Expect", "Content-Length" };

    absl::string_view toAbsl(std::string_view text) { return { text.data(), text.size() }; }

    bool isNamed(const HttpHeader& header, std::string_view name)
    {
        return absl::EqualsIgnoreCase(header.name, toAbsl(name));
    }

    void appendHeaders(std::string& text, const HttpHeaders& headers)
    {
        for (const HttpHeader& header : headers) {
            text += header.name;
            text += ": ";
            text += header.value;
            text += "\r\n";
        }
    }

    bool hasNoBodyByDefault(std::string_view method) { return method == "GET" || method == "HEAD"; }

} // namespace

const std::string* findHeader(const HttpHeaders& headers, std::string_view name)
{
    const auto found = std::find_if(
        headers.begin(), headers.end(), [name](const HttpHeader& header) { return isNamed(header, name); });
    return found == headers.end() ? nullptr : &found->value;
}

void setHeader(HttpHeaders& headers, std::string_view name, std::string value)
{
    removeHeader(headers, name);
    headers.push_back({ std::string(name), std::move(value) });
}

void removeHeader(HttpHeaders& headers, std::string_view name)
{
    std::erase_if(headers, [name](const HttpHeader& header) { return isNamed(header, name); });
}

size_t byteCount(const HttpHeaders& headers)
{
    size_t bytes = 0;
    for (const HttpHeader& header : headers)
        bytes += header.name.size() + header.value.size();
    return bytes;
}

void removeConnectionHeaders(HttpHeaders& headers, std::span<const std::string_view> endToEndNames)
{
    std::vector<std::string> connectionOptions;
    for (const HttpHeader& header : headers) {
        if (!isNamed(header, "Connection"))
            continue;
        for (absl::string_view part : absl::StrSplit(header.value, ','))
            connectionOptions.emplace_back(absl::StripAsciiWhitespace(part));
    }
    std::erase_if(headers, [&](const HttpHeader& header) {
        const auto matches = [&header](std::string_view name) { return isNamed(header, name); };
        if (std::any_of(connectionHeaders.begin(), connectionHeaders.end(), matches))
            return true;
        return std::any_of(connectionOptions.begin(), connectionOptions.end(), matches)
            && std::none_of(endToEndNames.begin(), endToEndNames.end(), matches);
    });
}

bool isSuccessStatus(int status)
{
    constexpr int firstSuccess = 200;
    constexpr int firstRedirect = 300;
    return status >= firstSuccess && status < firstRedirect;
}

bool isResponseStatus(int status)
{
    constexpr int firstStatus = 100;
    constexpr int lastStatus = 599;
    return status >= firstStatus && status <= lastStatus;
}

bool isFieldName(std::string_view name)
{
    constexpr std::string_view tokenMarks = "!#$%&'*+-.^_`|~";
    return !name.empty() && std::all_of(name.begin(), name.end(), [&](char byte) {
        return absl::ascii_isalnum(static_cast<unsigned char>(byte)) || tokenMarks.find(byte) != std::string_view::npos;
    });
}

bool isFieldValue(std::string_view value)
{
    return std::none_of(value.begin(), value.end(),
        [](char byte) { return byte != '\t' && absl::ascii_iscntrl(static_cast<unsigned char>(byte)); });
}

std::string serializeHead(const HttpRequest& request, size_t bodyBytes)
{
    std::string text = request.method + " " + request.target + " HTTP/1.1\r\n";
    appendHeaders(text, request.headers);
    if (bodyBytes > 0 || !hasNoBodyByDefault(request.method))
        text += "Content-Length: " + std::to_string(bodyBytes) + "\r\n";
    text += "\r\n";
    return text;
}

std::string serialize(const HttpRequest& request) { return serializeHead(request, request.body.size()) + request.body; }

bool forbidsBody(int status) { return status < 200 || status == 204 || status == 304; }

std::string serializeHead(const HttpResponse& response)
{
    std::string text = "HTTP/1.1 " + std::to_string(response.status) + " "
        + (response.reason.empty() ? reasonPhrase(response.status) : response.reason) + "\r\n";
    appendHeaders(text, response.headers);
    if (!forbidsBody(response.status) && !response.endsWithClose)
        text += "Content-Length: " + std::to_string(response.body.size()) + "\r\n";
    if (!response.keepsAlive || response.endsWithClose)
        text += "Connection: close\r\n";
    text += "\r\n";
    return text;
}

std::string serialize(const HttpResponse& response)
{
    std::string text = serializeHead(response);
    if (!forbidsBody(response.status))
        text += response.body;
    return text;
}

const char* reasonPhrase(int status)
{
    return boost::beast::http::obsolete_reason(static_cast<boost::beast::http::status>(status)).data();
}

} // namespace skylark
