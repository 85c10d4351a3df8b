// Admits all calls to one backend server; no request reaches the server in any other way.
//
// submit() accepts a call from this node or from a peer. CallDeduplicator joins repeated arrivals, AdmissionController
// decides when the call runs, and a pooled connection carries it. The reply is one of
//   * the server's complete response, whatever its status;
//   * NotRun: the call was refused before it was written to a connection, or the server stated that it did not run it;
//   * Unknown: the call was written, but no complete response arrived.
//
// A server that names a limit gets that many requests a second; other calls are refused at once, with the time after
// which their node may send the next one. Requests count when they are sent, not when they are queued.
//
// A call of a peer whose response the instance's link cannot carry in time is refused at once (LinkBudget).
// A cold server gets the requests per second that its service states (RequestPacer). Calls beyond that wait in a
// RateQueue while their turn comes in time; the others are refused at once, least urgent first.
//
// A server that drains, by its entry or by its own answers, gets no new calls: queued calls are refused and running
// calls finish. After the process was paused (more than `pauseThreshold` between two clock checks), calls that arrived
// meanwhile are refused, since their age is unknown.
//
// Bounds: maxQueued queued calls, the capacity of the deduplicator, one connection per running call, and at most
// maxIdleConnections idle connections.
#pragma once

#include "admission/AdmissionController.h"
#include "admission/LinkBudget.h"
#include "admission/RateQueue.h"
#include "admission/RequestPacer.h"
#include "base/Log.h"
#include "membership/ServerDirectory.h"
#include "proxy/BackendConnection.h"
#include "proxy/CallDeduplicator.h"
#include "proxy/GateCosts.h"
#include "proxy/ServerNotices.h"

#include <absl/container/flat_hash_set.h>
#include <deque>
#include <list>

namespace skylark {

struct GateOptions {
    Endpoint server;
    // Concurrent calls while the server's slot count is unknown.
    int defaultSlots { 8 };
    int maxQueued { 256 };
    size_t maxIdleConnections { 64 };
    // A connection that was idle for longer is not reused: the server may be about to close it.
    Duration maxIdleTime { std::chrono::seconds(8) };
    // The same limit for non-idempotent calls, which must not be resent.
    Duration maxIdleTimeNonIdempotent { std::chrono::seconds(4) };
    Duration sweepInterval { std::chrono::milliseconds(25) };
    Duration pauseThreshold { std::chrono::milliseconds(1500) };
    CallDeduplicatorOptions deduplicator {};
    // Null if the link is not taken into account. Must outlive the gate.
    LinkBudget* link { nullptr };
    // Learns the cost of calls, admits by it and reports the remaining work.
    bool isCostAware { false };
};

struct GateCounters {
    uint64_t answered { 0 };
    uint64_t refused { 0 };
    // Part of `refused`: beyond the rate of a cold server.
    uint64_t refusedCold { 0 };
    uint64_t unknown { 0 };
    uint64_t joined { 0 };
    uint64_t cancelled { 0 };
    uint64_t connectionsOpened { 0 };
    uint64_t refusedByLink { 0 };
    // Refused because the server's zone is evacuated; also counted in `refused`.
    uint64_t refusedByEvacuation { 0 };
};

class BackendGate {
public:
    BackendGate(EventLoop& loop, GateOptions options, const HttpConventions& httpConventions);
    ~BackendGate();

    void submit(GateCall call, ReplyCallback onReply);
    // The caller no longer waits. A queued call does not run; a running idempotent call is aborted.
    void cancel(const CallKey& key);

    // The server's current entry; absent if it has none.
    void setServer(const std::optional<ServerRecord>& server);
    // The server's entry is known to have been current at this time.
    void confirmServer(TimePoint confirmedAt);
    // The server's service and the settings limit what a cold server gets.
    void setColdPolicy(const ColdPolicy& policy);
    // While the server's zone is evacuated, queued and new calls are refused; running calls finish. After it the server
    // may be cold.
    void setEvacuated(bool isEvacuated);
    void setRanks(std::vector<RankPolicy> ranks);
    void setRoutes(const std::vector<Route>& routes) { m_costs.setRoutes(routes); }
    // True while the backend server runs the request with this id.
    bool isRunning(const std::string& requestId) const { return m_runningIds.contains(requestId); }
    // The process ends soon. New calls get at most the time until answerBy, so that those that would take longer are
    // refused, and calls that still run then end as Unknown.
    void beginStop(TimePoint answerBy);
    // Refuses queued and new calls from now on.
    void drain();
    bool isDraining() const { return m_isDraining; }
    bool isIdle() const { return m_calls.empty(); }

