#include "proxy/HttpListener.h"

#include "base/Clock.h"

#include <arpa/inet.h>
#include <array>
#include <atomic>
#include <future>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace skylark {
namespace {

    using namespace std::chrono_literals;

    constexpr size_t kibibyte = 1024;

    class Client {
    public:
        explicit Client(uint16_t port, int receiveBuffer = 0)
            : m_descriptor(socket(AF_INET, SOCK_STREAM, 0))
        {
            if (receiveBuffer > 0)
                setsockopt(m_descriptor, SOL_SOCKET, SO_RCVBUF, &receiveBuffer, sizeof(receiveBuffer));
            const timeval timeout { .tv_sec = 10 };
            setsockopt(m_descriptor, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
            sockaddr_in address {};
            address.sin_family = AF_INET;
            address.sin_port = htons(port);
            address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
            EXPECT_EQ(0, connect(m_descriptor, reinterpret_cast<sockaddr*>(&address), sizeof(address)));
        }
        ~Client() { close(m_descriptor); }
        Client(const Client&) = delete;
        Client& operator=(const Client&) = delete;

        void send(const std::string& bytes) const
        {
            EXPECT_EQ(
                static_cast<ssize_t>(bytes.size()), ::send(m_descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL));
        }
        // Returns what arrives until the text occurs or the connection ends.
        std::string receiveUntil(const std::string& text) const
        {
            std::string received;
            std::array<char, 4096> buffer {};
            while (received.find(text) == std::string::npos) {
                const ssize_t count = recv(m_descriptor, buffer.data(), buffer.size(), 0);
                if (count <= 0)
                    break;
                received.append(buffer.data(), static_cast<size_t>(count));
            }
            return received;
        }
        // Returns what has arrived, without waiting.
        std::string receiveAvailable() const
        {
            std::string received;
            std::array<char, 4096> buffer {};
            ssize_t count = 0;
            while ((count = recv(m_descriptor, buffer.data(), buffer.size(), MSG_DONTWAIT)) > 0)
                received.append(buffer.data(), static_cast<size_t>(count));
            return received;
        }
        std::string receiveAll() const { return receiveUntil(std::string("\0 never", 7)); }

    private:
        int m_descriptor;
    };

    // Serves each request with its target as the body, or with largeBytes bytes for "/large".
    class HttpListenerTest : public testing::Test {
    protected:
        static constexpr size_t largeBytes = 8192 * kibibyte;
        static constexpr size_t mediumBytes = 300 * kibibyte;

        void serve(HttpListenerOptions options)
        {
            options.address = { "127.0.0.1", 0 };
            options.memory = &m_budget;
            options.limits = { .headerBytes = 16 * kibibyte, .bodyBytes = 512 * kibibyte };
            m_listener = std::make_unique<HttpListener>(
                m_loop, options, [this](HttpRequest request, const std::shared_ptr<HttpExchange>& connection) {
                    ++m_requests;
                    connection->respond({ .status = 200,
                        .body = request.target == "/large" ? std::string(largeBytes, 'x')
                            : request.target == "/medium"  ? std::string(mediumBytes, 'x') + "end"
                                                           : request.target });
                });
            m_thread = std::thread([this] { m_loop.run(); });
        }
        void TearDown() override
        {
            m_loop.post([this] {
                m_listener.reset();
                m_loop.stop();
            });
            m_thread.join();
            EXPECT_EQ(0u, m_loop.unexpectedErrors());
        }
        size_t connectionCount()
        {
            std::promise<size_t> count;
            m_loop.post([&] { count.set_value(m_listener->connectionCount()); });
            return count.get_future().get();
        }
        static std::string unfinished(size_t length, size_t sent)
        {
            return "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(length) + "\r\n\r\n"
                + std::string(sent, 'x');
        }

