#include "daemon/Daemon.h"

#include <cxxopts.hpp>
#include <iostream>

namespace skylark {

namespace {

    cxxopts::Options makeOptions(const DaemonDescription& description)
    {
        cxxopts::Options options(description.name, description.description);
        options.add_options()("config",
            description.defaultSettingsFile ? "JSON settings file; the default is the file named in the environment"
                                            : "JSON settings file",
            cxxopts::value<std::string>(), "FILE")("help", "Print this help")("version", "Print the version");
        if (description.defaultSettings)
            options.add_options()("print-default-config", "Print all settings with their default values");
        return options;
    }

    int run(const DaemonDescription& description, cxxopts::Options& options, int argumentCount, char** arguments)
    {
        const auto parsed = options.parse(argumentCount, arguments);
        if (parsed.count("help") > 0) {
            std::cout << options.help() << '\n';
            return exitSuccess;
        }
        if (parsed.count("version") > 0) {
            std::cout << description.name << ' ' << SKYLARK_VERSION << '\n';
            return exitSuccess;
        }
        if (description.defaultSettings && parsed.count("print-default-config") > 0) {
            std::cout << description.defaultSettings() << '\n';
            return exitSuccess;
        }
        const bool hasConfigOption = parsed.count("config") > 0;
        if ((!hasConfigOption && !description.defaultSettingsFile) || !parsed.unmatched().empty()) {
            std::cerr << description.name << ": expected --config FILE and no positional arguments; see --help\n";
            return exitUsage;
        }
        return description.run(hasConfigOption ? parsed["config"].as<std::string>() : *description.defaultSettingsFile);
    }

} // namespace

sigset_t blockStopSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    return signals;
}

int runDaemon(const DaemonDescription& description, int argumentCount, char** arguments)
{
    cxxopts::Options options = makeOptions(description);
    try {
        return run(description, options, argumentCount, arguments);
    } catch (const cxxopts::exceptions::exception& error) {
        std::cerr << description.name << ": " << error.what() << '\n';
        return exitUsage;
    } catch (const std::exception& error) {
        std::cerr << description.name << ": " << error.what() << '\n';
        return exitFailure;
    }
}

} // namespace skylark
