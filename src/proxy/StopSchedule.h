// Decides, for a node that stops, when it refuses calls, ends those that still run, closes connections and exits.
//
//   stop requested .. peerCallsUntil .. callerRequestsUntil .. answerBy .. exitBy .. the platform kills the process
//
// - Until peerCallsUntil() the gate takes calls of peers that do not know of the stop yet.
// - Until callerRequestsUntil() the node takes requests of callers, who go elsewhere after failed readiness checks.
// Calls
//   that the local server makes for a request that it still runs are taken until the end.
// - Each call that is taken ends by answerBy(). A gate that expects a call to take longer refuses it as not run, so no
//   call is begun whose answer the end of the process would cut.
// - The process exits when nothing runs and the peers have read all data, at the latest at exitBy().
//
// All times follow from the settings. The class has no input or output; it is tested without a network.
#pragma once

#include "base/Types.h"

namespace skylark {

struct StopScheduleOptions {
    // The platform kills the process this long after requesting its stop.
    Duration grace { std::chrono::seconds(6) };
    // A server that gives notice that it leaves gets no request after this long.
    Duration drainTime { std::chrono::milliseconds(2500) };
    Duration readyCheckInterval { std::chrono::seconds(1) };
    // Callers go elsewhere after this many failed readiness checks in a row.
    int failedReadyChecks { 2 };
};

// What a stopping node does now; each step includes the ones before it.
enum class StopStep : uint8_t {
    ServeAll,
    RefusePeers,
    RefuseCallers,
    // Everything has ended or must end now: close the connections and wait until the peers have read all data.
    Close,
    Exit,
};

class StopSchedule {
public:
    StopSchedule(const StopScheduleOptions& options, TimePoint requestedAt);

    TimePoint requestedAt() const { return m_requestedAt; }
    TimePoint peerCallsUntil() const { return m_peerCallsUntil; }
    TimePoint callerRequestsUntil() const { return m_callerRequestsUntil; }
    TimePoint answerBy() const { return m_answerBy; }
    TimePoint exitBy() const { return m_exitBy; }

    // isIdle: no call is in progress. hasUnsentData: a connection still has data that its peer has not accepted.
    StopStep stepAt(TimePoint now, bool isIdle, bool hasUnsentData) const;

private:
    TimePoint m_requestedAt;
    TimePoint m_peerCallsUntil;
    TimePoint m_callerRequestsUntil;
    TimePoint m_answerBy;
    TimePoint m_exitBy;
};

} // namespace skylark
