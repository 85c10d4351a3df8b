// Tests trace: it must print the lines of one request from several processes in order of time, and none of other
// requests.
#include "cli/tests/CliTestTools.h"

namespace skylark {
namespace {

    using testing::HasSubstr;
    using testing::Not;

    class LogCommandsTest : public CliTest {
    protected:
        LogCommandsTest()
        {
            write("a.log",
                R"({"time":"2026-07-04 17:47:05,200","level":"WARN","event":"request-failed","instance":"a","id":"r1","outcome":"not-run","reason":"gate: the queue is full"}
{"time":"2026-07-04 17:47:05,100","level":"WARN","event":"attempt-failed","instance":"a","id":"r1","target":"s9"}
{"time":"2026-07-04 17:47:04,900","level":"WARN","event":"peer-silent","instance":"a","peer":"10.0.0.9:7660"}
{"time":"2026-07-04 17:46:04,900","level":"INFO","event":"started","instance":"a"}
{"time":"2026-07-04 17:47:05,100","level":"WARN","event":"request-failed","instance":"a","id":"r2","reason":"other"}
not a log line
)");
            write("b.log",
                R"(prefix {"time":"2026-07-04 17:47:05,150","level":"INFO","event":"request-answered","instance":"b","id":"r1","ms":7}
{"time":"2026-07-04 17:47:05,150","level":"INFO","event":"stopping","instance":"c"}
)");
        }
    };

    TEST_F(LogCommandsTest, TraceShowsTheLinesOfOneRequestInOrder)
    {
        const CliRun run = runCli({ "trace", "r1", path("a.log"), path("b.log"), "--json" });
        ASSERT_EQ(run.code, ExitCode::Success) << run.err;
        std::vector<std::string> events;
        for (const auto& line : run.json())
            events.push_back(line["event"]);
        EXPECT_EQ(events, (std::vector<std::string> { "attempt-failed", "request-answered", "request-failed" }));
        const CliRun text = runCli({ "trace", "r1", path("a.log"), path("b.log") });
        EXPECT_THAT(text.out, HasSubstr("reason=gate: the queue is full"));
        EXPECT_THAT(text.out, Not(HasSubstr("other")));
    }

    TEST_F(LogCommandsTest, AroundAddsOtherLinesOfTheSameInstances)
    {
        const CliRun run = runCli({ "trace", "r1", path("a.log"), path("b.log"), "--around", "1s" });
        ASSERT_EQ(run.code, ExitCode::Success) << run.err;
        EXPECT_THAT(run.out, HasSubstr("peer-silent"));
        EXPECT_THAT(run.out, Not(HasSubstr("started"))) << "a minute earlier";
        EXPECT_THAT(run.out, Not(HasSubstr("stopping"))) << "another instance";
    }

    TEST_F(LogCommandsTest, ReportsErrors)
    {
        EXPECT_EQ(runCli({ "trace", "r9", path("a.log") }).code, ExitCode::Failure);
        EXPECT_THAT(runCli({ "trace", "r9", path("a.log") }).err, HasSubstr("no log line contains request r9"));
        EXPECT_EQ(runCli({ "trace", "r1", path("none.log") }).code, ExitCode::Failure);
        EXPECT_EQ(runCli({ "trace", "r1" }).code, ExitCode::UsageError);
        EXPECT_EQ(runCli({ "trace", "r1", path("a.log"), "--around", "soon" }).code, ExitCode::UsageError);
    }

} // namespace
} // namespace skylark
