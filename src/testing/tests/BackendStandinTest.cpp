// Tests the stand-in backend server. Other tests rely on its execution log to verify at-most-once execution, so a fault
// in it could hide a violation.
#include "testing/BackendStandin.h"
#include "load/ResponseBody.h"

#include <filesystem>
#include <fstream>
#include <future>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace skylark {
namespace {

    using namespace std::chrono_literals;

    TimePoint now() { return std::chrono::steady_clock::now(); }

    int statusOf(const BackendStandin& backend, const httplib::Headers& headers)
    {
        httplib::Client client("127.0.0.1", backend.address().port);
        const auto result = client.Get("/work", headers);
        return result ? result->status : 0;
    }

    nlohmann::json loadOf(const BackendStandin& backend)
    {
        httplib::Client client("127.0.0.1", backend.address().port);
        return nlohmann::json::parse(client.Get("/load")->body);
    }

    bool becomesTrue(const std::function<bool()>& condition)
    {
        const TimePoint limit = now() + 3s;
        while (!condition() && now() < limit)
            std::this_thread::sleep_for(2ms);
        return condition();
    }

    TEST(BackendStandinTest, CountsEachExecutionByIdAndKey)
    {
        const std::string file = testing::TempDir() + "executions-" + std::to_string(getpid());
        std::filesystem::remove(file);
        BackendStandin backend({ .service = "pitch", .work = 0ms, .recordFile = file });
        httplib::Client client("127.0.0.1", backend.address().port);
        const httplib::Headers headers { { "Skylark-Request-Id", "r1" }, { "Idempotency-Key", "k1" },
            { "X-Answer-Bytes", "100" } };
        EXPECT_EQ(client.Post("/fees", headers, "body", "text/plain")->body, responseBody("r1", 100));
        EXPECT_EQ(client.Post("/fees", headers, "body", "text/plain")->status, 200);
        EXPECT_EQ(client.Get("/plain")->status, 200);
        const auto report = nlohmann::json::parse(client.Get("/executions")->body);
        EXPECT_EQ(report["requests"], nlohmann::json({ { "r1", 2 } }));
        EXPECT_EQ(report["keys"], nlohmann::json({ { "k1", 2 } }));
        EXPECT_EQ(report["totals"]["executions"], 3);
        std::ifstream lines(file);
        std::string line;
        EXPECT_TRUE(std::getline(lines, line));
        EXPECT_EQ(line, "pitch\tr1\tk1");
        std::filesystem::remove(file);
    }

    TEST(BackendStandinTest, ShedsRequestsBeyondTheSlotsAndTheQueueBeforeTheyRun)
    {
        BackendStandin backend({ .slots = 2, .queue = 1, .work = 300ms, .distribution = WorkDistribution::Fixed });
        std::vector<std::future<int>> calls;
        for (int i = 0; i < 5; ++i)
            calls.push_back(std::async(std::launch::async, [&, i] {
                return statusOf(backend, { { "Skylark-Request-Id", std::to_string(i) } });
            }));
        int answeredCount = 0;
        int shedCount = 0;
        for (auto& call : calls) {
            const int status = call.get();
            answeredCount += status == 200;
            shedCount += status == 503;
        }
        EXPECT_EQ(answeredCount, 3);
        EXPECT_EQ(shedCount, 2);
        EXPECT_EQ(backend.executions()["totals"]["executions"], 3);
        EXPECT_EQ(loadOf(backend)["inFlight"], 0);
    }

    TEST(BackendStandinTest, StopsAtTheDeadline)
    {
        BackendStandin backend({ .slots = 1, .work = 2s, .distribution = WorkDistribution::Fixed });
        const TimePoint start = now();
        auto runningCall = std::async(std::launch::async, [&] {
            return statusOf(backend, { { "Skylark-Deadline-Ms", "400" } });
        });
        ASSERT_TRUE(becomesTrue([&] { return loadOf(backend)["inFlight"] == 1; }));
        // The deadline passes while the request is queued, so it never runs.
        EXPECT_EQ(statusOf(backend, { { "Skylark-Deadline-Ms", "50" }, { "Skylark-Request-Id", "late" } }), 504);
        EXPECT_EQ(runningCall.get(), 504);
        EXPECT_LT(now() - start, 1500ms);
        EXPECT_FALSE(backend.executions()["requests"].contains("late"));
    }

