#include "proxy/StopSchedule.h"

#include <algorithm>

namespace skylark {

namespace {

    using namespace std::chrono_literals;

    // The notice of the stop reaches peers within a few milliseconds; a busy one reads it later.
    constexpr int peerNoticeShare = 3;
    // From a failed readiness check until its result has reached the callers.
    constexpr Duration readyCheckDelay = 600ms;
    // Shares of the grace time that are left for the exit, and before that for answers to be read.
    constexpr int exitShare = 12;
    constexpr int flushShare = 12;

} // namespace

StopSchedule::StopSchedule(const StopScheduleOptions& options, TimePoint requestedAt)
    : m_requestedAt(requestedAt)
    , m_exitBy(requestedAt + options.grace - options.grace / exitShare)
{
    m_answerBy = m_exitBy - options.grace / flushShare;
    const Duration callerTime = options.readyCheckInterval * options.failedReadyChecks + readyCheckDelay;
    m_callerRequestsUntil = requestedAt + std::min(callerTime, options.grace / 2);
    m_peerCallsUntil = std::min(requestedAt + options.drainTime / peerNoticeShare, m_callerRequestsUntil);
}

StopStep StopSchedule::stepAt(TimePoint now, bool isIdle, bool hasUnsentData) const
{
    if (now >= m_exitBy)
        return StopStep::Exit;
    if (now < m_peerCallsUntil)
        return StopStep::ServeAll;
    if (now < m_callerRequestsUntil)
        return StopStep::RefusePeers;
    if (!isIdle)
        return StopStep::RefuseCallers;
    return hasUnsentData ? StopStep::Close : StopStep::Exit;
}

} // namespace skylark
