// What an adapter gives the node: the source, and how its items are decoded into the project's types.
#pragma once

#include "document/Configuration.h"
#include "membership/ServerDirectory.h"
#include "proxy/HttpConventions.h"
#include "source/SourceWatcher.h"

#include <functional>
#include <memory>
#include <string>

namespace skylark {

// A version of the configuration with the text that it was decoded from.
struct ConfigurationUpdate {
    std::shared_ptr<const Configuration> configuration;
    // Its text, plain from the source or compressed from a peer.
    std::string text;
    std::string compressed;
};

// The functions are called on the loop's and the watcher's thread.
struct PlatformAdapter {
    std::unique_ptr<KeyValueSource> source;
    SourceWatcherOptions watcher;
    HttpConventions httpConventions;
    std::function<bool(const SourceItem&)> isConfiguration;
    // Throws Error for a text that is not a whole, consistent configuration.
    std::function<std::shared_ptr<const Configuration>(const std::string& text, Revision revision)> decodeConfiguration;
    std::function<bool(const SourceItem&)> isServer;
    // A record that names no server that can be used is absent from the entry; the reason is logged by the adapter.
    std::function<ServerEntry(const SourceItem&)> decodeServer;
};

} // namespace skylark
