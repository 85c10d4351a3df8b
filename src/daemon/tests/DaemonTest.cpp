// Guards the exit codes that service managers evaluate, and guards against a process that starts with settings that
// neither the command line nor the environment names.
#include "daemon/Daemon.h"

#include <gtest/gtest.h>
#include <stdexcept>
#include <vector>

namespace skylark {
namespace {

    class DaemonTest : public testing::Test {
    protected:
        int runWith(std::vector<std::string> arguments)
        {
            arguments.insert(arguments.begin(), "testd");
            std::vector<char*> pointers;
            for (std::string& argument : arguments)
                pointers.push_back(argument.data());
            testing::internal::CaptureStdout();
            testing::internal::CaptureStderr();
            const int code = runDaemon(description, static_cast<int>(pointers.size()), pointers.data());
            output = testing::internal::GetCapturedStdout();
            errors = testing::internal::GetCapturedStderr();
            return code;
        }

        std::string loadedSettingsFile;
        DaemonDescription description { .name = "testd",
            .description = "A test",
            .run = [this](const std::string& file) {
                loadedSettingsFile = file;
                return exitSuccess;
            } };
        std::string output;
        std::string errors;
    };

    TEST_F(DaemonTest, SettingsFileComesFromOptionOrDefault)
    {
        EXPECT_EQ(runWith({}), exitUsage);
        EXPECT_EQ(runWith({ "--config", "a.json" }), exitSuccess);
        EXPECT_EQ(loadedSettingsFile, "a.json");
        description.defaultSettingsFile = "b.json";
        EXPECT_EQ(runWith({}), exitSuccess);
        EXPECT_EQ(loadedSettingsFile, "b.json");
        EXPECT_EQ(runWith({ "--config", "a.json" }), exitSuccess);
        EXPECT_EQ(loadedSettingsFile, "a.json");
    }

    TEST_F(DaemonTest, InvalidCommandLineReturnsUsageExitCode)
    {
        EXPECT_EQ(runWith({ "--none" }), exitUsage);
        EXPECT_EQ(runWith({ "--config", "a.json", "more" }), exitUsage);
        EXPECT_EQ(runWith({ "--print-default-config" }), exitUsage);
        EXPECT_EQ(loadedSettingsFile, "");
        EXPECT_NE(errors.find("testd: "), std::string::npos);
    }

    TEST_F(DaemonTest, InformationOptionsPrintWithoutRunningTheDaemon)
    {
        description.defaultSettings = [] { return "{}"; };
        EXPECT_EQ(runWith({ "--version" }), exitSuccess);
        EXPECT_EQ(output, std::string("testd ") + SKYLARK_VERSION + "\n");
        EXPECT_EQ(runWith({ "--help" }), exitSuccess);
        EXPECT_NE(output.find("--config"), std::string::npos);
        EXPECT_EQ(runWith({ "--print-default-config" }), exitSuccess);
        EXPECT_EQ(output, "{}\n");
        EXPECT_EQ(loadedSettingsFile, "");
    }

    TEST_F(DaemonTest, ExceptionIsPrintedAndReturnsFailureExitCode)
    {
        description.run = [](const std::string&) -> int { throw std::runtime_error("no such file"); };
        EXPECT_EQ(runWith({ "--config", "a.json" }), exitFailure);
        EXPECT_EQ(errors, "testd: no such file\n");
    }

} // namespace
} // namespace skylark
