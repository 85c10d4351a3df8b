// Executes the reads and watches that the control loop submits and reports their results to the handlers.
//
// Reads and watches have a thread each, since the platform client blocks and a pending watch must not delay reads. Each
// queue holds at most 64 requests; when it is full, a request fails immediately and the distributor retries it later.
#pragma once

#include "distribution/Action.h"
#include "metrics/Metrics.h"
#include "source/PlatformClient.h"

#include <condition_variable>
#include <deque>
#include <functional>
#include <thread>

namespace skylark {

struct SourceWorkerHandlers {
    std::function<void(uint64_t number, WatchResponse)> onWatchResponse;
    std::function<void(uint64_t number, ReadResponse)> onReadResponse;
    std::function<void(uint64_t number, bool isWatch, std::string reason)> onFailure;
};

class SourceWorker {
public:
    SourceWorker(PlatformClientOptions options, Metrics& metrics);
    ~SourceWorker();

    void start(SourceWorkerHandlers handlers);
    void submit(const Watch& watch);
    void submit(const ReadKey& read);
    // Cancels running requests and joins the threads.
    void stop();

private:
    using Job = std::variant<Watch, ReadKey>;
    struct Queue {
        std::deque<Job> jobs;
        std::condition_variable hasJob;
    };

    void enqueue(Queue& queue, Job job);
    void runWorker(Queue& queue);
    void run(const Watch& watch);
    void run(const ReadKey& read);

    Metrics& m_metrics;
    PlatformClient m_client;
    SourceWorkerHandlers m_handlers;
    std::mutex m_mutex;
    Queue m_watches;
    Queue m_reads;
    bool m_isStopping { false };
    std::vector<std::thread> m_threads;
};

} // namespace skylark
