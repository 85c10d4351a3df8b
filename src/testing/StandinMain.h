// The main program of a stand-in: parses options, starts the service and waits for SIGINT or SIGTERM.
#pragma once

#include <cxxopts.hpp>
#include <functional>
#include <memory>

namespace skylark {

// Returns the exit code: 0 after a signal, 1 if the service cannot start, 2 for a usage error.
int runStandin(cxxopts::Options& options, int argc, char** argv,
    const std::function<std::shared_ptr<void>(const cxxopts::ParseResult&)>& start);

} // namespace skylark
