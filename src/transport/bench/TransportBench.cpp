// Measures a 1 KiB echo call over loopback: one hop from a caller's thread to a gate's worker thread and back.
// Usage: transport_bench [threads] [calls per thread] [pause between calls in us]
#include "transport/PeerNetwork.h"

#include <algorithm>
#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <mutex>
#include <thread>

using namespace skylark;
using std::chrono::steady_clock;

namespace {

// Passes calls to worker threads, as the gate of a node does.
class Workers {
public:
    explicit Workers(int threads)
    {
        for (int i = 0; i < threads; ++i)
            m_threads.emplace_back([this] { run(); });
    }
    ~Workers()
    {
        for (size_t i = 0; i < m_threads.size(); ++i)
            accept(nullptr);
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
        for (;;) {
            std::unique_lock lock(m_mutex);
            m_changed.wait(lock, [this] { return !m_calls.empty(); });
            const auto call = std::move(m_calls.front());
            m_calls.pop_front();
            lock.unlock();
            if (!call)
                return;
            std::string body;
            while (auto chunk = call->readBody(steady_clock::now() + std::chrono::seconds(5)))
                body += *chunk;
            call->respond({ .status = 200 }, std::move(body), true);
        }
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::deque<std::shared_ptr<ServerStream>> m_calls;
    std::vector<std::thread> m_threads;
};

double callMicroseconds(PeerNetwork& network, const Endpoint& gate, const std::string& body)
{
    const auto start = steady_clock::now();
    const TimePoint deadline = start + std::chrono::seconds(5);
    const auto call = network.openCall(gate, {}, CallStart { .method = "POST", .target = "/echo" }, body, true);
    size_t received = 0;
    if (std::holds_alternative<AnswerStart>(call->awaitResponse(deadline))) {
        while (const auto chunk = call->readBody(deadline))
            received += chunk->size();
    }
    if (received != body.size()) {
        std::fprintf(stderr, "a call did not return its whole body\n");
        std::exit(1);
    }
    return std::chrono::duration<double, std::micro>(steady_clock::now() - start).count();
}

} // namespace

int main(int argc, char** argv)
{
    const int threadCount = argc > 1 ? std::atoi(argv[1]) : 4;
    const int callCount = argc > 2 ? std::atoi(argv[2]) : 20000;
    const std::chrono::microseconds pause(argc > 3 ? std::atoi(argv[3]) : 0);
    constexpr int warmUpCalls = 100;
    SystemClock clock;
    Workers workers(threadCount);
    const Endpoint anyPort { "127.0.0.1", 0 };
    PeerNetwork gate({ .listen = anyPort, .instance = InstanceId("gate") },
        { .onCall = [&](std::shared_ptr<ServerStream> call) { workers.accept(std::move(call)); } }, clock);
    PeerNetwork caller({ .listen = anyPort, .instance = InstanceId("caller") }, {}, clock);

    const std::string body(1024, 'x');
    std::vector<std::vector<double>> times(threadCount);
    std::vector<std::thread> threads;
    threads.reserve(threadCount);
    const auto start = steady_clock::now();
    for (int t = 0; t < threadCount; ++t) {
        threads.emplace_back([&, t] {
            for (int i = 0; i < callCount + warmUpCalls; ++i) {
                const double microseconds = callMicroseconds(caller, gate.listenAddress(), body);
                if (i >= warmUpCalls)
                    times[t].push_back(microseconds);
                if (pause.count() > 0)
                    std::this_thread::sleep_for(pause);
            }
        });
    }
    for (std::thread& thread : threads)
        thread.join();
    const double seconds = std::chrono::duration<double>(steady_clock::now() - start).count();
    std::vector<double> allTimes;
    for (const auto& threadTimes : times)
        allTimes.insert(allTimes.end(), threadTimes.begin(), threadTimes.end());
    std::sort(allTimes.begin(), allTimes.end());
    const auto quantile
        = [&](double fraction) { return allTimes[static_cast<size_t>(fraction * (allTimes.size() - 1))]; };
    std::printf("%d threads, %zu calls, %.0f calls/s: p50 %.0f us, p99 %.0f us, p99.9 %.0f us, max %.0f us\n",
        threadCount, allTimes.size(), allTimes.size() / seconds, quantile(0.5), quantile(0.99), quantile(0.999),
        allTimes.back());
    return 0;
}
