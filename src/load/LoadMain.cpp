// skylarkload: sends load according to a plan, or verifies a ledger against the execution logs of backend servers.
#include "base/Error.h"
#include "base/Settings.h"
#include "load/LedgerCheck.h"

#include <csignal>
#include <cxxopts.hpp>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>

namespace {

using namespace skylark;

constexpr int exitFailure = 1;
constexpr int exitUsage = 2;

// Parses "name=lookup,rate=50,idempotent=true" into a JSON object. Values that parse as JSON numbers or booleans keep
// that type; all others are strings.
nlohmann::json objectFromOption(const std::string& text)
{
    auto object = nlohmann::json::object();
    std::istringstream parts(text);
    for (std::string part; std::getline(parts, part, ',');) {
        const size_t equals = part.find('=');
        if (equals == std::string::npos)
            throw Error(
                { .step = "read-options", .message = "the option part \"" + part + "\" is not of the form key=value" });
        const std::string value = part.substr(equals + 1);
        auto parsed = nlohmann::json::parse(value, nullptr, false);
        object[part.substr(0, equals)] = parsed.is_number() || parsed.is_boolean() ? parsed : nlohmann::json(value);
    }
    return object;
}

LoadPlan planFromOptions(const cxxopts::ParseResult& values)
{
    auto document = nlohmann::json::object();
    if (values.count("plan") > 0)
        document = nlohmann::json::parse(readFile(values["plan"].as<std::string>()));
    // Command-line options override the plan file.
    for (const char* key : { "duration", "warmup", "timeout" }) {
        if (values.count(key) > 0)
            document[key] = values[key].as<std::string>();
    }
    for (const char* key : { "workers", "seed" }) {
        if (values.count(key) > 0)
            document[key] = values[key].as<int64_t>();
    }
    if (values.count("no-answer-check") > 0)
        document["checkAnswers"] = false;
    if (values.count("target") > 0)
        document["targets"] = values["target"].as<std::vector<std::string>>();
    const std::pair<const char*, const char*> objectOptions[] = { { "class", "classes" }, { "flood", "floods" } };
    for (const auto& [option, key] : objectOptions) {
        if (values.count(option) == 0)
            continue;
        document[key] = nlohmann::json::array();
        document[key].push_back(objectFromOption(values[option].as<std::string>()));
    }
    return planFromJson(document);
}

int runCommand(int argc, char** argv)
{
    using cxxopts::value;
    cxxopts::Options options(
        "skylarkload", "Open-loop load generator.\nRun \"skylarkload verify --help\" for how to check a ledger.");
    auto add = options.add_options();
    add("plan", "JSON file with the plan (see load/LoadPlan.h)", value<std::string>());
    add("target", "host:port of a node; may be repeated to spread requests over several nodes",
        value<std::vector<std::string>>());
    add("class", "one request class, such as name=lookup,path=/pitches,rate=50,deadline=800ms", value<std::string>());
    add("flood", "one flood, such as class=lookup,start=3s,duration=2s,factor=20", value<std::string>());
    add("duration", "duration of the run", value<std::string>());
    add("warmup", "first part of the run, excluded from the report", value<std::string>());
    add("timeout", "maximum time to wait for a response", value<std::string>());
    add("workers", "number of connections over all targets", value<int64_t>());
    add("seed", "random seed of the arrival times", value<int64_t>());
    add("no-answer-check", "do not check response bodies");
    add("json", "file to write the JSON report to", value<std::string>());
    add("ledger", "file to write the ledger of non-idempotent requests to", value<std::string>());
    add("help", "print this text");
    const cxxopts::ParseResult values = options.parse(argc, argv);
    if (values.count("help") > 0) {
        std::cout << options.help();
        return 0;
    }
    const LoadPlan plan = planFromOptions(values);
    const LoadResult result = runLoad(plan);
    std::cout << result.report.toTable(plan);
    if (values.count("ledger") > 0)
        writeLedger(result.ledger, values["ledger"].as<std::string>());
    if (values.count("json") > 0) {
        std::ofstream file(values["json"].as<std::string>());
        file << result.report.toJson(plan).dump(1) << "\n";
        file.close();
        if (!file)
            throw Error({ .step = "write-report",
                .message = "cannot write the report to " + values["json"].as<std::string>() });
    }
    return 0;
}

void printFinding(const char* name, const std::vector<std::string>& ids)
{
    constexpr size_t maxShown = 10;
    std::cout << name << ": " << ids.size();
    for (size_t i = 0; i < std::min(ids.size(), maxShown); ++i)
        std::cout << " " << ids[i];
    std::cout << "\n";
}

int verifyCommand(int argc, char** argv)
{
    using cxxopts::value;
    cxxopts::Options options("skylarkload verify", "Compares a ledger with the backend servers' execution logs");
    auto add = options.add_options();
    add("ledger", "ledger file that skylarkload wrote", value<std::string>());
    add("executions", "http://host:port of a backend server, or the file that it wrote with --record",
        value<std::vector<std::string>>());
    add("help", "print this text");
    options.parse_positional("executions");
    options.positional_help("URL...");
    const cxxopts::ParseResult values = options.parse(argc, argv);
    if (values.count("help") > 0) {
        std::cout << options.help();
        return 0;
    }
    if (values.count("ledger") == 0 || values.count("executions") == 0) {
        std::cerr << options.help();
        return exitUsage;
    }
    const auto findings = checkLedger(readLedger(values["ledger"].as<std::string>()),
        readExecutions(values["executions"].as<std::vector<std::string>>()));
    std::cout << "checked: " << findings.checkedCount << " non-idempotent requests\n"
              << "unknown: " << findings.unknownCount << ", of which " << findings.executedUnknownCount << " ran\n";
    printFinding("double runs", findings.duplicateExecutions);
    printFinding("false not-run refusals", findings.executedNotRun);
    printFinding("lost answers", findings.lostResponses);
    return findings.hasNoFaults() ? 0 : exitFailure;
}

} // namespace

int main(int argc, char** argv)
{
    signal(SIGPIPE, SIG_IGN);
    try {
        if (argc > 1 && std::string(argv[1]) == "verify")
            return verifyCommand(argc - 1, argv + 1);
        return runCommand(argc, argv);
    } catch (const cxxopts::exceptions::exception& error) {
        std::cerr << "skylarkload: " << error.what() << "\n";
        return exitUsage;
    } catch (const std::exception& error) {
        std::cerr << "skylarkload: " << error.what() << "\n";
        return exitFailure;
    }
}
