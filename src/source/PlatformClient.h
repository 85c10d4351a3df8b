// Client of the platform's configuration service: reads a key, or waits for changes under a prefix.
//
//     PlatformClient client({ .platform = Endpoint::fromString("127.0.0.1:5000") });
//     WatchResult result = client.watch("skylarkbay/", Revision(0), std::chrono::seconds(10));
//     ReadResult manifest = client.read("skylarkbay/manifest");
//
// Each call blocks and counts against the platform's budget of about 2,000 calls per second over all readers, so
// callers limit their rate with a token bucket. Reads and watches use one persistent connection each: one read and one
// watch may run at the same time, and further ones queue. Every failure is a PlatformError whose kind() tells what to
// do next; the client itself never retries.
#pragma once

#include "base/Error.h"
#include "base/Types.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace skylark {

enum class PlatformFailure {
    // The connection failed, or broke before the response was complete.
    Unreachable,
    // No complete response arrived within the time limit.
    TimedOut,
    // The platform answered 429; back off.
    RateLimited,
    // cancel() was called.
    Cancelled,
    // The response has a status, header or body outside the protocol.
    BadAnswer,
    // The value is larger than maxValueBytes.
    TooLarge,
};

const char* platformFailureName(PlatformFailure failure);

class PlatformError : public Error {
public:
    PlatformError(PlatformFailure kind, ErrorDetails details)
        : Error(std::move(details))
        , m_kind(kind)
    {
    }
    PlatformFailure kind() const { return m_kind; }

private:
    PlatformFailure m_kind;
};

struct ReadResult {
    // None when the key does not exist.
    std::optional<std::string> value;
    // Revision of the key's last change; 0 for an absent key.
    Revision keyRevision;
    // Revision of the whole store at the time of the response.
    Revision storeRevision;
};

struct ChangedKey {
    std::string key;
    Revision revision;
    bool isDeleted { false };

    bool operator==(const ChangedKey&) const = default;
};

struct WatchResult {
    // Pass this to the next watch() as afterRevision. Lower than the requested revision when the store is stale.
    Revision storeRevision;
    // Empty when nothing changed within the wait.
    std::vector<ChangedKey> changed;
};

struct PlatformClientOptions {
    Endpoint platform;
    // Time limit of a read; a watch may take this much longer than its wait.
    Duration timeout { std::chrono::seconds(2) };
    // Larger values are rejected.
    size_t maxValueBytes { 1 << 20 };
    // Watch responses with more changed keys are rejected.
    size_t maxChangedKeys { 65'536 };
};

class PlatformClient {
public:
    explicit PlatformClient(PlatformClientOptions options);
    ~PlatformClient();
    PlatformClient(const PlatformClient&) = delete;
    PlatformClient& operator=(const PlatformClient&) = delete;

    ReadResult read(const std::string& key);
    // Returns the keys under the prefix that changed after the revision, and waits at most `wait` for a change. After
    // revision 0 it returns all keys immediately.
    WatchResult watch(const std::string& prefix, Revision afterRevision, Duration wait);

    // Aborts running calls and makes all later ones fail with Cancelled until resume(). Thread-safe; returns when the
    // running calls have ended.
    void cancel();
    void resume();

private:
    class Connection;
    PlatformClientOptions m_options;
    std::unique_ptr<Connection> m_readConnection;
    std::unique_ptr<Connection> m_watchConnection;
};

} // namespace skylark
