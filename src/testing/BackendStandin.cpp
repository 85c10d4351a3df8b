#include "testing/BackendStandin.h"

#include "base/Error.h"
#include "base/Settings.h"
#include "load/ResponseBody.h"

namespace skylark {

namespace {

    constexpr size_t adminThreads = 8;
    constexpr auto sampleInterval = std::chrono::milliseconds(20);
    // The interval at which running work checks whether its caller has closed the connection.
    constexpr Duration stopCheckInterval = std::chrono::milliseconds(10);
    constexpr Duration maxWork = std::chrono::minutes(1);

    TimePoint now() { return std::chrono::steady_clock::now(); }

    void respondJson(httplib::Response& response, int status, const nlohmann::json& body)
    {
        response.status = status;
        response.set_content(body.dump() + "\n", "application/json");
    }

    // Returns the header's integer, or the fallback if the header is missing or is not an integer.
    int64_t integerHeader(const httplib::Request& request, const char* name, int64_t fallback)
    {
        const auto number = nlohmann::json::parse(request.get_header_value(name), nullptr, false);
        return number.is_number_integer() ? number.get<int64_t>() : fallback;
    }

} // namespace

BackendStandin::BackendStandin(const BackendStandinOptions& options)
    : m_options(options)
    , m_startTime(now())
    , m_slots(options.slots, options.queue)
    , m_executionLog(options.service, options.recordFile)
    , m_random(options.seed)
{
    m_service = std::make_unique<HttpService>(
        HttpServiceOptions { .address = options.address, .threads = options.connections + adminThreads },
        [this](httplib::Server& server) { registerHandlers(server); });
    m_sampler = std::thread([this] { runSampler(); });
}

BackendStandin::~BackendStandin()
{
    m_isStopping = true;
    m_sampler.join();
    m_service->stop();
}

void BackendStandin::runSampler()
{
    const size_t maxSamples = static_cast<size_t>(m_options.loadLag / sampleInterval) + 2;
    while (!m_isStopping) {
        {
            const std::lock_guard lock(m_mutex);
            m_samples.push_back({ now(), m_slots.load(), m_rejectsWorkAt.has_value() });
            if (m_samples.size() > maxSamples)
                m_samples.pop_front();
        }
        std::this_thread::sleep_for(sampleInterval);
    }
}

BackendStandin::Sample BackendStandin::reportedState() const
{
    const std::lock_guard lock(m_mutex);
    Sample state { now(), m_slots.load(), m_rejectsWorkAt.has_value() };
    if (m_options.loadLag > Duration::zero()) {
        const TimePoint asOf = state.time - m_options.loadLag;
        state = { .time = asOf };
        for (const Sample& sample : m_samples) {
            if (sample.time <= asOf)
                state = sample;
        }
    }
    if (m_healthOverride)
        state.isDraining = !*m_healthOverride;
    if (m_inFlightOverride)
        state.load = { .inFlight = *m_inFlightOverride };
    return state;
}

void BackendStandin::drain(Duration grace)
{
    const std::lock_guard lock(m_mutex);
    if (!m_rejectsWorkAt)
        m_rejectsWorkAt = now() + grace;
}

bool BackendStandin::rejectsNewWork() const
{
    const std::lock_guard lock(m_mutex);
    return m_rejectsWorkAt && now() >= *m_rejectsWorkAt;
}

Duration BackendStandin::serviceTime(const httplib::Request& request)
{
    const Duration mean = std::chrono::microseconds(integerHeader(
        request, "X-Work-Us", std::chrono::duration_cast<std::chrono::microseconds>(m_options.work).count()));
    double factor = 1;
    const Duration age = now() - m_startTime;
    if (age < m_options.warmup) {
        const double remainingWarmup
            = 1 - std::chrono::duration<double>(age) / std::chrono::duration<double>(m_options.warmup);
        factor += (m_options.coldFactor - 1) * remainingWarmup;
    }
    if (m_options.distribution == WorkDistribution::Exponential) {
        const std::lock_guard lock(m_mutex);
        factor *= -std::log(1 - m_random.unit());
    }
    const std::chrono::duration<double, std::nano> time = std::clamp(mean, Duration::zero(), maxWork) * factor;
    return std::min(maxWork, std::chrono::duration_cast<Duration>(time));
}

void BackendStandin::handleWork(const httplib::Request& request, httplib::Response& response)
{
    if (rejectsNewWork()) {
        respondJson(response, 503, { { "error", "draining" } });
        return;
    }
    const int64_t maxWorkMs = std::chrono::duration_cast<std::chrono::milliseconds>(maxWork).count();
    const int64_t deadlineMs
        = std::clamp<int64_t>(integerHeader(request, "Skylark-Deadline-Ms", maxWorkMs), 0, maxWorkMs);
    const TimePoint deadline = now() + std::chrono::milliseconds(deadlineMs);
    switch (m_slots.acquire(deadline, [&] { return hasPeerClosed(request); })) {
    case SlotResult::Shed:
        ++m_shedCount;
        respondJson(response, 503, { { "error", "all slots and the queue are taken" } });
        return;
    case SlotResult::Abandoned:
        ++m_stoppedCount;
        respondJson(response, 504, { { "error", "the deadline passed in the queue" } });
        return;
    case SlotResult::Granted:
        break;
    }
    const std::shared_ptr<void> slot(nullptr, [this](void*) { m_slots.release(); });
    runWork(request, response, deadline);
}

void BackendStandin::runWork(const httplib::Request& request, httplib::Response& response, TimePoint deadline)
{
    const std::string id = request.get_header_value("Skylark-Request-Id");
    m_executionLog.recordExecution(id, request.get_header_value("Idempotency-Key"));
    const TimePoint end = now() + serviceTime(request);
    if (!m_options.next.empty() && !callNext(request, deadline)) {
        respondJson(response, 502, { { "error", "the next service did not answer" } });
        return;
    }
    while (now() < std::min(end, deadline)) {
        std::this_thread::sleep_until(std::min({ end, deadline, now() + stopCheckInterval }));
        if (hasPeerClosed(request)) {
            ++m_stoppedCount;
            return;
        }
    }
    if (deadline < end) {
        ++m_stoppedCount;
        respondJson(response, 504, { { "error", "the deadline passed" } });
        return;
    }
    const auto bytes = std::clamp<int64_t>(integerHeader(request, "X-Answer-Bytes", 0), 0, 8 << 20);
    response.set_content(responseBody(id, static_cast<size_t>(bytes)), "text/plain");
}

bool BackendStandin::callNext(const httplib::Request& request, TimePoint deadline)
{
    const size_t slash = m_options.next.find('/');
    const Endpoint endpoint = Endpoint::fromString(m_options.next.substr(0, slash));
    const std::string path = slash == std::string::npos ? "/" : m_options.next.substr(slash);
    const Duration remaining = deadline - now();
    if (remaining <= Duration::zero())
        return false;
    httplib::Headers headers;
    for (const char* name : { "Skylark-Request-Id", "Skylark-Rank", "Skylark-Depth" }) {
        if (request.has_header(name))
            headers.emplace(name, request.get_header_value(name));
    }
    headers.emplace("Skylark-Deadline-Ms",
        std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(remaining).count()));
    if (!m_options.nextHost.empty())
        headers.emplace("Host", m_options.nextHost);

