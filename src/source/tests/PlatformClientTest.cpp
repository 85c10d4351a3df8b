// Tests the client against a platform that is slow, rate-limited, broken or sends oversized responses.
#include "source/PlatformClient.h"
#include "testing/PlatformStandin.h"

#include <future>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <nlohmann/json.hpp>
#include <sys/socket.h>

namespace skylark {
namespace {

    using namespace std::chrono_literals;

    TimePoint now() { return std::chrono::steady_clock::now(); }

    template <typename Call> PlatformFailure failureOf(Call call)
    {
        try {
            call();
        } catch (const PlatformError& error) {
            EXPECT_FALSE(error.step().empty());
            EXPECT_FALSE(error.peer().empty());
            return error.kind();
        }
        ADD_FAILURE() << "the call did not fail";
        return PlatformFailure::BadAnswer;
    }

    // Spins, since sleeping is too coarse to hit each moment of a call's start.
    void spinFor(Duration duration)
    {
        for (const TimePoint end = now() + duration; now() < end;) { }
    }

    // A platform whose response to each read or watch is given by the test.
    HttpService platformWithHandler(const httplib::Server::Handler& handler)
    {
        return HttpService({ .threads = 4 }, [&](httplib::Server& server) { server.Get("/v1/.*", handler); });
    }

    TEST(PlatformClientTest, ReadsAValueWithItsRevisionsAndReportsAnAbsentKey)
    {
        PlatformStandin platform({ .threads = 8 });
        PlatformClient client({ .platform = platform.address() });
        platform.publish("skylarkbay/manifest", "first");
        platform.publish("skylarkbay/sections/a/1", "");
        const ReadResult manifest = client.read("skylarkbay/manifest");
        EXPECT_EQ(manifest.value, "first");
        EXPECT_EQ(manifest.keyRevision, Revision(1));
        EXPECT_EQ(manifest.storeRevision, Revision(2));
        EXPECT_EQ(client.read("skylarkbay/sections/a/1").value, "");
        const ReadResult absent = client.read("skylarkbay/none");
        EXPECT_FALSE(absent.value);
        EXPECT_EQ(absent.storeRevision, Revision(2));
    }

    // The open sockets of this process that are connected to the endpoint.
    std::vector<int> socketsConnectedTo(const Endpoint& endpoint)
    {
        constexpr int maxDescriptor = 1024;
        std::vector<int> sockets;
        for (int descriptor = 0; descriptor < maxDescriptor; ++descriptor) {
            sockaddr_in peer {};
            socklen_t size = sizeof(peer);
            if (getpeername(descriptor, reinterpret_cast<sockaddr*>(&peer), &size) == 0 && peer.sin_family == AF_INET
                && ntohs(peer.sin_port) == endpoint.port)
                sockets.push_back(descriptor);
        }
        return sockets;
    }

    int tcpOption(int socket, int level, int option)
    {
        int value = 0;
        socklen_t size = sizeof(value);
        EXPECT_EQ(getsockopt(socket, level, option, &value, &size), 0);
        return value;
    }

    // Guards against a reader that waits for the end of a watch of 10 s on a connection that has gone silent, while
    // versions are due everywhere within 3 s.
    TEST(PlatformClientTest, KernelEndsASilentConnectionWithinTwoSeconds)
    {
        PlatformStandin platform({ .threads = 8 });
        PlatformClient client({ .platform = platform.address() });
        client.watch("skylarkbay/", Revision(), 0ms);
        client.read("skylarkbay/manifest");
        const std::vector<int> sockets = socketsConnectedTo(platform.address());
        ASSERT_EQ(sockets.size(), 2u);
        for (const int socket : sockets) {
            EXPECT_EQ(tcpOption(socket, SOL_SOCKET, SO_KEEPALIVE), 1);
            EXPECT_EQ(tcpOption(socket, IPPROTO_TCP, TCP_KEEPIDLE), 1);
            EXPECT_EQ(tcpOption(socket, IPPROTO_TCP, TCP_KEEPINTVL), 1);
            EXPECT_EQ(tcpOption(socket, IPPROTO_TCP, TCP_USER_TIMEOUT), 2000);
        }
    }

    TEST(PlatformClientTest, WatchListsKeysThenWaitsForAChange)
    {
        PlatformStandin platform({ .threads = 8 });
        PlatformClient client({ .platform = platform.address() });
        platform.publish("p/one", "1");
        platform.publish("q/other", "1");
        const WatchResult listing = client.watch("p/", Revision(0), 5s);
        EXPECT_EQ(listing.changed, std::vector<ChangedKey>({ { "p/one", Revision(1) } }));
        auto pendingWatch
            = std::async(std::launch::async, [&] { return client.watch("p/", listing.storeRevision, 5s); });
        // A change under another prefix must not end the watch.
        platform.publish("q/other", "2");
        EXPECT_EQ(pendingWatch.wait_for(100ms), std::future_status::timeout);
        platform.publish("p/two", "2");
        EXPECT_EQ(pendingWatch.get().changed, std::vector<ChangedKey>({ { "p/two", Revision(4) } }));
        EXPECT_TRUE(client.watch("p/", Revision(4), 20ms).changed.empty());
    }

