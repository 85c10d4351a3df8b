#include "testing/PlatformStandin.h"

#include "base/Error.h"
#include "base/Settings.h"
#include "membership/InstanceListJson.h"

#include <nlohmann/json.hpp>

namespace skylark {

namespace {

    constexpr auto maxWatchWait = std::chrono::seconds(60);
    constexpr auto tickInterval = std::chrono::milliseconds(10);

    TimePoint now() { return std::chrono::steady_clock::now(); }

    void respondJson(httplib::Response& response, int status, const nlohmann::json& body)
    {
        response.status = status;
        response.set_content(body.dump() + "\n", "application/json");
    }

    uint64_t integerParameter(const httplib::Request& request, const std::string& name)
    {
        const std::string text = request.get_param_value(name);
        const auto number = nlohmann::json::parse(text, nullptr, false);
        if (!number.is_number_unsigned())
            throw Error({ .step = "watch", .message = "parameter " + name + " is \"" + text + "\"" });
        return number.get<uint64_t>();
    }

} // namespace

PlatformStandin::PlatformStandin(const PlatformStandinOptions& options)
    : m_meter(options.callsPerSecond)
{
    m_store.setListLag(options.listLag);
    m_service = std::make_unique<HttpService>(
        HttpServiceOptions {
            .address = options.address, .threads = options.threads, .maxBodyBytes = PlatformStore::maxValueBytes },
        [this](httplib::Server& server) { registerHandlers(server); });
    m_ticker = std::thread([this] { runTicker(); });
}

PlatformStandin::~PlatformStandin()
{
    {
        const std::lock_guard lock(m_mutex);
        m_isStopping = true;
    }
    m_changed.notify_all();
    m_ticker.join();
    m_service->stop();
}

void PlatformStandin::runTicker()
{
    std::unique_lock lock(m_mutex);
    while (!m_isStopping) {
        const Revision previousRevision = m_store.revision();
        m_store.advance(now());
        if (m_store.revision() != previousRevision)
            m_changed.notify_all();
        // Sleeps instead of waiting on m_changed, since each publication notifies m_changed.
        lock.unlock();
        std::this_thread::sleep_for(tickInterval);
        lock.lock();
    }
}

Revision PlatformStandin::publish(const std::string& key, std::string value)
{
    const std::lock_guard lock(m_mutex);
    const Revision revision = m_store.put(key, std::move(value), now());
    m_changed.notify_all();
    return revision;
}

void PlatformStandin::setInstance(const InstanceRecord& record)
{
    const std::lock_guard lock(m_mutex);
    m_store.setInstance(record, now());
}

void PlatformStandin::setFaults(const nlohmann::json& faults)
{
    const std::lock_guard lock(m_mutex);
    SettingsReader reader(faults, "");
    const auto milliseconds
        = [&](const char* key) { return std::chrono::milliseconds(reader.integer(key, 0, 0, 600'000)); };
    const auto delay = milliseconds("delayMs");
    const bool isDown = reader.boolean("isDown", m_isDown);
    const bool isStale = reader.boolean("isStale", false);
    const bool areCrossed = reader.boolean("crossUpdates", false);
    const auto lag = milliseconds("listLagMs");
    reader.finish();

    m_isDown = isDown;
    if (reader.has("delayMs"))
        m_delay = delay;
    if (reader.has("isStale"))
        m_store.setStale(isStale);
    if (reader.has("crossUpdates"))
        m_store.setCrossUpdates(areCrossed, now());
    if (reader.has("listLagMs"))
        m_store.setListLag(lag);
    m_changed.notify_all();
}

nlohmann::json PlatformStandin::stats() const
{
    const std::lock_guard lock(m_mutex);
    nlohmann::json report = m_meter.report(now());
    report["waitingWatches"] = m_waitingWatches;
    report["revision"] = m_store.revision().value();
    return report;
}

bool PlatformStandin::beginCall(const std::string& kind, httplib::Response& response)
{
    Duration delay {};
    {
        const std::lock_guard lock(m_mutex);
        if (!m_meter.admit(kind, now())) {
            respondJson(response, 429, { { "error", "more calls in this second than the platform serves" } });
            return false;
        }
        delay = m_delay;
    }
    std::this_thread::sleep_for(delay);
    const std::lock_guard lock(m_mutex);
    if (m_isDown)
        respondJson(response, 503, { { "error", "the platform is down" } });
    return !m_isDown;
}

void PlatformStandin::handleRead(const std::string& key, httplib::Response& response)
{
    if (!beginCall("read", response))
        return;
    std::shared_ptr<const std::string> value;
    {
        const std::lock_guard lock(m_mutex);
        response.set_header("X-Store-Revision", std::to_string(m_store.revision().value()));
        if (const PlatformStore::Entry* entry = m_store.find(key)) {
            value = entry->value;
            response.set_header("X-Revision", std::to_string(entry->revision.value()));
        }
    }
    if (value)
        response.set_content(*value, "application/octet-stream");
    else
        response.status = 404;
}

void PlatformStandin::handleWatch(const httplib::Request& request, httplib::Response& response)
{
    const std::string prefix = request.get_param_value("prefix");
    const Revision after(integerParameter(request, "after"));
    const auto wait = std::min<Duration>(
        std::chrono::milliseconds(std::min<uint64_t>(integerParameter(request, "waitMs"), 60'000)), maxWatchWait);
    if (!beginCall("watch", response))
        return;
    const TimePoint deadline = now() + wait;
    auto changesJson = nlohmann::json::array();
    std::unique_lock lock(m_mutex);
    ++m_waitingWatches;
    std::vector<ChangedKey> changes;
    m_changed.wait_until(lock, deadline, [&] {
        changes = m_store.changesAfter(prefix, after);
        return !changes.empty() || after == Revision(0) || m_isDown || m_isStopping;
    });
    --m_waitingWatches;
    const Revision revision = m_store.revision();
    const bool isDown = m_isDown;
    lock.unlock();
    if (isDown) {
        respondJson(response, 503, { { "error", "the platform is down" } });
        return;
    }
    for (const ChangedKey& change : changes)
        changesJson.push_back(
            { { "key", change.key }, { "revision", change.revision.value() }, { "deleted", change.isDeleted } });
    respondJson(response, 200, { { "revision", revision.value() }, { "changed", changesJson } });
}

void PlatformStandin::registerHandlers(httplib::Server& server)
{
    server.Get(R"(/v1/kv/(.+))", [this](const httplib::Request& request, httplib::Response& response) {
        handleRead(request.matches[1], response);
    });
    server.Get("/v1/watch",
        [this](const httplib::Request& request, httplib::Response& response) { handleWatch(request, response); });
    server.Get("/stats",
        [this](const httplib::Request&, httplib::Response& response) { respondJson(response, 200, stats()); });
    registerOperatorHandlers(server);
    // Handlers throw for invalid requests: an Error of this program or an exception of the JSON library.
    server.set_exception_handler([](const httplib::Request&, httplib::Response& response, std::exception_ptr fault) {
        try {
            std::rethrow_exception(std::move(fault));
        } catch (const std::exception& error) {
            respondJson(response, 400, { { "error", error.what() } });
        }
    });
}

void PlatformStandin::registerOperatorHandlers(httplib::Server& server)
{
    server.Put(R"(/publish/(.+))", [this](const httplib::Request& request, httplib::Response& response) {
        const Revision revision = publish(request.matches[1], request.body);
        respondJson(response, 200, { { "revision", revision.value() } });
    });
    server.Delete(R"(/publish/(.+))", [this](const httplib::Request& request, httplib::Response& response) {
        const std::lock_guard lock(m_mutex);
        const Revision revision = m_store.remove(request.matches[1], now());
        m_changed.notify_all();
        respondJson(response, 200, { { "revision", revision.value() } });
    });
    server.Post("/instances", [this](const httplib::Request& request, httplib::Response& response) {
        setInstance(instanceRecordFromJson(nlohmann::json::parse(request.body)));
        respondJson(response, 200, nlohmann::json::object());
    });
    server.Delete(R"(/instances/(.+))", [this](const httplib::Request& request, httplib::Response& response) {
        const std::lock_guard lock(m_mutex);
        const bool isKnown = m_store.removeInstance(InstanceId(request.matches[1]), now());
        respondJson(response, isKnown ? 200 : 404, nlohmann::json::object());
    });
    server.Post("/fault", [this](const httplib::Request& request, httplib::Response& response) {
        setFaults(nlohmann::json::parse(request.body));
        respondJson(response, 200, nlohmann::json::object());
    });
}

} // namespace skylark
