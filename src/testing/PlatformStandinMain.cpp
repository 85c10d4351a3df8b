// platform_standin: runs the stand-in platform until it is interrupted.
#include "testing/PlatformStandin.h"
#include "testing/StandinMain.h"

#include <iostream>

int main(int argc, char** argv)
{
    cxxopts::Options options("platform_standin", "Stand-in for the platform's configuration service");
    options.add_options()("port", "port on 127.0.0.1; 0 takes a free one", cxxopts::value<uint16_t>())(
        "calls-per-second", "reads and watches served in a second", cxxopts::value<uint64_t>()->default_value("2000"))(
        "threads", "most connections at the same time", cxxopts::value<size_t>()->default_value("512"))("list-lag-ms",
        "delay of instance lists", cxxopts::value<int64_t>()->default_value("500"))("help", "print this text");
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
