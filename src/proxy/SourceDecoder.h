// Decodes the items that the source watcher reads, on the watcher's thread, and posts the results to the loop.
//
// If one response holds several versions of the configuration, only the last is decoded; a version that a later listing
// repeats is not decoded again. A configuration that cannot be decoded is logged and otherwise ignored.
#pragma once

#include "eventloop/EventLoop.h"
#include "proxy/PlatformAdapter.h"

#include <functional>
#include <vector>

namespace skylark {

class SourceDecoder final : public SourceConsumer {
public:
    // All callbacks run on the loop.
    struct Callbacks {
        std::function<void(const ConfigurationUpdate&)> onConfiguration;
        // May be unset.
        std::function<void(const EvacuationChanges&)> onEvacuations;
        std::function<void(const ServerChanges&)> onServers;
        std::function<void(const std::string& reason)> onLost;
        std::function<void()> onRecovered;
        std::function<void(const SourceCallResult&)> onCall;
        std::function<void(TimePoint currentAt)> onDelivered;
    };

    // The loop and the adapter must outlive the decoder, and the decoder must outlive the tasks that it posts to the
    // loop.
    SourceDecoder(EventLoop& loop, const PlatformAdapter& adapter, Callbacks callbacks);

    void onListing(const SourceItems& items) override { deliver(items, true); }
    void onChanges(const SourceItems& changes) override { deliver(changes, false); }
    void onLost(const std::string& reason) override;
    void onRecovered() override;
    void onCall(const SourceCallResult& result) override;
    void onDelivered(TimePoint currentAt) override;

private:
    void deliver(const SourceItems& items, bool isListing);
    void deliverConfiguration(const SourceItem& item);

    EventLoop& m_loop;
    const PlatformAdapter& m_adapter;
    const Callbacks m_callbacks;
    // Revision of the last decoded configuration; used only on the watcher's thread.
    Revision m_lastDecodedRevision;
};

} // namespace skylark
