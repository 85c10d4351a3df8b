// The interface of a skylarkctl command: its description, parsed arguments and output.
#pragma once

#include "base/Error.h"
#include "cli/CommandLine.h"

#include <cxxopts.hpp>

namespace skylark {

// Thrown for an invalid command line. The tool then exits with ExitCode::UsageError.
class UsageError : public Error {
public:
    explicit UsageError(const std::string& message)
        : Error({ .step = "read-arguments", .message = message, .advice = "see skylarkctl COMMAND --help" })
    {
    }
};

struct CommandContext {
    const cxxopts::ParseResult& options;
    // The positional arguments after the command's name.
    const std::vector<std::string>& arguments;
    bool isJson { false };
    std::ostream& out;
};

struct Command {
    const char* name;
    const char* arguments;
    const char* summary;
    size_t minArguments;
    size_t maxArguments;
    // Adds the options that are specific to this command.
    void (*addOptions)(cxxopts::Options&);
    ExitCode (*run)(const CommandContext&);
};

inline void addNoOptions(cxxopts::Options&) { }

} // namespace skylark
