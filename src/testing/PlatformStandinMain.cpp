// platform_standin: runs the stand-in platform until SIGINT or SIGTERM.
#include "testing/PlatformStandin.h"
#include "testing/StandinMain.h"

#include <iostream>

int main(int argc, char** argv)
{
    cxxopts::Options options("platform_standin", "Stand-in for the platform's configuration service");
    options.add_options()("port", "port on 127.0.0.1; 0 selects a free port", cxxopts::value<uint16_t>())(
        "calls-per-second", "maximum number of reads and watches per second",
        cxxopts::value<uint64_t>()->default_value("2000"))("threads", "maximum number of connections",
        cxxopts::value<size_t>()->default_value("512"))("list-lag-ms", "delay of instance lists in milliseconds",
        cxxopts::value<int64_t>()->default_value("500"))("help", "print this help");
    return skylark::runStandin(options, argc, argv, [](const cxxopts::ParseResult& values) {
        auto standin = std::make_shared<skylark::PlatformStandin>(skylark::PlatformStandinOptions {
            .address = { "127.0.0.1", values["port"].as<uint16_t>() },
            .callsPerSecond = values["calls-per-second"].as<uint64_t>(),
            .threads = values["threads"].as<size_t>(),
            .listLag = std::chrono::milliseconds(values["list-lag-ms"].as<int64_t>()),
        });
        std::cout << "platform_standin listens on " << standin->address().toString() << std::endl;
        return standin;
    });
}
