// The gate beside one backend server: the only way to it.
//
// submit() takes a call from this node or from a peer. The ledger joins repeated arrivals, AdmissionController
// decides when the call runs, and a kept connection carries it. The reply is one of
//   * the server's whole answer, whatever its status;
//   * NotRun: refused before it was written to a connection, or the server said that it did not run it;
//   * Unknown: it was written and no whole answer came.
//
// A server that leaves gets no new calls: what waits is refused, what runs is finished. After a pause of the process
// (`pauseGap` between two looks at the clock) the calls that came in meanwhile are refused, since their age is unknown.
//
// Bounds: mostQueued waiting calls, the ledger's capacity, and one connection a running call with mostIdle kept.
#pragma once

#include "admission/AdmissionController.h"
#include "base/Log.h"
#include "membership/ServerDirectory.h"
#include "proxy/BackendConnection.h"
#include "proxy/CallDeduplicator.h"

#include <absl/container/flat_hash_set.h>
#include <deque>
#include <list>

namespace skylark {

struct GateOptions {
    Endpoint server;
    // Calls for which no slot count is known yet.
    int defaultSlots { 8 };
    int maxQueued { 256 };
    size_t maxIdleConnections { 64 };
    // A connection that was idle for longer is not used again: the server may be about to close it.
    Duration maxIdleTime { std::chrono::seconds(8) };
    // As mostIdleTime, for calls that must not be sent again.
    Duration maxIdleTimeNonIdempotent { std::chrono::seconds(4) };
    Duration sweepInterval { std::chrono::milliseconds(25) };
    Duration pauseThreshold { std::chrono::milliseconds(1500) };
    CallDeduplicatorOptions deduplicator {};
};

struct GateCounters {
    uint64_t answered { 0 };
    uint64_t refused { 0 };
    uint64_t unknown { 0 };
    uint64_t joined { 0 };
    uint64_t cancelled { 0 };
    uint64_t connectionsOpened { 0 };
};

class BackendGate {
public:
    BackendGate(EventLoop& loop, GateOptions options, const HttpConventions& httpConventions);
    ~BackendGate();

    void submit(GateCall call, ReplyCallback onReply);
    // The caller no longer waits. A call that waits will not run; an idempotent one that runs is stopped.
    void cancel(const CallKey& key);

    // The server as its entry describes it; absent when it has none.
    void setServer(const std::optional<ServerRecord>& server);
    void setRanks(std::vector<RankPolicy> ranks);
    // The backend server runs the request with this id now.
    bool isRunning(const std::string& requestId) const { return m_runningIds.contains(requestId); }
    // No new calls from now on.
    void drain();
    bool isIdle() const { return m_calls.empty(); }

    LoadHint load() const;
    const GateCounters& counters() const { return m_counters; }
    const std::optional<ServerRecord>& server() const { return m_server; }
    size_t idleConnections() const { return m_idle.size(); }

private:
    struct Call {
        GateCall call;
        std::vector<ReplyCallback> callbacks;
        TicketId ticket;
        TimePoint receivedAt;
        TimePoint startedAt;
        std::shared_ptr<BackendConnection> connection;
        // Written to a connection, or about to be as soon as that opens.
        bool isRunning { false };
    };
    using CallPtr = std::shared_ptr<Call>;

    const char* refusalCause(const GateCall& call) const;
    void admit(const CallPtr& call);
    void run(const CallPtr& call);
    void handleResult(const CallPtr& call, const std::shared_ptr<BackendConnection>& connection, BackendResult result);
    std::shared_ptr<BackendConnection> takeConnection(const GateCall& call);
    std::shared_ptr<BackendConnection> openConnection();
    void keepIdle(const std::shared_ptr<BackendConnection>& connection);
    bool isFresh(const BackendConnection& connection, const GateCall& call) const;
    std::string requestBytes(const GateCall& call) const;
    void release(const CallPtr& call, ServiceResult result);
    CallPtr callOf(const Ticket& ticket) const;
    void apply(const Dispatch& dispatch);
    void refuse(const CallPtr& call, const std::string& reason);
    // Refuses the waiting calls that may not run any more: the server leaves, is gone, or another service has taken
    // its address while they waited.
    void refuseInadmissible();
    void end(const CallPtr& call, const GateReplyPtr& reply);
    void sweep();
    void detectPause(TimePoint now);
    AdmissionOptions admissionOptions() const;

    EventLoop& m_loop;
    const GateOptions m_options;
    const HttpConventions& m_httpConventions;
    CallDeduplicator m_deduplicator;
    std::vector<RankPolicy> m_ranks;
    std::optional<ServerRecord> m_server;
    AdmissionController m_admission;
    ServiceTimeEstimate m_serviceTime;
    absl::flat_hash_map<CallKey, CallPtr> m_calls;
    absl::flat_hash_map<TicketId, CallPtr> m_byTicket;
    // Ids of the requests that the server runs; callers' attempts have ids of their own.
    absl::flat_hash_set<std::string> m_runningIds;
    uint64_t m_lastTicket { 0 };
    // The connection used last is at the back.
    std::deque<std::shared_ptr<BackendConnection>> m_idle;
    bool m_isDraining { false };
    TimePoint m_lastClockCheck;
    TimePoint m_refuseUntil;
    GateCounters m_counters;
    Timer m_sweepTimer;
};

} // namespace skylark
