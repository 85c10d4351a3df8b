// Decides whether the instance's link can carry the response of a call in time.
//
// The connections to peers report the bytes that they queue; the gate reports the calls that it has accepted from peers
// and the size of their responses. Calls of this node's own callers do not use the link.
//
// Model:
// - Backlog: the time that the link needs for what was queued so far, at its nominal rate. It covers bytes that the
//   kernel holds, which the connections cannot count. If more bytes wait in this process than the model expects, the
//   link is slower than stated, and the waiting bytes count instead.
// - Calls that wait or run are expected to produce the mean size of their route's successful responses. A route without
//   a response counts as zero, since a route that is refused for an assumed size would never be measured.
// - The link wait of a response is the time that the backlog and the accepted calls need beyond the time at which the
//   response is expected to be ready.
//
// Rules:
// - A large response may wait as long as its call stays on time, and at most maxWait. Each less urgent rank may wait
//   less, and so may a call that is late already. Under saturation the larger and less urgent responses are thus
//   refused first, and a route with a generous target cannot build a backlog that makes the calls of other routes late.
// - Large responses are charged at `largeShare` of the rate, so that small ones and packet headers always keep a part.
//   A small response (at most smallBytes) overtakes large ones on each connection (FrameQueue), so it waits for other
//   small ones only, and is refused only if these alone would make it late.
//
// Bounds: maxRoutes learned routes; the one used least recently is dropped.
//
// Not thread-safe; does no input or output. All operations do nothing and admit everything while the rate is zero.
#pragma once

#include "base/Types.h"

#include <absl/container/flat_hash_map.h>
#include <string>

namespace skylark {

// A call of a peer for which the gate asks.
struct LinkRequest {
    std::string route;
    int rank { 0 };
    // When the response is expected to be ready.
    TimePoint readyAt;
    TimePoint onTimeBy;
    TimePoint deadline;
};

class LinkBudget {
public:
    static constexpr size_t maxRoutes = 256;
    static constexpr uint64_t smallBytes = 4096;
    static constexpr double largeShare = 0.92;
    static constexpr Duration maxWait = std::chrono::milliseconds(300);

    // bitsPerSecond is zero if the rate of the link is unknown.
    explicit LinkBudget(double bitsPerSecond = 0)
        : m_bytesPerSecond(bitsPerSecond / 8)
    {
    }
    LinkBudget(const LinkBudget&) = delete;
    LinkBudget& operator=(const LinkBudget&) = delete;

    bool isEnabled() const { return m_bytesPerSecond > 0; }
    static bool isLarge(uint64_t bytes) { return bytes > smallBytes; }

    // For the connections to peers. `messageBytes` is the size of the whole message, or of the whole body.
    void recordQueued(uint64_t bytes, uint64_t messageBytes, TimePoint now);
    // Bytes of bodies that will not be sent, because their stream was cancelled or their connection lost.
    void recordDropped(uint64_t bytes);
    // Bytes that wait in this process, summed over all connections; each connection reports its changes.
    void changeWaiting(int64_t bytes) { m_waiting += bytes; }

    // For the gate. Returns false if the call should be refused.
    bool tryAccept(const LinkRequest& request, TimePoint now);
    // Pairs of calls, for a call that is accepted and for its end.
    void reserve(uint64_t bytes) { (isLarge(bytes) ? m_reservedLarge : m_reservedSmall) += bytes; }
    void release(uint64_t bytes) { (isLarge(bytes) ? m_reservedLarge : m_reservedSmall) -= bytes; }
    void recordResponse(const std::string& route, uint64_t bytes, TimePoint now);
    // The mean size of the route's responses; zero if it is unknown.
    uint64_t expectedBytes(const std::string& route) const;

    // A call was refused within the last second.
    bool isSaturated(TimePoint now) const;
    // Calls per second whose responses the link carries, by the mean over the recent responses; zero if it is unknown.
    double callsPerSecond() const;
    // The backlog as a number of mean responses.
    double backlogCalls(TimePoint now) const;

    Duration backlog(TimePoint now) const;
    uint64_t waitingBytes() const { return static_cast<uint64_t>(m_waiting); }
    uint64_t reservedBytes() const { return m_reservedLarge + m_reservedSmall; }
    uint64_t refused() const { return m_refused; }
    // Queued bytes per second as a share of the rate, smoothed over 2 s.
    double use(TimePoint now) const;

private:
    struct Route {
        double meanBytes { 0 };
        TimePoint usedAt;
    };

    double secondsFor(uint64_t bytes, uint64_t messageBytes) const;
    double backlogSeconds(TimePoint now) const;
    // The time for which the response would wait for the link once it is ready.
    double waitSeconds(const LinkRequest& request, uint64_t bytes, TimePoint now) const;

    const double m_bytesPerSecond;
    // The link is expected to have sent all queued messages, and the small ones, by these times.
    TimePoint m_busyUntil;
    TimePoint m_smallBusyUntil;
    int64_t m_waiting { 0 };
    uint64_t m_reservedLarge { 0 };
    uint64_t m_reservedSmall { 0 };
    absl::flat_hash_map<std::string, Route> m_routes;
    // Over the responses of all routes.
    double m_meanBytes { 0 };
    uint64_t m_refused { 0 };
    TimePoint m_refusedAt;
    // Bytes per second at m_useAt, with exponential decay.
    double m_use { 0 };
    TimePoint m_useAt;
};

} // namespace skylark
