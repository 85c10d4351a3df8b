// Runs skylarkctl in the test's process, with files in a temporary directory that is removed afterwards.
#pragma once

#include "cli/CommandLine.h"

#include <filesystem>
#include <fstream>
#include <gmock/gmock.h>
#include <nlohmann/json.hpp>
#include <sstream>
#include <unistd.h>

namespace skylark {

struct CliRun {
    ExitCode code {};
    std::string out;
    std::string err;

    nlohmann::json json() const { return nlohmann::json::parse(out); }
};

inline CliRun runCli(const std::vector<std::string>& arguments)
{
    std::ostringstream out;
    std::ostringstream err;
    const ExitCode code = runCommandLine(arguments, out, err);
    return { .code = code, .out = out.str(), .err = err.str() };
}

class CliTest : public testing::Test {
protected:
    CliTest() { std::filesystem::create_directories(m_directory); }
    ~CliTest() override { std::filesystem::remove_all(m_directory); }

    std::string path(const std::string& name) const { return (m_directory / name).string(); }

    void write(const std::string& name, const std::string& text) const
    {
        std::filesystem::create_directories((m_directory / name).parent_path());
        std::ofstream(m_directory / name) << text;
    }

private:
    std::filesystem::path m_directory { testing::TempDir() + "skylarkctl-" + std::to_string(getpid()) };
};

} // namespace skylark
