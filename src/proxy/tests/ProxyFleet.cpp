#include "proxy/tests/ProxyFleet.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>
#include <httplib.h>
#include <unistd.h>

namespace skylark {

namespace {

    using namespace std::chrono_literals;

    constexpr uint16_t callerPortOffset = 0;
    constexpr uint16_t readyPortOffset = 1;
    constexpr uint16_t peerPortOffset = 2;
    constexpr uint16_t metricsPortOffset = 3;
    constexpr uint16_t serverPortOffset = 4;
    constexpr uint16_t portsPerFleet = 5;

    // Each fleet in a test process uses its own ports, below the ephemeral port range.
    uint16_t nextFirstPort()
    {
        static std::atomic<uint16_t> next { static_cast<uint16_t>(12000 + getpid() % 1500 * 10) };
        return next.fetch_add(portsPerFleet);
    }

    std::shared_ptr<const Configuration> decodeTestConfiguration(const std::string& text, Revision revision)
    {
        const std::vector<std::string> parts = absl::StrSplit(text, ' ');
        uint64_t version = 0;
        int64_t timeout = 0;
        ServicePolicy policy { .name = ServiceName("work"), .coldStart = 10s };
        const bool hasColdRate = parts.size() == 3 && absl::SimpleAtod(parts[2], &policy.coldRequestsPerSecond);
        if ((parts.size() != 2 && !hasColdRate) || !absl::SimpleAtoi(parts[0], &version)
            || !absl::SimpleAtoi(parts[1], &timeout))
            throw Error({ .step = "decode-test-configuration",
                .message = "the test configuration is not of the form \"VERSION timeout-ms [cold-per-s]\"" });
        const auto route = [timeout](const char* name, const char* prefix, bool isIdempotent, int rank) {
            return Route { .name = name,
                .pathPrefix = prefix,
                .service = ServiceName("work"),
                .rank = rank,
                .deadline = std::chrono::milliseconds(timeout),
                .isIdempotent = isIdempotent,
                .retries = 1,
                .isSubtreeOnly = true };
        };
        Route unsupported = route("unsupported", "/read/unsupported", true, 0);
        unsupported.service = ServiceName();
        unsupported.hasUnknownAction = true;
        return std::make_shared<const Configuration>(
            Manifest { .version = VersionNumber(version), .revision = revision },
            std::vector<RankPolicy> {
                { .name = RankName("0"), .target = 100ms }, { .name = RankName("1"), .target = 200ms } },
            std::map<ServiceName, ServicePolicy> { { ServiceName("work"), policy } },
            std::vector<Route> { route("read", "/read", true, 0), route("pay", "/pay", false, 1), unsupported });
    }

    ServerEntry decodeTestServer(const SourceItem& item)
    {
        ServerEntry entry { .id = InstanceId(item.key.substr(std::string("servers/").size())),
            .revision = item.revision };
        if (item.isDeleted)
            return entry;
        // "ADDRESS INCARNATION draining|ready", then the heartbeat's number if it is known, then the service if it is
        // not "work" or the remaining cold time follows, in milliseconds.
        const std::vector<std::string> parts = absl::StrSplit(item.value, ' ');
        constexpr size_t heartbeatPart = 3;
        constexpr size_t servicePart = 4;
        constexpr size_t coldPart = 5;
        entry.record = ServerRecord { .id = entry.id,
            .incarnation = Incarnation(std::stoull(parts.at(1))),
            .service = ServiceName("work"),
            .zone = ZoneName("zone"),
            .address = Endpoint::fromString(parts.at(0)),
            .slots = 8,
            .isDraining = parts.at(2) == "draining" };
        if (parts.size() > heartbeatPart)
            entry.record->heartbeat = HeartbeatNumber(std::stoull(parts[heartbeatPart]));
        if (parts.size() > servicePart)
            entry.record->service = ServiceName(parts[servicePart]);
        if (parts.size() > coldPart)
            entry.record->remainingSlowStart = std::chrono::milliseconds(std::stoll(parts[coldPart]));
        return entry;
    }

