// Test helpers: networks on loopback, a gate with worker threads, a relay that injects failures and a peer that sends
// raw frames.
#pragma once

#include "base/Socket.h"
#include "transport/PeerNetwork.h"
#include "wire/Frame.h"

#include <condition_variable>
#include <deque>
#include <gtest/gtest.h>
#include <mutex>
#include <poll.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace skylark {

using namespace std::chrono_literals;

inline TimePoint deadlineIn(Duration duration) { return std::chrono::steady_clock::now() + duration; }

// Waits until the condition holds. Returns false after 10 s.
template <typename Condition> bool eventually(Condition condition)
{
    for (const TimePoint end = deadlineIn(10s); std::chrono::steady_clock::now() < end;
         std::this_thread::sleep_for(2ms)) {
        if (condition())
            return true;
    }
    return condition();
}

// Runs the gate's handler for each call on worker threads.
class TestGate {
public:
    using Handler = std::function<void(ServerStream&)>;
    explicit TestGate(Handler handler, int threads = 4)
        : m_handler(std::move(handler))
    {
        for (int i = 0; i < threads; ++i)
            m_threads.emplace_back([this] { run(); });
    }
    ~TestGate()
    {
        {
            const std::lock_guard lock(m_mutex);
            m_isStopped = true;
        }
        m_changed.notify_all();
        for (std::thread& thread : m_threads)
            thread.join();
    }
    void accept(std::shared_ptr<ServerStream> call)
    {
        {
            const std::lock_guard lock(m_mutex);
            m_calls.push_back(std::move(call));
        }
        m_changed.notify_one();
    }

private:
    void run()
    {
        std::unique_lock lock(m_mutex);
        for (;;) {
            m_changed.wait(lock, [this] { return m_isStopped || !m_calls.empty(); });
            if (m_calls.empty())
                return;
            std::shared_ptr<ServerStream> call = std::move(m_calls.front());
            m_calls.pop_front();
            lock.unlock();
            m_handler(*call);
            call.reset();
            lock.lock();
        }
    }

    Handler m_handler;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::deque<std::shared_ptr<ServerStream>> m_calls;
    bool m_isStopped { false };
    std::vector<std::thread> m_threads;
};

// A network whose handlers record what they are called with. Calls from peers are passed to the gate, if there is one.
struct TestNode {
    explicit TestNode(const std::string& name, TestGate::Handler handler = {}, PeerNetworkOptions options = {})
        : gate(handler ? std::make_unique<TestGate>(std::move(handler)) : nullptr)
    {
        options.listen = { "127.0.0.1", 0 };
        options.instance = InstanceId(name);
        options.incarnation = Incarnation(1);
        options.region = RegionName(name + "-region");
        PeerHandlers handlers;
        handlers.onMessage = [this](Message message, const PeerInfo& peer) {
            const std::lock_guard lock(mutex);
            received.emplace_back(std::move(message), peer);
        };
        handlers.onCall = [this](std::shared_ptr<ServerStream> call) {
            if (gate)
                gate->accept(std::move(call));
        };
        handlers.onSendFailed = [this](const Endpoint&) { ++failedSends; };
        handlers.onPeerProbe
            = [this](const Endpoint&, bool isReachable) { ++(isReachable ? reachableProbes : unreachableProbes); };
        network = std::make_unique<PeerNetwork>(std::move(options), std::move(handlers), clock);
    }
    Endpoint address() const { return network->listenAddress(); }
    std::shared_ptr<ClientStream> call(const Endpoint& to, std::string body = "", bool isComplete = true)
    {
        return network->openCall(to, InstanceId(), CallStart { .method = "POST" }, std::move(body), isComplete);
    }
    size_t receivedCount()
    {
        const std::lock_guard lock(mutex);
        return received.size();
    }

    SystemClock clock;
    std::unique_ptr<TestGate> gate;
    std::mutex mutex;
    std::vector<std::pair<Message, PeerInfo>> received;
    std::atomic<int> failedSends { 0 };
    std::atomic<int> reachableProbes { 0 };
    std::atomic<int> unreachableProbes { 0 };
    std::unique_ptr<PeerNetwork> network;
};

inline std::string readAll(ServerStream& call)
{
    std::string body;
    while (auto chunk = call.readBody(deadlineIn(10s)))
        body += *chunk;
    return body;
}

// Returns the whole body of the response. The test fails if there is none.
inline std::string readResponse(ClientStream& call)
{
    const AwaitResult result = call.awaitResponse(deadlineIn(10s));
    if (const auto* failure = std::get_if<StreamFailure>(&result)) {
        ADD_FAILURE() << failure->step << ": " << failure->message;
        return "";
    }
    std::string body;
    while (auto chunk = call.readBody(deadlineIn(10s)))
        body += *chunk;
    return body;
}

// Returns the failure of the call. The test fails if the call gets a response or a refusal.
inline StreamFailure awaitFailure(ClientStream& call, Duration wait = 10s)
{
    const AwaitResult result = call.awaitResponse(deadlineIn(wait));
    if (const auto* failure = std::get_if<StreamFailure>(&result))
        return *failure;
    ADD_FAILURE() << "the call did not fail";
    return {};
}

