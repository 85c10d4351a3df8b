#include "proxy/HttpListener.h"

#include "base/Clock.h"

#include <arpa/inet.h>
#include <array>
#include <atomic>
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
        std::string receiveAll() const { return receiveUntil(std::string("\0 never", 7)); }

    private:
        int m_descriptor;
    };

    // Serves each request with its target as the body, or with largeBytes bytes for "/large".
    class HttpListenerTest : public testing::Test {
    protected:
        static constexpr size_t largeBytes = 8192 * kibibyte;

        void serve(HttpListenerOptions options)
        {
            options.address = { "127.0.0.1", 0 };
            options.memory = &m_budget;
            options.limits = { .headerBytes = 16 * kibibyte, .bodyBytes = 512 * kibibyte };
            m_listener = std::make_unique<HttpListener>(
                m_loop, options, [this](HttpRequest request, const std::shared_ptr<HttpConnection>& connection) {
                    ++m_requests;
                    connection->respond({ .status = 200,
                        .body = request.target == "/large" ? std::string(largeBytes, 'x') : request.target });
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
        const Client other(m_listener->port());
        other.send("GET /small HTTP/1.1\r\nHost: h\r\n\r\n");
        EXPECT_NE(std::string::npos, other.receiveUntil("/small").find("200"));
    }

} // namespace
} // namespace skylark
