// skylarkd: the process beside each backend server instance. See node/Node.h.
#include "base/Error.h"
#include "node/Node.h"

#include <csignal>
#include <cxxopts.hpp>
#include <iostream>

namespace {

constexpr int exitSuccess = 0;
constexpr int exitFault = 1;
constexpr int exitUsage = 2;

// Blocked before any thread starts, so that every thread inherits the mask and only main takes signals.
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

bool isSignalPending(const sigset_t& signals)
{
    const timespec noWait {};
    return sigtimedwait(&signals, nullptr, &noWait) > 0;
}

int runNode(const skylark::NodeSettings& settings)
{
    const sigset_t signals = blockStopSignals();
    skylark::configureLogs(
        { .level = settings.logLevel, .format = settings.logFormat, .instance = settings.instance.value() });
    const skylark::SystemClock clock;
    skylark::Node node(settings, clock);
    node.start();
    int signal = 0;
    sigwait(&signals, &signal);
    const bool isClean = node.shutdown([&] { return isSignalPending(signals); });
    return isClean ? exitSuccess : exitFault;
}

} // namespace

int main(int argumentCount, char** arguments)
{
    cxxopts::Options options("skylarkd", "Proxy and configuration node beside one backend server instance");
    options.add_options()("config", "Settings file in JSON", cxxopts::value<std::string>(), "FILE")(
        "print-default-config", "Print all settings with their defaults")("help", "Print this help")(
        "version", "Print the version");
    try {
        const auto parsed = options.parse(argumentCount, arguments);
        if (parsed.count("help") > 0) {
            std::cout << options.help() << '\n';
            return exitSuccess;
        }
        if (parsed.count("version") > 0) {
            std::cout << "skylarkd " << SKYLARK_VERSION << '\n';
            return exitSuccess;
        }
        if (parsed.count("print-default-config") > 0) {
            std::cout << skylark::nodeSettingsToJson({}).dump(2) << '\n';
            return exitSuccess;
        }
        if (parsed.count("config") == 0 || !parsed.unmatched().empty()) {
            std::cerr << "skylarkd: --config FILE is needed; see --help\n";
            return exitUsage;
        }
        return runNode(skylark::nodeSettingsFromFile(parsed["config"].as<std::string>()));
    } catch (const cxxopts::exceptions::exception& error) {
        std::cerr << "skylarkd: " << error.what() << '\n';
        return exitUsage;
    } catch (const std::exception& error) {
        std::cerr << "skylarkd: " << error.what() << '\n';
        return exitFault;
    }
}