inline void echo(ServerStream& call) { call.respond({ .status = 200 }, readAll(call), true); }

inline FileDescriptor connectBlocking(const Endpoint& endpoint)
{
    FileDescriptor socket = startConnect(endpoint);
    pollfd wait { socket.value(), POLLOUT, 0 };
    ::poll(&wait, 1, 1000);
    return socket;
}

// Forwards connections to a target. It can stop forwarding their data or close them.
class Relay {
public:
    explicit Relay(Endpoint target)
        : m_target(std::move(target))
        , m_listener(listenOn({ "127.0.0.1", 0 }))
        , m_thread([this] { run(); })
    {
    }
    ~Relay()
    {
        m_isStopped = true;
        m_thread.join();
    }
    Endpoint address() const { return boundEndpoint(m_listener); }
    // Keeps the open connections open but forwards no more data on them.
    void blackholeOpenConnections() { m_isBlackholeRequested = true; }
    void blackholeNewConnections() { m_isBlackholingNew = true; }
    void closeAllConnections() { m_isCloseRequested = true; }
    size_t connectionPairCount() const { return m_connectionPairCount; }

private:
    struct ConnectionPair {
        FileDescriptor ends[2];
        bool isBlackholed { false };
    };

    void run()
    {
        std::vector<ConnectionPair> pairs;
        while (!m_isStopped) {
            std::vector<pollfd> polled { { m_listener.value(), POLLIN, 0 } };
            for (const ConnectionPair& pair : pairs) {
                for (const FileDescriptor& end : pair.ends)
                    polled.push_back({ pair.isBlackholed ? -1 : end.value(), POLLIN, 0 });
            }
            ::poll(polled.data(), polled.size(), 5);
            if (m_isBlackholeRequested.exchange(false)) {
                for (ConnectionPair& pair : pairs)
                    pair.isBlackholed = true;
            }
            if (m_isCloseRequested.exchange(false))
                pairs.clear();
            std::erase_if(pairs,
                [](ConnectionPair& pair) { return !pair.isBlackholed && !(forward(pair, 0) && forward(pair, 1)); });
            if (FileDescriptor accepted = acceptFrom(m_listener))
                pairs.push_back({ { std::move(accepted), connectBlocking(m_target) }, m_isBlackholingNew });
            m_connectionPairCount = pairs.size();
        }
    }

    static bool forward(ConnectionPair& pair, int sourceEnd)
    {
        char buffer[16384];
        const ssize_t size = ::recv(pair.ends[sourceEnd].value(), buffer, sizeof(buffer), MSG_DONTWAIT);
        if (size <= 0)
            return size < 0 && errno == EAGAIN;
        for (ssize_t sent = 0; sent < size;) {
            const ssize_t written = ::send(pair.ends[1 - sourceEnd].value(), buffer + sent, size - sent, MSG_NOSIGNAL);
            if (written < 0 && errno != EAGAIN)
                return false;
            sent += std::max<ssize_t>(written, 0);
        }
        return true;
    }

    Endpoint m_target;
    FileDescriptor m_listener;
    std::atomic<bool> m_isStopped { false };
    std::atomic<bool> m_isBlackholeRequested { false };
    std::atomic<bool> m_isBlackholingNew { false };
    std::atomic<bool> m_isCloseRequested { false };
    std::atomic<size_t> m_connectionPairCount { 0 };
    std::thread m_thread;
};

// A peer that sends and receives frames over a plain socket, including invalid ones.
class RawPeer {
public:
    explicit RawPeer(FileDescriptor socket)
        : m_socket(std::move(socket))
    {
    }
    // Accepts a connection and sends a Hello.
    static RawPeer acceptWithHello(const FileDescriptor& listener)
    {
        pollfd wait { listener.value(), POLLIN, 0 };
        ::poll(&wait, 1, 5000);
        RawPeer peer(acceptFrom(listener));
        peer.send(Hello { .instance = InstanceId("raw"), .purpose = ConnectionPurpose::Calls });
        return peer;
    }
    void send(const Message& message) { sendBytes(frameOf(encode(message))); }
    void sendBytes(const std::string& bytes) { ::send(m_socket.value(), bytes.data(), bytes.size(), MSG_NOSIGNAL); }
    // Returns nothing if the connection has ended.
    std::optional<Message> next()
    {
        for (;;) {
            if (const auto payload = m_reader.next())
                return decode(*payload);
            char buffer[16384];
            pollfd wait { m_socket.value(), POLLIN, 0 };
            ::poll(&wait, 1, 5000);
            const ssize_t size = ::recv(m_socket.value(), buffer, sizeof(buffer), MSG_DONTWAIT);
            if (size <= 0)
                return std::nullopt;
            m_reader.feed({ buffer, static_cast<size_t>(size) });
        }
    }

private:
    FileDescriptor m_socket;
    FrameReader m_reader;
};

} // namespace skylark
