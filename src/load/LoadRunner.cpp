#include "load/LoadRunner.h"

#include "base/Error.h"
#include "base/Settings.h"
#include "load/ResponseBody.h"

#include <atomic>
#include <fstream>
#include <httplib.h>
#include <memory>
#include <random>
#include <sstream>
#include <sys/prctl.h>
#include <thread>

namespace skylark {

namespace {

    constexpr Duration lateSendThreshold = std::chrono::milliseconds(1);
    // Time for the workers to start before the first request is due.
    constexpr Duration startDelay = std::chrono::milliseconds(50);

    TimePoint now() { return std::chrono::steady_clock::now(); }

    // The data that all workers share. nextArrivals has one counter for each target, which its workers advance.
    struct RunState {
        const LoadPlan& plan;
        std::vector<Arrival> arrivals;
        std::string id;
        TimePoint start;
        std::unique_ptr<std::atomic<size_t>[]> nextArrivals;
    };

    class Worker {
    public:
        Worker(RunState& run, size_t target)
            : m_run(run)
            , m_arrivalTarget(target)
            , m_target(target)
        {
            connect();
            m_result.report.byClass.resize(run.plan.classes.size());
            m_result.report.byTarget.resize(run.plan.targets.size());
        }

        void work()
        {
            // The default timer slack of 50 us would show up as latency.
            prctl(PR_SET_TIMERSLACK, 1000, 0, 0, 0);
            const size_t targets = m_run.plan.targets.size();
            for (;;) {
                const size_t index = m_arrivalTarget + m_run.nextArrivals[m_arrivalTarget]++ * targets;
                if (index >= m_run.arrivals.size())
                    return;
                call(index);
            }
        }

        LoadResult& result() { return m_result; }

    private:
        void call(size_t index)
        {
            const Arrival& arrival = m_run.arrivals[index];
            const RequestClass& requestClass = m_run.plan.classes[arrival.classIndex];
            const std::string id = m_run.id + "-" + std::to_string(index);
            const httplib::Request request = makeRequest(requestClass, id, index);
            const TimePoint dueTime = m_run.start + arrival.offset;
            const bool wasLate = now() > dueTime;
            std::this_thread::sleep_until(dueTime);
            const TimePoint sendTime = now();
            CallResult result = send(request, requestClass, id);
            // Nothing was sent, so another attempt is safe. The worker stays with the first target that accepts a
            // connection.
            for (size_t attempts = 1; result == CallResult::NotConnected && attempts < m_run.plan.targets.size();
                 ++attempts) {
                m_target = (m_target + 1) % m_run.plan.targets.size();
                connect();
                ++m_result.report.failovers;
                result = send(request, requestClass, id);
            }
            const TimePoint endTime = now();
            if (arrival.offset >= m_run.plan.warmup) {
                m_result.report.byClass[arrival.classIndex].add(result, endTime - dueTime, requestClass);
                m_result.report.byTarget[m_target].add(result, endTime - dueTime, requestClass);
                if (wasLate && sendTime - dueTime > lateSendThreshold)
                    ++m_result.report.lateSends;
                if (wasLate)
                    m_result.report.maxSendDelay = std::max(m_result.report.maxSendDelay, sendTime - dueTime);
            }
            if (!requestClass.isIdempotent)
                m_result.ledger.push_back({ id, "key-" + id, outcomeName(result),
                    m_run.plan.targets[m_target].toString(), requestClass.name });
        }

        void connect()
        {
            const Endpoint& target = m_run.plan.targets[m_target];
            m_client = std::make_unique<httplib::Client>(target.host, target.port);
            m_client->set_keep_alive(true);
            m_client->set_tcp_nodelay(true);
            m_client->set_connection_timeout(m_run.plan.timeout);
            m_client->set_read_timeout(m_run.plan.timeout);
            m_client->set_write_timeout(m_run.plan.timeout);
        }

        CallResult send(const httplib::Request& request, const RequestClass& requestClass, const std::string& id)
        {
            const TimePoint sendTime = now();
            const httplib::Result response = m_client->send(request);
            return classify(response, now() - sendTime, requestClass, id);
        }

