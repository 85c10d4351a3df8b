// Client of the platform's configuration service: reads a key, or waits for changes under a prefix.
//
//     PlatformClient client({ .platform = Endpoint::fromString("127.0.0.1:5000") });
//     WatchResult result = client.watch("skylarkbay/", Revision(0), std::chrono::seconds(10));
//     ReadResult manifest = client.read("skylarkbay/manifest");
//
// Each call blocks and costs one call of the platform's budget of about 2,000 a second over all readers,
// so callers bound their rate with a token bucket. Reads and watches use one kept connection each: one
// read and one watch may run at the same time, further ones queue. Every failure is a PlatformError whose
// kind() tells what to do next; the client itself never tries again.
#pragma once

#include "base/Error.h"
#include "base/Types.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace skylark {

enum class PlatformFailure {
    // No connection, or it broke before the answer was whole.
    Unreachable,
    // No whole answer within the time limit.
    TimedOut,
    // The platform answered 429; back off.
    RateLimited,
    // cancel() was called.
    Cancelled,
    // A status, header or body outside the protocol.
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
    // Absent when the key does not exist.
    std::optional<std::string> value;
    // Revision of the key's last change; 0 for an absent key.
    Revision keyRevision;
    // Revision of the whole store when it answered.
    Revision storeRevision;
};

struct ChangedKey {
    std::string key;
    Revision revision;
    bool isDeleted { false };

    bool operator==(const ChangedKey&) const = default;
};

struct WatchResult {
    // Pass it to the next watch() as afterRevision. Below the revision asked for when the store is stale.
    Revision storeRevision;
    // Empty when nothing changed within the wait.
    std::vector<ChangedKey> changed;
};

struct PlatformClientOptions {
    Endpoint platform;
    // Limit of a read; a watch may take this much longer than its wait.
    Duration timeout { std::chrono::seconds(2) };
    // Larger values are refused.
    size_t maxValueBytes { 1 << 20 };
    // A watch answer with more changed keys is refused.
    size_t maxChangedKeys { 65'536 };
};

class PlatformClient {
public:
    explicit PlatformClient(PlatformClientOptions options);
    ~PlatformClient();
    PlatformClient(const PlatformClient&) = delete;
    PlatformClient& operator=(const PlatformClient&) = delete;

    ReadResult read(const std::string& key);
    // Gives the keys under the prefix that changed after the revision, waiting for a change at most so
    // long. After revision 0 it gives all keys at once.
    WatchResult watch(const std::string& prefix, Revision afterRevision, Duration wait);

    // Ends the calls that run and fails all later ones with Cancelled, until resume(). May be called from
    // any thread; returns when the running calls have ended.
    void cancel();
    void resume();

private:
    class Connection;
    PlatformClientOptions m_options;
    std::unique_ptr<Connection> m_readConnection;
    std::unique_ptr<Connection> m_watchConnection;
};

} // namespace skylark
