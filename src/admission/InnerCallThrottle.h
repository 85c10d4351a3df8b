// Refuses requests before they run while the calls that their servers make for them are refused.
//
// The load that it answers: a service that other services call has lost servers, so its gates refuse part of the calls.
// Each such refusal wastes the whole run that made the call: the caller gets a failure late, and the run has held a
// slot and taken its part of the scarce service. More requests than the scarce service carries are then in progress all
// the time, and the shortage lasts after its cause has ended. Here each gate lets through only a share of the requests
// of a rank: the share falls by half of the part of runs that were
// wasted in an interval, and rises by a fixed step. Failures of a server's own do not count, and the most urgent rank
// is never throttled. The others are refused at once.
//
// Each gate decides from its own runs alone. Not thread-safe; memory: one entry for each rank.
#pragma once

#include "base/Random.h"
#include "base/Types.h"

#include <vector>

namespace skylark {

struct InnerCallThrottleOptions {
    Duration interval { std::chrono::milliseconds(250) };
    // Runs that an interval needs at least; it goes on until then.
    int leastRuns { 4 };
    // Of the wasted part of the runs.
    double decrease { 0.5 };
    // Each interval.
    double increase { 0.04 };
    // Some requests always go through, to notice the end of the shortage.
    double leastShare { 0.1 };
    // Without a run for this long nothing is known any more.
    Duration memory { std::chrono::seconds(3) };
};

class InnerCallThrottle {
public:
    explicit InnerCallThrottle(InnerCallThrottleOptions options = {});

    // A run has ended. It was wasted when it failed after a call that it made was refused.
    void noteRun(int rank, bool isWasted, TimePoint now);
    // Takes one random number where the share is below 1.
    bool admits(int rank, Random& random, TimePoint now);
    // Share of the rank's requests that are let through.
    double share(int rank) const;

private:
    struct Rank {
        double share { 1 };
        int runs { 0 };
        int wasted { 0 };
        TimePoint began;
        TimePoint lastRun;
    };

    const InnerCallThrottleOptions m_options;
    std::vector<Rank> m_ranks;
};

} // namespace skylark
