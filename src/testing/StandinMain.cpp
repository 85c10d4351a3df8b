#include "testing/StandinMain.h"

#include "daemon/Daemon.h"

#include <iostream>

namespace skylark {

int runStandin(cxxopts::Options& options, int argc, char** argv,
    const std::function<std::shared_ptr<void>(const cxxopts::ParseResult&)>& start)
{
    const sigset_t signals = blockStopSignals();
    std::shared_ptr<void> service;
    try {
        const cxxopts::ParseResult values = options.parse(argc, argv);
        if (values.count("help") > 0) {
            std::cout << options.help();
            return exitSuccess;
        }
        service = start(values);
    } catch (const cxxopts::exceptions::exception& error) {
        std::cerr << options.program() << ": " << error.what() << "\n" << options.help();
        return exitUsage;
    } catch (const std::exception& error) {
        std::cerr << options.program() << ": " << error.what() << "\n";
        return exitFailure;
    }
    int received = 0;
    sigwait(&signals, &received);
    return exitSuccess;
}

} // namespace skylark
