// What the load generator sends: request classes with rates, floods and target nodes.
//
// The plan is JSON with checked keys; durations are text with a unit:
//
//     {"targets": ["127.0.0.1:8001"], "duration": "10s", "warmup": "1s", "timeout": "10s", "workers": 128,
//      "seed": 1, "checkAnswers": true,
//      "classes": [{"name": "lookup", "method": "GET", "path": "/pitches/{n}", "host": "gessetto.example",
//                   "rate": 50, "rank": "urgent", "deadline": "800ms", "worth": 5, "idempotent": true,
//                   "bodyBytes": 0, "answerBytes": 0, "work": "2ms"}],
//      "floods": [{"class": "lookup", "start": "3s", "duration": "2s", "factor": 20}]}
//
// "{n}" in a path becomes the number of the request. The rank is a label of the report. Arrivals are drawn
// before the run as a Poisson process, so that a slow answer does not hold back later requests.
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
    // Sent as Skylark-Deadline-Ms, and what "on time" means. Zero for none.
    Duration deadline {};
    double worth { 1 };
    bool isIdempotent { true };
    size_t bodyBytes { 0 };
    // What the stand-in backend server is asked for; zero leaves it to the server.
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
    // Requests sent in this first part of the duration are left out of the report's figures.
    Duration warmup {};
    Duration timeout { std::chrono::seconds(10) };
    // Connections and threads over all targets; the report says when they were too few.
    size_t workers { 128 };
    uint64_t seed { 1 };
    // Compares each answer of status 200 with responseBody().
    bool checksResponses { true };
};

struct Arrival {
    Duration offset {};
    uint32_t classIndex { 0 };

    bool operator==(const Arrival&) const = default;
};

// Throws Error for an unknown key or a value outside its range.
LoadPlan planFromJson(const nlohmann::json& document);

// Ordered by time. Throws Error when the plan asks for more than 20 million requests.
std::vector<Arrival> drawArrivals(const LoadPlan& plan, Random& random);

} // namespace skylark
