// The figures of a load run, by class, rank and target.
#pragma once

#include "load/LoadPlan.h"

#include <array>
#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

namespace skylark {

enum class CallResult {
    // An answer with a status below 500 that is the request's own.
    Answered,
    // Refused with Skylark-Outcome: not-run or unknown.
    NotRun,
    Unknown,
    // A status of 500 or above without an outcome.
    ServerError,
    // An answer that is not the request's own or not whole.
    WrongAnswer,
    // The connection broke before the answer was whole.
    Cut,
    // No connection could be opened, so nothing was sent.
    NotConnected,
    TimedOut,
};
constexpr size_t callResultCount = 8;

struct OutcomeCounts {
    std::array<uint64_t, callResultCount> counts {};
    uint64_t onTime { 0 };
    double worthOnTime { 0 };
    // Of answers, from the intended time of sending.
    std::vector<uint32_t> latenciesUs;

    void add(CallResult result, Duration latency, const RequestClass& requestClass);
    void merge(const OutcomeCounts& other);
    uint64_t count(CallResult result) const { return counts[static_cast<size_t>(result)]; }
    uint64_t sent() const;
    // All that is not an answer or a refusal.
    uint64_t errors() const;
};

// The smallest value that is at least as large as this share of the values; 0 without values.
uint32_t percentile(const std::vector<uint32_t>& sorted, double share);

struct LoadReport {
    std::vector<OutcomeCounts> byClass;
    std::vector<OutcomeCounts> byTarget;
    // Requests that left over 1 ms after their time because all workers were busy, and the longest delay.
    uint64_t lateSends { 0 };
    Duration maxSendDelay {};
    // Connections that were refused by one target and tried at the next one.
    uint64_t failovers { 0 };

    void merge(const LoadReport& other);
    // Members: classes, ranks, targets, totals, lateSends, longestSendDelayUs, failovers.
    nlohmann::json toJson(const LoadPlan& plan) const;
    std::string toTable(const LoadPlan& plan) const;
};

} // namespace skylark
