// Expected time that a backend server still needs for the calls at its gate.
//
// Call add() when a call is accepted, start() when it starts to run and remove() when it leaves the gate in any way.
// remaining() sums the expected times of waiting calls, and for each running call the expected time minus the elapsed
// time. A running call counts at least overdueShare of its expected time: a call that exceeded its estimate is about
// to end or belongs to the tail, and the tail would otherwise look like an idle slot.
//
// remaining() costs O(running calls), the other functions O(1). Bounds: one entry per call at the gate, which limits
// its calls to maxQueued and twice the slots.
#pragma once

#include "base/Types.h"

#include <absl/container/flat_hash_map.h>

namespace skylark {

class RemainingWork {
public:
    static constexpr double overdueShare = 0.25;

    void add(uint64_t call, Duration expected);
    // The following two do nothing for an unknown call.
    void start(uint64_t call, TimePoint now);
    void remove(uint64_t call);
    Duration remaining(TimePoint now) const;
    size_t size() const { return m_waiting.size() + m_running.size(); }

private:
    struct RunningCall {
        Duration expected {};
        TimePoint startedAt;
    };

    absl::flat_hash_map<uint64_t, Duration> m_waiting;
    absl::flat_hash_map<uint64_t, RunningCall> m_running;
    Duration m_waitingWork {};
};

} // namespace skylark