    TEST(PlatformClientTest, CancelEndsAWaitingWatchAndLaterCalls)
    {
        PlatformStandin platform({ .threads = 8 });
        platform.publish("k", "1");
        PlatformClient client({ .platform = platform.address() });
        auto watch
            = std::async(std::launch::async, [&] { return failureOf([&] { client.watch("k", Revision(1), 30s); }); });
        while (platform.stats()["waitingWatches"] == 0)
            std::this_thread::sleep_for(1ms);
        const TimePoint start = now();
        client.cancel();
        EXPECT_EQ(watch.get(), PlatformFailure::Cancelled);
        EXPECT_LT(now() - start, 2s);
        EXPECT_EQ(failureOf([&] { client.read("k"); }), PlatformFailure::Cancelled);
        client.resume();
        EXPECT_EQ(client.read("k").value, "1");
    }

    // Guards against losing a cancel() that comes while the call has no socket yet.
    TEST(PlatformClientTest, CancelAtAnyMomentEndsTheWatch)
    {
        PlatformStandin platform({ .threads = 8 });
        platform.publish("k", "1");
        for (int i = 0; i < 400; ++i) {
            PlatformClient client({ .platform = platform.address() });
            auto watch = std::async(
                std::launch::async, [&] { return failureOf([&] { client.watch("k", Revision(1), 30s); }); });
            spinFor(i % 100 * 1us);
            client.cancel();
            ASSERT_EQ(watch.wait_for(5s), std::future_status::ready);
            EXPECT_EQ(watch.get(), PlatformFailure::Cancelled);
        }
    }

    TEST(PlatformClientTest, DistinguishesRateLimitingFromOtherFailures)
    {
        PlatformStandin platform({ .callsPerSecond = 0, .threads = 8 });
        PlatformClient client({ .platform = platform.address() });
        EXPECT_EQ(failureOf([&] { client.read("k"); }), PlatformFailure::RateLimited);
        EXPECT_EQ(failureOf([&] { client.watch("k", Revision(0), 1s); }), PlatformFailure::RateLimited);
    }

    TEST(PlatformClientTest, TimesOutACallThatTakesTooLong)
    {
        const HttpService silentService
            = platformWithHandler([](const auto&, auto&) { std::this_thread::sleep_for(600ms); });
        // Sends a byte every 30 ms: each part arrives in time, the whole response does not.
        const HttpService tricklingService = platformWithHandler([](const auto&, httplib::Response& response) {
            response.set_content_provider(40, "text/plain", [](size_t, size_t, httplib::DataSink& sink) {
                std::this_thread::sleep_for(30ms);
                return sink.write("x", 1);
            });
        });
        for (const HttpService* service : { &silentService, &tricklingService }) {
            PlatformClient client({ .platform = service->address(), .timeout = 150ms });
            const TimePoint start = now();
            EXPECT_EQ(failureOf([&] { client.read("k"); }), PlatformFailure::TimedOut);
            EXPECT_LT(now() - start, 500ms);
        }
    }

    TEST(PlatformClientTest, RejectsAValueOverTheBound)
    {
        const HttpService service = platformWithHandler([](const auto&, httplib::Response& response) {
            response.set_header("X-Revision", "1");
            response.set_header("X-Store-Revision", "1");
            response.set_content(std::string((1 << 20) + 1, 'x'), "text/plain");
        });
        PlatformClient client({ .platform = service.address() });
        EXPECT_EQ(failureOf([&] { client.read("k"); }), PlatformFailure::TooLarge);
        PlatformClient clientWithHigherLimit({ .platform = service.address(), .maxValueBytes = (1 << 20) + 1 });
        EXPECT_EQ(clientWithHigherLimit.read("k").value->size(), (1u << 20) + 1);
    }

    TEST(PlatformClientTest, RejectsResponsesOutsideTheProtocol)
    {
        std::string body;
        std::string revision;
        int status = 200;
        const HttpService service = platformWithHandler([&](const auto&, httplib::Response& response) {
            response.status = status;
            response.set_header("X-Revision", "1");
            response.set_header("X-Store-Revision", revision);
            response.set_content(body, "text/plain");
        });
        PlatformClient client({ .platform = service.address() });
        for (const char* text : { "", "-1", "1x", "99999999999999999999" }) {
            revision = text;
            EXPECT_EQ(failureOf([&] { client.read("k"); }), PlatformFailure::BadAnswer) << text;
        }
        for (const char* text : { "", "{", "[]", R"({"revision":1})", R"({"revision":-1,"changed":[]})",
                 R"({"revision":"1","changed":[]})", R"({"revision":1,"changed":[{"key":"k"}]})" }) {
            body = text;
            EXPECT_EQ(failureOf([&] { client.watch("k", Revision(0), 1s); }), PlatformFailure::BadAnswer) << text;
        }
        status = 500;
        EXPECT_EQ(failureOf([&] { client.read("k"); }), PlatformFailure::BadAnswer);
        EXPECT_EQ(failureOf([&] { client.watch("k", Revision(0), 1s); }), PlatformFailure::BadAnswer);
    }

    TEST(PlatformClientTest, ReportsAnUnreachablePlatform)
    {
        Endpoint closedAddress;
        {
            const HttpService service = platformWithHandler([](const auto&, auto&) {});
            closedAddress = service.address();
        }
        PlatformClient client({ .platform = closedAddress });
        EXPECT_EQ(failureOf([&] { client.read("k"); }), PlatformFailure::Unreachable);
    }

} // namespace
} // namespace skylark
