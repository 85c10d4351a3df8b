// Decodes what the watcher reads, on the watcher's thread, and hands the results over on the loop.
//
// Of several versions of the configuration in one answer only the last is decoded, and none again that a listing brings
// once more. One that cannot be decoded is logged and changes nothing.
#pragma once

#include "eventloop/EventLoop.h"
#include "proxy/PlatformAdapter.h"

#include <functional>
#include <vector>

namespace skylark {

class SourceDecoder final : public SourceConsumer {
public:
    // All are called on the loop.
    struct Callbacks {
        std::function<void(const ConfigurationUpdate&)> onConfiguration;
        std::function<void(const std::vector<ServerEntry>&, Revision)> onListing;
        std::function<void(const std::vector<ServerEntry>&)> onServers;
        std::function<void(const std::string& reason)> onLost;
        std::function<void()> onBack;
        std::function<void(const SourceCallResult&)> onCall;
    };

    // The loop and the adapter must outlive the decoder, and the decoder all that it has posted to the loop.
    SourceDecoder(EventLoop& loop, const PlatformAdapter& adapter, Callbacks callbacks);

    void onListing(const SourceItems& items) override { deliver(items, true); }
    void onChanges(const SourceItems& changes) override { deliver(changes, false); }
    void onLost(const std::string& reason) override;
    void onBack() override;
    void onCall(const SourceCallResult& result) override;

private:
    void deliver(const SourceItems& items, bool isListing);
    void deliverConfiguration(const SourceItem& item);

    EventLoop& m_loop;
    const PlatformAdapter& m_adapter;
    const Callbacks m_callbacks;
    // Of the configuration decoded last; only for the watcher's thread.
    Revision m_decoded;
};

} // namespace skylark
