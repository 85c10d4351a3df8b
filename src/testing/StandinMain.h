// The main program of a stand-in: reads options, starts the service and waits for SIGINT or SIGTERM.
#pragma once

#include <cxxopts.hpp>
#include <functional>
#include <memory>

namespace skylark {

// Exit codes: 0 after a signal, 1 for a service that cannot start, 2 for a usage error.
int runStandin(cxxopts::Options& options, int argc, char** argv,
    const std::function<std::shared_ptr<void>(const cxxopts::ParseResult&)>& start);

} // namespace skylark
