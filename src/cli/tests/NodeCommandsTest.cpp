// Tests status, state and explain: an error on one node must set the exit code and must not hide the other nodes, and
// no response may send control characters to the terminal or block the tool.
#include "base/Error.h"
#include "cli/NodeClient.h"
#include "cli/tests/CliTestTools.h"

#include <httplib.h>
#include <mutex>
#include <thread>

namespace skylark {
namespace {

    using namespace std::chrono_literals;
    using testing::HasSubstr;
    using testing::Not;

    // Serves a node's admin pages with configurable responses.
    class FakeNode {
    public:
        FakeNode()
        {
            for (const char* path : { "/status", "/state", "/explain" })
                m_server.Get(path, [this](const httplib::Request& request, httplib::Response& response) {
                    const std::lock_guard lock(m_mutex);
                    m_query = request.params;
                    response.status = m_status;
                    response.set_content(m_response, "application/json");
                });
            m_server.Get("/slow", [](const httplib::Request&, httplib::Response& response) {
                response.set_chunked_content_provider("application/json", [](size_t, httplib::DataSink& sink) {
                    std::this_thread::sleep_for(20ms);
                    return sink.write(" ", 1);
                });
            });
            m_port = m_server.bind_to_any_port("127.0.0.1");
            m_thread = std::thread([this] { m_server.listen_after_bind(); });
            while (!m_server.is_running())
                std::this_thread::sleep_for(1ms);
        }
        ~FakeNode()
        {
            m_server.stop();
            m_thread.join();
        }

        void setResponse(std::string text, int status = 200)
        {
            const std::lock_guard lock(m_mutex);
            m_response = std::move(text);
            m_status = status;
        }
        httplib::Params query() const
        {
            const std::lock_guard lock(m_mutex);
            return m_query;
        }
        Endpoint endpoint() const { return { .host = "127.0.0.1", .port = static_cast<uint16_t>(m_port) }; }
        std::string address() const { return endpoint().toString(); }

    private:
        httplib::Server m_server;
        mutable std::mutex m_mutex;
        std::string m_response;
        int m_status { 200 };
        httplib::Params m_query;
        int m_port { 0 };
        std::thread m_thread;
    };

    std::string statusText(const std::string& rejectedVersions)
    {
        return R"({"instance": "a1", "version": 7, "manifestDigest": "d7", "nodes": [
{"instance": "a1", "zone": "z1", "version": 7, "digest": "d7", "ageMs": 0},
{"instance": "b2", "zone": "z2", "version": 7, "digest": "d7", "ageMs": 40},
{"instance": "c3", "zone": "z2", "version": 6, "digest": "d6", "ageMs": 900}], "rejected": [)"
            + rejectedVersions + "]}";
    }

    // The node is destroyed before the function returns, so nothing listens on its port.
    std::string unreachableAddress() { return FakeNode().address(); }

    TEST(NodeCommandsTest, StatusListsTheNodesAtAnotherVersion)
    {
        FakeNode node;
        node.setResponse(statusText(""));
        const CliRun run = runCli({ "status", node.address() });
        EXPECT_EQ(run.code, ExitCode::Success) << run.err;
        EXPECT_THAT(run.out, HasSubstr("instance a1 applies version 7 with manifest digest d7"));
        EXPECT_THAT(run.out, HasSubstr("2 nodes report version 7 with digest d7"));
        EXPECT_THAT(run.out, testing::ContainsRegex("c3 +z2 +6 +d6 +900"));
        EXPECT_THAT(run.out, Not(HasSubstr("b2")));
        EXPECT_THAT(runCli({ "status", "--all", node.address() }).out, HasSubstr("b2"));
        const auto json = runCli({ "status", "--json", node.address() }).json();
        EXPECT_EQ(json[0]["node"], node.address());
        EXPECT_EQ(json[0]["status"]["nodes"].size(), 3u);
    }

    TEST(NodeCommandsTest, StatusFindsARejectedVersionUnlessItIsSuperseded)
    {
        FakeNode node;
        node.setResponse(statusText(R"({"version": 8, "digest": "d8", "reason": "unknown rank"})"));
        const CliRun run = runCli({ "status", node.address() });
        EXPECT_EQ(run.code, ExitCode::Failure);
        EXPECT_THAT(run.out, HasSubstr("rejected version 8 with manifest digest d8: unknown rank"));
        node.setResponse(statusText(R"({"version": 6, "digest": "d5", "reason": "unknown rank"})"));
        EXPECT_EQ(runCli({ "status", node.address() }).code, ExitCode::Success);
    }

