#include "node/tests/TestFleet.h"

#include <nlohmann/json.hpp>
#include <stdexcept>
#include <thread>

namespace skylark {

using namespace std::chrono_literals;

namespace {

    constexpr const char* globalText = R"({"section": "global", "ranks": [
  {"name": "urgent", "target": "200ms", "floor": 0.3, "worth": 100},
  {"name": "normal", "target": "1s", "floor": 0.2, "worth": 10}]})";

    std::string sectionText(const std::string& deadline)
    {
        nlohmann::json routes = nlohmann::json::array();
        const auto addRoute = [&](const char* name, const char* prefix, const char* rank,
                                  const std::string& routeDeadline, bool isIdempotent) {
            routes.push_back(
                { { "name", name }, { "host", "" }, { "pathPrefix", prefix }, { "methods", nlohmann::json::array() },
                    { "service", "pitch" }, { "rank", rank }, { "deadline", routeDeadline }, { "worth", 1 },
                    { "idempotent", isIdempotent }, { "retries", isIdempotent ? 2 : 1 } });
        };
        addRoute("lookup", "/pitches", "urgent", deadline, true);
        addRoute("echo", "/echo", "normal", "10s", true);
        addRoute("cut", "/cut", "normal", "2s", false);
        addRoute("cut-once", "/export", "normal", "5s", true);
        addRoute("fee", "/fees", "urgent", "3s", false);
        addRoute("slow", "/slow", "normal", "400ms", false);
        return nlohmann::json {
            { "section", "registration" }, { "owner", "registration-team" },
            { "services",
                { { { "name", "pitch" }, { "port", 8080 }, { "slots", 8 }, { "connections", 64 },
                    { "healthPath", "/health" } } } },
            { "routes", routes }, { "limits", { { "maxBodyBytes", 16'000'000 }, { "maxQueue", 64 } } }
        }.dump();
    }

    bool waitUntil(const std::function<bool()>& condition, Duration timeout)
    {
        const auto deadline = std::chrono::steady_clock::now() + timeout;
        while (!condition()) {
            if (std::chrono::steady_clock::now() >= deadline)
                return false;
            std::this_thread::sleep_for(20ms);
        }
        return true;
    }

    // Declares a Content-Length of `size` bytes and ends the body after about `sent` of them.
    void sendTruncatedResponse(httplib::Response& response, size_t size, size_t sent)
    {
        response.set_content_provider(size, "text/plain", [sent](size_t offset, size_t, httplib::DataSink& sink) {
            const std::string part(100'000, 'x');
            return offset < sent && sink.write(part.data(), part.size());
        });
    }

} // namespace

TestBackend::TestBackend()
{
    const auto handler
        = [this](const httplib::Request& request, httplib::Response& response) { handle(request, response); };
    m_service = std::make_unique<HttpService>(
        HttpServiceOptions { .threads = 64, .maxBodyBytes = 32u << 20 }, [&](httplib::Server& server) {
            server.Get(".*", handler);
            server.Post(".*", handler);
        });
}

