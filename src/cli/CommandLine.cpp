#include "cli/CommandLine.h"

#include "cli/Command.h"
#include "cli/DocumentCommands.h"
#include "cli/LogCommands.h"
#include "cli/NodeCommands.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace skylark {

namespace {

    constexpr size_t unlimitedArguments = std::numeric_limits<size_t>::max();

    constexpr Command commands[] = {
        { "check", "PATH...", "check section files or directories as one document", 1, unlimitedArguments, addNoOptions,
            runCheck },
        { "diff", "OLD NEW", "show what changes between two documents", 2, 2, addNoOptions, runDiff },
        { "bundle", "--version N --out DIR PATH...", "check a document and write it as a bundle to publish", 1,
            unlimitedArguments, addBundleOptions, runBundle },
        { "status", "NODE...", "show the versions that nodes have applied and rejected", 1, unlimitedArguments,
            addStatusOptions, runStatus },
        { "state", "NODE", "show the full state of a node as JSON", 1, 1, addNoOptions, runState },
        { "explain", "NODE METHOD PATH", "show how a node would route a request, and why", 3, 3, addExplainOptions,
            runExplain },
        { "trace", "REQUEST LOG...", "follow one request through the logs of nodes", 2, unlimitedArguments,
            addTraceOptions, runTrace },
    };

    void printHelp(std::ostream& out)
    {
        out << "Checks and bundles the configuration document, and shows how nodes apply it.\n\n"
               "Usage:\n  skylarkctl COMMAND [OPTION...] ARGUMENT...\n\nCommands:\n";
        for (const Command& command : commands)
            out << "  " << command.name << std::string(9 - std::string_view(command.name).size(), ' ')
                << command.summary << '\n';
        out << "\nNODE is the host:port of a node's admin page. PATH is a file NAME.json with the section NAME, or a\n"
               "directory of such files or of a bundle. LOG is a log file of skylark-node. Each "
               "command has --json and --help.\n"
               "Exit codes: 0 success, 1 failure, 2 usage error.\n";
    }

    // cxxopts skips the first value as the program's name, so "skylarkctl" replaces the command's name.
    cxxopts::ParseResult parseOptions(cxxopts::Options& options, const std::vector<std::string>& arguments)
    {
        std::vector<const char*> values { "skylarkctl" };
        for (auto argument = arguments.begin() + 1; argument != arguments.end(); ++argument)
            values.push_back(argument->c_str());
        return options.parse(static_cast<int>(values.size()), values.data());
    }

    ExitCode runCommand(const Command& command, const std::vector<std::string>& arguments, std::ostream& out)
    {
        cxxopts::Options options("skylarkctl " + std::string(command.name), command.summary);
        options.custom_help("[OPTION...]").positional_help(command.arguments);
        options.add_options()("json", "write JSON")("help", "show this help");
        options.add_options("hidden")("positional", "", cxxopts::value<std::vector<std::string>>());
        command.addOptions(options);
        options.parse_positional("positional");
        const cxxopts::ParseResult parseResult = parseOptions(options, arguments);
        if (parseResult.count("help")) {
            out << options.help({ "" });
            return ExitCode::Success;
        }
        std::vector<std::string> positional;
        if (parseResult.count("positional"))
            positional = parseResult["positional"].as<std::vector<std::string>>();
        if (positional.size() < command.minArguments || positional.size() > command.maxArguments)
            throw UsageError("skylarkctl " + std::string(command.name) + " expects " + command.arguments + ", but got "
                + std::to_string(positional.size()) + " arguments");
        return command.run({ parseResult, positional, parseResult.count("json") > 0, out });
    }

    ExitCode dispatch(const std::vector<std::string>& arguments, std::ostream& out)
    {
        if (arguments.empty())
            throw UsageError("no command given");
        const std::string& name = arguments.front();
        if (name == "--version") {
            out << "skylarkctl " SKYLARK_VERSION "\n";
            return ExitCode::Success;
        }
        if (name == "--help" || name == "help") {
            printHelp(out);
            return ExitCode::Success;
        }
        const auto command = std::find_if(
            std::begin(commands), std::end(commands), [&](const Command& candidate) { return candidate.name == name; });
        if (command == std::end(commands))
            throw UsageError("unknown command \"" + name + "\"");
        return runCommand(*command, arguments, out);
    }

    ExitCode reportError(ExitCode code, const std::string& text, bool isJson, std::ostream& out, std::ostream& err)
    {
        if (isJson)
            out << nlohmann::json({ { "error", text } }).dump(-1, ' ', true, nlohmann::json::error_handler_t::replace)
                << '\n';
        else
            err << "skylarkctl: " << text << '\n';
        return code;
    }

} // namespace

ExitCode runCommandLine(const std::vector<std::string>& arguments, std::ostream& out, std::ostream& err)
{
    const bool isJson = std::find(arguments.begin(), arguments.end(), "--json") != arguments.end();
    try {
        return dispatch(arguments, out);
    } catch (const UsageError& error) {
        return reportError(ExitCode::UsageError, error.what(), isJson, out, err);
    } catch (const cxxopts::exceptions::exception& error) {
        return reportError(ExitCode::UsageError, error.what(), isJson, out, err);
    } catch (const std::exception& error) {
        return reportError(ExitCode::Failure, error.what(), isJson, out, err);
    }
}

} // namespace skylark
