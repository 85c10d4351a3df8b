// skylarkctl: the operators' command line, as a function that tests can call.
//
// The arguments are those after the program's name. A result goes to out, as text or with --json as one JSON
// value; a wrong use goes to err. With --json, an error is a JSON value on out too, so that a script can
// always read out.
#pragma once

#include <ostream>
#include <string>
#include <vector>

namespace skylark {

enum class ExitCode : uint8_t {
    Success = 0,
    Failure = 1,
    UsageError = 2,
};

ExitCode runCommandLine(const std::vector<std::string>& arguments, std::ostream& out, std::ostream& err);

} // namespace skylark
