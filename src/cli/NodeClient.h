// Reads the admin page of a node over HTTP.
#pragma once

#include "base/Types.h"

#include <map>
#include <nlohmann/json.hpp>

namespace skylark {

struct NodeClientOptions {
    std::chrono::milliseconds connectTimeout { 2000 };
    // Limits the time until the response is complete.
    std::chrono::milliseconds responseTimeout { 10000 };
    // The state of a node at the design size stays well below this limit. Larger responses are rejected.
    size_t maxResponseBytes { 256'000'000 };
};

// Returns the JSON object with which the node responds to GET path. Throws Error with the node's address if the request
// fails or the response is not a JSON object.
nlohmann::json readNodePage(const Endpoint& node, const std::string& path,
    const std::multimap<std::string, std::string>& parameters = {}, const NodeClientOptions& options = {});

} // namespace skylark
