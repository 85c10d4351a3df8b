// The command line of a process that runs until it is told to stop: --config FILE, --help and --version.
#pragma once

#include <csignal>
#include <functional>
#include <optional>
#include <string>

namespace skylark {

constexpr int exitSuccess = 0;
constexpr int exitFailure = 1;
constexpr int exitUsage = 2;

struct DaemonDescription {
    std::string name;
    std::string description;
    // Settings file where --config is absent; without it --config is needed.
    std::optional<std::string> defaultSettingsFile {};
    // Text that --print-default-config prints; without it there is no such option.
    std::function<std::string()> defaultSettings {};
    // Runs the process with this settings file and gives its exit code. An exception is printed and is exitFailure.
    std::function<int(const std::string& settingsFile)> run;
};

// Gives the process's exit code: exitUsage for a wrong command line. Prints to standard output and standard error.
int runDaemon(const DaemonDescription& description, int argumentCount, char** arguments);

// Blocks SIGINT and SIGTERM and ignores SIGPIPE. To be called before any thread starts, so that every thread inherits
// the mask and only the one that waits for the set takes the signals.
sigset_t blockStopSignals();

} // namespace skylark
