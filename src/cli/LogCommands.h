// The commands that read the logs of nodes: trace.
#pragma once

#include "cli/Command.h"

namespace skylark {

// Prints the lines of one request from the logs of several processes in order of time, and with --around the lines
// without a request's id that the same instances wrote shortly before and after. Finds a fault where no line names the
// request. Lines that are not log lines are counted and passed over. Memory: the matching lines alone are kept.
void addTraceOptions(cxxopts::Options& options);
ExitCode runTrace(const CommandContext& context);

} // namespace skylark
