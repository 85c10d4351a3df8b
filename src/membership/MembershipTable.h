// Merges the platform's instance lists, direct observations and peers' statements into one view.
//
// A decision object for one thread: events and times go in, view() gives an immutable snapshot. An
// observation costs one hash lookup; a list or a delta costs its own size. The snapshot is rebuilt by
// publishIfChanged(), which costs the whole table, so callers batch events and call it at a fixed interval.
//
// Precedence: a higher incarnation overrides all that was reported of a lower one; a leaving notice of the
// instance itself overrides the list; a direct observation younger than 10 s overrides hearsay; hearsay
// adds suspicion and leaving only, and never restores what the list has dropped. Suspicion ends with any
// success or after 30 s, and is not acted on in a zone where more than half is suspect, since the observer
// may be the one that is cut off.
#pragma once

#include "base/Digest.h"
#include "membership/MembershipView.h"

#include <absl/container/btree_map.h>
#include <absl/container/btree_set.h>
#include <deque>
#include <optional>

namespace skylark {

struct MembershipOptions {
    // Over all zones; a list that would exceed it is refused whole.
    size_t maxInstances { 32768 };
    size_t maxZones { 64 };
    // Direct observations younger than this override hearsay, and are passed on as hearsay.
    Duration directPrecedence { std::chrono::seconds(10) };
    Duration suspicionLifetime { std::chrono::seconds(30) };
};

enum class ListOutcome : uint8_t {
    Applied,
    // The list is held at this revision.
    Unchanged,
    // The revision is lower than the held one; nothing was applied.
    WentBackward,
    // The delta starts at a revision that is not held; the whole list is needed.
    BaseMismatch,
    // A bound or a check failed; nothing was applied.
    Refused,
};

class MembershipTable {
public:
    explicit MembershipTable(MembershipOptions options);

    ListOutcome applyList(const ZoneInstanceList& list, TimePoint now);
    ListOutcome applyDelta(const ZoneListDelta& delta, TimePoint now);

    // Direct observations by this node. An incarnation above the known one is a new instance.
    void observeSuccess(const InstanceId& id, Incarnation incarnation, TimePoint now);
    void observeFailure(const InstanceId& id, Incarnation incarnation, TimePoint now);
    // A leaving notice that came from the instance itself.
    void observeLeaving(const InstanceId& id, Incarnation incarnation, TimePoint now);
    void applyHearsay(const Hearsay& statement, TimePoint now);

    // Ends suspicions that have lapsed.
    void advance(TimePoint now);
    // Drops all direct observations: they were made before a pause of this process.
    void noteClockGap(TimePoint now);

    // Rebuilds the snapshot if anything changed since the last call, and tells whether it did.
    bool publishIfChanged();
    // Never null; as of the last publishIfChanged().
    std::shared_ptr<const MembershipView> view() const { return m_view; }

    // What a batch of hearsay to a peer holds: own direct observations, newest first, at most 64.
    std::vector<Hearsay> statements(TimePoint now) const;

    // Revision 0 where the zone's list is not held.
    Revision listRevision(const ZoneName& zone) const;
    std::vector<std::pair<ZoneName, Revision>> listRevisions() const;
    // Of the pairs (zone, revision) in order of zone; equal on nodes that hold equal lists.
    Digest listsDigest() const;
    // The change since a revision, if the history reaches back to it.
    std::optional<ZoneListDelta> deltaSince(const ZoneName& zone, Revision from) const;
    std::optional<ZoneInstanceList> wholeList(const ZoneName& zone) const;

private:
    struct Evidence {
        TimePoint at;
        bool isDirect { false };
    };
    struct Entry {
        InstanceRecord record;
        TimePoint firstSeen;
        TimePoint since;
        // When the own leaving notice of this incarnation arrived.
        std::optional<TimePoint> leavingNotice;
        std::optional<Evidence> suspicion;
        // A peer's statement that the instance is leaving; lapses like suspicion unless the list confirms it.
        std::optional<Evidence> leavingHearsay;
        std::optional<TimePoint> lastDirect;
        Condition shown { Condition::Live };
    };
    // The ids that changed when the zone's list reached a revision.
    struct HistoryStep {
        Revision from;
        Revision to;
        std::vector<InstanceId> changed;
    };
    struct ZoneState {
        Revision revision;
        absl::btree_map<InstanceId, InstanceRecord> listed;
        std::deque<HistoryStep> history;
    };

    bool isAcceptable(const ZoneName& zone, const std::vector<InstanceRecord>& records) const;
    bool fits(const ZoneName& zone, size_t newSize) const;
    void upsert(const InstanceRecord& record, TimePoint now);
    void remove(const InstanceId& id, const ZoneName& zone);
    static void recordStep(ZoneState& zone, Revision to, std::vector<InstanceId> changed);
    // The entry that an observation is about; null if unknown or of an older incarnation.
    Entry* observed(const InstanceId& id, Incarnation incarnation, TimePoint now);
    void restart(Entry& entry, TimePoint now);
    void refresh(Entry& entry, TimePoint now);
    bool hasRecentDirect(const Entry& entry, TimePoint now) const;

    MembershipOptions m_options;
    absl::btree_map<InstanceId, Entry> m_entries;
    absl::btree_map<ZoneName, ZoneState> m_zones;
    std::shared_ptr<const MembershipView> m_view;
    bool m_isChanged { false };
    // Instances with suspicion, hearsay or a notice, so that advance() and statements() do not walk the table.
    absl::btree_set<InstanceId> m_unsettled;
};

} // namespace skylark
