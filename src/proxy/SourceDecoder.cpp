#include "proxy/SourceDecoder.h"

#include "base/Error.h"
#include "base/Log.h"

namespace skylark {

SourceDecoder::SourceDecoder(EventLoop& loop, const PlatformAdapter& adapter, Callbacks callbacks)
    : m_loop(loop)
    , m_adapter(adapter)
    , m_callbacks(std::move(callbacks))
{
}

void SourceDecoder::onLost(const std::string& reason)
{
    m_loop.post([this, reason] { m_callbacks.onLost(reason); });
}

void SourceDecoder::onRecovered()
{
    m_loop.post([this] { m_callbacks.onRecovered(); });
}

void SourceDecoder::onCall(const SourceCallResult& result)
{
    m_loop.post([this, result] { m_callbacks.onCall(result); });
}

void SourceDecoder::onDelivered(TimePoint currentAt)
{
    m_loop.post([this, currentAt] { m_callbacks.onDelivered(currentAt); });
}

void SourceDecoder::deliver(const SourceItems& items, bool isListing)
{
    ServerChanges servers { .since = items.since, .revision = items.revision, .isListing = isListing };
    EvacuationChanges evacuations { .isListing = isListing, .revision = items.revision };
    const SourceItem* configuration = nullptr;
    for (const SourceItem& item : items.items) {
        if (m_adapter.isServer(item))
            servers.entries.push_back(m_adapter.decodeServer(item));
        else if (m_adapter.isConfiguration(item) && !item.isDeleted)
            configuration = &item;
        else if (const auto entry = m_adapter.decodeEvacuation ? m_adapter.decodeEvacuation(item) : std::nullopt)
            evacuations.entries.push_back(*entry);
    }
    // The evacuations go first, for the same reason as the configuration below, and so that no request that waits for
    // the configuration and the servers is sent to an evacuated zone.
    if (m_callbacks.onEvacuations && (isListing || !evacuations.entries.empty()))
        m_loop.post([this, evacuations = std::move(evacuations)] { m_callbacks.onEvacuations(evacuations); });
    // The configuration goes first: the servers raise the node's revision, and a node or a follower that continues from
    // a revision without its configuration never gets that version.
    if (configuration && configuration->revision > m_lastDecodedRevision)
        deliverConfiguration(*configuration);
    m_loop.post([this, servers = std::move(servers)] { m_callbacks.onServers(servers); });
}

void SourceDecoder::deliverConfiguration(const SourceItem& item)
{
    try {
        ConfigurationUpdate update { .configuration = m_adapter.decodeConfiguration(item.value, item.revision),
            .text = item.value };
        m_lastDecodedRevision = item.revision;
        m_loop.post([this, update = std::move(update)] { m_callbacks.onConfiguration(update); });
    } catch (const Error& error) {
        logEvent(LogLevel::Error, "configuration-refused",
            { { "origin", "source" }, { "revision", std::to_string(item.revision.value()) },
                { "reason", error.what() } });
    }
}

} // namespace skylark