    TEST(NodeCommandsTest, AnUnreachableNodeDoesNotHideTheOthers)
    {
        FakeNode node;
        node.setResponse(statusText(""));
        const std::string unreachable = unreachableAddress();
        const CliRun run = runCli({ "status", unreachable, node.address() });
        EXPECT_EQ(run.code, ExitCode::Failure);
        EXPECT_THAT(run.out, HasSubstr("peer " + unreachable));
        EXPECT_THAT(run.out, HasSubstr("instance a1"));
        EXPECT_THAT(
            runCli({ "status", "--json", unreachable, node.address() }).json()[0]["error"], HasSubstr(unreachable));
        EXPECT_EQ(runCli({ "state", unreachable }).code, ExitCode::Failure);
    }

    TEST(NodeCommandsTest, RejectsInvalidResponses)
    {
        FakeNode node;
        const std::pair<const char*, int> responses[]
            = { { "{}", 404 }, { "{", 200 }, { "[]", 200 }, { "", 200 }, { "{\"version\": \"7\"}", 200 } };
        for (const auto& [text, status] : responses) {
            node.setResponse(text, status);
            EXPECT_EQ(runCli({ "status", node.address() }).code, ExitCode::Failure) << text;
        }
        node.setResponse(statusText(""), 500);
        EXPECT_EQ(runCli({ "status", node.address() }).code, ExitCode::Failure);
        node.setResponse(R"({"version": 1, "nodes": 5, "rejected": {"a": 1}})");
        EXPECT_EQ(runCli({ "status", node.address() }).code, ExitCode::Success);
    }

    TEST(NodeCommandsTest, ResponsesCannotControlTheTerminal)
    {
        FakeNode node;
        node.setResponse(R"({"instance": "a\u001b[2J", "version": 7, "nodes": [{"instance": "b\u0007"}],
"rejected": [{"version": 8, "reason": "\u001b]0;title"}]})");
        const std::string out = runCli({ "status", node.address() }).out;
        EXPECT_THAT(out, HasSubstr("a?[2J"));
        EXPECT_EQ(out.find_first_of("\x1b\x07"), std::string::npos);
    }

    TEST(NodeCommandsTest, StatePrintsTheWholeResponse)
    {
        FakeNode node;
        const std::string state = R"({"instance":"a1","queues":[1,2]})";
        node.setResponse(state);
        EXPECT_EQ(runCli({ "state", "--json", node.address() }).out, state + "\n");
        EXPECT_EQ(runCli({ "state", node.address() }).json(), nlohmann::json::parse(state));
    }

    TEST(NodeCommandsTest, ExplainSendsTheRequestUnchanged)
    {
        FakeNode node;
        node.setResponse(R"({"route": "pitch-lookup", "section": "registration", "service": "pitch", "rank": "urgent",
"deadline": "800ms", "instances": [{"instance": "a1", "zone": "z1", "condition": "live", "score": 0.25}],
"reason": "lowest score of two"})");
        const std::string path = "/pitches/a b&c=d?x=1+2%20";
        const CliRun run = runCli({ "explain", node.address(), "GET", path, "--host", "gessetto.example" });
        EXPECT_EQ(run.code, ExitCode::Success) << run.err;
        EXPECT_EQ(
            node.query(), (httplib::Params { { "method", "GET" }, { "path", path }, { "host", "gessetto.example" } }));
        EXPECT_THAT(run.out, testing::ContainsRegex("route: +pitch-lookup"));
        EXPECT_THAT(run.out, testing::ContainsRegex("a1 +z1 +live +0.25"));
        EXPECT_EQ(runCli({ "explain", "--json", node.address(), "GET", "/" }).json()["rank"], "urgent");
        node.setResponse(R"({"route": null, "instances": [], "reason": "no route matches"})");
        EXPECT_EQ(runCli({ "explain", node.address(), "GET", "/" }).code, ExitCode::Failure);
    }

    TEST(NodeClientTest, BoundsTheSizeAndTheTimeOfAResponse)
    {
        FakeNode node;
        node.setResponse("{\"text\": \"" + std::string(10'000, 'x') + "\"}");
        EXPECT_TRUE(readNodePage(node.endpoint(), "/state").is_object());
        EXPECT_THROW(readNodePage(node.endpoint(), "/state", {}, { .maxResponseBytes = 1000 }), Error);
        const auto start = std::chrono::steady_clock::now();
        EXPECT_THROW(readNodePage(node.endpoint(), "/slow", {}, { .responseTimeout = 200ms }), Error);
        EXPECT_LT(std::chrono::steady_clock::now() - start, 5s);
    }

} // namespace
} // namespace skylark
