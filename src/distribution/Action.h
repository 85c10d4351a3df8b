// What a Distributor asks the daemon to do. Actions of one list are executed in order.
#pragma once

#include "base/Log.h"
#include "document/Configuration.h"
#include "membership/MembershipView.h"
#include "wire/Messages.h"

#include <variant>

namespace skylark {

// Sends a message to a peer. The id is empty where only the address is known, as for the peers in the
// settings. When it cannot be sent, call Distributor::sendFailed().
struct Send {
    InstanceId to;
    Endpoint endpoint;
    Message message;
};

// Waits for changes under the prefix "skylarkbay/" after a revision. Answer with watchSucceeded() or
// watchFailed(), each with the same number.
struct Watch {
    uint64_t number { 0 };
    std::string prefix;
    Revision after;
    Duration wait {};
};

// Reads one key. Answer with readSucceeded() or readFailed(), each with the same number.
struct ReadKey {
    uint64_t number { 0 };
    std::string key;
};

// Puts a version in force: store it where the request path reads it.
struct PublishConfiguration {
    std::shared_ptr<const Configuration> configuration;
};

struct PublishMembership {
    std::shared_ptr<const MembershipView> view;
};

// Writes one line to the log. Lines that peers can cause are already rate-limited.
struct ReportEvent {
    LogLevel level { LogLevel::Info };
    std::string event;
    LogFields fields;
};

using Action = std::variant<Send, Watch, ReadKey, PublishConfiguration, PublishMembership, ReportEvent>;

// A key that a watch named.
struct SourceChange {
    std::string key;
    Revision revision;
    bool isDeleted { false };
};

struct WatchResponse {
    // The newest revision of the source.
    Revision revision;
    std::vector<SourceChange> changed;
};

struct ReadResponse {
    // False where the key does not exist.
    bool isFound { true };
    // The revision that last changed the key.
    Revision revision;
    std::string value;
};

} // namespace skylark
