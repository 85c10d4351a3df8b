#include "cli/NodeClient.h"

#include "base/Error.h"

#include <httplib.h>

namespace skylark {

namespace {

    constexpr const char* step = "read-node-page";
    constexpr const char* advice = "check that skylarkd runs and that this is the address of its admin page";

    [[noreturn]] void throwError(const Endpoint& node, const std::string& message)
    {
        throw Error({ .step = step, .peer = node.toString(), .message = message, .advice = advice });
    }

} // namespace

nlohmann::json readNodePage(const Endpoint& node, const std::string& path,
    const std::multimap<std::string, std::string>& parameters, const NodeClientOptions& options)
{
    httplib::Client client(node.host, node.port);
    client.set_connection_timeout(options.connectTimeout);
    client.set_read_timeout(options.responseTimeout);
    client.set_tcp_nodelay(true);
    const auto deadline = std::chrono::steady_clock::now() + options.responseTimeout;
    std::string body;
    std::string stopReason;
    const httplib::ContentReceiver receiver = [&](const char* data, size_t size) {
        if (body.size() + size > options.maxResponseBytes)
            stopReason = "the response has more than " + std::to_string(options.maxResponseBytes) + " bytes";
        else if (std::chrono::steady_clock::now() > deadline)
            stopReason
                = "the response was not complete within " + std::to_string(options.responseTimeout.count()) + " ms";
        else
            body.append(data, size);
        return stopReason.empty();
    };
    const httplib::Params query(parameters.begin(), parameters.end());
    const httplib::Result result = client.Get(path, query, httplib::Headers(), receiver);
    if (!stopReason.empty())
        throwError(node, stopReason);
    if (!result)
        throwError(node, "GET " + path + " failed: " + httplib::to_string(result.error()));
    if (result->status != 200)
        throwError(node, "GET " + path + " returned status " + std::to_string(result->status));
    nlohmann::json value = nlohmann::json::parse(body, nullptr, false);
    if (!value.is_object())
        throwError(node, "GET " + path + " did not return a JSON object");
    return value;
}

} // namespace skylark
