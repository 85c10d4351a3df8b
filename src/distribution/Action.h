// Actions that a Distributor returns for the daemon to execute. The daemon executes the actions of one list in order.
#pragma once

#include "base/Log.h"
#include "document/Configuration.h"
#include "membership/MembershipView.h"
#include "wire/Messages.h"

#include <variant>

namespace skylark {

// Sends a message to a peer. The id is empty if only the address is known, as for the peers in the settings.
// If the message cannot be sent, the daemon calls Distributor::sendFailed().
struct Send {
    InstanceId to;
    Endpoint endpoint;
    Message message;
};

// Waits for changes under the prefix "skylarkbay/" after a revision. The daemon reports the result with
// Distributor::watchSucceeded() or watchFailed() and the same number.
struct Watch {
    uint64_t number { 0 };
    std::string prefix;
    Revision after;
    Duration wait {};
};

// Reads one key. The daemon reports the result with Distributor::readSucceeded() or readFailed() and the same number.
struct ReadKey {
    uint64_t number { 0 };
    std::string key;
};

// Makes a configuration the current one: the daemon stores it where the request path reads it.
struct PublishConfiguration {
    std::shared_ptr<const Configuration> configuration;
};

struct PublishMembership {
    std::shared_ptr<const MembershipView> view;
};

// Writes one line to the log. Events that peers can trigger are already rate-limited.
struct ReportEvent {
    LogLevel level { LogLevel::Info };
    std::string event;
    LogFields fields;
};

using Action = std::variant<Send, Watch, ReadKey, PublishConfiguration, PublishMembership, ReportEvent>;

// A changed key in the response to a watch.
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
    // False if the key does not exist.
    bool isFound { true };
    // The revision that last changed the key.
    Revision revision;
    std::string value;
};

} // namespace skylark