    std::unique_ptr<httplib::Client> client;
    {
        const std::lock_guard lock(m_mutex);
        if (!m_idleNextClients.empty()) {
            client = std::move(m_idleNextClients.back());
            m_idleNextClients.pop_back();
        }
    }
    if (!client) {
        client = std::make_unique<httplib::Client>(endpoint.host, endpoint.port);
        client->set_keep_alive(true);
        client->set_tcp_nodelay(true);
    }
    client->set_connection_timeout(remaining);
    client->set_read_timeout(remaining);
    const auto result = client->Get(path, headers);
    const bool hasSucceeded = result && result->status < 500;
    // There are at most as many clients as slots, since each call holds a slot.
    const std::lock_guard lock(m_mutex);
    m_idleNextClients.push_back(std::move(client));
    return hasSucceeded;
}

void BackendStandin::registerAdminHandlers(httplib::Server& server)
{
    server.Get("/health", [this](const httplib::Request&, httplib::Response& response) {
        const bool isDraining = reportedState().isDraining;
        respondJson(response, isDraining ? 503 : 200, { { "status", isDraining ? "draining" : "ok" } });
    });
    server.Get("/load", [this](const httplib::Request&, httplib::Response& response) {
        const Sample state = reportedState();
        respondJson(response, 200,
            { { "name", m_options.name }, { "inFlight", state.load.inFlight }, { "queued", state.load.queued },
                { "slots", m_options.slots }, { "draining", state.isDraining }, { "shed", m_shedCount.load() },
                { "stopped", m_stoppedCount.load() } });
    });
    server.Get("/executions", [this](const httplib::Request&, httplib::Response& response) {
        respondJson(response, 200, m_executionLog.report());
    });
    server.Post("/admin/drain", [this](const httplib::Request& request, httplib::Response& response) {
        const auto body = nlohmann::json::parse(request.body.empty() ? "{}" : request.body);
        SettingsReader reader(body, "");
        const auto grace = std::chrono::milliseconds(reader.integer("graceMs", 2000, 0, 600'000));
        reader.finish();
        drain(grace);
        respondJson(response, 200, nlohmann::json::object());
    });
    server.Post("/admin/mislead", [this](const httplib::Request& request, httplib::Response& response) {
        const auto body = nlohmann::json::parse(request.body);
        SettingsReader reader(body, "");
        const bool isHealthy = reader.boolean("isHealthy", true);
        const auto inFlight = static_cast<int>(reader.integer("inFlight", 0, 0, 1'000'000));
        reader.finish();
        const std::lock_guard lock(m_mutex);
        m_healthOverride = body.contains("isHealthy") ? std::optional(isHealthy) : std::nullopt;
        m_inFlightOverride = body.contains("inFlight") ? std::optional(inFlight) : std::nullopt;
        respondJson(response, 200, nlohmann::json::object());
    });
}

void BackendStandin::registerHandlers(httplib::Server& server)
{
    registerAdminHandlers(server);
    const auto work
        = [this](const httplib::Request& request, httplib::Response& response) { handleWork(request, response); };
    server.Get(".*", work);
    server.Post(".*", work);
    server.Put(".*", work);
    server.Patch(".*", work);
    server.Delete(".*", work);
    server.set_exception_handler([](const httplib::Request&, httplib::Response& response, std::exception_ptr fault) {
        try {
            std::rethrow_exception(std::move(fault));
        } catch (const std::exception& error) {
            respondJson(response, 400, { { "error", error.what() } });
        }
    });
}

} // namespace skylark