    // Says that the server leaves, but not that this process does: callers' nodes keep the former for as long as the
    // server runs. PeerServer announces the latter.
    LoadHint load() const;
    // Logs when the link has become free again. Call it a few times a second.
    void checkLink();
    const GateCounters& counters() const { return m_counters; }
    const std::optional<ServerRecord>& server() const { return m_server; }
    size_t idleConnections() const { return m_idleConnections.size(); }
    bool isServerCold() const { return m_pacer.isCold(); }
    ColdCause coldCause() const { return m_pacer.cause(m_loop.now()); }
    Duration remainingCold() const { return m_pacer.remainingCold(m_loop.now()); }
    // Calls that wait for their turn at a cold server.
    size_t waitingForTurn() const { return m_rateQueue.size(); }

private:
    struct Call {
        GateCall gateCall;
        std::vector<ReplyCallback> callbacks;
        TicketId ticket;
        TimePoint receivedAt;
        TimePoint startedAt;
        std::shared_ptr<BackendConnection> connection;
        // Bytes of the response that are reserved on the link.
        uint64_t reservedBytes { 0 };
        // Written to a connection, or to be written once the connection opens.
        bool isRunning { false };
    };
    using CallPtr = std::shared_ptr<Call>;

    // The load for the call's sender, which includes that of the link if the sender is a peer.
    LoadHint loadFor(const GateCall& call) const;
    static bool isUnsent(const Call& call)
    {
        return !call.isRunning || (call.connection && !call.connection->hasSentRequest());
    }
    void recordNotice(const HttpResponse& response);
    // Takes over what the sender knows of the server, after a restart of this process.
    void learnRate(const GateCall& call);
    bool isServerLeaving() const { return m_isServerLeaving || (m_server && m_server->isDraining); }
    const char* refusalCause(const GateCall& call) const;
    // Reserves the response's part of the link; returns false if the link cannot carry it in time.
    bool takeLink(const CallPtr& call);
    void admit(const CallPtr& call);
    // Applies what is known of the cold state, and starts or refuses the calls that wait for their turn.
    void updateColdState();
    // A server that refuses connections or ends all open ones has restarted or will.
    void recordEvidence(const BackendResult& result);
    bool hasOpenConnection() const;
    // Queues the call until its turn at the cold server and refuses the calls whose turn comes too late.
    void waitForTurn(const CallPtr& call);
    // The time after which a start of the call is useless: a response would be late.
    TimePoint latestStart(const GateCall& call) const;
    void startWaiting();
    bool hasRoomToStart() const;
    // Why the rate of requests refuses a call.
    const char* rateReason() const;
    void refuseTickets(const std::vector<TicketId>& tickets);
    size_t unsentCount() const;
    void run(const CallPtr& call);
    void handleResult(const CallPtr& call, const std::shared_ptr<BackendConnection>& connection, BackendResult result);
    std::shared_ptr<BackendConnection> takeConnection(const GateCall& call);
    std::shared_ptr<BackendConnection> openConnection();
    void keepIdle(const std::shared_ptr<BackendConnection>& connection);
    bool isFresh(const BackendConnection& connection, const GateCall& call) const;
    std::string requestHead(const GateCall& call) const;
    void release(const CallPtr& call, ServiceResult result);
    CallPtr callOf(const Ticket& ticket) const;
    void apply(const Dispatch& dispatch);
    void refuse(const CallPtr& call, const std::string& reason);
    // Refuses the calls that may no longer run and of which nothing was sent yet, because they are queued or their
    // connection is being opened: the server drains or is gone, or another service has taken its address since.
    void refuseInadmissible();
    void end(const CallPtr& call, const GateReplyPtr& reply);
    void sweep();
    void detectPause(TimePoint now);
    AdmissionOptions admissionOptions() const;

    EventLoop& m_loop;
    const GateOptions m_options;
    const HttpConventions& m_httpConventions;
    CallDeduplicator m_deduplicator;
    GateCosts m_costs;
    std::vector<RankPolicy> m_ranks;
    std::optional<ServerRecord> m_server;
    AdmissionController m_admission;
    RequestPacer m_pacer;
    // Empty unless the server is cold. Its calls are in m_callsByTicket.
    RateQueue m_rateQueue;
    bool m_isStartingWaiting { false };
    // The server's present process has answered, so this process knows its limit better than the senders.
    bool m_hasAnswer { false };
    // The server's present process has answered that it leaves.
    bool m_isServerLeaving { false };
    bool m_hasLoggedInvalidRate { false };
    bool m_isLinkSaturated { false };
    ServiceTimeEstimate m_serviceTime;
    absl::flat_hash_map<CallKey, CallPtr> m_calls;
    absl::flat_hash_map<TicketId, CallPtr> m_callsByTicket;
    // Ids of the requests that the server runs; each attempt of a caller has its own id.
    absl::flat_hash_set<std::string> m_runningIds;
    uint64_t m_lastTicket { 0 };
    // The most recently used connection is at the back.
    std::deque<std::shared_ptr<BackendConnection>> m_idleConnections;
    bool m_isDraining { false };
    bool m_isEvacuated { false };
    TimePoint m_answerBy { TimePoint::max() };
    TimePoint m_lastClockCheck;
    TimePoint m_refuseUntil;
    GateCounters m_counters;
    Timer m_sweepTimer;
};

} // namespace skylark
