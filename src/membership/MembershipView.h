// Immutable snapshot of the instances that a node knows and their conditions.
//
// MembershipTable builds one after each change; the request path reads it through RcuCell. Lookups use hash tables. The
// vectors are ordered by instance id, so that equal views have equal orders on all nodes.
#pragma once

#include "base/Types.h"

#include <absl/container/flat_hash_map.h>
#include <memory>
#include <string>
#include <vector>

namespace skylark {

// An entry of the platform's instance list.
struct InstanceRecord {
    InstanceId id;
    Incarnation incarnation;
    // Address at which the instance's skylarkd accepts connections from its peers.
    Endpoint peer;
    ServiceName service;
    ZoneName zone;
    RegionName region;
    bool isLeaving { false };

    bool operator==(const InstanceRecord&) const = default;
};

// The instances of one zone at one platform revision.
struct ZoneInstanceList {
    ZoneName zone;
    Revision revision;
    std::vector<InstanceRecord> instances;

    bool operator==(const ZoneInstanceList&) const = default;
};

// The change between two revisions of a zone's list.
struct ZoneListDelta {
    ZoneName zone;
    Revision fromRevision;
    Revision toRevision;
    std::vector<InstanceRecord> upserts;
    std::vector<InstanceId> removals;

    bool operator==(const ZoneListDelta&) const = default;
};

enum class Condition : uint8_t {
    Live,
    Suspect,
    Leaving,
    Gone,
};

const char* conditionName(Condition condition);

struct InstanceState {
    InstanceRecord record;
    Condition condition { Condition::Live };
    // Times at which the condition last changed and this incarnation was first seen.
    TimePoint since;
    TimePoint firstSeen;
    // The server counts as cold until this time, by its entry.
    TimePoint coldUntil {};
    // The operator has evacuated the instance's zone: it gets no new calls, whatever its condition.
    bool isEvacuated { false };
};

// A peer's report about the condition of a third instance.
struct ConditionReport {
    InstanceId subject;
    Incarnation incarnation;
    Condition condition { Condition::Live };
    // Time between the observation and the sending of this report.
    Duration age {};

    bool operator==(const ConditionReport&) const = default;
};

class MembershipView {
public:
    using Members = std::vector<const InstanceState*>;

    // Instances that are gone are not part of the view.
    explicit MembershipView(std::vector<InstanceState> instances);
    MembershipView(const MembershipView&) = delete;
    MembershipView& operator=(const MembershipView&) = delete;

    const std::vector<InstanceState>& instances() const { return m_instances; }
    // Returns null if the instance is unknown.
    const InstanceState* find(const InstanceId& id) const;
    // Empty if there are none.
    const Members& ofService(const ServiceName& service) const;
    const Members& ofZone(const ZoneName& zone) const;
    // In ascending order.
    const std::vector<ZoneName>& zones() const { return m_zones; }

private:
    std::vector<InstanceState> m_instances;
    absl::flat_hash_map<InstanceId, const InstanceState*> m_byId;
    absl::flat_hash_map<ServiceName, Members> m_byService;
    absl::flat_hash_map<ZoneName, Members> m_byZone;
    std::vector<ZoneName> m_zones;
};

} // namespace skylark
