// Tests the client of the backend server against a server that sends any bytes.
#include "node/BackendClient.h"

#include "base/Socket.h"

#include <gtest/gtest.h>
#include <poll.h>
#include <sys/socket.h>
#include <thread>

namespace skylark {
namespace {

    using namespace std::chrono_literals;

    // Sends a text for each request, read up to its empty line, and then closes the connection or keeps it.
    class RawServer {
    public:
        explicit RawServer(std::vector<std::string> responses, bool closes)
            : m_listener(listenOn({ "127.0.0.1", 0 }))
            , m_responses(std::move(responses))
            , m_closes(closes)
            , m_thread([this] { run(); })
        {
        }
        ~RawServer()
        {
            m_isStopping = true;
            m_thread.join();
        }
        Endpoint address() const { return boundEndpoint(m_listener); }

    private:
        static bool await(int descriptor)
        {
            pollfd entry { .fd = descriptor, .events = POLLIN };
            return poll(&entry, 1, 5) > 0;
        }
        void run()
        {
            while (!m_isStopping) {
                if (!await(m_listener.value()))
                    continue;
                if (const FileDescriptor connection = acceptFrom(m_listener))
                    serve(connection);
            }
        }
        void serve(const FileDescriptor& connection)
        {
            std::string received;
            char buffer[4096];
            while (!m_isStopping) {
                if (!await(connection.value()))
                    continue;
                const ssize_t count = recv(connection.value(), buffer, sizeof(buffer), 0);
                if (count <= 0)
                    return;
                received.append(buffer, static_cast<size_t>(count));
                if (!received.ends_with("\r\n\r\n"))
                    continue;
                received.clear();
                const std::string& response = m_responses[std::min(m_count++, m_responses.size() - 1)];
                send(connection.value(), response.data(), response.size(), MSG_NOSIGNAL);
                if (m_closes)
                    return;
            }
        }

        const FileDescriptor m_listener;
        const std::vector<std::string> m_responses;
        const bool m_closes;
        size_t m_count { 0 };
        std::atomic<bool> m_isStopping { false };
        std::thread m_thread;
    };

    struct Exchange {
        BackendResult result;
        std::string body;
    };

    Exchange get(BackendClient& client)
    {
        Exchange exchange;
        exchange.result = client.exchange({ .method = "GET",
                                              .target = "/x",
                                              .headers = { { "Host", "x" } },
                                              .deadline = std::chrono::steady_clock::now() + 2s },
            { .onHead = [](int, const HeaderList&, std::optional<uint64_t>) { return true; },
                .onBody =
                    [&](const std::string& part) {
                        exchange.body += part;
                        return true;
                    } },
            std::make_shared<BackendCancellation>());
        return exchange;
    }

    const std::string withLength = "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n0123456789";
    const std::string inChunks
        = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\n0123\r\n6\r\n456789\r\n0\r\n\r\n";

    // Guards against a broken answer that reaches the caller as a whole one. cpp-httplib took chunks that end within a
    // line break for a whole body.
    TEST(BackendClientTest, AnswerCutAtAnyByteIsNotAnswered)
    {
        for (const std::string& whole : { withLength, inChunks }) {
            for (size_t cut = 0; cut < whole.size(); ++cut) {
                RawServer server({ whole.substr(0, cut) }, true);
                BackendClient client({ .backend = server.address() });
                const Exchange exchange = get(client);
                EXPECT_EQ(exchange.result.outcome, CallOutcome::Unknown) << cut << " bytes of " << whole;
            }
            RawServer server({ whole }, true);
            BackendClient client({ .backend = server.address() });
            const Exchange exchange = get(client);
            EXPECT_EQ(exchange.result.outcome, CallOutcome::Answered) << exchange.result.message;
            EXPECT_EQ(exchange.body, "0123456789");
        }
    }

    // Guards against a message that is no response and reaches the caller as one.
    TEST(BackendClientTest, InvalidResponseIsNotAnswered)
    {
        for (const char* head : { "HTTP/1.1 000 OK\r\nX: y\r\n", "HTTP/1.1 099 OK\r\nX: y\r\n",
                 "HTTP/1.1 101 OK\r\nX: y\r\n", "HTTP/1.1 600 OK\r\nX: y\r\n", "HTTP/1.1 200 OK\r\nX Y: z\r\n",
                 "HTTP/1.1 200 OK\r\nX\x01: y\r\n", "HTTP/1.1 200 OK\r\nX: \x01\r\n",
                 "HTTP/1.1 200 OK\r\nX: y\r\n Z: 1\r\n", "HTTP/1.1 200 OK\r\nX: y\r\n\tZ: 1\r\n" }) {
            RawServer server({ std::string(head) + "Content-Length: 2\r\n\r\nok" }, false);
            BackendClient client({ .backend = server.address() });
            const Exchange exchange = get(client);
            EXPECT_EQ(exchange.result.outcome, CallOutcome::Unknown) << head;
            EXPECT_FALSE(exchange.result.hasHead) << head;
            EXPECT_EQ(exchange.body, "") << head;
        }
    }

    // Guards against a second copy of an answer that is taken for the answer to the next request.
    TEST(BackendClientTest, BytesBehindAnAnswerReachNoLaterRequest)
    {
        const std::string other = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother";
        for (size_t kept = 1; kept <= withLength.size(); ++kept) {
            RawServer server({ withLength + withLength.substr(0, kept), other }, false);
            BackendClient client({ .backend = server.address() });
            EXPECT_EQ(get(client).body, "0123456789");
            const Exchange second = get(client);
            if (second.result.outcome == CallOutcome::Answered) {
                EXPECT_EQ(second.body, "other") << kept;
            }
        }
    }

    TEST(BackendClientTest, ServerThatCannotBeReachedHasNotRunTheRequest)
    {
        Endpoint closedPort;
        {
            const FileDescriptor listener = listenOn({ "127.0.0.1", 0 });
            closedPort = boundEndpoint(listener);
        }
        BackendClient client({ .backend = closedPort });
        EXPECT_EQ(get(client).result.outcome, CallOutcome::NotRun);
    }

    TEST(BackendClientTest, CancelledExchangeEndsSoon)
    {
        RawServer server({ "" }, false);
        BackendClient client({ .backend = server.address() });
        const auto cancellation = std::make_shared<BackendCancellation>();
        std::thread canceller([&] {
            std::this_thread::sleep_for(50ms);
            cancellation->cancel();
        });
        const auto startedAt = std::chrono::steady_clock::now();
        const BackendResult result = client.exchange(
            { .method = "GET", .target = "/x", .headers = { { "Host", "x" } }, .deadline = startedAt + 5s },
            { .onHead = [](int, const HeaderList&, std::optional<uint64_t>) { return true; },
                .onBody = [](const std::string&) { return true; } },
            cancellation);
        canceller.join();
        EXPECT_EQ(result.outcome, CallOutcome::Unknown);
        EXPECT_LT(std::chrono::steady_clock::now() - startedAt, 1s);
    }

} // namespace
} // namespace skylark
