// Learns how many calls a backend server runs at a time without slowing down.
//
// The limit starts at the configured slots and moves between 1 and twice the slots, once per window of at
// least 100 answers, or 20 answers in 5 s. It rises by 1 when it was fully used and latency did not grow, and
// falls by 10% when latency exceeds twice the floor or the backend server sheds load. Latency is compared per
// rank, since a change in the mix of ranks is no sign of congestion.
#pragma once

#include "base/Types.h"

#include <vector>

namespace skylark {

class ConcurrencyLimit {
public:
    ConcurrencyLimit(int slots, size_t ranks, TimePoint now);

    int value() const { return m_limit; }
    // Keeps what was learned within the new bounds.
    void reconfigure(int slots, size_t ranks);

    // A call ended with an answer after this time; inFlight counts it too.
    void noteAnswer(size_t rank, Duration serviceTime, int inFlight, TimePoint now);
    // The backend server refused a call; lowers the limit at most once per 100 ms.
    void noteShed(TimePoint now);

private:
    struct Baseline {
        // Mean of the fastest group of answers, in seconds; zero before the first group.
        double floor { 0 };
        double sum { 0 };
        int count { 0 };
    };

    void learnBaseline(Baseline& baseline, double seconds);
    void closeWindow(TimePoint now);
    void lower();
    int highest() const { return 2 * m_slots; }

    int m_slots;
    int m_limit;
    std::vector<Baseline> m_baselines;
    TimePoint m_windowStart;
    int m_answers { 0 };
    int m_mostInFlight { 0 };
    double m_measured { 0 };
    double m_expected { 0 };
    TimePoint m_lastShed;
};

} // namespace skylark
