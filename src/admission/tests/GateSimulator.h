// Discrete-event simulation of one gate: Poisson streams of calls, the controller, and a backend server that runs
// `backendSlots` calls at a time and queues the others in order of arrival.
#pragma once

#include "admission/AdmissionController.h"
#include "base/Random.h"
#include "testing/EventQueue.h"
#include "testing/FakeClock.h"

#include <deque>
#include <map>

namespace skylark {

struct Stream {
    int rank { 0 };
    double callsPerSecond { 0 };
    // Service times are uniform over 0.5 to 1.5 times this mean.
    Duration meanServiceTime {};
    Duration deadline {};
    // Zero when the calls state no time after which a response is late.
    Duration target {};
};

struct RankResult {
    int64_t offered { 0 };
    int64_t onTime { 0 };
    int64_t late { 0 };
    // Answered within the stream's target.
    int64_t withinTarget { 0 };
    int64_t refused { 0 };
    // Slot time of the backend server in seconds, for all answered calls and for those that were on time. Calls that
    // end after the streams have stopped are not counted.
    double slotSeconds { 0 };
    double onTimeSeconds { 0 };

    double onTimeShare() const { return offered ? static_cast<double>(onTime) / static_cast<double>(offered) : 1; }
};

class GateSimulator {
public:
    GateSimulator(AdmissionOptions options, int backendSlots, uint64_t seed)
        : m_controller(std::move(options), m_clock.now())
        , m_backendSlots(backendSlots)
        , m_random(seed)
    {
        schedule(m_clock.now(), [this] { tick(); });
    }

    // Starts calls of the streams for this long, then runs on until no call waits or runs. Returns the results by rank.
    std::vector<RankResult> run(const std::vector<Stream>& streams, Duration length)
    {
        m_results.assign(8, {});
        m_end = m_clock.now() + length;
        for (const Stream& stream : streams)
            scheduleArrival(stream);
        while (m_clock.now() < m_end || !m_controller.isIdle())
            step();
        return m_results;
    }

    AdmissionController& controller() { return m_controller; }
    TimePoint now() const { return m_clock.now(); }
    void setBackendSlots(int slots) { m_backendSlots = slots; }

private:
    struct Call {
        Stream stream;
        TimePoint deadline;
        TimePoint startedAt;
        Duration serviceTime {};
        TimePoint onTimeBy {};
    };

    void schedule(TimePoint time, std::function<void()> action) { m_events.add(time, std::move(action)); }

    void step()
    {
        m_events.runFirst([this](TimePoint time) { m_clock.advance(time - m_clock.now()); });
    }

    void tick()
    {
        apply(m_controller.advance(m_clock.now()));
        schedule(m_clock.now() + std::chrono::milliseconds(10), [this] { tick(); });
    }

    void scheduleArrival(const Stream& stream)
    {
        const double gap = std::exponential_distribution<double>(stream.callsPerSecond)(m_random.engine());
        const TimePoint time = m_clock.now() + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(gap));
        if (time >= m_end)
            return;
        schedule(time, [this, stream] {
            arrive(stream);
            scheduleArrival(stream);
        });
    }

    void arrive(const Stream& stream)
    {
        const TicketId id(m_nextId++);
        Ticket ticket { .id = id, .rank = stream.rank, .deadline = m_clock.now() + stream.deadline };
        if (stream.target > Duration::zero())
            ticket.onTimeBy = m_clock.now() + stream.target;
        m_calls[id] = { stream, ticket.deadline, m_clock.now(),
            stream.meanServiceTime / 2 + m_random.upTo(stream.meanServiceTime), ticket.onTimeBy };
        ++m_results[stream.rank].offered;
        const AdmitResult result = m_controller.offer(ticket, m_clock.now());
        refuse(result.displaced);
        if (result.admission == Admission::Admitted)
            start(id);
        else if (result.admission == Admission::Refused)
            refuse({ { ticket, result.reason } });
    }

    void start(TicketId id)
    {
        m_calls[id].startedAt = m_clock.now();
        m_backendQueue.push_back(id);
        serve();
    }

    void serve()
    {
        while (!m_backendQueue.empty() && m_busySlots < m_backendSlots) {
            const TicketId id = m_backendQueue.front();
            m_backendQueue.pop_front();
            ++m_busySlots;
            schedule(m_clock.now() + m_calls[id].serviceTime, [this, id] { finish(id); });
        }
    }

    void finish(TicketId id)
    {
        const Call call = m_calls[id];
        m_calls.erase(id);
        --m_busySlots;
        RankResult& result = m_results[call.stream.rank];
        const double seconds = std::chrono::duration<double>(call.serviceTime).count();
        const bool isOnTime = m_clock.now() <= call.deadline;
        ++(isOnTime ? result.onTime : result.late);
        result.withinTarget += m_clock.now() <= call.onTimeBy ? 1 : 0;
        if (m_clock.now() <= m_end) {
            result.slotSeconds += seconds;
            result.onTimeSeconds += isOnTime ? seconds : 0;
        }
        serve();
        apply(m_controller.release(id, ServiceResult::Answered, m_clock.now() - call.startedAt, m_clock.now()));
    }

    void apply(const Dispatch& dispatch)
    {
        refuse(dispatch.refused);
        for (const Ticket& ticket : dispatch.started)
            start(ticket.id);
    }

    void refuse(const std::vector<RefusedTicket>& refused)
    {
        for (const RefusedTicket& entry : refused) {
            ++m_results[entry.ticket.rank].refused;
            m_calls.erase(entry.ticket.id);
        }
    }

    FakeClock m_clock;
    AdmissionController m_controller;
    int m_backendSlots;
    Random m_random;
    EventQueue m_events;
    uint64_t m_nextId { 1 };
    std::map<TicketId, Call> m_calls;
    std::deque<TicketId> m_backendQueue;
    int m_busySlots { 0 };
    TimePoint m_end;
    std::vector<RankResult> m_results;
};

} // namespace skylark
