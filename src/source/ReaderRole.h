// Decides whether a node reads the source itself or follows a peer of its zone that does.
//
// The nodes of a zone are ordered by a hash of their addresses. The first one reads; the node of place p follows the
// one of place (p - 1) / degree, so that a zone of 33 nodes is one step deep and one of 1,057 two. Each node decides
// from what it knows alone. A followed peer tells how old its own knowledge is. When that age passes `patience`, for
// whatever reason (the peer died, was cut off, or lost the source), the node reads the source itself until the peer is
// fresh again. So a lost reader costs its followers a few calls and no agreement. Not thread-safe; no input or output.
#pragma once

#include "base/Types.h"

#include <optional>
#include <vector>

namespace skylark {

struct ReaderRoleOptions {
    size_t degree { 32 };
    Duration patience { std::chrono::milliseconds(1500) };
};

class ReaderRole {
public:
    ReaderRole(Endpoint self, ReaderRoleOptions options);

    // The nodes of the zone; this one need not be among them.
    void setMembers(std::vector<Endpoint> members);
    // The followed peer answered; its knowledge of the source is this old.
    void notePeer(Duration age, TimePoint now);

    // The peer to follow; none for the first of the order.
    const std::optional<Endpoint>& followed() const { return m_followed; }
    bool readsSource(TimePoint now) const;

private:
    const Endpoint m_self;
    const ReaderRoleOptions m_options;
    std::optional<Endpoint> m_followed;
    // When the knowledge of the peer followed last was true; unset before the first answer. A change of the peer leaves
    // it, so that the new one has the rest of the patience to answer.
    std::optional<TimePoint> m_freshAt;
};

} // namespace skylark
