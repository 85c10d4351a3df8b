// Merges the platform's instance lists, direct observations and peers' condition reports into one view.
//
// The table is a single-threaded state machine without I/O or clock. An observation costs one lookup; applying a list
// or a delta takes time linear in its size. publishIfChanged() rebuilds the snapshot in time linear in the size of the
// table, so callers batch events and call it at a fixed interval.
//
// Precedence:
// - A higher incarnation overrides everything reported about a lower one.
// - A leaving notice from the instance itself overrides the list.
// - A direct observation younger than 10 s overrides condition reports.
// - A condition report only adds suspicion or leaving; it never restores an instance that the list has dropped.
// - Suspicion ends with any success or after 30 s. It is ignored in a zone where more than half of the instances are
//   suspect, since the observer itself may be cut off.
#pragma once

#include "base/Digest.h"
#include "membership/MembershipView.h"

#include <absl/container/btree_map.h>
#include <absl/container/btree_set.h>
#include <deque>
#include <optional>

namespace skylark {

struct MembershipOptions {
    // Maximum over all zones; a list that would exceed it is refused whole.
    size_t maxInstances { 32768 };
    size_t maxZones { 64 };
    // Direct observations younger than this override condition reports and are sent to peers as condition reports.
    Duration directPrecedence { std::chrono::seconds(10) };
    Duration suspicionLifetime { std::chrono::seconds(30) };
};

enum class ListOutcome : uint8_t {
    Applied,
    // The table already has the list at this revision.
    Unchanged,
    // The revision is lower than the current one; nothing was applied.
    WentBackward,
    // The delta does not start at the current revision; the whole list is needed.
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
    // Records a leaving notice from the instance itself.
    void observeLeaving(const InstanceId& id, Incarnation incarnation, TimePoint now);
    void applyConditionReport(const ConditionReport& report, TimePoint now);

    // Drops evidence that has expired.
    void advance(TimePoint now);
    // Drops the observed successes and failures after a pause of this process, since they predate it. Leaving notices
    // are kept.
    void recordClockGap(TimePoint now);

    // Rebuilds the snapshot if anything changed since the last call. Returns whether it did.
    bool publishIfChanged();
    // Returns the snapshot of the last publishIfChanged(); never null.
    std::shared_ptr<const MembershipView> view() const { return m_view; }

    // Returns the condition reports to send to peers: own direct observations, newest first, at most 64.
    std::vector<ConditionReport> conditionReports(TimePoint now) const;

    // Returns revision 0 if the table has no list of the zone.
    Revision listRevision(const ZoneName& zone) const;
    std::vector<std::pair<ZoneName, Revision>> listRevisions() const;
    // Returns the digest of the pairs (zone, revision), ordered by zone. Nodes with equal lists have equal digests.
    Digest listsDigest() const;
    // Returns the changes since a revision, or nullopt if the history does not reach back to it.
    std::optional<ZoneListDelta> deltaSince(const ZoneName& zone, Revision from) const;
    std::optional<ZoneInstanceList> wholeList(const ZoneName& zone) const;

private:
    struct Evidence {
        TimePoint observedAt;
        bool isDirect { false };
    };
    struct Entry {
        InstanceRecord record;
        TimePoint firstSeen;
        TimePoint since;
        // Time at which the leaving notice of this incarnation arrived.
        std::optional<TimePoint> leavingNotice;
        std::optional<Evidence> suspicion;
        // A peer's report that the instance is leaving; expires like suspicion unless the list confirms it.
        std::optional<Evidence> leavingReport;
        std::optional<TimePoint> lastDirectObservation;
        Condition condition { Condition::Live };
    };
    // The ids that changed when the zone's list reached a revision.
    struct HistoryStep {
        Revision from;
        Revision to;
        std::vector<InstanceId> changed;
    };
    struct ZoneState {
        Revision revision;
        absl::btree_map<InstanceId, InstanceRecord> records;
        std::deque<HistoryStep> history;
    };

    bool isAcceptable(const ZoneName& zone, const std::vector<InstanceRecord>& records) const;
    bool isWithinBounds(const ZoneName& zone, size_t newSize) const;
    void upsert(const InstanceRecord& record, TimePoint now);
    void remove(const InstanceId& id, const ZoneName& zone);
    static void recordStep(ZoneState& zone, Revision to, std::vector<InstanceId> changed);
    // Returns the entry that an observation applies to, or null if the instance is unknown or the incarnation is older.
    // A higher incarnation resets the entry.
    Entry* entryForObservation(const InstanceId& id, Incarnation incarnation, TimePoint now);
    // Keeps only the record; called for a new incarnation.
    void resetEntry(Entry& entry, TimePoint now);
    // Recomputes the condition and adds the entry to m_idsWithEvidence if it has evidence.
    void updateCondition(Entry& entry, TimePoint now);
    bool hasRecentDirectObservation(const Entry& entry, TimePoint now) const;

    MembershipOptions m_options;
    absl::btree_map<InstanceId, Entry> m_entries;
    absl::btree_map<ZoneName, ZoneState> m_zones;
    std::shared_ptr<const MembershipView> m_view;
    bool m_isChanged { false };
    // Instances with suspicion, a leaving report or a leaving notice that is still sent to peers. With this set,
    // advance() and conditionReports() need not scan the table.
    absl::btree_set<InstanceId> m_idsWithEvidence;
};

} // namespace skylark
