// Guards the thread that reads the configuration source against hanging, and against responses that belong to an
// earlier request.
#include "http/BlockingHttpClient.h"

#include "base/Socket.h"
#include "testing/TcpRelay.h"

#include <gtest/gtest.h>
#include <httplib.h>
#include <sys/socket.h>
#include <thread>

namespace skylark {
namespace {

    using namespace std::chrono_literals;

    class BlockingHttpClientTest : public testing::Test {
    protected:
        BlockingHttpClientTest()
        {
            m_server.Get("/echo", [](const httplib::Request& request, httplib::Response& response) {
                response.set_content(request.get_param_value("text"), "text/plain");
            });
            m_server.Get("/large", [](const httplib::Request&, httplib::Response& response) {
                response.set_content(std::string(1'000'000, 'x'), "text/plain");
            });
            m_server.Get("/slow", [this](const httplib::Request&, httplib::Response& response) {
                ++m_slowRequestCount;
                std::this_thread::sleep_for(400ms);
                response.set_content("late", "text/plain");
            });
            m_server.Get("/trickle", [](const httplib::Request&, httplib::Response& response) {
                response.set_content_provider(30, "text/plain", [](size_t offset, size_t, httplib::DataSink& sink) {
                    if (offset > 0)
                        std::this_thread::sleep_for(150ms);
                    return sink.write("0123456789", 10);
                });
            });
            m_port = m_server.bind_to_any_port("127.0.0.1");
            m_thread = std::thread([this] { m_server.listen_after_bind(); });
            while (!m_server.is_running())
                std::this_thread::sleep_for(1ms);
        }
        ~BlockingHttpClientTest() override
        {
            m_server.stop();
            m_thread.join();
        }
        Endpoint address() const { return { "127.0.0.1", static_cast<uint16_t>(m_port) }; }

        std::atomic<int> m_slowRequestCount { 0 };

    private:
        httplib::Server m_server;
        int m_port { 0 };
        std::thread m_thread;
    };

    TEST_F(BlockingHttpClientTest, ReusesTheConnectionAndReconnectsWhenItIsClosed)
    {
        BlockingHttpClient client({ .server = address() });
        // The server closes a persistent connection after five requests.
        for (int i = 0; i < 12; ++i) {
            const auto response = client.get("/echo?text=" + std::to_string(i), 2s).response;
            EXPECT_EQ(response.status, 200);
            EXPECT_EQ(response.body, std::to_string(i));
        }
        EXPECT_EQ(client.get("/large", 2s).response.body.size(), 1'000'000u);
        EXPECT_EQ(client.get("/none", 2s).response.status, 404);
    }

    // Answers the requests on all connections with the given texts, one after the other, and keeps the connections
    // open.
    class ScriptedServer {
    public:
        explicit ScriptedServer(std::vector<std::string> answers)
            : m_listener(listenOn({ "127.0.0.1", 0 }))
            , m_thread([this, answers = std::move(answers)] { run(answers); })
        {
        }
        ~ScriptedServer()
        {
            m_isStopping = true;
            m_thread.join();
        }
        Endpoint address() const { return boundEndpoint(m_listener); }

    private:
        void run(const std::vector<std::string>& answers)
        {
            std::vector<FileDescriptor> connections;
            size_t answered = 0;
            while (!m_isStopping) {
                if (FileDescriptor connection = acceptFrom(m_listener))
                    connections.push_back(std::move(connection));
                for (const FileDescriptor& connection : connections) {
                    std::array<char, 4096> bytes;
                    if (answered < answers.size() && recv(connection.value(), bytes.data(), bytes.size(), 0) > 0) {
                        const std::string& answer = answers[answered++];
                        send(connection.value(), answer.data(), answer.size(), MSG_NOSIGNAL);
                    }
                }
                std::this_thread::sleep_for(1ms);
            }
        }

        const FileDescriptor m_listener;
        std::atomic<bool> m_isStopping { false };
        std::thread m_thread;
    };

    // Guards against bytes behind a response that are taken for the response to the next request.
    TEST_F(BlockingHttpClientTest, BytesBehindAResponseReachNoLaterRequest)
    {
        const std::string first = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst";
        for (const std::string& extra : { first, std::string("H"), std::string("HTTP/1.1 100 Continue\r\n\r\n") }) {
            ScriptedServer server({ first + extra, "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nsecond" });
            BlockingHttpClient client({ .server = server.address() });
            EXPECT_EQ(client.get("/first", 2s).response.body, "first");
            EXPECT_EQ(client.get("/second", 2s).response.body, "second") << extra;
        }
    }

    // Guards against a store's response that is none.
    TEST_F(BlockingHttpClientTest, InvalidResponseIsAnError)
    {
        for (const std::string& answer : { std::string("HTTP/1.1 000 OK\r\nContent-Length: 0\r\n\r\n"),
                 std::string("HTTP/1.1 200 OK\r\nX: y\r\n Content-Length: 2\r\n\r\nok"),
                 std::string("HTTP/1.1 200 OK\r\nContent Length: 2\r\n\r\nok") }) {
            ScriptedServer server({ answer });
            BlockingHttpClient client({ .server = server.address() });
            EXPECT_THROW(client.get("/", 300ms), Error) << answer;
        }
    }

