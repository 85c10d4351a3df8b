// Parses the command line of a long-running process: --config FILE, --help and --version.
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
    // Settings file to use without --config. If not set, --config is required.
    std::optional<std::string> defaultSettingsFile {};
    // Returns the text that --print-default-config prints. If not set, this option does not exist.
    std::function<std::string()> defaultSettings {};
    // Runs the process with this settings file and returns its exit code. runDaemon() prints an exception and returns
    // exitFailure.
    std::function<int(const std::string& settingsFile)> run;
};

// Returns the exit code of the process, which is exitUsage for an invalid command line. Prints to standard output and
// standard error.
int runDaemon(const DaemonDescription& description, int argumentCount, char** arguments);

// Blocks SIGINT and SIGTERM, ignores SIGPIPE and returns the set of blocked signals. Call this before any thread
// starts, so that every thread inherits the mask and only the thread that waits for the set receives the signals.
sigset_t blockStopSignals();

} // namespace skylark
