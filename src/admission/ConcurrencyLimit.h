// Learns how many calls a backend server runs at a time without slowing down.
//
// The limit starts at the configured slots and moves between 1 and twice the slots, once per window of at
// least 100 answers, or 20 answers in 5 s. It rises by 1 when it was fully used on average and latency did not
// grow, returns by 1 towards the slots when it was not, since a higher limit is proved by use alone, and falls by 10%
// when latency exceeds twice the floor or the backend server sheds load. Latency is compared per rank, since a change
// in the mix of ranks is no sign of congestion, and the rank that is slowed down most counts: waiting inside the
// backend server shows in short calls first.
//
// The floor of a rank follows shorter service times at once, and longer ones only while at most half of the
// slots are in use, when waiting inside the backend server cannot be the reason. If it followed at any load,
// a limit that is too high would become the measure of itself.
//
// That is LearnedLimit. Where the backend server states its slots itself (StatedLimit), latency moves nothing: calls
// beyond the slots would only wait inside the server, out of the order of ranks, and fewer would leave slots idle when
// a call is slow for reasons of its own, as one that waits for an inner call is. Shedding lowers this limit too, and
// each window raises it by 1 back to the slots.
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
    // Keeps what was learned within the new bounds.
    void reconfigure(int slots, size_t ranks, LimitPolicy policy = LearnedLimit {});

    // A call ended with an answer after this time; inFlight counts it too.
    void recordResponse(size_t rank, Duration serviceTime, int inFlight, TimePoint now);
    // The backend server refused a call; lowers the limit at most once per 100 ms.
    void recordShed(TimePoint now);

private:
    struct Baseline {
        // Smoothed low mean of groups of answers, in seconds; zero before the first group.
        double latency { 0 };
        double sum { 0 };
        int count { 0 };
        int maxInFlight { 0 };
        // Latency over floor, summed over this window's answers.
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
