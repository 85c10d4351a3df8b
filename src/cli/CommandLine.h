// The command-line tool skylarkctl as a function that tests can call.
#pragma once

#include <ostream>
#include <string>
#include <vector>

namespace skylark {

enum class ExitCode : uint8_t {
    Success = 0,
    // The command found a fault or could not complete.
    Failure = 1,
    UsageError = 2,
};

// Runs the command that the arguments name. The arguments exclude the program's name. Writes results to out, as text
// or, with --json, as one JSON value. Writes errors to err or, with --json, as a JSON value to out, so that a script
// reads only one stream.
ExitCode runCommandLine(const std::vector<std::string>& arguments, std::ostream& out, std::ostream& err);

} // namespace skylark
