// Adaptive concurrency limit: learns how many calls a backend server runs at a time without slowing down.
//
// LearnedLimit starts at the configured slots and moves between 1 and twice the slots, once per window of 100
// responses, or of at least 20 responses and 5 s:
// - It rises by 1 when the limit was fully used on average and latency did not grow.
// - It falls by 1, but not below the slots, when the limit was not fully used, since only full use shows whether the
//   backend server sustains a higher limit.
// - It falls by 10% when latency exceeds twice the baseline or the backend server sheds load.
//
// Latency is compared per rank, since a change in the mix of ranks is no sign of congestion. The rank with the largest
// slowdown decides, since queueing inside the backend server shows in short calls first.
//
// The baseline latency of a rank follows shorter service times at any load. It follows longer ones only while at most
// half of the slots are in use, when queueing inside the backend server cannot be the reason. A baseline that rose at
// any load would adapt to the congestion that a too high limit causes, and the limit would never fall.
//
// StatedLimit is for a backend server that states its slots itself. Latency does not change this limit: calls beyond
// the slots would only wait inside the server, out of the order of ranks, and a lower limit would leave slots idle
// when a call is slow for another reason, such as waiting for a nested call. Shedding lowers this limit too, and each
// window raises it by 1 up to the slots.
#pragma once

#include "base/Types.h"

#include <variant>
#include <vector>

namespace skylark {

struct LearnedLimit { };
struct StatedLimit { };
using LimitPolicy = std::variant<LearnedLimit, StatedLimit>;

class ConcurrencyLimit {
public:
    ConcurrencyLimit(int slots, size_t ranks, TimePoint now, LimitPolicy policy = LearnedLimit {});

    int value() const { return m_limit; }
    // Keeps the learned baselines, and the limit too unless the slots or the policy have changed.
    void reconfigure(int slots, size_t ranks, LimitPolicy policy = LearnedLimit {});

    // Records a call that ended with a response after this time; inFlight includes the call.
    void recordResponse(size_t rank, Duration serviceTime, int inFlight, TimePoint now);
    // Records that the backend server refused a call; lowers the limit at most once per 100 ms.
    void recordShed(TimePoint now);

private:
    struct Baseline {
        // Smoothed mean of groups of responses, which follows lower means faster, in seconds; zero before the first
        // group.
        double latency { 0 };
        // Latency sum in seconds, number of responses and highest concurrency of the current group.
        double sum { 0 };
        int count { 0 };
        int maxInFlight { 0 };
        // Sum of latency / baseline over the responses of this window.
        double windowSum { 0 };
        int windowCount { 0 };
    };

    void learnBaseline(Baseline& baseline, double seconds, int inFlight) const;
    void closeWindow(TimePoint now);
    void adjustLimit(const LearnedLimit& policy);
    void adjustLimit(const StatedLimit& policy);
    void decreaseLimit();
    int maxLimit() const { return 2 * m_slots; }

    LimitPolicy m_policy;
    int m_slots;
    int m_limit;
    std::vector<Baseline> m_baselines;
    TimePoint m_windowStart;
    int m_responses { 0 };
    int64_t m_inFlightSum { 0 };
    TimePoint m_lastShed;
};

} // namespace skylark
