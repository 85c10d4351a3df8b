// Executes the reads and watches that the control loop asks for, on two threads.
//
// The platform client blocks, and a waiting watch must not hold back reads. Results go back as events. Each
// queue holds at most 64 requests; beyond that a request fails at once, which the distributor repeats later.
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
    // Ends running calls.
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