        const SystemClock m_clock;
        MemoryBudget m_budget { { .totalBytes = 600 * kibibyte, .reservedBytes = 100 * kibibyte } };
        EventLoop m_loop { m_clock };
        std::unique_ptr<HttpListener> m_listener;
        std::atomic<int> m_requests { 0 };
        std::thread m_thread;
    };

    // Guards against idle connections that keep the charge of a response that their callers have read: they filled the
    // account although nothing was in memory.
    TEST_F(HttpListenerTest, AnIdleConnectionKeepsNoChargeOfAReadResponse)
    {
        serve({});
        const Client client(m_listener->port());
        client.send("GET /medium HTTP/1.1\r\nHost: h\r\n\r\n");
        EXPECT_NE(std::string::npos, client.receiveUntil("end").find("200"));
        std::this_thread::sleep_for(100ms);
        EXPECT_EQ(1u, connectionCount());
        EXPECT_EQ(0u, m_budget.chargedBytes());
    }

    // Guards against bodies of legal size that together exceed the memory, and against a refusal of a request that was
    // passed on.
    TEST_F(HttpListenerTest, RefusesABodyThatDoesNotFit)
    {
        serve({ .minStall = 1min });
        const Client first(m_listener->port());
        first.send(unfinished(400 * kibibyte, 10));
        std::this_thread::sleep_for(100ms);
        const Client second(m_listener->port());
        second.send(unfinished(400 * kibibyte, 0));
        const std::string refusal = second.receiveAll();
        EXPECT_EQ(0u, refusal.find("HTTP/1.1 503")) << refusal;
        EXPECT_NE(std::string::npos, refusal.find("Retry-After: "));
        EXPECT_NE(std::string::npos, refusal.find("Connection: close"));
        EXPECT_EQ(0, m_requests);
        // Small requests use the reserved share.
        const Client third(m_listener->port());
        third.send("GET /small HTTP/1.1\r\nHost: h\r\n\r\n");
        EXPECT_NE(std::string::npos, third.receiveUntil("/small").find("200"));
        // The body in progress keeps its allocation.
        first.send(std::string(400 * kibibyte - 10, 'x'));
        EXPECT_NE(std::string::npos, first.receiveUntil("/a").find("200"));
    }

    // Guards against a charge that the end of its connection does not return.
    TEST_F(HttpListenerTest, AClosedConnectionReturnsItsCharge)
    {
        serve({ .minStall = 1min });
        for (int i = 0; i < 5; ++i) {
            {
                const Client client(m_listener->port());
                client.send(unfinished(400 * kibibyte, 10));
                std::this_thread::sleep_for(20ms);
            }
            std::this_thread::sleep_for(100ms);
        }
        const Client client(m_listener->port());
        client.send(unfinished(400 * kibibyte, 400 * kibibyte));
        EXPECT_NE(std::string::npos, client.receiveUntil("/a").find("200"));
    }

    // Guards against unfinished bodies that keep the memory from requests that advance.
    TEST_F(HttpListenerTest, ClosesTheStalledRequestForANewOne)
    {
        serve({ .minStall = 50ms });
        const Client stalled(m_listener->port());
        stalled.send(unfinished(400 * kibibyte, 10));
        std::this_thread::sleep_for(300ms);
        const Client client(m_listener->port());
        client.send(unfinished(400 * kibibyte, 400 * kibibyte));
        EXPECT_NE(std::string::npos, client.receiveUntil("/a").find("200"));
        EXPECT_EQ(0u, stalled.receiveAll().find("HTTP/1.1 408"));
    }

    // Guards against a body that is cut although it advances, and against one that stays for ever without progress.
    TEST_F(HttpListenerTest, TheTimeoutOfABodyStartsAgainWithEachPart)
    {
        serve({ .headerTimeout = 300ms, .idleTimeout = 300ms });
        const Client client(m_listener->port());
        client.send(unfinished(600, 100));
        for (int i = 0; i < 5; ++i) {
            std::this_thread::sleep_for(100ms);
            client.send(std::string(100, 'x'));
        }
        EXPECT_NE(std::string::npos, client.receiveUntil("/a").find("200"));
        client.send(unfinished(600, 100));
        EXPECT_EQ(0u, client.receiveAll().find("HTTP/1.1 408"));
    }

