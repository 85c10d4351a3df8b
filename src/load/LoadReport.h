// The results of a load run by class, rank and target.
#pragma once

#include "load/LoadPlan.h"

#include <array>
#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

namespace skylark {

enum class CallResult {
    // A response with a status below 500 and, where checked, the expected body.
    Answered,
    // Refused with "Skylark-Outcome: not-run".
    NotRun,
    // Refused with "Skylark-Outcome: unknown".
    Unknown,
    // A status of 500 or above without Skylark-Outcome.
    ServerError,
    // A response whose body belongs to another request or is incomplete.
    WrongAnswer,
    // The connection failed before the response was complete.
    Cut,
    // No connection could be opened, so the request was not sent.
    NotConnected,
    TimedOut,
};
constexpr size_t callResultCount = 8;

struct OutcomeCounts {
    std::array<uint64_t, callResultCount> counts {};
    uint64_t onTime { 0 };
    double worthOnTime { 0 };
    // The latencies of responses, measured from the intended send time.
    std::vector<uint32_t> latenciesUs;

    void add(CallResult result, Duration latency, const RequestClass& requestClass);
    void merge(const OutcomeCounts& other);
    uint64_t count(CallResult result) const { return counts[static_cast<size_t>(result)]; }
    uint64_t sent() const;
    // The number of requests with neither a response nor a refusal.
    uint64_t errors() const;
};

// Returns the nearest-rank percentile of sorted values for a share from 0 to 1, or 0 when there are no values.
uint32_t percentile(const std::vector<uint32_t>& sorted, double share);

struct LoadReport {
    std::vector<OutcomeCounts> byClass;
    std::vector<OutcomeCounts> byTarget;
    // The number of requests sent over 1 ms after their intended time because all workers were busy, and the maximum
    // delay of a request.
    uint64_t lateSends { 0 };
    Duration maxSendDelay {};
    // The number of failovers to the next target after a target accepted no connection.
    uint64_t failovers { 0 };

    void merge(const LoadReport& other);
    // The object has the keys classes, ranks, targets, totals, lateSends, longestSendDelayUs and failovers.
    nlohmann::json toJson(const LoadPlan& plan) const;
    std::string toTable(const LoadPlan& plan) const;
};

} // namespace skylark
