// Guards the exit codes that service managers act on, and against a process that starts with settings nobody named.
#include "daemon/Daemon.h"

#include <gtest/gtest.h>
#include <stdexcept>
#include <vector>

namespace skylark {
namespace {

    class DaemonTest : public testing::Test {
    protected:
        int call(std::vector<std::string> arguments)
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

        std::string started;
        DaemonDescription description { .name = "testd",
            .description = "A test",
            .run = [this](const std::string& file) {
                started = file;
                return exitSuccess;
            } };
        std::string output;
        std::string errors;
    };

    TEST_F(DaemonTest, SettingsFileComesFromTheOptionOrTheEnvironment)
    {
        EXPECT_EQ(call({}), exitUsage);
        EXPECT_EQ(call({ "--config", "a.json" }), exitSuccess);
        EXPECT_EQ(started, "a.json");
        description.defaultSettingsFile = "b.json";
        EXPECT_EQ(call({}), exitSuccess);
        EXPECT_EQ(started, "b.json");
        EXPECT_EQ(call({ "--config", "a.json" }), exitSuccess);
        EXPECT_EQ(started, "a.json");
    }

    TEST_F(DaemonTest, WrongCommandLineIsNotAFault)
    {
        EXPECT_EQ(call({ "--none" }), exitUsage);
        EXPECT_EQ(call({ "--config", "a.json", "more" }), exitUsage);
        EXPECT_EQ(call({ "--print-default-config" }), exitUsage);
        EXPECT_EQ(started, "");
        EXPECT_NE(errors.find("testd: "), std::string::npos);
    }

    TEST_F(DaemonTest, QuestionsAreAnsweredWithoutAStart)
    {
        description.defaultSettings = [] { return "{}"; };
        EXPECT_EQ(call({ "--version" }), exitSuccess);
        EXPECT_EQ(output, std::string("testd ") + SKYLARK_VERSION + "\n");
        EXPECT_EQ(call({ "--help" }), exitSuccess);
        EXPECT_NE(output.find("--config"), std::string::npos);
        EXPECT_EQ(call({ "--print-default-config" }), exitSuccess);
        EXPECT_EQ(output, "{}\n");
        EXPECT_EQ(started, "");
    }

    TEST_F(DaemonTest, ExceptionIsPrintedAndIsAFault)
    {
        description.run = [](const std::string&) -> int { throw std::runtime_error("no such file"); };
        EXPECT_EQ(call({ "--config", "a.json" }), exitFault);
        EXPECT_EQ(errors, "testd: no such file\n");
    }

} // namespace
} // namespace skylark