    TEST(BackendStandinTest, StopsWorkWhenTheCallerDisconnects)
    {
        BackendStandin backend({ .slots = 1, .work = 20s, .distribution = WorkDistribution::Fixed });
        httplib::Client client("127.0.0.1", backend.address().port);
        client.set_read_timeout(20s);
        auto call = std::async(std::launch::async, [&] { return static_cast<bool>(client.Get("/work")); });
        ASSERT_TRUE(becomesTrue([&] { return loadOf(backend)["inFlight"] == 1; }));
        client.stop();
        EXPECT_FALSE(call.get());
        EXPECT_TRUE(becomesTrue([&] { return loadOf(backend)["inFlight"] == 0; }));
        EXPECT_EQ(loadOf(backend)["stopped"], 1);
    }

    TEST(BackendStandinTest, IsSlowerDuringTheWarmUp)
    {
        BackendStandin backend(
            { .work = 20ms, .distribution = WorkDistribution::Fixed, .coldFactor = 10, .warmup = 600ms });
        const auto durationOfCall = [&] {
            const TimePoint start = now();
            EXPECT_EQ(statusOf(backend, {}), 200);
            return now() - start;
        };
        EXPECT_GE(durationOfCall(), 100ms);
        std::this_thread::sleep_for(600ms);
        EXPECT_LT(durationOfCall(), 100ms);
    }

    TEST(BackendStandinTest, DrainFailsHealthAndRejectsWorkAfterTheGrace)
    {
        BackendStandin backend({ .work = 0ms });
        httplib::Client client("127.0.0.1", backend.address().port);
        EXPECT_EQ(client.Get("/health")->status, 200);
        EXPECT_EQ(client.Post("/admin/drain", R"({"graceMs":300})", "application/json")->status, 200);
        EXPECT_EQ(client.Get("/health")->status, 503);
        EXPECT_EQ(client.Get("/work")->status, 200);
        EXPECT_TRUE(becomesTrue([&] { return client.Get("/work")->status == 503; }));
    }

    TEST(BackendStandinTest, HealthAndLoadPagesLagAndReportOverrides)
    {
        BackendStandin backend({ .loadLag = 1s });
        httplib::Client client("127.0.0.1", backend.address().port);
        ASSERT_EQ(client.Get("/health")->status, 200);
        const TimePoint start = now();
        backend.drain(10s);
        EXPECT_EQ(client.Get("/health")->status, 200);
        EXPECT_TRUE(becomesTrue([&] { return client.Get("/health")->status == 503; }));
        EXPECT_GE(now() - start, 900ms);
        client.Post("/admin/mislead", R"({"isHealthy":true,"inFlight":99})", "application/json");
        EXPECT_EQ(client.Get("/health")->status, 200);
        EXPECT_EQ(loadOf(backend)["inFlight"], 99);
        client.Post("/admin/mislead", "{}", "application/json");
        EXPECT_EQ(client.Get("/health")->status, 503);
    }

    TEST(BackendStandinTest, CallsTheNextServiceWithThePropagatedHeaders)
    {
        BackendStandin last({ .work = 0ms });
        BackendStandin first({ .work = 0ms, .next = last.address().toString() + "/standings" });
        EXPECT_EQ(statusOf(first, { { "Skylark-Request-Id", "chain" } }), 200);
        EXPECT_EQ(last.executions()["requests"], nlohmann::json({ { "chain", 1 } }));
        last.drain(0ms);
        EXPECT_EQ(statusOf(first, { { "Skylark-Request-Id", "chain" } }), 502);
    }

} // namespace
} // namespace skylark
