// Tests what callers get if a backend server that ran a request answers with a status that, from a node, means that the
// request did not run.
#include "proxy/tests/ProxyFleet.h"

#include <absl/strings/match.h>
#include <absl/strings/str_format.h>
#include <atomic>
#include <gtest/gtest.h>
#include <httplib.h>

namespace skylark {
namespace {

    using namespace std::chrono_literals;
    using Ending = RawResponse::Ending;

    enum class Framing : uint8_t {
        Length,
        Chunks,
        UntilClose,
    };
    constexpr Framing allFramings[] = { Framing::Length, Framing::Chunks, Framing::UntilClose };

    // The statuses that, from a node, mean "not run", except 421: a server states with 421 that it did not run a
    // request.
    constexpr int ambiguousStatuses[] = { 408, 429, 503 };

    const std::string serverBody = "the database is gone";
    constexpr const char* serverRetryAfter = "7";

    HttpResponse makeResponse(const std::string& id, int status)
    {
        return { .status = status,
            .headers = { { HttpConventions().requestId, id }, { HttpConventions().proof, "proof-" + id },
                { "Retry-After", serverRetryAfter } },
            .body = serverBody };
    }

    RawResponse frame(HttpResponse response, Framing framing)
    {
        response.endsWithClose = framing == Framing::UntilClose;
        if (framing != Framing::Chunks)
            return { .bytes = serialize(response),
                .ending = framing == Framing::UntilClose ? Ending::Close : Ending::Open };
        std::string text = absl::StrFormat("HTTP/1.1 %d %s\r\n", response.status, reasonPhrase(response.status));
        for (const HttpHeader& header : response.headers)
            text += header.name + ": " + header.value + "\r\n";
        text += "Transfer-Encoding: chunked\r\n\r\n";
        text += absl::StrFormat("%x\r\n%s\r\n0\r\n\r\n", response.body.size(), response.body);
        return { .bytes = std::move(text) };
    }

    // Two nodes of which only the second one's server is used: the first one reaches it through its peer. The server
    // runs each request and answers with the status with which the request's id begins, in the framing `framing`.
    class AmbiguousRefusalTest : public testing::Test {
    protected:
        void SetUp() override
        {
            m_fleet.server(1).setResponseFilter([this](const std::string& id, const std::string&) {
                return frame(makeResponse(id, std::stoi(id)), m_framing);
            });
            ASSERT_TRUE(m_fleet.waitUntilReady());
            m_fleet.putServerEntry(0, true, 1);
            std::this_thread::sleep_for(300ms);
        }

        TestResponse send(size_t node, const std::string& id, const std::string& path)
        {
            return sendRequest(m_fleet.callerAddress(node), id, path, absl::StartsWith(path, "/pay") ? "fee" : "");
        }
        size_t runs(const std::string& id) { return m_fleet.server(1).executions().count(id); }

        std::atomic<Framing> m_framing { Framing::Length };
        ProxyFleet m_fleet { 2 };
    };

    // Guards against a caller that repeats a request which ran, because the node passed the status of its server on and
    // the caller took it for the node's own promise.
    TEST_F(AmbiguousRefusalTest, RefusalWithoutAStatementIsNoPromise)
    {
        int number = 0;
        for (const size_t node : { 0, 1 }) {
            for (const std::string path : { "/pay/x", "/read/x" }) {
                for (const Framing framing : allFramings) {
                    m_framing = framing;
                    for (const int status : ambiguousStatuses) {
                        const std::string id = std::to_string(status) + "-" + std::to_string(++number);
                        SCOPED_TRACE(id + " at node " + std::to_string(node) + ", " + path);
                        const TestResponse response = send(node, id, path);
                        EXPECT_EQ(response.status, 502);
                        EXPECT_EQ(response.proof, "");
                        EXPECT_EQ(response.retryAfter, "");
                        EXPECT_TRUE(absl::StrContains(response.body, std::to_string(status))) << response.body;
                        EXPECT_FALSE(absl::StrContains(response.body, serverBody));
                        EXPECT_EQ(runs(id), 1u);
                    }
                }
            }
        }
        EXPECT_EQ(stateValue(m_fleet.adminAddress(0), "ambiguous_refusals"), number / 2);
        EXPECT_EQ(stateValue(m_fleet.adminAddress(1), "ambiguous_refusals"), number / 2);
    }