        httplib::Request makeRequest(const RequestClass& requestClass, const std::string& id, size_t index) const
        {
            httplib::Request request;
            request.method = requestClass.method;
            request.path = requestClass.path;
            if (const size_t placeholder = request.path.find("{n}"); placeholder != std::string::npos)
                request.path.replace(placeholder, 3, std::to_string(index));
            request.headers.emplace("Skylark-Request-Id", id);
            if (!requestClass.host.empty())
                request.headers.emplace("Host", requestClass.host);
            if (!requestClass.isIdempotent)
                request.headers.emplace("Idempotency-Key", "key-" + id);
            if (requestClass.deadline > Duration::zero())
                request.headers.emplace(
                    "Skylark-Deadline-Ms", std::to_string(requestClass.deadline / std::chrono::milliseconds(1)));
            if (requestClass.work > Duration::zero())
                request.headers.emplace("X-Work-Us", std::to_string(requestClass.work / std::chrono::microseconds(1)));
            if (requestClass.responseBytes > 0)
                request.headers.emplace("X-Answer-Bytes", std::to_string(requestClass.responseBytes));
            if (requestClass.bodyBytes > 0) {
                request.headers.emplace("Content-Type", "application/octet-stream");
                request.body.assign(requestClass.bodyBytes, 'b');
            }
            return request;
        }

        CallResult classify(const httplib::Result& response, Duration elapsed, const RequestClass& requestClass,
            const std::string& id) const
        {
            if (!response) {
                if (response.error() == httplib::Error::Connection
                    || response.error() == httplib::Error::ConnectionTimeout)
                    return CallResult::NotConnected;
                return elapsed >= m_run.plan.timeout ? CallResult::TimedOut : CallResult::Cut;
            }
            const std::string outcome = response->get_header_value("Skylark-Outcome");
            if (outcome == "not-run")
                return CallResult::NotRun;
            if (outcome == "unknown")
                return CallResult::Unknown;
            if (response->status >= 500)
                return CallResult::ServerError;
            if (m_run.plan.checksResponses && response->status == 200 && requestClass.method != "HEAD"
                && response->body != responseBody(id, requestClass.responseBytes))
                return CallResult::WrongAnswer;
            return CallResult::Answered;
        }

        static std::string outcomeName(CallResult result)
        {
            if (result == CallResult::Answered)
                return "answered";
            return result == CallResult::NotRun ? "not-run" : "unknown";
        }

        RunState& m_run;
        // The target whose arrivals this worker takes.
        const size_t m_arrivalTarget;
        // The target that it sends them to, which differs after a failover.
        size_t m_target;
        std::unique_ptr<httplib::Client> m_client;
        LoadResult m_result;
    };

} // namespace

LoadResult runLoad(const LoadPlan& plan)
{
    Random random(plan.seed);
    std::ostringstream id;
    id << std::hex << std::random_device()() << std::random_device()();
    RunState run { .plan = plan, .arrivals = drawArrivals(plan, random), .id = id.str() };
    run.nextArrivals = std::make_unique<std::atomic<size_t>[]>(plan.targets.size());
    run.start = now() + startDelay;

    std::vector<std::unique_ptr<Worker>> workers;
    for (size_t i = 0; i < std::max(plan.workers, plan.targets.size()); ++i)
        workers.push_back(std::make_unique<Worker>(run, i % plan.targets.size()));
    std::vector<std::thread> threads;
    threads.reserve(workers.size());
    for (auto& worker : workers)
        threads.emplace_back([&worker] { worker->work(); });
    for (auto& thread : threads)
        thread.join();

    LoadResult result;
    for (auto& worker : workers) {
        result.report.merge(worker->result().report);
        auto& ledger = worker->result().ledger;
        result.ledger.insert(result.ledger.end(), ledger.begin(), ledger.end());
    }
    return result;
}

void writeLedger(const std::vector<LedgerEntry>& ledger, const std::string& path)
{
    std::ofstream file(path);
    for (const LedgerEntry& entry : ledger) {
        file << entry.requestId << "\t" << entry.idempotencyKey << "\t" << entry.outcome << "\t" << entry.target << "\t"
             << entry.className << "\n";
    }
    file.close();
    if (!file)
        throw Error({ .step = "write-ledger", .message = "cannot write the ledger to " + path });
}

std::vector<LedgerEntry> readLedger(const std::string& path)
{
    std::vector<LedgerEntry> ledger;
    std::istringstream lines(readFile(path));
    for (std::string line; std::getline(lines, line);) {
        std::istringstream fields(line);
        LedgerEntry entry;
        std::getline(fields, entry.requestId, '\t');
        std::getline(fields, entry.idempotencyKey, '\t');
        std::getline(fields, entry.outcome, '\t');
        std::getline(fields, entry.target, '\t');
        std::getline(fields, entry.className, '\t');
        if (entry.outcome != "answered" && entry.outcome != "not-run" && entry.outcome != "unknown") {
            throw Error({ .step = "read-ledger",
                .message = path + ": line " + std::to_string(ledger.size() + 1)
                    + " has no valid outcome (answered, not-run or unknown)" });
        }
        ledger.push_back(std::move(entry));
    }
    return ledger;
}

} // namespace skylark
