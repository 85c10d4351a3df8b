// Guards against a load generator that sends at wrong rates or reports wrong latencies or outcomes, and against a
// ledger check that misses a violation of at-most-once execution.
#include "base/Error.h"
#include "load/LedgerCheck.h"
#include "load/ResponseBody.h"
#include "testing/BackendStandin.h"

#include <filesystem>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace skylark {
namespace {

    using namespace std::chrono_literals;

    nlohmann::json planJson()
    {
        return nlohmann::json::parse(R"({"targets": ["127.0.0.1:1"], "duration": "100s",
            "classes": [{"name": "a", "rate": 50}, {"name": "b", "rate": 10, "idempotent": false}],
            "floods": [{"class": "b", "start": "40s", "duration": "20s", "factor": 10}]})");
    }

    TEST(LoadPlanTest, RejectsUnknownKeysAndClasses)
    {
        EXPECT_EQ(planFromJson(planJson()).floods[0].classIndex, 1u);
        const std::pair<const char*, nlohmann::json> faults[]
            = { { "/durations", "1s" }, { "/classes/0/rat", 1 }, { "/classes/0/rate", -1 }, { "/floods/0/class", "c" },
                  { "/targets", nlohmann::json::array() }, { "/targets/0", 5 }, { "/workers", 0 } };
        for (const auto& [pointer, value] : faults) {
            auto document = planJson();
            document[nlohmann::json::json_pointer(pointer)] = value;
            EXPECT_THROW(planFromJson(document), Error) << pointer;
        }
    }

    TEST(LoadPlanTest, DrawsArrivalsAtTheRatesOfClassesAndFloods)
    {
        const LoadPlan plan = planFromJson(planJson());
        Random random(7);
        const auto arrivals = drawArrivals(plan, random);
        std::vector<double> counts(3);
        Duration previousOffset {};
        for (const Arrival& arrival : arrivals) {
            EXPECT_GE(arrival.offset, previousOffset);
            previousOffset = arrival.offset;
            const bool isInFlood = arrival.offset >= 40s && arrival.offset < 60s;
            ++counts[arrival.classIndex == 0 ? 0 : isInFlood ? 2 : 1];
        }
        // The tolerance is five standard deviations of a Poisson count.
        const double expected[] = { 5000, 800, 2000 };
        for (int i = 0; i < 3; ++i)
            EXPECT_NEAR(counts[i], expected[i], 5 * std::sqrt(expected[i])) << i;
        Random sameSeedRandom(7);
        EXPECT_EQ(drawArrivals(plan, sameSeedRandom), arrivals);
        LoadPlan largePlan = plan;
        largePlan.classes[0].ratePerSecond = 1e6;
        EXPECT_THROW(drawArrivals(largePlan, random), Error);
    }

    TEST(LoadReportTest, PercentilesAreNearestRank)
    {
        std::vector<uint32_t> values(1000);
        std::iota(values.begin(), values.end(), 1);
        EXPECT_EQ(percentile(values, 0.5), 500u);
        EXPECT_EQ(percentile(values, 0.99), 990u);
        EXPECT_EQ(percentile(values, 0.999), 999u);
        EXPECT_EQ(percentile({ 7 }, 0.999), 7u);
        EXPECT_EQ(percentile({}, 0.5), 0u);
    }

    TEST(LoadRunnerTest, CountsResponsesAndLedgerMatchesExecutions)
    {
        BackendStandin first({ .work = 1ms });
        BackendStandin second({ .work = 1ms });
        const LoadPlan plan { .classes
            = { { .name = "read", .ratePerSecond = 300, .deadline = 5s, .worth = 2, .responseBytes = 5000 },
                { .name = "pay", .method = "POST", .ratePerSecond = 100, .isIdempotent = false, .bodyBytes = 100 } },
            .targets = { first.address(), second.address() },
            .duration = 1s,
            .workers = 32 };
        const LoadResult result = runLoad(plan);
        const OutcomeCounts& reads = result.report.byClass[0];
        const OutcomeCounts& payments = result.report.byClass[1];
        EXPECT_GT(reads.sent(), 200u);
        EXPECT_EQ(reads.count(CallResult::Answered), reads.sent());
        EXPECT_EQ(reads.worthOnTime, 2.0 * static_cast<double>(reads.sent()));
        EXPECT_EQ(payments.count(CallResult::Answered), payments.sent());
        EXPECT_EQ(result.ledger.size(), payments.sent());
        EXPECT_GT(result.report.byTarget[1].sent(), 100u);

        const std::string path = testing::TempDir() + "ledger-" + std::to_string(getpid());
        writeLedger(result.ledger, path);
        const auto executions = readExecutions(
            { "http://" + first.address().toString(), "http://" + second.address().toString() + "/executions" });
        const LedgerFindings findings = checkLedger(readLedger(path), executions);
        std::filesystem::remove(path);
        EXPECT_TRUE(findings.hasNoFaults());
        EXPECT_EQ(findings.checkedCount, payments.sent());
    }

    // Guards against coordinated omission: a generator that waits for each response before it schedules the next
    // request would report only the service time of a stalled server.
    TEST(LoadRunnerTest, MeasuresLatencyFromTheIntendedSendTime)
    {
        BackendStandin backend({ .slots = 1, .queue = 50, .work = 50ms, .distribution = WorkDistribution::Fixed });
        const LoadPlan plan { .classes = { { .name = "a", .ratePerSecond = 60 } },
            .targets = { backend.address() },
            .duration = 500ms,
            .workers = 1 };
        const LoadResult result = runLoad(plan);
        auto latencies = result.report.byClass[0].latenciesUs;
        std::sort(latencies.begin(), latencies.end());
        ASSERT_GT(latencies.size(), 15u);
        EXPECT_GT(latencies.back(), 300'000u);
        EXPECT_GT(result.report.lateSends, 5u);
    }

    TEST(LoadRunnerTest, ClassifiesOutcomes)
    {
        const auto respond = [](const httplib::Request& request, httplib::Response& response) {
            const std::string id = request.get_header_value("Skylark-Request-Id");
            response.set_content(responseBody(id, 0), "text/plain");
            if (request.path == "/not-run" || request.path == "/unknown") {
                response.status = 503;
                response.set_header("Skylark-Outcome", request.path.substr(1));
            } else if (request.path == "/error") {
                response.status = 500;
            } else if (request.path == "/other") {
                response.set_content(responseBody(id + "0", 0), "text/plain");
            } else if (request.path == "/short") {
                response.body.clear();
                response.set_content_provider(
                    100, "text/plain", [](size_t, size_t, httplib::DataSink&) { return false; });
            } else if (request.path == "/slow") {
                std::this_thread::sleep_for(400ms);
            }
        };
        HttpService service({}, [&](httplib::Server& server) { server.Get(".*", respond); });
        const std::pair<const char*, CallResult> cases[]
            = { { "/", CallResult::Answered }, { "/not-run", CallResult::NotRun }, { "/unknown", CallResult::Unknown },
                  { "/error", CallResult::ServerError }, { "/other", CallResult::WrongAnswer },
                  { "/short", CallResult::Cut }, { "/slow", CallResult::TimedOut } };
        const auto expectResult = [](const std::string& path, const Endpoint& target, CallResult expected) {
            const LoadPlan plan { .classes
                = { { .name = "a", .path = path, .ratePerSecond = 50, .isIdempotent = false } },
                .targets = { target },
                .duration = 100ms,
                .timeout = 200ms };
            const LoadResult result = runLoad(plan);
            EXPECT_GT(result.report.byClass[0].sent(), 0u) << path;
            EXPECT_EQ(result.report.byClass[0].count(expected), result.report.byClass[0].sent()) << path;
            EXPECT_EQ(result.ledger[0].outcome,
                expected == CallResult::Answered     ? "answered"
                    : expected == CallResult::NotRun ? "not-run"
                                                     : "unknown");
        };
        for (const auto& [path, expected] : cases)
            expectResult(path, service.address(), expected);
        service.stop();
        expectResult("/", service.address(), CallResult::NotConnected);
    }

    TEST(LoadRunnerTest, FailsOverWhenATargetAcceptsNoConnection)
    {
        BackendStandin liveBackend({ .work = 0ms });
        auto closedService = std::make_unique<HttpService>(HttpServiceOptions {}, [](httplib::Server&) {});
        const Endpoint closedAddress = closedService->address();
        closedService = nullptr;
        const LoadPlan plan { .classes = { { .name = "a", .ratePerSecond = 200 } },
            .targets = { closedAddress, liveBackend.address() },
            .duration = 300ms,
            .workers = 4 };
        const LoadResult result = runLoad(plan);
        EXPECT_EQ(result.report.byTarget[1].count(CallResult::Answered), result.report.byClass[0].sent());
        // Two of the four workers start at the closed target, and each fails over once.
        EXPECT_EQ(result.report.failovers, 2u);
    }

    TEST(LedgerCheckTest, FindsEachKindOfViolation)
    {
        const auto entry = [](const char* id, const char* outcome) {
            return LedgerEntry { id, "k", outcome, "t", "c" };
        };
        const std::vector<LedgerEntry> ledger = { entry("good", "answered"), entry("double", "answered"),
            entry("lost", "answered"), entry("refused", "not-run"), entry("false", "not-run"), entry("ran", "unknown"),
            entry("idle", "unknown"), entry("chain", "answered") };
        ExecutionCounts executions;
        executions.addReport({ { "service", "s" }, { "totals", { { "overflow", 0 } } },
            { "requests", { { "good", 1 }, { "double", 1 }, { "false", 1 }, { "chain", 1 } } } });
        executions.addLog("s\tdouble\tk\ns\tran\tk\nother\tchain\tk\n");
        const LedgerFindings findings = checkLedger(ledger, executions);
        EXPECT_EQ(findings.duplicateExecutions, std::vector<std::string>({ "double" }));
        EXPECT_EQ(findings.executedNotRun, std::vector<std::string>({ "false" }));
        EXPECT_EQ(findings.lostResponses, std::vector<std::string>({ "lost" }));
        EXPECT_EQ(findings.unknownCount, 2u);
        EXPECT_EQ(findings.executedUnknownCount, 1u);
        EXPECT_FALSE(findings.hasNoFaults());
    }

    TEST(LedgerCheckTest, RejectsIncompleteReportsAndLogs)
    {
        ExecutionCounts executions;
        EXPECT_THROW(executions.addReport({ { "service", "s" }, { "requests", nlohmann::json::object() },
                         { "totals", { { "overflow", 1 } } } }),
            Error);
        EXPECT_THROW(executions.addReport(nlohmann::json::object()), Error);
        EXPECT_THROW(executions.addLog("s"), Error);
        EXPECT_THROW(readExecutions({ "http://127.0.0.1:1" }), Error);
    }

} // namespace
} // namespace skylark
