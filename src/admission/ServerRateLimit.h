// Keeps the requests to a backend server within a rate: the one that the server names in its answers, or the one that a
// cold server bears.
//
// The gate calls startRequest() for each request that it sends. A token bucket gives room. A limit starts without
// tokens, since the requests of the last moments were not counted. Without a burst of its own the bucket holds the
// tokens of half a second; in any 4 s the server then gets at most 4.5 times its rate. A server that names zero still
// gets minRate, so that an answer can end the limit.
//
// A refused sender is told to wait until its turn: while N nodes send, each gets one request in N / rate. Otherwise
// each of them would come back for the next token.
//
// Not thread-safe; does no input or output. Bound: maxSenders senders are counted.
#pragma once

#include "base/Types.h"

#include <absl/container/flat_hash_map.h>
#include <optional>

namespace skylark {

class ServerRateLimit {
public:
    // Sets the rate in requests per second; none ends the limit. A repeated rate changes nothing.
    void set(std::optional<double> rate, TimePoint now) { set(rate, std::nullopt, now); }
    // Limits the requests in any window of t seconds to rate * t + burstSize.
    void set(std::optional<double> rate, std::optional<double> burstSize, TimePoint now);
    std::optional<double> rate() const { return m_rate; }
    // True if a request could be sent now.
    bool hasRoom(TimePoint now) const;
    // Takes the room for requests that were started before the limit and may still reach the server.
    void charge(size_t requests) { m_tokens -= static_cast<double>(requests); }
    // Time until there is room for one request; zero if there is room now.
    Duration timeUntilRoom(TimePoint now) const;
    // Takes the room for one request; returns false if there is none.
    bool startRequest(TimePoint now);
    // Counts a request of the sender, sent or refused.
    void recordSender(Incarnation sender, TimePoint now);
    // The time after which a refused sender should come back; zero without a limit.
    Duration delayForSender(TimePoint now) const;

private:
    double tokensAt(TimePoint now) const;
    double burst() const;

    std::optional<double> m_rate;
    std::optional<double> m_burst;
    double m_tokens { 0 };
    TimePoint m_updatedAt;
    absl::flat_hash_map<Incarnation, TimePoint> m_senders;
};

} // namespace skylark
