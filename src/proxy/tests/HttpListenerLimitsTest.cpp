// Tests the limits of a listener towards callers over real connections.
#include "proxy/HttpListener.h"

#include "testing/RawConnection.h"

#include <gtest/gtest.h>
#include <thread>

namespace skylark {
namespace {

    using namespace std::chrono_literals;

    class HttpListenerLimitsTest : public testing::Test {
    protected:
        ~HttpListenerLimitsTest() override
        {
            loop.post([this] { loop.stop(); });
            thread.join();
        }
        void setLimits(HttpLimits limits)
        {
            loop.post([this, limits] { listener.setLimits(limits, 5s, 60s); });
        }
        // Returns the first line of the response.
        static std::string exchange(RawConnection& connection, const std::string& request)
        {
            EXPECT_TRUE(connection.write(request));
            const std::string response = connection.readToEnd(300ms);
            return response.substr(0, response.find('\r'));
        }
        static std::string post(size_t headerBytes, size_t bodyBytes)
        {
            return "POST / HTTP/1.1\r\nHost: x\r\nX-Fill: " + std::string(headerBytes, 'h')
                + "\r\nContent-Length: " + std::to_string(bodyBytes) + "\r\n\r\n" + std::string(bodyBytes, 'b');
        }

        SystemClock clock;
        EventLoop loop { clock };
        HttpListener listener { loop, { .address = { "127.0.0.1", 0 } },
            [](const HttpRequest&, const std::shared_ptr<HttpExchange>& exchange) {
                exchange->respond({ .status = 200 });
            } };
        std::thread thread { [this] { loop.run(); } };
    };

    // Guards against a connection that keeps the limits of the configuration under which it was opened.
    TEST_F(HttpListenerLimitsTest, ChangedLimitsApplyToOpenConnectionsFromTheNextRequest)
    {
        RawConnection forHeader(listener.port());
        RawConnection forBody(listener.port());
        RawConnection raised(listener.port());
        for (RawConnection* connection : { &forHeader, &forBody, &raised })
            EXPECT_EQ(exchange(*connection, post(2000, 3000)), "HTTP/1.1 200 OK");
        setLimits({ .headerBytes = 1000, .bodyBytes = 2000 });
        EXPECT_EQ(exchange(forHeader, post(2000, 10)).substr(0, 12), "HTTP/1.1 431");
        EXPECT_EQ(exchange(forBody, post(10, 3000)).substr(0, 12), "HTTP/1.1 413");
        EXPECT_EQ(exchange(raised, post(10, 1000)), "HTTP/1.1 200 OK");
        setLimits({ .headerBytes = 8000, .bodyBytes = 20000 });
        EXPECT_EQ(exchange(raised, post(4000, 10000)), "HTTP/1.1 200 OK");
    }

} // namespace
} // namespace skylark
