// Traces four kinds of failed request from their ids to their causes using only the log lines of real nodes, as
// described in docs/OPERATIONS.md.
#include "proxy/tests/ProxyFleet.h"

#include <cstdio>
#include <filesystem>
#include <fstream>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace skylark {
namespace {

    using namespace std::chrono_literals;

    // Redirects the log of the test process to a file during its lifetime.
    class CapturedLog {
    public:
        CapturedLog()
            : m_path(std::filesystem::temp_directory_path() / ("proxy-log-test-" + std::to_string(getpid())))
            , m_file(std::fopen(m_path.c_str(), "w"))
            , m_savedOutput(dup(STDOUT_FILENO))
        {
            std::fflush(stdout);
            dup2(fileno(m_file), STDOUT_FILENO);
            configureLogs(
                { .format = LogFormat::Json, .output = LogOutput::BufferedStandardOutput, .instance = "test" });
        }
        ~CapturedLog()
        {
            std::fclose(m_file);
            std::filesystem::remove(m_path);
        }
        // Ends the capture and returns the log lines of one request.
        std::vector<nlohmann::json> linesOf(const std::string& id)
        {
            flushLogs();
            dup2(m_savedOutput, STDOUT_FILENO);
            close(m_savedOutput);
            std::vector<nlohmann::json> lines;
            std::ifstream file(m_path);
            for (std::string line; std::getline(file, line);) {
                const auto parsed = nlohmann::json::parse(line, nullptr, false);
                if (parsed.is_object() && parsed.value("id", "") == id)
                    lines.push_back(parsed);
            }
            return lines;
        }

    private:
        const std::filesystem::path m_path;
        FILE* m_file;
        int m_savedOutput;
    };

    std::vector<nlohmann::json> linesOfFailure(ServerFault fault, Duration work, const std::string& id, int status)
    {
        CapturedLog log;
        {
            ProxyFleet fleet(1);
            EXPECT_TRUE(fleet.waitUntilReady());
            fleet.server(0).setFault(fault);
            fleet.server(0).setWork(work);
            EXPECT_EQ(sendRequest(fleet.callerAddress(0), id, "/pay/x", "fee").status, status);
        }
        return log.linesOf(id);
    }

    TEST(ProxyLogTest, LogOfARefusedRequestGivesTheRefusalOfTheServer)
    {
        const auto lines = linesOfFailure(ServerFault::Shed, 5ms, "refused", 503);
        ASSERT_EQ(lines.size(), 2u);
        EXPECT_EQ(lines[0]["event"], "attempt-failed");
        EXPECT_EQ(lines[0]["outcome"], "not-run");
        EXPECT_EQ(lines[0]["reason"], "the server refused the call with 503");
        EXPECT_EQ(lines[0]["target"], "s0");
        EXPECT_EQ(lines[1]["event"], "request-failed");
        EXPECT_EQ(lines[1]["outcome"], "not-run");
        EXPECT_EQ(lines[1]["version"], "1");
    }

    TEST(ProxyLogTest, LogOfAnUnknownRequestGivesTheLostResponse)
    {
        const auto lines = linesOfFailure(ServerFault::DropResponse, 5ms, "lost", 502);
        ASSERT_EQ(lines.size(), 2u);
        EXPECT_EQ(lines[0]["outcome"], "unknown");
        EXPECT_EQ(lines[0]["step"], "backend-server");
        EXPECT_EQ(lines[1]["status"], "502");
        EXPECT_EQ(lines[1]["attempts"], "1");
    }

    // Guards against a failure of the server that looks like one of the node, or like a request that did not run.
    TEST(ProxyLogTest, LogOfAnAmbiguousRefusalGivesTheStatusOfTheServer)
    {
        const auto lines = linesOfFailure(ServerFault::RefuseAfterRun, 5ms, "ambiguous", 502);
        ASSERT_EQ(lines.size(), 2u);
        const std::string reason
            = "backend-server: the server answered 503 without a statement that it did not run the request";
        EXPECT_EQ(lines[0]["event"], "attempt-failed");
        EXPECT_EQ(lines[0]["outcome"], "unknown");
        EXPECT_EQ(lines[0]["step"], "backend-server");
        EXPECT_EQ(lines[0]["target"], "s0");
        EXPECT_EQ("backend-server: " + lines[0]["reason"].get<std::string>(), reason);
        EXPECT_EQ(lines[1]["event"], "request-failed");
        EXPECT_EQ(lines[1]["outcome"], "unknown");
        EXPECT_EQ(lines[1]["status"], "502");
        EXPECT_EQ(lines[1]["reason"], reason);
    }

    TEST(ProxyLogTest, LogOfATimedOutRequestGivesTheTimeoutAndItsDuration)
    {
        const auto lines = linesOfFailure(ServerFault::None, 3s, "slow", 504);
        ASSERT_EQ(lines.size(), 1u);
        EXPECT_EQ(lines[0]["outcome"], "timeout");
        EXPECT_EQ(lines[0]["reason"], "the timeout passed");
        EXPECT_GE(std::stoi(lines[0]["ms"].get<std::string>()), 1000);
    }

} // namespace
} // namespace skylark
