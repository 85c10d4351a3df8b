// Measures of the gate's recent past: slot time by rank, service times and arrival rates.
//
// SlotTime adds up the time that each rank's calls hold slots, over a sliding window of 5 s in steps of
// 100 ms. Calls that still run count for the time so far, so a long call cannot hide its use until it ends.
#pragma once

#include "base/Types.h"

#include <array>
#include <vector>

namespace skylark {

class SlotTime {
public:
    static constexpr Duration window = std::chrono::seconds(5);

    SlotTime(size_t ranks, TimePoint now);

    void resize(size_t ranks);
    // The rank holds this many more (or fewer) slots from now on.
    void change(size_t rank, int slots, TimePoint now);
    // Slot time of the rank within the window, in seconds.
    double used(size_t rank, TimePoint now);
    // Length of the window so far, in seconds: shorter just after the start, but at least half a second.
    double span(TimePoint now) const;

private:
    static constexpr size_t stepCount = 50;
    static constexpr Duration step = window / stepCount;

    struct Usage {
        int held { 0 };
        std::array<double, stepCount> steps {};
        double sum { 0 };
    };

    void moveTo(TimePoint now);

    TimePoint m_startedAt;
    TimePoint m_updatedAt;
    size_t m_step { 0 };
    std::vector<Usage> m_usages;
};

// Smoothed mean and mean deviation of a service time, in seconds.
class ServiceTimeEstimate {
public:
    void add(Duration serviceTime);
    bool isKnown() const { return m_count > 0; }
    double mean() const { return m_mean; }
    double deviation() const { return m_deviation; }

private:
    double m_mean { 0 };
    double m_deviation { 0 };
    int m_count { 0 };
};

// Smoothed number of events a second.
class RateEstimate {
public:
    void note(TimePoint now);
    double perSecond(TimePoint now) const;

private:
    double m_rate { 0 };
    TimePoint m_updatedAt;
};

} // namespace skylark
