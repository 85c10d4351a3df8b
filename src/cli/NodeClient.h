// Reads the admin page of a node over HTTP.
#pragma once

#include "base/Types.h"

#include <map>
#include <nlohmann/json.hpp>

namespace skylark {

struct NodeClientOptions {
    std::chrono::milliseconds connectTimeout { 2000 };
    // For the whole answer.
    std::chrono::milliseconds responseTimeout { 10000 };
    // The state of a node at the design size stays well below this; a larger answer is refused.
    size_t maxResponseBytes { 256'000'000 };
};

// Gives the JSON answer of GET path. Throws Error with the node's address if there is none.
nlohmann::json readNodePage(const Endpoint& node, const std::string& path,
    const std::multimap<std::string, std::string>& parameters = {}, const NodeClientOptions& options = {});

} // namespace skylark
