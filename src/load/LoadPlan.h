// The plan of a load run: request classes with their rates, floods and target nodes.
//
// The plan is a JSON object without unknown keys. Durations are strings with a unit:
//
//     {"targets": ["127.0.0.1:8001"], "duration": "10s", "warmup": "1s", "timeout": "10s", "workers": 128,
//      "seed": 1, "checkAnswers": true,
//      "classes": [{"name": "lookup", "method": "GET", "path": "/pitches/{n}", "host": "gessetto.example",
//                   "rate": 50, "rank": "urgent", "deadline": "800ms", "worth": 5, "idempotent": true,
//                   "bodyBytes": 0, "answerBytes": 0, "work": "2ms"}],
//      "floods": [{"class": "lookup", "start": "3s", "duration": "2s", "factor": 20}]}
//
// A flood multiplies the rate of a class for a time. "{n}" in a path is replaced by the number of the request. The rank
// is only a label in the report. Arrival times are drawn before the run as a Poisson process, so that a slow response
// does not delay later requests.
#pragma once

#include "base/Random.h"
#include "base/Types.h"

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

namespace skylark {

struct RequestClass {
    std::string name;
    std::string method { "GET" };
    std::string path { "/" };
    std::string host {};
    double ratePerSecond { 10 };
    std::string rank {};
    // Sent as Skylark-Deadline-Ms; a response within it counts as on time. Zero for no deadline.
    Duration deadline {};
    double worth { 1 };
    bool isIdempotent { true };
    size_t bodyBytes { 0 };
    // The response size and service time requested from the stand-in backend server; zero for the server's defaults.
    size_t responseBytes { 0 };
    Duration work {};
};

struct Flood {
    size_t classIndex { 0 };
    Duration start {};
    Duration duration {};
    double factor { 1 };
};

struct LoadPlan {
    std::vector<RequestClass> classes;
    std::vector<Flood> floods {};
    std::vector<Endpoint> targets;
    Duration duration { std::chrono::seconds(10) };
    // The report excludes requests from this first part of the duration.
    Duration warmup {};
    Duration timeout { std::chrono::seconds(10) };
    // The number of threads, each with one connection, over all targets. The report states when they were too few.
    size_t workers { 128 };
    uint64_t seed { 1 };
    // Compares the body of each response with status 200 to responseBody().
    bool checksResponses { true };
};

struct Arrival {
    Duration offset {};
    uint32_t classIndex { 0 };

    bool operator==(const Arrival&) const = default;
};

// Throws Error for an unknown key or a value outside its range.
LoadPlan planFromJson(const nlohmann::json& document);

// Returns the arrivals in order of time. Throws Error when the plan requires more than 20 million requests.
std::vector<Arrival> drawArrivals(const LoadPlan& plan, Random& random);

} // namespace skylark