    std::optional<EvacuationEntry> decodeTestEvacuation(const SourceItem& item)
    {
        const std::string prefix = "op/evacuate/";
        if (item.key.rfind(prefix, 0) != 0)
            return std::nullopt;
        return EvacuationEntry {
            .zone = ZoneName(item.key.substr(prefix.size())), .revision = item.revision, .isEvacuated = !item.isDeleted
        };
    }

} // namespace

// One connection to the server; a timer simulates the work.
class TestServer::Connection final : public StreamHandler, public std::enable_shared_from_this<Connection> {
public:
    Connection(TestServer& server, std::unique_ptr<TcpStream> stream)
        : m_server(server)
        , m_stream(std::move(stream))
        , m_parser({})
        , m_workTimer(server.m_loop, [this] { sendResponse(); })
    {
    }
    void start()
    {
        m_stream->setHandler(*this);
        m_stream->startReading();
    }
    void onData(std::string_view bytes) override
    {
        m_parser.append(bytes);
        if (m_id.empty())
            readNext();
    }
    void onEnd(StreamEnd) override { close(); }

private:
    void readNext()
    {
        const auto request = m_parser.next();
        if (!request)
            return;
        m_id = *findHeader(request->headers, HttpConventions().requestId);
        m_body = request->method + " " + request->target + " " + request->body;
        if (m_server.m_fault == ServerFault::Shed) {
            respond(503, { { HttpConventions().notExecuted, "1" } });
            return;
        }
        if (m_server.m_fault == ServerFault::RefusalBeforeResponse)
            m_stream->write(
                serialize(HttpResponse { .status = 503, .headers = { { HttpConventions().notExecuted, "1" } } }));
        {
            const std::lock_guard lock(m_server.m_mutex);
            m_server.m_executions.insert(m_id);
            m_server.m_requestHeaders[m_id] = request->headers;
        }
        ++m_server.m_runningCount;
        m_isRunning = true;
        m_workTimer.start(std::chrono::milliseconds(m_server.m_workMilliseconds));
    }
    void respond(int status, HttpHeaders headers)
    {
        m_stream->write(serialize(HttpResponse { .status = status, .headers = std::move(headers), .body = m_body }));
        m_id.clear();
        readNext();
    }
    void sendResponse()
    {
        --m_server.m_runningCount;
        m_isRunning = false;
        const auto self = shared_from_this();
        const std::string text
            = serialize(HttpResponse { .status = 200, .headers = m_server.responseHeaders(m_id), .body = m_body });
        if (m_server.m_responseFilter) {
            sendRaw(m_server.m_responseFilter(m_id, text));
            return;
        }
        switch (m_server.m_fault) {
        case ServerFault::DropResponse:
            close();
            return;
        case ServerFault::Truncate:
            m_stream->write(text.substr(0, text.size() - 3));
            TcpStream::closeAfterFlush(std::move(m_stream));
            close();
            return;
        case ServerFault::RefuseAfterRun:
            m_stream->write(
                serialize(HttpResponse { .status = 503, .headers = m_server.responseHeaders(m_id), .body = m_body }));
            break;
        case ServerFault::ExtraResponse:
            m_stream->write(text + text);
            break;
        default:
            m_stream->write(text);
        }
        m_id.clear();
        readNext();
    }
    void sendRaw(const RawResponse& response)
    {
        m_stream->write(response.bytes);
        if (response.ending == RawResponse::Ending::Open) {
            m_id.clear();
            readNext();
            return;
        }
        if (response.ending == RawResponse::Ending::Close)
            TcpStream::closeAfterFlush(std::move(m_stream));
        else
            TcpStream::reset(std::move(m_stream));
        close();
    }
    void close()
    {
        const auto self = shared_from_this();
        if (std::exchange(m_isRunning, false))
            --m_server.m_runningCount;
        m_workTimer.stop();
        m_stream.reset();
        m_server.m_connections.erase(self);
    }

    TestServer& m_server;
    std::unique_ptr<TcpStream> m_stream;
    RequestParser m_parser;
    Timer m_workTimer;
    std::string m_id;
    std::string m_body;
    bool m_isRunning { false };
};

TestServer::TestServer(const Endpoint& address, std::string id, std::string service)
    : m_loop(m_clock)
    , m_id(std::move(id))
    , m_service(std::move(service))
    , m_listener(std::make_unique<TcpListener>(m_loop, address,
          [this](std::unique_ptr<TcpStream> stream) {
              const auto connection = std::make_shared<Connection>(*this, std::move(stream));
              m_connections.insert(connection);
              connection->start();
          }))
    , m_thread([this] { m_loop.run(); })
{
}

TestServer::~TestServer()
{
    m_loop.post([this] {
        m_connections.clear();
        m_listener.reset();
        m_loop.stop();
    });
    m_thread.join();
}

HttpHeaders TestServer::responseHeaders(const std::string& id) const
{
    HttpHeaders headers { { HttpConventions().requestId, id }, { HttpConventions().proof, "proof-" + id } };
    const std::lock_guard lock(m_mutex);
    headers.insert(headers.end(), m_extraHeaders.begin(), m_extraHeaders.end());
    return headers;
}

std::multiset<std::string> TestServer::executions() const
{
    const std::lock_guard lock(m_mutex);
    return m_executions;
}

HttpHeaders TestServer::requestHeaders(const std::string& id) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_requestHeaders.find(id);
    return found == m_requestHeaders.end() ? HttpHeaders() : found->second;
}

