// What a platform provides to the node: the source and the decoders for its items.
#pragma once

#include "document/Configuration.h"
#include "membership/ServerDirectory.h"
#include "membership/ZoneEvacuations.h"
#include "proxy/HttpConventions.h"
#include "source/SourceWatcher.h"

#include <functional>
#include <memory>
#include <string>

namespace skylark {

// A configuration version with the text from which it was decoded.
struct ConfigurationUpdate {
    std::shared_ptr<const Configuration> configuration;
    // `text` is set in an update from the source, `compressed` in one from a peer; the other member is empty.
    std::string text;
    std::string compressed;
};

// The functions are called on the threads of the event loop and of the source watcher.
struct PlatformAdapter {
    std::unique_ptr<KeyValueSource> source;
    // Reads the entry of the local server.
    std::unique_ptr<KeyValueSource> entrySource;
    std::function<std::string(const InstanceId&)> serverKey;
    SourceWatcherOptions watcher;
    HttpConventions httpConventions;
    std::function<bool(const SourceItem&)> isConfiguration;
    // Throws Error if the text is not a complete, consistent configuration.
    std::function<std::shared_ptr<const Configuration>(const std::string& text, Revision revision)> decodeConfiguration;
    std::function<bool(const SourceItem&)> isServer;
    // The entry has no record if the item describes no usable server; the adapter logs the reason.
    std::function<ServerEntry(const SourceItem&)> decodeServer;
    // Empty if the item is not the key of a zone's evacuation; the adapter logs an unreadable entry. May be unset.
    std::function<std::optional<EvacuationEntry>(const SourceItem&)> decodeEvacuation;
};

} // namespace skylark
