// Tests the guarantees of the request path to callers, on complete nodes over loopback.
#include "node/tests/TestFleet.h"
#include "testing/RawConnection.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <thread>

namespace skylark {
namespace {

    using namespace std::chrono_literals;

    class RequestPathTest : public testing::Test {
    protected:
        static void SetUpTestSuite() { s_fleet = std::make_unique<TestFleet>(3); }
        static void TearDownTestSuite() { s_fleet.reset(); }

        static int executions(const std::string& id)
        {
            int count = 0;
            for (size_t index = 0; index < s_fleet->size(); ++index)
                count += (*s_fleet)[index].backend->executions(id);
            return count;
        }
        static int totalExecutions()
        {
            int count = 0;
            for (size_t index = 0; index < s_fleet->size(); ++index)
                count += (*s_fleet)[index].backend->totalExecutions();
            return count;
        }
        static RawConnection connect() { return RawConnection((*s_fleet)[0].node->callerPort()); }

        static inline std::unique_ptr<TestFleet> s_fleet;
    };

    TEST_F(RequestPathTest, EachCallerGetsItsOwnResponse)
    {
        std::vector<std::thread> callers;
        std::atomic<int> wrongResponses { 0 };
        for (int caller = 0; caller < 8; ++caller) {
            callers.emplace_back([&, caller] {
                httplib::Client client = s_fleet->client(static_cast<size_t>(caller) % s_fleet->size());
                for (int call = 0; call < 100; ++call) {
                    const std::string id = "own-" + std::to_string(caller) + "-" + std::to_string(call);
                    const auto response = client.Get("/pitches/1", { { "X-Test-Id", id } });
                    if (!response || response->status != 200 || response->body != "answer to " + id)
                        ++wrongResponses;
                }
            });
        }
        for (std::thread& caller : callers)
            caller.join();
        EXPECT_EQ(wrongResponses, 0);
    }

