#include "source/PlatformClient.h"

#include "base/Log.h"
#include "base/Socket.h"

#include <cerrno>
#include <charconv>
#include <condition_variable>
#include <cstring>
#include <httplib.h>
#include <mutex>
#include <nlohmann/json.hpp>

namespace skylark {

namespace {

    // Upper bound per entry of a watch response, which is a short key and a number.
    constexpr size_t bytesPerChangedKey = 512;

    struct GetRequest {
        std::string step;
        std::string path;
        Duration timeout;
        size_t maxBytes;
    };

    struct GetResponse {
        int status { 0 };
        httplib::Headers headers;
        std::string body;
    };

} // namespace

const char* platformFailureName(PlatformFailure failure)
{
    switch (failure) {
    case PlatformFailure::Unreachable:
        return "unreachable";
    case PlatformFailure::TimedOut:
        return "timed-out";
    case PlatformFailure::RateLimited:
        return "rate-limited";
    case PlatformFailure::Cancelled:
        return "cancelled";
    case PlatformFailure::BadAnswer:
        return "bad-answer";
    case PlatformFailure::TooLarge:
        return "too-large";
    }
    return "unknown";
}

// A persistent connection that runs one call at a time.
class PlatformClient::Connection {
public:
    explicit Connection(const PlatformClientOptions& options)
        : m_peer(options.platform.toString())
        , m_client(options.platform.host, options.platform.port)
    {
        m_client.set_keep_alive(true);
        m_client.set_tcp_nodelay(true);
        // A watch waits for seconds, and on a connection that the path has forgotten it would never end.
        m_client.set_socket_options([](socket_t socket) {
            if (!enableKeepAlive(socket))
                logEvent(LogLevel::Warning, "keep-alive-failed", { { "reason", std::strerror(errno) } });
        });
        m_client.set_connection_timeout(options.timeout);
        m_client.set_write_timeout(options.timeout);
    }

    GetResponse get(const GetRequest& request)
    {
        const std::lock_guard call(m_callMutex);
        begin(request);
        try {
            GetResponse response = perform(request);
            end();
            return response;
        } catch (...) {
            end();
            throw;
        }
    }

    // A call that is still connecting has no socket to shut down, so stop() is repeated until the call has ended.
    void cancel()
    {
        std::unique_lock state(m_stateMutex);
        m_isCancelled = true;
        while (m_isRunning) {
            state.unlock();
            m_client.stop();
            state.lock();
            m_callEnded.wait_for(state, std::chrono::milliseconds(10), [this] { return !m_isRunning; });
        }
    }

    void resume()
    {
        const std::lock_guard state(m_stateMutex);
        m_isCancelled = false;
    }

    [[noreturn]] void fail(PlatformFailure kind, const std::string& step, const std::string& message) const
    {
        throw PlatformError(kind, { .step = step, .peer = m_peer, .message = message });
    }

private:
    void begin(const GetRequest& request)
    {
        const std::lock_guard state(m_stateMutex);
        if (m_isCancelled)
            fail(PlatformFailure::Cancelled, request.step, "PlatformClient::cancel() aborted the call");
        m_isRunning = true;
    }

    void end()
    {
        const std::lock_guard state(m_stateMutex);
        m_isRunning = false;
        m_callEnded.notify_all();
    }

    bool isCancelled()
    {
        const std::lock_guard state(m_stateMutex);
        return m_isCancelled;
    }

    GetResponse perform(const GetRequest& request)
    {
        const TimePoint deadline = std::chrono::steady_clock::now() + request.timeout;
        const auto isPastDeadline = [deadline] { return std::chrono::steady_clock::now() >= deadline; };
        m_client.set_read_timeout(request.timeout);
        GetResponse response;
        bool isTooLarge = false;
        const httplib::Result result = m_client.Get(
            request.path,
            [&](const httplib::Response& head) {
                response.status = head.status;
                response.headers = head.headers;
                return true;
            },
            // The library restarts its read timeout with each part, so the deadline of the whole response is checked
            // here.
            [&](const char* data, size_t size) {
                isTooLarge = response.body.size() + size > request.maxBytes;
                if (isTooLarge || isPastDeadline())
                    return false;
                response.body.append(data, size);
                return true;
            });
        if (isCancelled())
            fail(PlatformFailure::Cancelled, request.step, "PlatformClient::cancel() aborted the call");
        if (isTooLarge)
            fail(PlatformFailure::TooLarge, request.step,
                "the response to " + request.path + " is larger than " + std::to_string(request.maxBytes) + " bytes");
        if (result)
            return response;
        const bool isTimeout = isPastDeadline() || result.error() == httplib::Error::ConnectionTimeout;
        fail(isTimeout ? PlatformFailure::TimedOut : PlatformFailure::Unreachable, request.step,
            "the request for " + request.path + " failed: " + httplib::to_string(result.error()));
    }

