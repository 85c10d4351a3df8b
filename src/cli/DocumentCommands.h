// The commands that read and write document files: check, diff and bundle.
#pragma once

#include "cli/Command.h"

namespace skylark {

ExitCode runCheck(const CommandContext& context);
ExitCode runDiff(const CommandContext& context);
void addBundleOptions(cxxopts::Options& options);
ExitCode runBundle(const CommandContext& context);

} // namespace skylark
