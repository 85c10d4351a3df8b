// Sends damaged responses of backend servers through real nodes and compares what callers receive with what the servers
// sent. Guards against a damaged response that reaches a caller as a response.
//
// What a server sends is a function of the seed and the request's id, so the caller's side computes it again.
// SKYLARK_SEED selects the seed, and SKYLARK_DAMAGED_RESPONSES the number of requests.
#include "base/Random.h"
#include "proxy/tests/ProxyFleet.h"
#include "testing/TestSeed.h"

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

    enum class Damage : uint8_t {
        None,
        // The connection ends inside the response.
        Cut,
        // Whole, but the connection is reset right behind it.
        ResetBehind,
        // Another copy of the response follows.
        SecondCopy,
        InvalidStatus,
        // A byte of a field name is replaced by a blank or a control byte.
        FieldName,
        // A byte of the head is replaced by a control byte other than a tab.
        ControlByte,
    };
    constexpr uint64_t damageCount = 7;

    // What the caller may receive.
    struct Plan {
        RawResponse sent;
        std::string body;
        // The response must not be delivered.
        bool isInvalid { false };
        // The response need not be delivered.
        bool mayBeLost { false };
        // The response has no length, and the server ended the connection in an orderly way inside its body.
        bool mayBeShortened { false };
    };

    std::string makeBody(Random& random)
    {
        constexpr uint64_t largeBytes = 100'000;
        const uint64_t size = random.below(50) == 0 ? random.below(largeBytes) : random.below(200);
        std::string body;
        for (uint64_t i = 0; i < size; ++i)
            body += static_cast<char>('a' + random.below(26));
        return body;
    }

    std::string chunked(const std::string& body, Random& random)
    {
        std::string text;
        for (size_t offset = 0; offset < body.size();) {
            const size_t count = std::min<size_t>(body.size() - offset, 1 + random.below(5000));
            std::array<char, 17> size {};
            std::snprintf(size.data(), size.size(), "%zx", count);
            text += std::string(size.data()) + "\r\n" + body.substr(offset, count) + "\r\n";
            offset += count;
        }
        return text + "0\r\n\r\n";
    }

    // Returns a control byte other than a tab and other than the byte that it replaces.
    char controlByte(Random& random, char replaced)
    {
        while (true) {
            const auto byte = static_cast<char>(random.below(32));
            if (byte != '\t' && byte != replaced)
                return byte;
        }
    }

    void damageFieldName(std::string& head, Random& random)
    {
        std::vector<size_t> nameBytes;
        bool isInName = false;
        for (size_t i = 0; i < head.size(); ++i) {
            isInName = (isInName || (i > 0 && head[i - 1] == '\n')) && head[i] != ':' && head[i] != '\r';
            if (isInName)
                nameBytes.push_back(i);
        }
        char& byte = head[nameBytes[random.below(nameBytes.size())]];
        byte = random.below(2) == 0 ? ' ' : controlByte(random, byte);
    }

    Plan makePlan(uint64_t seed, const std::string& id)
    {
        static constexpr const char* invalidStatuses[]
            = { "000", "099", "001", "101", "600", "700", "999", "20 ", "2x0" };
        Random random(seed * 1'000'003 + std::hash<std::string>()(id));
        const auto framing = static_cast<Framing>(random.below(3));
        const auto damage = static_cast<Damage>(random.below(damageCount));
        Plan plan { .body = makeBody(random) };
        std::string head = "HTTP/1.1 200 OK\r\n" + HttpConventions().requestId + ": " + id + "\r\n"
            + HttpConventions().proof + ": proof-" + id + "\r\nX-Other: a b\r\n";
        std::string body = plan.body;
        if (framing == Framing::Length)
            head += "Content-Length: " + std::to_string(body.size()) + "\r\n";
        if (framing == Framing::Chunks) {
            head += "Transfer-Encoding: chunked\r\n";
            body = chunked(body, random);
        }
        head += "\r\n";
        if (framing == Framing::UntilClose)
            plan.sent.ending = Ending::Close;
        if (damage == Damage::InvalidStatus)
            head.replace(9, 3, invalidStatuses[random.below(std::size(invalidStatuses))]);
        if (damage == Damage::FieldName)
            damageFieldName(head, random);
        if (damage == Damage::ControlByte) {
            char& byte = head[random.below(head.size())];
            byte = controlByte(random, byte);
        }
        plan.sent.bytes = head + body;
        switch (damage) {
        case Damage::Cut: {
            const size_t size = random.below(2) == 0 ? head.size() : plan.sent.bytes.size();
            const size_t kept = random.below(size);
            plan.sent.bytes.resize(kept);
            plan.sent.ending = random.below(2) == 0 ? Ending::Close : Ending::Reset;
            plan.mayBeShortened
                = framing == Framing::UntilClose && plan.sent.ending == Ending::Close && kept >= head.size();
            plan.isInvalid = !plan.mayBeShortened;
            break;
        }
        case Damage::ResetBehind:
            plan.sent.ending = Ending::Reset;
            plan.isInvalid = framing == Framing::UntilClose;
            plan.mayBeLost = true;
            break;
        case Damage::SecondCopy:
            // Without a length, the copy is a part of the body.
            if (framing == Framing::UntilClose)
                plan.body += plan.sent.bytes;
            plan.sent.bytes += plan.sent.bytes;
            break;
        case Damage::InvalidStatus:
        case Damage::FieldName:
        case Damage::ControlByte:
            plan.isInvalid = true;
            break;
        case Damage::None:
            break;
        }
        return plan;
    }

    struct Counts {
        std::atomic<int> fromServer { 0 };
        std::atomic<int> refused { 0 };
        std::atomic<int> lost { 0 };
        std::atomic<int> notSent { 0 };
        std::atomic<int> wrong { 0 };
    };

    // Returns a description of what is wrong, or an empty text.
    std::string compare(const Plan& plan, const std::string& id, const httplib::Response& response)
    {
        if (response.get_header_value(HttpConventions().proof) != "proof-" + id) {
            if (response.status == 502 || response.status == 503 || response.status == 504)
                return {};
            return "no response of the node or the server: status " + std::to_string(response.status);
        }
        if (plan.isInvalid)
            return "an invalid response was delivered";
        if (response.status != 200 || response.get_header_value("X-Other") != "a b")
            return "the head differs";
        if (plan.mayBeShortened)
            return plan.body.starts_with(response.body) && !response.has_header("Content-Length")
                ? ""
                : "a response of unknown end was delivered as complete";
        return response.body == plan.body ? "" : "the body differs";
    }

    void callNode(const Endpoint& node, uint64_t seed, const std::string& prefix, int requests, Counts& counts)
    {
        httplib::Client client(node.host, node.port);
        client.set_keep_alive(true);
        client.set_tcp_nodelay(true);
        client.set_read_timeout(5);
        for (int i = 0; i < requests && counts.wrong < 10; ++i) {
            const std::string id = prefix + std::to_string(i);
            const auto response = client.Post("/pay/x", { { HttpConventions().requestId, id } }, "fee", "text/plain");
            if (!response) {
                ++counts.lost;
                continue;
            }
            const Plan plan = makePlan(seed, id);
            const std::string fault = compare(plan, id, *response);
            const bool isFromServer = response->has_header(HttpConventions().proof);
            ++(isFromServer ? counts.fromServer : counts.refused);
            if (response->status == 503)
                ++counts.notSent;
            if (!fault.empty()) {
                ++counts.wrong;
                ADD_FAILURE() << fault << "; id " << id << ", status " << response->status << ", body of "
                              << response->body.size() << " bytes; sent: " << plan.sent.bytes.substr(0, 300);
            }
        }
    }

    TEST(DamagedResponseTest, NoDamagedResponseReachesACaller)
    {
        const char* countText = std::getenv("SKYLARK_DAMAGED_RESPONSES");
        const int requests = countText ? std::atoi(countText) : 2000;
        constexpr size_t nodes = 2;
        constexpr size_t callersPerNode = 2;
        runWithSeeds(7, [&](uint64_t seed) {
            ProxyFleet fleet(nodes);
            for (size_t index = 0; index < nodes; ++index) {
                fleet.server(index).setWork(0ms);
                fleet.server(index).setResponseFilter(
                    [seed](const std::string& id, const std::string&) { return makePlan(seed, id).sent; });
            }
            ASSERT_TRUE(fleet.waitUntilReady());
            Counts counts;
            std::vector<std::thread> callers;
            for (size_t caller = 0; caller < nodes * callersPerNode; ++caller)
                callers.emplace_back([&, caller] {
                    callNode(fleet.callerAddress(caller % nodes), seed, "d" + std::to_string(caller) + "-",
                        requests / static_cast<int>(nodes * callersPerNode), counts);
                });
            for (std::thread& caller : callers)
                caller.join();
            std::printf(
                "%d requests: %d responses of servers, %d refused (%d as not run), %d without a response, %d wrong\n",
                requests, counts.fromServer.load(), counts.refused.load(), counts.notSent.load(), counts.lost.load(),
                counts.wrong.load());
            EXPECT_EQ(counts.wrong, 0);
            EXPECT_EQ(counts.lost, 0);
            // The test says nothing if most requests reach no server.
            EXPECT_GT(counts.fromServer, requests / 10);
            EXPECT_LT(counts.notSent, requests / 2);
        });
    }

} // namespace
} // namespace skylark
