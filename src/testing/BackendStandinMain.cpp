// backend_standin: runs a stand-in backend server until SIGINT or SIGTERM.
#include "base/Error.h"
#include "base/Settings.h"
#include "testing/BackendStandin.h"
#include "testing/StandinMain.h"

#include <iostream>

namespace {

skylark::Duration durationOption(const cxxopts::ParseResult& values, const std::string& name)
{
    const auto duration = skylark::parseDuration(values[name].as<std::string>());
    if (!duration)
        throw skylark::Error({ .step = "read-options", .message = "--" + name + " requires a duration such as 250ms" });
    return *duration;
}

skylark::WorkDistribution distributionOption(const std::string& name)
{
    if (name == "fixed")
        return skylark::WorkDistribution::Fixed;
    if (name == "exponential")
        return skylark::WorkDistribution::Exponential;
    throw skylark::Error({ .step = "read-options", .message = "--distribution must be fixed or exponential" });
}

void addOptions(cxxopts::Options& options)
{
    using cxxopts::value;
    auto add = options.add_options();
    add("port", "port on 127.0.0.1; 0 selects a free port", value<uint16_t>());
    add("name", "name on the load page", value<std::string>()->default_value("backend"));
    add("service", "name of the service in the execution log", value<std::string>()->default_value("service"));
    add("slots", "maximum number of requests that run at the same time", value<int>()->default_value("13"));
    add("queue", "maximum number of requests that wait for a slot", value<int>()->default_value("13"));
    add("connections", "maximum number of keep-alive connections", value<size_t>()->default_value("120"));
    add("work", "mean service time", value<std::string>()->default_value("2ms"));
    add("distribution", "distribution of service times: fixed or exponential",
        value<std::string>()->default_value("exponential"));
    add("cold-factor", "factor on service times at the start", value<double>()->default_value("4"));
    add("warmup", "time until service times are normal", value<std::string>()->default_value("0s"));
    add("load-lag", "age of the data on the health and load pages", value<std::string>()->default_value("0s"));
    add("record", "file to append each execution to", value<std::string>()->default_value(""));
    add("next", "host:port/path to call before each response", value<std::string>()->default_value(""));
    add("next-host", "Host header of that call", value<std::string>()->default_value(""));
    add("seed", "seed of the service times", value<uint64_t>()->default_value("1"));
    add("help", "print this help");
}

} // namespace

int main(int argc, char** argv)
{
    cxxopts::Options options("backend_standin", "Stand-in for a backend server");
    addOptions(options);
    return skylark::runStandin(options, argc, argv, [](const cxxopts::ParseResult& values) {
        auto standin = std::make_shared<skylark::BackendStandin>(skylark::BackendStandinOptions {
            .address = { "127.0.0.1", values["port"].as<uint16_t>() },
            .name = values["name"].as<std::string>(),
            .service = values["service"].as<std::string>(),
            .slots = values["slots"].as<int>(),
            .queue = values["queue"].as<int>(),
            .connections = values["connections"].as<size_t>(),
            .work = durationOption(values, "work"),
            .distribution = distributionOption(values["distribution"].as<std::string>()),
            .coldFactor = values["cold-factor"].as<double>(),
            .warmup = durationOption(values, "warmup"),
            .loadLag = durationOption(values, "load-lag"),
            .recordFile = values["record"].as<std::string>(),
            .next = values["next"].as<std::string>(),
            .nextHost = values["next-host"].as<std::string>(),
            .seed = values["seed"].as<uint64_t>(),
        });
        std::cout << "backend_standin listens on " << standin->address().toString() << std::endl;
        return standin;
    });
}