    // Guards against the same promise in a response without a body.
    TEST_F(AmbiguousRefusalTest, RefusalOfAHeadRequestWithoutAStatementIsNoPromise)
    {
        for (const size_t node : { 0, 1 }) {
            const Endpoint address = m_fleet.callerAddress(node);
            httplib::Client client(address.host, address.port);
            const std::string id = "503-head-" + std::to_string(node);
            const auto response = client.Head("/read/x", { { HttpConventions().requestId, id } });
            ASSERT_TRUE(response);
            EXPECT_EQ(response->status, 502);
            EXPECT_FALSE(response->has_header(HttpConventions().proof));
            EXPECT_EQ(runs(id), 1u);
        }
    }

    // Guards against a failure of a server that is changed or replaced although it promises nothing.
    TEST_F(AmbiguousRefusalTest, OtherFailuresArriveUnchanged)
    {
        for (const size_t node : { 0, 1 }) {
            for (const Framing framing : allFramings) {
                m_framing = framing;
                for (const int status : { 301, 400, 401, 404, 409, 413, 425, 431, 451, 500, 501, 502, 504, 505, 599 }) {
                    const std::string id = std::to_string(status) + "-" + std::to_string(node) + "-"
                        + std::to_string(static_cast<int>(framing));
                    SCOPED_TRACE(id);
                    const TestResponse response = send(node, id, "/pay/x");
                    EXPECT_EQ(response.status, status);
                    EXPECT_EQ(response.proof, "proof-" + id);
                    EXPECT_EQ(response.retryAfter, serverRetryAfter);
                    EXPECT_EQ(response.body, serverBody);
                }
            }
        }
        EXPECT_EQ(stateValue(m_fleet.adminAddress(0), "ambiguous_refusals"), 0);
    }

    // Guards against a final response that speaks only of the last attempt: the first one ran and its response was
    // lost.
    TEST(AmbiguousRefusalOfARetryTest, RefusalAfterAnAttemptThatMayHaveRunIsNoPromise)
    {
        for (const bool isStated : { false, true }) {
            std::atomic<int> attempts { 0 };
            ProxyFleet fleet(2);
            for (const size_t index : { 0, 1 }) {
                fleet.server(index).setResponseFilter([&attempts, isStated](const std::string& id, const std::string&) {
                    if (attempts++ == 0)
                        return RawResponse { .ending = Ending::Close };
                    HttpResponse response = makeResponse(id, 503);
                    if (isStated)
                        response.headers.push_back({ HttpConventions().notExecuted, "1" });
                    return frame(response, Framing::Length);
                });
            }
            ASSERT_TRUE(fleet.waitUntilReady());
            EXPECT_EQ(sendRequest(fleet.callerAddress(0), "again", "/read/x").status, 502) << isStated;
            EXPECT_EQ(attempts, 2) << isStated;
        }
    }

    // Guards against a refusal that the server does state being taken for an ambiguous one: the request must run at
    // another server.
    TEST(AmbiguousRefusalOfARetryTest, StatedRefusalLeadsToAnotherServer)
    {
        for (const int status : { 421, 429, 503 }) {
            std::atomic<int> attempts { 0 };
            ProxyFleet fleet(2);
            for (const size_t index : { 0, 1 }) {
                fleet.server(index).setResponseFilter(
                    [&attempts, status](const std::string& id, const std::string& response) {
                        if (attempts++ > 0)
                            return RawResponse { .bytes = response };
                        HttpResponse refusal = makeResponse(id, status);
                        if (status != 421)
                            refusal.headers.push_back({ HttpConventions().notExecuted, "1" });
                        return frame(refusal, Framing::Length);
                    });
            }
            ASSERT_TRUE(fleet.waitUntilReady());
            EXPECT_EQ(sendRequest(fleet.callerAddress(0), "elsewhere", "/pay/x", "fee").status, 200) << status;
            EXPECT_EQ(attempts, 2) << status;
        }
    }

} // namespace
} // namespace skylark
