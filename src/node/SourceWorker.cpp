#include "node/SourceWorker.h"

#include "base/Error.h"

namespace skylark {

namespace {
    constexpr size_t maxQueuedJobs = 64;
}

SourceWorker::SourceWorker(PlatformClientOptions options, Metrics& metrics)
    : m_metrics(metrics)
    , m_client(std::move(options))
{
}

SourceWorker::~SourceWorker() { stop(); }

void SourceWorker::start(SourceWorkerHandlers handlers)
{
    m_handlers = std::move(handlers);
    m_threads.emplace_back([this] { runWorker(m_watches); });
    m_threads.emplace_back([this] { runWorker(m_reads); });
}

void SourceWorker::submit(const Watch& watch) { enqueue(m_watches, watch); }

void SourceWorker::submit(const ReadKey& read) { enqueue(m_reads, read); }

void SourceWorker::enqueue(Queue& queue, Job job)
{
    {
        const std::lock_guard lock(m_mutex);
        if (queue.jobs.size() < maxQueuedJobs) {
            queue.jobs.push_back(std::move(job));
            queue.hasJob.notify_one();
            return;
        }
    }
    const bool isWatch = std::holds_alternative<Watch>(job);
    const uint64_t number = std::visit([](const auto& request) { return request.number; }, job);
    m_handlers.onFailure(number, isWatch, "the queue of source requests is full");
}

void SourceWorker::stop()
{
    {
        const std::lock_guard lock(m_mutex);
        m_isStopping = true;
    }
    m_client.cancel();
    m_watches.hasJob.notify_all();
    m_reads.hasJob.notify_all();
    for (std::thread& thread : m_threads)
        thread.join();
    m_threads.clear();
}

void SourceWorker::runWorker(Queue& queue)
{
    std::unique_lock lock(m_mutex);
    while (true) {
        queue.hasJob.wait(lock, [&] { return m_isStopping || !queue.jobs.empty(); });
        if (m_isStopping)
            return;
        const Job job = std::move(queue.jobs.front());
        queue.jobs.pop_front();
        lock.unlock();
        std::visit([this](const auto& request) { run(request); }, job);
        lock.lock();
    }
}

void SourceWorker::run(const Watch& watch)
{
    try {
        WatchResult result = m_client.watch(watch.prefix, watch.after, watch.wait);
        m_metrics.countSourceCall("watch", true);
        WatchResponse response { .revision = result.storeRevision, .changed = {} };
        for (ChangedKey& changedKey : result.changed)
            response.changed.push_back({ std::move(changedKey.key), changedKey.revision, changedKey.isDeleted });
        m_handlers.onWatchResponse(watch.number, std::move(response));
    } catch (const Error& error) {
        m_metrics.countSourceCall("watch", false);
        m_handlers.onFailure(watch.number, true, error.what());
    }
}

void SourceWorker::run(const ReadKey& read)
{
    try {
        ReadResult result = m_client.read(read.key);
        m_metrics.countSourceCall("read", true);
        m_handlers.onReadResponse(read.number,
            { .isFound = result.value.has_value(),
                .revision = result.keyRevision,
                .value = std::move(result.value).value_or("") });
    } catch (const Error& error) {
        m_metrics.countSourceCall("read", false);
        m_handlers.onFailure(read.number, false, error.what());
    }
}

} // namespace skylark