const Clock& ProxyFleet::systemClock()
{
    static const SystemClock clock;
    return clock;
}

ProxyFleet::ProxyFleet(
    size_t nodes, const Clock& clock, std::set<size_t> stalledNodes, PeerPath peerPath, std::vector<std::string> zones)
    : m_clock(clock)
    , m_stalledNodes(std::move(stalledNodes))
    , m_peerPath(peerPath)
    , m_zones(std::move(zones))
    , m_firstPort(nextFirstPort())
    , m_nodes(nodes)
{
    configure(1, 1000);
    for (size_t index = 0; index < nodes; ++index) {
        if (m_peerPath == PeerPath::Relayed)
            m_nodes[index].relay = std::make_unique<TcpRelay>(
                peerAddress(index), Endpoint { relayedHostOf(index), peerAddress(index).port });
        m_nodes[index].server = std::make_unique<TestServer>(serverAddress(index), "s" + std::to_string(index), "work");
        putServerEntry(index, false, 1);
        if (!m_stalledNodes.contains(index))
            startNode(index);
    }
    // A stalled node reads only its first listing, so it starts after all servers are listed.
    for (const size_t index : m_stalledNodes)
        startNode(index);
}

ProxyFleet::~ProxyFleet()
{
    // Stops all nodes simultaneously, since each stop takes the full grace period for callers.
    for (Node& node : m_nodes) {
        if (node.node)
            node.node->requestStop();
    }
    for (size_t index = 0; index < m_nodes.size(); ++index)
        stopNode(index);
}

void ProxyFleet::silencePeerConnections()
{
    for (const Node& node : m_nodes)
        node.relay->silenceConnections();
}

Endpoint ProxyFleet::callerAddress(size_t index) const
{
    return { hostOf(index), static_cast<uint16_t>(m_firstPort + callerPortOffset) };
}
Endpoint ProxyFleet::readyAddress(size_t index) const
{
    return { hostOf(index), static_cast<uint16_t>(m_firstPort + readyPortOffset) };
}
Endpoint ProxyFleet::peerAddress(size_t index) const
{
    return { hostOf(index), static_cast<uint16_t>(m_firstPort + peerPortOffset) };
}
Endpoint ProxyFleet::adminAddress(size_t index) const
{
    return { hostOf(index), static_cast<uint16_t>(m_firstPort + metricsPortOffset) };
}

Endpoint ProxyFleet::serverAddress(size_t index) const
{
    return { hostOf(index), static_cast<uint16_t>(m_firstPort + serverPortOffset) };
}

void ProxyFleet::putForeignEntry(const std::string& id, const std::string& service, const Endpoint& address)
{
    m_store.put("servers/" + id, address.toString() + " 99 ready 1 " + service);
}

void ProxyFleet::configure(uint64_t version, int timeoutMilliseconds, std::optional<double> coldRequestsPerSecond)
{
    m_store.put("op/config",
        std::to_string(version) + " " + std::to_string(timeoutMilliseconds)
            + (coldRequestsPerSecond ? " " + std::to_string(*coldRequestsPerSecond) : ""));
}

void ProxyFleet::putHeartbeat(size_t index, uint64_t heartbeat, Duration remainingCold)
{
    m_store.put(serverKey(index),
        serverAddress(index).toString() + " 1 ready " + std::to_string(heartbeat) + " work "
            + std::to_string(remainingCold / 1ms));
}

void ProxyFleet::putServerEntry(size_t index, bool isDraining, uint64_t incarnation, std::optional<uint64_t> heartbeat)
{
    m_store.put(serverKey(index),
        serverAddress(index).toString() + " " + std::to_string(incarnation) + (isDraining ? " draining" : " ready")
            + (heartbeat ? " " + std::to_string(*heartbeat) : ""));
}