    // Guards against open connections that take the descriptors from new callers.
    TEST_F(HttpListenerTest, ANewConnectionReplacesTheLongestIdleOne)
    {
        serve({ .maxConnections = 2 });
        const Client oldest(m_listener->port());
        std::this_thread::sleep_for(20ms);
        const Client other(m_listener->port());
        std::this_thread::sleep_for(20ms);
        const Client newest(m_listener->port());
        EXPECT_EQ("", oldest.receiveAll());
        for (const Client* client : { &other, &newest }) {
            client->send("GET /still HTTP/1.1\r\nHost: h\r\n\r\n");
            EXPECT_NE(std::string::npos, client->receiveUntil("/still").find("200"));
        }
    }

    // Guards against unread responses that fill the memory: one that cannot be held ends its connection, so that it is
    // not taken for a complete one.
    TEST_F(HttpListenerTest, AResponseThatDoesNotFitResetsItsConnection)
    {
        serve({ .minStall = 50ms });
        const Client client(m_listener->port());
        client.send("GET /large HTTP/1.1\r\nHost: h\r\n\r\n");
        EXPECT_EQ("", client.receiveAll());
        EXPECT_EQ(0u, connectionCount());
        const Client other(m_listener->port());
        other.send("GET /small HTTP/1.1\r\nHost: h\r\n\r\n");
        EXPECT_NE(std::string::npos, other.receiveUntil("/small").find("200"));
    }

    // Holds each request until the test responds to it.
    class PipeliningTest : public testing::Test {
    protected:
        struct Started {
            std::string target;
            std::shared_ptr<HttpExchange> exchange;
        };

        void SetUp() override
        {
            m_listener = std::make_unique<HttpListener>(m_loop,
                HttpListenerOptions { .address = { "127.0.0.1", 0 },
                    .mayStartEarly = [](const HttpRequest& request) { return request.method == "GET"; } },
                [this](const HttpRequest& request, const std::shared_ptr<HttpExchange>& exchange) {
                    exchange->setDisconnectCallback([this, target = request.target] { m_cancelled.push_back(target); });
                    m_started.push_back({ .target = request.target, .exchange = exchange });
                });
        }
        void runFor(Duration time)
        {
            Timer timer(m_loop, [this] { m_loop.stop(); });
            timer.start(time);
            m_loop.run();
        }
        std::vector<std::string> startedTargets() const
        {
            std::vector<std::string> targets;
            for (const Started& started : m_started)
                targets.push_back(started.target);
            return targets;
        }
        void respond(size_t index)
        {
            m_started[index].exchange->respond({ .status = 200, .body = m_started[index].target });
        }
        // Returns the bodies of the responses that have arrived, in order.
        std::vector<std::string> receiveBodies(const Client& client)
        {
            m_received += client.receiveAvailable();
            std::vector<std::string> bodies;
            ResponseParser parser({});
            parser.append(m_received);
            while (const auto response = parser.next())
                bodies.push_back(response->body);
            return bodies;
        }
        static std::string request(const std::string& method, const std::string& target)
        {
            return method + " " + target + " HTTP/1.1\r\nHost: h\r\n"
                + (method == "POST" ? "Content-Length: 0\r\n" : "") + "\r\n";
        }

        const SystemClock m_clock;
        EventLoop m_loop { m_clock };
        std::vector<Started> m_started;
        std::vector<std::string> m_cancelled;
        std::string m_received;
        std::unique_ptr<HttpListener> m_listener;
    };

