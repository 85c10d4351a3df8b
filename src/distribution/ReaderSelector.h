// Decides whether this node reads the configuration source, with local knowledge only.
//
// Each node ranks itself in its zone by rendezvous hashing over the live members of its view. Ranks 0 to 2
// read. A node of rank r reads as well when nothing was heard of an attempt by a reader for 2 s + r * 0.25 s,
// and stops when a reader of lower rank is heard again. If attempts are fresh but none succeeds, one more
// reader is wanted for each 10 s, up to 8, since the fault may be in the readers' own links. Failed attempts
// back off with full jitter, and a token bucket limits the reads of the node in any case.
#pragma once

#include "base/Backoff.h"
#include "base/Digest.h"
#include "base/TokenBucket.h"
#include "membership/MembershipView.h"
#include "wire/Messages.h"

#include <absl/container/btree_map.h>
#include <optional>

namespace skylark {

struct ReaderOptions {
    size_t wantedReaders { 3 };
    size_t maxReaders { 8 };
    Duration silenceTimeout { std::chrono::seconds(2) };
    Duration silenceTimeoutPerRank { std::chrono::milliseconds(250) };
    // Time without success after which one more reader is wanted.
    Duration extraReaderInterval { std::chrono::seconds(10) };
    BackoffOptions backoff {};
    TokenBucketOptions reads { .perSecond = 2, .burst = 20 };
};

class ReaderSelector {
public:
    ReaderSelector(ReaderOptions options, InstanceId self, ZoneName zone, TimePoint now);

    // Ranks the members again; call it for each new view.
    void setView(const MembershipView& view);
    // Rank of this node; a node that the list does not hold yet ranks as if it were listed.
    size_t rank() const { return m_rank; }
    // The members of lowest rank, this node left out. They hear of the readers' marks first.
    const std::vector<InstanceId>& standbys() const { return m_standbys; }

    // A peer's statement on its zone's readers; marks of other zones are ignored.
    void recordMark(const FreshnessMark& mark, TimePoint now);
    // This node is on duty: it waits for an answer or for the end of a backoff. Backing off counts as trying,
    // so that an outage of the source does not make the ranks beyond start one after the other.
    void recordOwnAttempt(TimePoint now);
    // An answer came; the revision is the source's newest.
    void recordOwnSuccess(Revision revision, TimePoint now);
    void recordOwnFailure(TimePoint now, Random& random);

    size_t wantedReaders(TimePoint now) const;
    // Whether this node is a reader now.
    bool shouldWatch(TimePoint now);
    // When a reader may make its next attempt.
    TimePoint nextAttempt() const { return m_nextAttempt; }
    // Takes a token for one read; false when the node has used its share.
    bool tryRead(TimePoint now) { return m_reads.tryTake(now); }

    // The freshest knowledge of the zone's readers; empty when there is none.
    std::optional<FreshnessMark> mark(TimePoint now) const;
    // Forgets the marks, whose ages are unknown after a pause of this process.
    void resetAfterPause(TimePoint now);

private:
    struct ReaderState {
        Revision revision;
        TimePoint attempt;
        std::optional<TimePoint> success;
    };
    void update(const InstanceId& reader, const ReaderState& reported);
    // By readers other than this node.
    TimePoint lastAttempt(bool isLowerRankedOnly) const;
    std::optional<TimePoint> lastSuccess() const;

    ReaderOptions m_options;
    InstanceId m_self;
    ZoneName m_zone;
    size_t m_rank { 0 };
    bool m_isReading { false };
    std::vector<InstanceId> m_standbys;
    // By reader; bounded by maxReaderStates, where the one with the oldest attempt gives way.
    absl::btree_map<InstanceId, ReaderState> m_readerStates;
    TimePoint m_started;
    TimePoint m_nextAttempt;
    Backoff m_backoff;
    TokenBucket m_reads;
};

// Order of readers in a zone: lower first.
uint64_t readerPriority(const InstanceId& id, const ZoneName& zone);

} // namespace skylark
