// The commands that query nodes: status, state and explain.
#pragma once

#include "cli/Command.h"

namespace skylark {

// Returns Failure if a node cannot be read, or has rejected a version that is not older than its applied version.
void addStatusOptions(cxxopts::Options& options);
ExitCode runStatus(const CommandContext& context);
ExitCode runState(const CommandContext& context);
// Returns Failure if no route matches the request.
void addExplainOptions(cxxopts::Options& options);
ExitCode runExplain(const CommandContext& context);

} // namespace skylark
