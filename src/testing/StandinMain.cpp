#include "testing/StandinMain.h"

#include <csignal>
#include <iostream>
#include <pthread.h>

namespace skylark {

int runStandin(cxxopts::Options& options, int argc, char** argv,
    const std::function<std::shared_ptr<void>(const cxxopts::ParseResult&)>& start)
{
    // Blocked before any thread starts, so that only sigwait() below takes the signals.
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGTERM);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    signal(SIGPIPE, SIG_IGN);

    std::shared_ptr<void> service;
    try {
        const cxxopts::ParseResult values = options.parse(argc, argv);
        if (values.count("help") > 0) {
            std::cout << options.help();
            return 0;
        }
        service = start(values);
    } catch (const cxxopts::exceptions::exception& error) {
        std::cerr << options.program() << ": " << error.what() << "\n" << options.help();
        return 2;
    } catch (const std::exception& error) {
        std::cerr << options.program() << ": " << error.what() << "\n";
        return 1;
    }
    int received = 0;
    sigwait(&signals, &received);
    return 0;
}

} // namespace skylark