ServerEntry ProxyFleet::decodeServer(const SourceItem& item) const
{
    ServerEntry entry = decodeTestServer(item);
    for (size_t index = 0; entry.record && index < m_nodes.size(); ++index) {
        if (entry.record->address.host == hostOf(index))
            entry.record->zone = zoneOf(index);
    }
    return entry;
}

void ProxyFleet::startNode(size_t index, Duration listingDelay)
{
    Node& node = m_nodes[index];
    auto source = std::make_unique<FakeSource>(m_store);
    node.source = source.get();
    source->setListingDelay(listingDelay);
    if (m_stalledNodes.contains(index))
        source->blockWatches();
    PlatformAdapter adapter { .source = std::move(source),
        .entrySource = std::make_unique<FakeSource>(m_store),
        .serverKey = [](const InstanceId& id) { return "servers/" + id.value(); },
        .watcher = { .watchWait = 500ms },
        .isConfiguration = [](const SourceItem& item) { return item.key == "op/config"; },
        .decodeConfiguration = decodeTestConfiguration,
        .isServer = [](const SourceItem& item) { return item.key.rfind("servers/", 0) == 0; },
        .decodeServer = [this](const SourceItem& item) { return decodeServer(item); },
        .decodeEvacuation = decodeTestEvacuation };
    ProxySettings settings { .instance = "node" + std::to_string(index),
        .zone = zoneOf(index),
        .service = ServiceName("work"),
        .callerAddress = callerAddress(index),
        .readyAddress = readyAddress(index),
        .peerAddress = peerAddress(index),
        .metricsAddress = adminAddress(index),
        .serverAddress = serverAddress(index),
        .sourceAddress = { hostOf(index), 1 },
        .sourceInterval = 20ms,
        .linkBitsPerSecond = m_linkBitsPerSecond };
    for (const std::string& zone : m_zones)
        settings.regions.emplace(ZoneName(zone), RegionName("region"));
    if (m_peerPath == PeerPath::Relayed) {
        settings.advertisedHost = hostOf(index);
        settings.peerAddress.host = relayedHostOf(index);
    }
    node.node = std::make_unique<ProxyNode>(settings, std::move(adapter), m_clock);
    node.thread = std::thread([&node] { node.node->run(); });
}

void ProxyFleet::stopNode(size_t index)
{
    Node& node = m_nodes[index];
    if (!node.node)
        return;
    node.node->requestStop();
    node.thread.join();
    node.node.reset();
}

bool ProxyFleet::waitUntilReady()
{
    constexpr int maxAttempts = 100;
    for (size_t index = 0; index < m_nodes.size(); ++index) {
        bool isReady = false;
        for (int attempt = 0; attempt < maxAttempts && !isReady; ++attempt) {
            httplib::Client client(readyAddress(index).host, readyAddress(index).port);
            const auto response = client.Get("/ready");
            isReady = response && response->status == 200;
            if (!isReady)
                std::this_thread::sleep_for(50ms);
        }
        if (!isReady)
            return false;
    }
    // Gives all nodes time to read the entries of all servers.
    std::this_thread::sleep_for(200ms);
    return true;
}

double stateValue(const Endpoint& admin, const std::string& name)
{
    httplib::Client client(admin.host, admin.port);
    const auto page = client.Get("/metrics");
    const std::string line = "\nskylark_state{value=\"" + name + "\"} ";
    const size_t found = page ? page->body.find(line) : std::string::npos;
    return found == std::string::npos ? -1 : std::stod(page->body.substr(found + line.size()));
}

TestResponse sendRequest(const Endpoint& node, const std::string& id, const std::string& path, const std::string& body,
    int deadlineMilliseconds)
{
    httplib::Client client(node.host, node.port);
    client.set_read_timeout(5);
    const httplib::Headers headers { { HttpConventions().requestId, id },
        { HttpConventions().deadline, std::to_string(deadlineMilliseconds) } };
    const auto response = body.empty() ? client.Get(path, headers) : client.Post(path, headers, body, "text/plain");
    if (!response)
        return {};
    return { .status = response->status,
        .body = response->body,
        .retryAfter = response->get_header_value("Retry-After"),
        .proof = response->get_header_value(HttpConventions().proof) };
}

} // namespace skylark