    // Guards against responses that are taken for those of other requests, and against an unbounded number of requests
    // that one connection starts.
    TEST_F(PipeliningTest, RequestsStartAtOnceAndAreAnsweredInOrder)
    {
        const Client client(m_listener->port());
        std::vector<std::string> targets;
        std::string bytes;
        for (int i = 0; i < 20; ++i) {
            targets.push_back("/" + std::to_string(i));
            bytes += request("GET", targets.back());
        }
        client.send(bytes);
        runFor(50ms);
        ASSERT_EQ(m_started.size(), 16u);
        for (size_t i = 15; i > 0; --i)
            respond(i);
        runFor(20ms);
        EXPECT_TRUE(receiveBodies(client).empty());
        respond(0);
        runFor(50ms);
        ASSERT_EQ(startedTargets(), targets);
        for (size_t i = 16; i < 20; ++i)
            respond(i);
        runFor(20ms);
        EXPECT_EQ(receiveBodies(client), targets);
    }

    // Guards against a request that runs twice, because the caller took it for not read and sent it again.
    TEST_F(PipeliningTest, NonIdempotentRequestStartsWhenTheEarlierOnesAreAnswered)
    {
        const Client client(m_listener->port());
        client.send(request("GET", "/1") + request("POST", "/2") + request("GET", "/3"));
        runFor(30ms);
        EXPECT_EQ(startedTargets(), std::vector<std::string> { "/1" });
        respond(0);
        runFor(30ms);
        EXPECT_EQ(startedTargets(), (std::vector<std::string> { "/1", "/2" }));
        respond(1);
        runFor(30ms);
        ASSERT_EQ(startedTargets(), (std::vector<std::string> { "/1", "/2", "/3" }));
        respond(2);
        runFor(30ms);
        EXPECT_EQ(receiveBodies(client), (std::vector<std::string> { "/1", "/2", "/3" }));
    }

    // Guards against calls that go on for requests that can no longer be answered, and against a held request that
    // starts after the connection has closed.
    TEST_F(PipeliningTest, RequestsBehindAResponseThatClosesAreEnded)
    {
        const Client client(m_listener->port());
        client.send(request("GET", "/1") + request("GET", "/2") + request("POST", "/3"));
        runFor(30ms);
        ASSERT_EQ(m_started.size(), 2u);
        m_started[0].exchange->respond({ .status = 200, .body = "first", .endsWithClose = true });
        runFor(30ms);
        EXPECT_EQ(m_cancelled, std::vector<std::string> { "/2" });
        respond(1);
        runFor(30ms);
        EXPECT_EQ(m_started.size(), 2u);
        const std::string received = client.receiveAvailable();
        EXPECT_EQ(received.substr(received.size() - 5), "first");
        EXPECT_EQ(m_listener->connectionCount(), 0u);
    }

    // Guards against a refusal that is taken for the response to an earlier request.
    TEST_F(PipeliningTest, RefusalFollowsTheEarlierResponses)
    {
        const Client client(m_listener->port());
        client.send(request("GET", "/1") + "not HTTP\r\n\r\n");
        runFor(30ms);
        EXPECT_EQ(client.receiveAvailable(), "");
        respond(0);
        runFor(30ms);
        const std::string received = client.receiveAvailable();
        EXPECT_LT(received.find("HTTP/1.1 200"), received.find("HTTP/1.1 400"));
        EXPECT_NE(received.find("HTTP/1.1 400"), std::string::npos);
    }

    // Guards against started requests that a stopping node leaves without a response.
    TEST_F(PipeliningTest, StoppingNodeAnswersWhatItHasStarted)
    {
        const Client client(m_listener->port());
        client.send(request("GET", "/1") + request("GET", "/2"));
        runFor(30ms);
        m_listener->beginDrain();
        respond(0);
        runFor(30ms);
        EXPECT_EQ(m_listener->connectionCount(), 1u);
        respond(1);
        runFor(30ms);
        EXPECT_EQ(receiveBodies(client), (std::vector<std::string> { "/1", "/2" }));
        EXPECT_EQ(m_listener->connectionCount(), 0u);
    }

} // namespace
} // namespace skylark
