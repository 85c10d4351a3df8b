// Holds which zones the operator has evacuated. A server of an evacuated zone gets no new work.
//
// The entries come from the source and from peers, in any order. The entry with the higher revision wins. A listing of
// the source ends each evacuation that is not in it and whose revision is of the same era and not above the listing's.
// An evacuation from an earlier era, which the source may have lost with its restore from a copy, stays in force for
// `eraGrace` after this node learned of the new era, so that the operator can write it again.
//
// Invariant: the node knows each change up to revision(). A listing therefore also raises the entries of the zones that
// are not evacuated. Without that, a node that knows an evacuation from a stale listing would ask a peer that has never
// heard of it, and would keep it for good.
//
// Bound: one entry for each zone of the options; entries of other zones are ignored.
#pragma once

#include "base/Types.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace skylark {

// The state of a zone's key in the source at a revision.
struct EvacuationEntry {
    ZoneName zone;
    Revision revision;
    // Absent if the entry cannot be read; it then neither begins nor ends an evacuation.
    std::optional<bool> isEvacuated;

    bool operator==(const EvacuationEntry&) const = default;
};

struct EvacuationChanges {
    std::vector<EvacuationEntry> entries;
    // The entries are all that the source has at `revision`; an absent zone is not evacuated.
    bool isListing { false };
    // Used only in a listing.
    Revision revision {};
};

struct ZoneEvacuationsOptions {
    std::set<ZoneName> zones;
    Duration eraGrace { std::chrono::seconds(4) };
};

class ZoneEvacuations {
public:
    struct State {
        Revision revision;
        bool isEvacuated { false };
        // When `isEvacuated` last changed.
        TimePoint since;
        // Set while an evacuation is known only from an earlier era.
        std::optional<TimePoint> dropAt;
        // The revision of the new era at which the evacuation was missing.
        Revision missingAt;
    };

    explicit ZoneEvacuations(ZoneEvacuationsOptions options);

    // Returns the zones that were evacuated or whose evacuation ended.
    std::vector<ZoneName> apply(const EvacuationChanges& changes, TimePoint now);
    // Drops the evacuations whose grace period has ended and returns their zones.
    std::vector<ZoneName> advance(TimePoint now);

    bool isKnown(const ZoneName& zone) const { return m_options.zones.contains(zone); }
    bool isEvacuated(const ZoneName& zone) const;
    std::set<ZoneName> evacuatedZones() const;
    // By zone; zones that are not evacuated are included once a listing or an entry was applied.
    const std::map<ZoneName, State>& states() const { return m_states; }
    // The highest revision of all entries.
    Revision revision() const;

private:
    bool apply(const EvacuationEntry& entry, TimePoint now);
    std::vector<ZoneName> endAbsent(const EvacuationChanges& listing, TimePoint now);
    // Starts the grace period of the evacuations of an earlier era than that of `known`.
    void startGrace(Revision known, TimePoint now);
    static void end(State& state, Revision revision, TimePoint now);

    const ZoneEvacuationsOptions m_options;
    std::map<ZoneName, State> m_states;
};

} // namespace skylark