    // Guards against truncated or changed bodies, in particular at 64 KiB and 256 KiB, where buffering ends and
    // streaming begins.
    TEST_F(RequestPathTest, BodiesOfAnySizeAreForwardedUnchanged)
    {
        std::string body(5'000'000, '\0');
        for (size_t index = 0; index < body.size(); ++index)
            body[index] = static_cast<char>((index * 2654435761u) >> 24);
        httplib::Client client = s_fleet->client(0);
        for (const size_t size :
            { size_t { 0 }, size_t { 1 }, size_t { 65'536 }, size_t { 262'144 }, size_t { 262'145 }, body.size() }) {
            const auto response = client.Post("/echo", body.substr(0, size), "application/octet-stream");
            ASSERT_TRUE(response) << size;
            EXPECT_EQ(response->status, 200) << size;
            EXPECT_TRUE(response->body == body.substr(0, size)) << size;
        }
    }

    TEST_F(RequestPathTest, MultipartBodyIsForwardedUnparsed)
    {
        const std::string body = "--edge\r\nContent-Disposition: form-data; name=\"a\"\r\n\r\n1\r\n--edge--\r\n";
        const auto response = s_fleet->client(0).Post("/echo", body, "multipart/form-data; boundary=edge");
        ASSERT_TRUE(response);
        EXPECT_EQ(response->status, 200);
    }

    // A body that is shorter than its Content-Length must not look like a complete response.
    TEST_F(RequestPathTest, TruncatedResponseIsAnError)
    {
        const auto response = s_fleet->client(0).Get("/cut");
        EXPECT_TRUE(!response || response->status == 504);
    }

    // Guards against a caller getting half of the response to an idempotent request because the instance stopped while
    // responding, as seen with make demo.
    TEST_F(RequestPathTest, IdempotentRequestIsRetriedAfterATruncatedResponse)
    {
        const auto response = s_fleet->client(0).Get("/export");
        ASSERT_TRUE(response);
        EXPECT_EQ(response->status, 200);
        EXPECT_EQ(response->body, std::string(200'000, 'x'));
    }

    TEST_F(RequestPathTest, ConcurrentRequestsWithOneIdempotencyKeyRunOnce)
    {
        std::vector<std::thread> callers;
        std::atomic<int> answeredCalls { 0 };
        for (int caller = 0; caller < 6; ++caller) {
            callers.emplace_back([&, caller] {
                const auto response = s_fleet->client(static_cast<size_t>(caller) % s_fleet->size())
                                          .Post("/fees", { { "X-Test-Id", "fee-1" }, { "Idempotency-Key", "key-1" } },
                                              "pay", "text/plain");
                if (response && response->status == 200)
                    ++answeredCalls;
                else
                    EXPECT_TRUE(response && response->status == 409);
            });
        }
        for (std::thread& caller : callers)
            caller.join();
        EXPECT_EQ(answeredCalls, 1);
        EXPECT_EQ(executions("fee-1"), 1);
    }

    TEST_F(RequestPathTest, CallThatExceedsItsDeadlineRunsOnceWithUnknownOutcome)
    {
        const auto response
            = s_fleet->client(0).Get("/slow", { { "X-Test-Id", "slow-1" }, { "X-Test-Delay-Ms", "900" } });
        ASSERT_TRUE(response);
        EXPECT_EQ(response->status, 504);
        EXPECT_EQ(response->get_header_value("Skylark-Outcome"), "unknown");
        EXPECT_EQ(executions("slow-1"), 1);
    }

    // Guards against a caller that repeats a request which ran: its server had passed the refusal of a nested call on,
    // headers included, and the node took over the outcome that the refusal named.
    TEST_F(RequestPathTest, ServerCannotStateTheOutcomeOfItsRequest)
    {
        // Different first nodes and several requests, so that both the node's own server and that of a peer answer.
        for (size_t index = 0; index < 12; ++index) {
            const std::string id = "relayed-" + std::to_string(index);
            const auto response = s_fleet->client(index % s_fleet->size())
                                      .Post("/fees/relayed-refusal", { { "X-Test-Id", id } }, "fee", "text/plain");
            ASSERT_TRUE(response);
            EXPECT_EQ(response->status, 503);
            EXPECT_FALSE(response->has_header("Skylark-Outcome"));
            EXPECT_EQ(executions(id), 1);
        }
    }

    TEST_F(RequestPathTest, ExpiredDeadlineIsRefusedAsNotRun)
    {
        const auto response
            = s_fleet->client(0).Get("/pitches", { { "X-Test-Id", "late-1" }, { "Skylark-Deadline-Ms", "0" } });
        ASSERT_TRUE(response);
        EXPECT_EQ(response->get_header_value("Skylark-Outcome"), "not-run");
        EXPECT_EQ(executions("late-1"), 0);
    }

    TEST_F(RequestPathTest, CallChainLongerThanNineIsRefused)
    {
        const auto response = s_fleet->client(0).Get("/pitches", { { "Skylark-Depth", "9" } });
        ASSERT_TRUE(response);
        EXPECT_EQ(response->status, 508);
    }

    TEST_F(RequestPathTest, UnknownRouteIsNotFound)
    {
        const auto response = s_fleet->client(0).Get("/nowhere");
        ASSERT_TRUE(response);
        EXPECT_EQ(response->status, 404);
    }

    // Guards against request smuggling: if two parties parse the length differently, one takes the body for a request.
    TEST_F(RequestPathTest, RequestsOfAmbiguousLengthAreRefused)
    {
        const int executionsBefore = totalExecutions();
        for (const char* lengths :
            { "Content-Length: 4\r\nContent-Length: 40\r\n", "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n",
                "Transfer-Encoding: gzip\r\n", "Content-Length: 4x\r\n" }) {
            RawConnection connection = connect();
            connection.write("POST /echo HTTP/1.1\r\nHost: a\r\n" + std::string(lengths)
                + "\r\nbodyGET /pitches HTTP/1.1\r\nHost: a\r\n\r\n");
            const std::string response = connection.readToEnd(3s);
            EXPECT_TRUE(response.starts_with("HTTP/1.1 400")) << lengths << response;
            EXPECT_EQ(response.find("HTTP/1.1", 1), std::string::npos) << lengths;
        }
        EXPECT_EQ(totalExecutions(), executionsBefore);
    }

    TEST_F(RequestPathTest, BodyOfAGetIsNotParsedAsARequest)
    {
        const int executionsBefore = totalExecutions();
        RawConnection connection = connect();
        const std::string innerRequest = "GET /pitches HTTP/1.1\r\nHost: a\r\n\r\n";
        connection.write("GET /pitches HTTP/1.1\r\nHost: a\r\nContent-Length: " + std::to_string(innerRequest.size())
            + "\r\n\r\n" + innerRequest);
        EXPECT_TRUE(connection.readToEnd(3s).starts_with("HTTP/1.1 400"));
        EXPECT_EQ(totalExecutions(), executionsBefore);
    }

    TEST_F(RequestPathTest, EndlessRequestHeadIsRejected)
    {
        RawConnection connection = connect();
        connection.write("GET /pitches HTTP/1.1\r\n");
        bool isClosed = false;
        const std::string header = "X-Filler: " + std::string(1000, 'x') + "\r\n";
        for (int count = 0; count < 2000 && !isClosed; ++count)
            isClosed = !connection.write(header);
        EXPECT_TRUE(isClosed || connection.readToEnd(3s).find("200 OK") == std::string::npos);
        EXPECT_TRUE(s_fleet->client(0).Get("/pitches"));
    }

    TEST_F(RequestPathTest, SlowRequestBodyTimesOutAtTheDeadline)
    {
        RawConnection connection = connect();
        connection.write("POST /slow HTTP/1.1\r\nHost: a\r\nContent-Length: 1000\r\n\r\n");
        for (int count = 0; count < 12; ++count) {
            connection.write("x");
            std::this_thread::sleep_for(50ms);
        }
        EXPECT_TRUE(connection.readToEnd(3s).starts_with("HTTP/1.1 408"));
    }

    // Guards against the default backlog of cpp-httplib (5), which drops connections of a burst; their clients then
    // wait a second before they retry.
    TEST_F(RequestPathTest, BurstOfConnectionsIsAcceptedImmediately)
    {
        const auto start = std::chrono::steady_clock::now();
        std::vector<RawConnection> connections;
        for (int count = 0; count < 100; ++count)
            connections.push_back(connect());
        EXPECT_LT(std::chrono::steady_clock::now() - start, 1s);
    }

    TEST_F(RequestPathTest, AdminPagesRespond)
    {
        const Endpoint admin = (*s_fleet)[0].node->adminAddress();
        httplib::Client client(admin.host, admin.port);
        for (const char* path :
            { "/state", "/status", "/explain?method=GET&path=/pitches/1", "/metrics", "/healthz" }) {
            const auto response = client.Get(path);
            ASSERT_TRUE(response) << path;
            EXPECT_EQ(response->status, 200) << path;
        }
        const auto explanation = nlohmann::json::parse(client.Get("/explain?method=GET&path=/pitches/1")->body);
        EXPECT_EQ(explanation["route"], "lookup");
        EXPECT_EQ(explanation["instances"].size(), 3u);
    }

} // namespace
} // namespace skylark
