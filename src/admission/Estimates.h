// Smoothed statistics of a gate's recent past: service times, arrival rates and shares of slot time.
#pragma once

#include "base/Types.h"

namespace skylark {

// Mean and mean deviation of a service time in seconds, with exponential weights over about the last 16 responses.
class ServiceTimeEstimate {
public:
    void add(Duration serviceTime, TimePoint now);
    bool isKnown() const { return m_updatedAt != TimePoint {}; }
    // Without a response for 1 s the estimate may describe a state that has passed.
    bool isFresh(TimePoint now) const { return isKnown() && now - m_updatedAt < std::chrono::seconds(1); }
    double mean() const { return m_mean; }
    double deviation() const { return m_deviation; }

private:
    double m_mean { 0 };
    double m_deviation { 0 };
    TimePoint m_updatedAt;
};

// Rate of events per second, decaying with a time constant of 2 s.
class RateEstimate {
public:
    void record(TimePoint now);
    double perSecond(TimePoint now) const;

private:
    double m_rate { 0 };
    TimePoint m_updatedAt;
};

// Tracks whether a rank has received its floor of slot time over the last 5 s.
//
// Credit grows by the slots of the floor and falls by the slots that the rank holds, in slot seconds. It stays
// between -0.25 s and 5 s of the floor. A rank that received less than its floor over the last 5 s thus has credit,
// while slot time that it took when no other rank wanted it counts against it for 0.25 s only. A plain sum over a
// window of 5 s would deny a rank its floor for seconds when a flood of urgent calls follows a flood of its own.
class FloorCredit {
public:
    explicit FloorCredit(TimePoint now)
        : m_updatedAt(now)
    {
    }

    // Accounts for the time since the last update, in which the rank held heldSlots and its floor was floorSlots.
    void update(int heldSlots, double floorSlots, int limit, TimePoint now);
    bool isBelowFloor() const { return m_credit > 0; }
    // Time by which the rank is behind its floor, in seconds at floorSlots.
    double secondsBehind(double floorSlots) const { return m_credit / floorSlots; }
    // Share of the capacity that the rank held, smoothed over 5 s.
    double share() const { return m_share; }

private:
    double m_credit { 0 };
    double m_share { 0 };
    TimePoint m_updatedAt;
};

} // namespace skylark
