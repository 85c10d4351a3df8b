// The commands that ask nodes: status, state and explain.
#pragma once

#include "cli/Command.h"

namespace skylark {

// Finds a fault where a node cannot be read, or has rejected a version that is not older than its own.
void addStatusOptions(cxxopts::Options& options);
ExitCode runStatus(const CommandContext& context);
ExitCode runState(const CommandContext& context);
// Finds a fault where no route matches the request.
void addExplainOptions(cxxopts::Options& options);
ExitCode runExplain(const CommandContext& context);

} // namespace skylark
