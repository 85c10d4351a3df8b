// Tests a fleet of nodes when configuration versions change, instances stop and backend servers fail.
#include "node/tests/TestFleet.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <thread>

namespace skylark {
namespace {

    using namespace std::chrono_literals;

    TEST(FleetTest, AcceptedVersionIsAppliedOnAllNodesWithinThreeSecondsAndNeverReverts)
    {
        TestFleet fleet(4);
        fleet.publish(2, "1s");
        EXPECT_TRUE(fleet.waitForVersion(2, 3s));
        // A lower version number, as if published by mistake, must be ignored.
        fleet.publish(1, "3s");
        std::this_thread::sleep_for(1s);
        EXPECT_TRUE(fleet.waitForVersion(2, 0s));
        fleet.publish(3, "3s");
        EXPECT_TRUE(fleet.waitForVersion(3, 3s));
    }

    TEST(FleetTest, InvalidVersionIsReportedAndNotApplied)
    {
        TestFleet fleet(3);
        fleet.publishInvalid(2);
        const auto deadline = std::chrono::steady_clock::now() + 5s;
        while (fleet[0].node->status()["rejected"].empty() && std::chrono::steady_clock::now() < deadline)
            std::this_thread::sleep_for(20ms);
        const nlohmann::json status = fleet[0].node->status();
        ASSERT_FALSE(status["rejected"].empty());
        EXPECT_EQ(status["rejected"][0]["version"], 2);
        EXPECT_TRUE(fleet.waitForVersion(1, 0s));
        EXPECT_EQ(fleet.client(0).Get("/pitches")->status, 200);
        fleet.publish(3);
        EXPECT_TRUE(fleet.waitForVersion(3, 3s));
    }

    TEST(FleetTest, SourceOutageKeepsTheLastVersionApplied)
    {
        TestFleet fleet(3);
        fleet.platform().setFaults({ { "isDown", true } });
        std::this_thread::sleep_for(1500ms);
        EXPECT_EQ(fleet.client(0).Get("/pitches")->status, 200);
        fleet.platform().setFaults({ { "isDown", false } });
        fleet.publish(2);
        // The readers back off for at most 10 s while the source is down.
        EXPECT_TRUE(fleet.waitForVersion(2, 13s));
    }

    // Guards against a call that runs although its outcome is "not-run", or runs twice, after it was sent to an
    // instance whose backend server does not listen.
    TEST(FleetTest, CallsToAStoppedBackendServerAreNotRunOrUseAnotherInstance)
    {
        TestFleet fleet(2);
        fleet[1].backend->stop();
        httplib::Client client = fleet.client(0);
        for (int call = 0; call < 50; ++call) {
            const std::string id = "fee-" + std::to_string(call);
            const auto response = client.Post("/fees", { { "X-Test-Id", id } }, "pay", "text/plain");
            ASSERT_TRUE(response);
            const int executions = fleet[0].backend->executions(id);
            if (response->status == 200)
                EXPECT_EQ(executions, 1);
            else
                EXPECT_TRUE(response->get_header_value("Skylark-Outcome") == "not-run" && executions == 0)
                    << response->body;
        }
    }

    TEST(FleetTest, GracefulShutdownUnderLoadDropsNoRequest)
    {
        TestFleet fleet(3);
        std::atomic<bool> isDone { false };
        std::atomic<int> failedCalls { 0 };
        std::atomic<int> answeredCalls { 0 };
        std::vector<std::thread> callers;
        for (int caller = 0; caller < 6; ++caller) {
            callers.emplace_back([&, caller] {
                httplib::Client client = fleet.client(static_cast<size_t>(caller) % 2);
                for (int call = 0; !isDone.load(); ++call) {
                    const std::string id = std::to_string(caller) + "-" + std::to_string(call);
                    const auto response = client.Get("/pitches", { { "X-Test-Id", id }, { "X-Test-Delay-Ms", "5" } });
                    const bool isAnswered = response && response->status == 200 && response->body == "answer to " + id;
                    ++(isAnswered ? answeredCalls : failedCalls);
                }
            });
        }
        std::this_thread::sleep_for(500ms);
        const bool isClean = fleet[2].node->shutdown([] { return false; });
        const int executionsAtShutdown = fleet[2].backend->totalExecutions();
        std::this_thread::sleep_for(500ms);
        isDone = true;
        for (std::thread& caller : callers)
            caller.join();
        EXPECT_TRUE(isClean);
        EXPECT_EQ(failedCalls, 0);
        EXPECT_GT(answeredCalls, 100);
        EXPECT_EQ(fleet[2].backend->totalExecutions(), executionsAtShutdown);
    }

    // Guards against calls that arrive while a stopping node closes its last connections and get the outcome "unknown"
    // although they never ran.
    TEST(FleetTest, NoCallHasAnUnknownOutcomeWhileANodeStops)
    {
        TestFleet fleet(3);
        std::atomic<bool> isDone { false };
        std::atomic<int> unknownOutcomes { 0 };
        std::atomic<int> answeredCalls { 0 };
        std::vector<std::thread> callers;
        for (int caller = 0; caller < 12; ++caller) {
            callers.emplace_back([&, caller] {
                httplib::Client client = fleet.client(static_cast<size_t>(caller) % 2);
                for (int call = 0; !isDone.load(); ++call) {
                    // The key binds the request to its owner, even while the owner is stopping.
                    const std::string key = std::to_string(caller) + "-" + std::to_string(call);
                    const auto response = client.Post("/fees", { { "Idempotency-Key", key } }, "pay", "text/plain");
                    const bool isNotRun = response && response->get_header_value("Skylark-Outcome") == "not-run";
                    if (response && response->status == 200)
                        ++answeredCalls;
                    else if (!isNotRun)
                        ++unknownOutcomes;
                }
            });
        }
        std::this_thread::sleep_for(300ms);
        EXPECT_TRUE(fleet[2].node->shutdown([] { return false; }));
        isDone = true;
        for (std::thread& caller : callers)
            caller.join();
        EXPECT_EQ(unknownOutcomes, 0);
        EXPECT_GT(answeredCalls, 100);
    }

} // namespace
} // namespace skylark
