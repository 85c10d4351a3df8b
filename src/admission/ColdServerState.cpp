#include "admission/ColdServerState.h"

namespace skylark {

namespace {

    // The heartbeat interval of the servers (1.5 s) and 0.5 s for the way through the source.
    constexpr Duration settleTime = std::chrono::milliseconds(2000);

} // namespace

const char* coldCauseName(ColdCause cause)
{
    switch (cause) {
    case ColdCause::None:
        return "none";
    case ColdCause::ProcessStarted:
        return "node-started";
    case ColdCause::ServerStarted:
        return "server-started";
    case ColdCause::ConnectionsLost:
        return "connections-lost";
    case ColdCause::EvacuationEnded:
        return "evacuation-ended";
    case ColdCause::Entry:
        return "entry";
    }
    return "none";
}

ColdServerState::ColdServerState(TimePoint now) { assume(ColdCause::ProcessStarted, now); }

void ColdServerState::assume(ColdCause cause, TimePoint now)
{
    m_assumedCause = cause;
    m_assumedAt = now;
}

TimePoint ColdServerState::assumedUntil() const
{
    return m_assumedCause == ColdCause::None ? TimePoint() : m_assumedAt + m_coldStart;
}

void ColdServerState::recordEntry(const ColdEntry& entry, TimePoint now)
{
    if (m_entry == entry)
        return;
    const bool isNewStart = m_entry && m_entry->incarnation != entry.incarnation;
    m_entry = entry;
    m_entryUntil = now + entry.remaining;
    if (isNewStart) {
        m_isContactLost = false;
        assume(ColdCause::ServerStarted, now);
    }
}

void ColdServerState::confirmEntry(TimePoint confirmedAt)
{
    const bool isSettled = m_assumedCause != ColdCause::None && confirmedAt >= m_assumedAt + settleTime;
    if (m_entry && isSettled && !m_isContactLost)
        m_assumedCause = ColdCause::None;
}

void ColdServerState::recordConnectionsLost(TimePoint now)
{
    m_isContactLost = true;
    assume(ColdCause::ConnectionsLost, now);
}

void ColdServerState::recordContact(TimePoint now)
{
    if (m_isContactLost)
        assume(ColdCause::ConnectionsLost, now);
    m_isContactLost = false;
}

ColdCause ColdServerState::cause(TimePoint now) const
{
    if (!isCold(now))
        return ColdCause::None;
    return m_isContactLost || now < assumedUntil() ? m_assumedCause : ColdCause::Entry;
}

Duration ColdServerState::remaining(TimePoint now) const
{
    if (m_isContactLost)
        return m_coldStart;
    return std::max(Duration(0), coldUntil() - now);
}

} // namespace skylark