void TestBackend::handle(const httplib::Request& request, httplib::Response& response)
{
    {
        const std::lock_guard lock(m_mutex);
        ++m_executions[request.get_header_value("X-Test-Id")];
        ++m_totalExecutions;
    }
    if (request.path.starts_with("/echo")) {
        response.set_content(request.body, "application/octet-stream");
    } else if (request.path.starts_with("/cut")) {
        sendTruncatedResponse(response, 1'000'000, 500'000);
    } else if (request.path.starts_with("/export")) {
        constexpr size_t size = 200'000;
        sendTruncatedResponse(response, size, s_hasTruncatedExport.exchange(true) ? size : size / 2);
    } else if (request.path.starts_with("/fees/relayed-refusal")) {
        response.status = 503;
        response.set_header("Skylark-Outcome", "not-run");
    } else {
        if (request.has_header("X-Test-Delay-Ms"))
            std::this_thread::sleep_for(
                std::chrono::milliseconds(std::stoi(request.get_header_value("X-Test-Delay-Ms"))));
        response.set_header("X-Test-Echo", request.get_header_value("X-Test-Id"));
        response.set_content("answer to " + request.get_header_value("X-Test-Id"), "text/plain");
    }
}

int TestBackend::executions(const std::string& id)
{
    const std::lock_guard lock(m_mutex);
    return m_executions[id];
}

int TestBackend::totalExecutions()
{
    const std::lock_guard lock(m_mutex);
    return m_totalExecutions;
}

TestFleet::TestFleet(int count)
    : m_platform(std::make_unique<PlatformStandin>(PlatformStandinOptions { .threads = 64, .listLag = 50ms }))
{
    publish(1);
    for (int number = 0; number < count; ++number)
        addInstance(number);
    const auto areAllReady = [&] {
        for (size_t index = 0; index < size(); ++index) {
            const nlohmann::json state = m_instances[index]->node->state();
            if (state["version"] != 1 || !state["isServing"] || state["instances"].size() != size())
                return false;
        }
        return true;
    };
    if (!waitUntil(areAllReady, 15s)) {
        std::string states;
        for (const auto& instance : m_instances)
            states += instance->node->state().dump() + "\n";
        throw std::runtime_error("the fleet did not become ready in 15 s: " + states);
    }
    // The caller servers start serving at the next tick of the control loop.
    std::this_thread::sleep_for(250ms);
}

void TestFleet::addInstance(int number)
{
    auto instance = std::make_unique<TestInstance>();
    instance->backend = std::make_unique<TestBackend>();
    NodeSettings settings;
    settings.instance = InstanceId("instance-" + std::to_string(number));
    settings.incarnation = Incarnation(1);
    settings.service = ServiceName("pitch");
    settings.zone = ZoneName("zone-" + std::to_string(number % 3));
    settings.callerAddress.port = 0;
    settings.peerAddress.port = 0;
    settings.adminAddress.port = 0;
    settings.backendAddress = instance->backend->address();
    settings.platformAddress = m_platform->address();
    settings.callerThreads = 32;
    if (!m_instances.empty())
        settings.peers.push_back(m_instances.front()->record.peer);
    instance->node = std::make_unique<Node>(settings, m_clock);
    instance->record = { .id = settings.instance,
        .incarnation = settings.incarnation,
        .peer = instance->node->peerAddress(),
        .service = settings.service,
        .zone = settings.zone,
        .region = settings.region };
    m_platform->setInstance(instance->record);
    instance->node->start();
    m_instances.push_back(std::move(instance));
}

void TestFleet::publishSections(uint64_t version, const std::map<std::string, std::string>& texts)
{
    Manifest manifest { .version = VersionNumber(version), .revision = {}, .sections = {} };
    for (const auto& [name, text] : texts) {
        const Digest digest = digestOf(text);
        manifest.sections[SectionName(name)] = digest;
        m_platform->publish("skylarkbay/sections/" + name + "/" + digest.hex(), text);
    }
    m_platform->publish("skylarkbay/manifest", manifestToJson(manifest));
}

void TestFleet::publish(uint64_t version, const std::string& deadline)
{
    publishSections(version, { { "global", globalText }, { "registration", sectionText(deadline) } });
}

void TestFleet::publishInvalid(uint64_t version)
{
    std::string text = sectionText("1s");
    text.replace(text.find("\"pitch\""), 7, "\"other\"");
    publishSections(version, { { "global", globalText }, { "registration", text } });
}

bool TestFleet::waitForVersion(uint64_t version, Duration timeout)
{
    return waitUntil(
        [&] {
            for (size_t index = 0; index < size(); ++index) {
                if (versionOf(index) != version)
                    return false;
            }
            return true;
        },
        timeout);
}

uint64_t TestFleet::versionOf(size_t index) { return m_instances[index]->node->status()["version"].get<uint64_t>(); }

httplib::Client TestFleet::client(size_t index)
{
    httplib::Client client("127.0.0.1", m_instances[index]->node->callerPort());
    client.set_keep_alive(true);
    client.set_tcp_nodelay(true);
    client.set_read_timeout(15s);
    return client;
}

} // namespace skylark