    std::string m_peer;
    std::mutex m_callMutex;
    std::mutex m_stateMutex;
    std::condition_variable m_callEnded;
    bool m_isCancelled { false };
    bool m_isRunning { false };
    httplib::Client m_client;
};

PlatformClient::PlatformClient(PlatformClientOptions options)
    : m_options(std::move(options))
    , m_readConnection(std::make_unique<Connection>(m_options))
    , m_watchConnection(std::make_unique<Connection>(m_options))
{
}

PlatformClient::~PlatformClient() = default;

ReadResult PlatformClient::read(const std::string& key)
{
    const std::string step = "read-source";
    const GetResponse response = m_readConnection->get(
        { .step = step, .path = "/v1/kv/" + key, .timeout = m_options.timeout, .maxBytes = m_options.maxValueBytes });
    const auto revisionHeader = [&](const char* name) {
        const auto header = response.headers.find(name);
        const std::string text = header == response.headers.end() ? "" : header->second;
        uint64_t value = 0;
        const auto [end, code] = std::from_chars(text.data(), text.data() + text.size(), value);
        if (text.empty() || code != std::errc() || end != text.data() + text.size())
            m_readConnection->fail(PlatformFailure::BadAnswer, step,
                "the response for key " + key + " has the header " + name + ": \"" + text
                    + "\", expected a non-negative integer");
        return Revision(value);
    };
    switch (response.status) {
    case 200:
        return { .value = response.body,
            .keyRevision = revisionHeader("X-Revision"),
            .storeRevision = revisionHeader("X-Store-Revision") };
    case 404:
        return { .storeRevision = revisionHeader("X-Store-Revision") };
    case 429:
        m_readConnection->fail(PlatformFailure::RateLimited, step,
            "the platform rejected the read of key " + key + " with status 429 (rate limit)");
    default:
        m_readConnection->fail(PlatformFailure::BadAnswer, step,
            "the read of key " + key + " returned status " + std::to_string(response.status)
                + ", expected 200, 404 or 429");
    }
}

WatchResult PlatformClient::watch(const std::string& prefix, Revision afterRevision, Duration wait)
{
    const std::string step = "watch-source";
    const auto waitMs = std::chrono::duration_cast<std::chrono::milliseconds>(wait).count();
    const GetResponse response = m_watchConnection->get({ .step = step,
        .path = httplib::append_query_params("/v1/watch",
            { { "prefix", prefix }, { "after", std::to_string(afterRevision.value()) },
                { "waitMs", std::to_string(waitMs) } }),
        .timeout = wait + m_options.timeout,
        .maxBytes = m_options.maxChangedKeys * bytesPerChangedKey });
    if (response.status == 429)
        m_watchConnection->fail(PlatformFailure::RateLimited, step,
            "the platform rejected the watch of prefix " + prefix + " with status 429 (rate limit)");
    if (response.status != 200)
        m_watchConnection->fail(PlatformFailure::BadAnswer, step,
            "the watch of prefix " + prefix + " returned status " + std::to_string(response.status)
                + ", expected 200 or 429");
    try {
        const auto document = nlohmann::json::parse(response.body);
        const auto revisionOf = [&](const nlohmann::json& object) {
            const auto& revision = object.at("revision");
            if (!revision.is_number_unsigned())
                m_watchConnection->fail(PlatformFailure::BadAnswer, step,
                    "the response to the watch of prefix " + prefix
                        + " has a revision that is not a non-negative integer");
            return Revision(revision.get<uint64_t>());
        };
        WatchResult result { .storeRevision = revisionOf(document) };
        const auto& changed = document.at("changed");
        if (changed.size() > m_options.maxChangedKeys)
            m_watchConnection->fail(PlatformFailure::TooLarge, step,
                "the response to the watch of prefix " + prefix + " has " + std::to_string(changed.size())
                    + " changed keys, more than the limit of " + std::to_string(m_options.maxChangedKeys));
        for (const auto& item : changed) {
            result.changed.push_back({ .key = item.at("key").get<std::string>(),
                .revision = revisionOf(item),
                .isDeleted = item.value("deleted", false) });
        }
        return result;
    } catch (const nlohmann::json::exception& error) {
        m_watchConnection->fail(PlatformFailure::BadAnswer, step,
            "the response to the watch of prefix " + prefix + " is not valid: " + error.what());
    }
}

void PlatformClient::cancel()
{
    m_readConnection->cancel();
    m_watchConnection->cancel();
}

void PlatformClient::resume()
{
    m_readConnection->resume();
    m_watchConnection->resume();
}

} // namespace skylark
