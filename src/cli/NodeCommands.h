// The commands that query nodes: status, state and explain.
#pragma once

#include "cli/Command.h"

namespace skylark {

void addStatusOptions(cxxopts::Options& options);
// Returns Failure if a node cannot be read, or has rejected a version that is not older than its applied version.
ExitCode runStatus(const CommandContext& context);
ExitCode runState(const CommandContext& context);
void addExplainOptions(cxxopts::Options& options);
// Returns Failure if no route matches the request.
ExitCode runExplain(const CommandContext& context);

} // namespace skylark
