// Decides from local knowledge whether this node reads the configuration source.
//
// - Each node ranks itself in its zone by rendezvous hashing over the live members of its view. Ranks 0 to 2 read.
// - A node of rank r starts to read if it learns of no reader's attempt for 2 s + r * 0.25 s, and stops when it
//   learns of an attempt by a reader of lower rank.
// - If readers make attempts but none succeeds for 20 s, one more reader is added, and then another every 10 s, up to
//   8 readers, since the fault may be in the readers' own links.
// - Failed attempts back off with full jitter, and a token bucket always limits the reads of the node.
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
    // After two intervals without success one more reader is added, then one more after each further interval.
    Duration extraReaderInterval { std::chrono::seconds(10) };
    BackoffOptions backoff {};
    TokenBucketOptions reads { .perSecond = 2, .burst = 20 };
};

class ReaderSelector {
public:
    ReaderSelector(ReaderOptions options, InstanceId self, ZoneName zone, TimePoint now);

    // Recomputes the ranks; call it for each new view.
    void setView(const MembershipView& view);
    // Rank of this node; a node that is not yet listed ranks as if it were.
    size_t rank() const { return m_rank; }
    // The members of lowest rank other than this node. Readers send their marks to them directly.
    const std::vector<InstanceId>& standbys() const { return m_standbys; }

    // Records a peer's mark of its zone's readers; marks of other zones are ignored.
    void recordMark(const FreshnessMark& mark, TimePoint now);
    // Records that this node is an active reader: it waits for a response or for the end of a backoff. The backoff
    // counts as an attempt, so that an outage of the source does not make the next ranks start one after the other.
    void recordOwnAttempt(TimePoint now);
    // Records a response; the revision is the newest of the source.
    void recordOwnSuccess(Revision revision, TimePoint now);
    void recordOwnFailure(TimePoint now, Random& random);

    size_t wantedReaders(TimePoint now) const;
    // Whether this node is a reader now.
    bool shouldWatch(TimePoint now);
    // When a reader may make its next attempt.
    TimePoint nextAttempt() const { return m_nextAttempt; }
    // Takes a token for one read; returns false if the rate limit is reached.
    bool tryRead(TimePoint now) { return m_readLimiter.tryTake(now); }

    // The combined mark of the zone's known readers; empty if none is known.
    std::optional<FreshnessMark> mark(TimePoint now) const;
    // Drops the marks, whose ages are unknown after a pause of this process.
    void resetAfterPause(TimePoint now);

private:
    struct ReaderState {
        Revision revision;
        TimePoint lastAttempt;
        std::optional<TimePoint> lastSuccess;
    };
    void update(const InstanceId& reader, const ReaderState& reported);
    // The last attempt by a reader other than this node.
    TimePoint lastAttempt(bool isLowerRankedOnly) const;
    std::optional<TimePoint> lastSuccess() const;

    ReaderOptions m_options;
    InstanceId m_self;
    ZoneName m_zone;
    size_t m_rank { 0 };
    bool m_isReading { false };
    std::vector<InstanceId> m_standbys;
    // Bounded by maxReaderStates; the reader with the oldest attempt is evicted.
    absl::btree_map<InstanceId, ReaderState> m_readerStates;
    TimePoint m_startTime;
    TimePoint m_nextAttempt;
    Backoff m_backoff;
    TokenBucket m_readLimiter;
};

// Order of the readers in a zone; the lowest value has rank 0.
uint64_t readerPriority(const InstanceId& id, const ZoneName& zone);

} // namespace skylark
