// The command that reads the logs of nodes: trace.
#pragma once

#include "cli/Command.h"

namespace skylark {

void addTraceOptions(cxxopts::Options& options);
// Prints the log lines of one request from the logs of several processes, ordered by time. With --around, it adds the
// lines without a request id that the same instances wrote shortly before and after. Throws Error if no line contains
// the request. Lines that are not log lines are skipped and counted. Only matching lines are kept in memory.
ExitCode runTrace(const CommandContext& context);

} // namespace skylark