    TEST_F(BlockingHttpClientTest, LateResponseIsAnErrorAndIsNotReturnedToALaterRequest)
    {
        BlockingHttpClient client({ .server = address() });
        const auto start = std::chrono::steady_clock::now();
        EXPECT_THROW(client.get("/slow", 100ms), Error);
        EXPECT_LT(std::chrono::steady_clock::now() - start, 300ms);
        std::this_thread::sleep_for(500ms);
        EXPECT_EQ(client.get("/echo?text=own", 2s).response.body, "own");
    }

    // Guards against a client on a slow link that times out on every large response and never completes one.
    TEST_F(BlockingHttpClientTest, ResponseThatMakesProgressMayTakeLongerThanTheTimeout)
    {
        BlockingHttpClient client({ .server = address(), .progressTimeout = 1s });
        const auto received = client.get("/trickle", 200ms);
        EXPECT_EQ(received.response.body, "012345678901234567890123456789");
        EXPECT_GE(received.transferTime, 250ms);
        EXPECT_LT(client.get("/echo?text=x", 2s).transferTime, 100ms);
    }

    TEST_F(BlockingHttpClientTest, ResponseThatStallsIsAnError)
    {
        BlockingHttpClient client({ .server = address(), .progressTimeout = 50ms });
        EXPECT_THROW(client.get("/trickle", 2s), Error);
    }

    TEST_F(BlockingHttpClientTest, InterruptEndsTheCurrentAndLaterRequests)
    {
        BlockingHttpClient client({ .server = address() });
        std::thread interrupter([&client] {
            std::this_thread::sleep_for(50ms);
            client.interrupt();
        });
        const auto start = std::chrono::steady_clock::now();
        EXPECT_THROW(client.get("/slow", 2s), Error);
        EXPECT_LT(std::chrono::steady_clock::now() - start, 300ms);
        EXPECT_THROW(client.get("/echo?text=x", 2s), Error);
        interrupter.join();
    }

    // Guards against a configuration that is in force late: a watch on a connection that had gone silent failed only
    // after its whole timeout.
    TEST_F(BlockingHttpClientTest, RequestOnASilentConnectionIsSentAgainOverANewOne)
    {
        TcpRelay relay({ "127.0.0.1", 0 }, address());
        BlockingHttpClient client({ .server = relay.address() });
        EXPECT_EQ(client.get("/echo?text=1", 2s).response.body, "1");
        relay.silenceConnections();
        const auto start = std::chrono::steady_clock::now();
        EXPECT_EQ(client.get("/echo?text=2", 2s).response.body, "2");
        EXPECT_LT(std::chrono::steady_clock::now() - start, 1s);
        EXPECT_EQ(relay.acceptedCount(), 2u);
    }

    TEST_F(BlockingHttpClientTest, HeldRequestOnASilentConnectionIsSentAgainAfterTheHoldTime)
    {
        TcpRelay relay({ "127.0.0.1", 0 }, address());
        BlockingHttpClient client({ .server = relay.address(), .keptConnectionTimeout = 100ms });
        EXPECT_EQ(client.get("/echo?text=1", 2s).response.body, "1");
        EXPECT_EQ(client.get("/slow", 2s, 400ms).response.body, "late");
        EXPECT_EQ(relay.acceptedCount(), 1u);
        relay.silenceConnections();
        EXPECT_EQ(client.get("/slow", 2s, 400ms).response.body, "late");
        EXPECT_EQ(relay.acceptedCount(), 2u);
    }

    TEST_F(BlockingHttpClientTest, ConnectionThatWasIdleForLongIsNotUsedAgain)
    {
        TcpRelay relay({ "127.0.0.1", 0 }, address());
        BlockingHttpClient client({ .server = relay.address(), .keptConnectionTimeout = 2s, .maxIdleTime = 100ms });
        EXPECT_EQ(client.get("/echo?text=1", 2s).response.body, "1");
        relay.silenceConnections();
        std::this_thread::sleep_for(150ms);
        const auto start = std::chrono::steady_clock::now();
        EXPECT_EQ(client.get("/echo?text=2", 2s).response.body, "2");
        EXPECT_LT(std::chrono::steady_clock::now() - start, 1s);
    }

    // Guards against doubling the load of a server that is slow already.
    TEST_F(BlockingHttpClientTest, ServerThatBecomesSlowGetsOnlyOneRequestTwice)
    {
        BlockingHttpClient client({ .server = address(), .keptConnectionTimeout = 100ms });
        EXPECT_EQ(client.get("/echo?text=1", 2s).response.body, "1");
        for (int i = 0; i < 3; ++i)
            EXPECT_EQ(client.get("/slow", 2s).response.body, "late");
        EXPECT_EQ(m_slowRequestCount, 4);
    }

    TEST_F(BlockingHttpClientTest, RequestThatFailsOnANewConnectionIsNotSentAgain)
    {
        BlockingHttpClient client({ .server = address(), .keptConnectionTimeout = 50ms });
        EXPECT_EQ(client.get("/echo?text=1", 2s).response.body, "1");
        EXPECT_THROW(client.get("/slow", 200ms), Error);
        std::this_thread::sleep_for(500ms);
        EXPECT_EQ(m_slowRequestCount, 2);
    }

    TEST(BlockingHttpClientFaultTest, RefusedConnectionNamesTheServer)
    {
        BlockingHttpClient client({ .server = { "127.0.0.1", 1 } });
        try {
            client.get("/", 1s);
            FAIL() << "no error";
        } catch (const Error& error) {
            EXPECT_EQ(error.peer(), "127.0.0.1:1");
        }
    }

} // namespace
} // namespace skylark
