// Simulates callers, nodes and cold servers without a network and compares what the callers get with a limiter that has
// complete information: one queue for all requests, which knows the room of each server.
#include "admission/RequestPacer.h"
#include "base/Random.h"
#include "proxy/ServerNotices.h"
#include "testing/EventQueue.h"
#include "testing/TestSeed.h"

#include <algorithm>
#include <deque>
#include <gtest/gtest.h>

namespace skylark {
namespace {

    using namespace std::chrono_literals;

    constexpr size_t nodeCount = 40;
    constexpr size_t serverCount = 12;
    constexpr size_t slots = 12;
    constexpr size_t rankCount = 3;
    constexpr int maxRateRefusals = 6;
    constexpr double coldRate = 9.2;
    constexpr double bound = 1.5 * coldRate + 8;
    constexpr Duration coldStart = 3s;
    constexpr Duration latency = 1ms;
    constexpr Duration onTime = 500ms;
    constexpr Duration deadline = 1500ms;
    constexpr std::array<double, rankCount> requestsPerSecond { 60, 80, 80 };
    const TimePoint start = TimePoint() + 1h;
    const TimePoint end = start + 6s;
    const ServiceName service("work");

    struct Request {
        uint64_t number { 0 };
        int rank { 0 };
        TimePoint receivedAt;
        Duration work {};
    };

    struct Result {
        std::array<int, rankCount> answeredOnTime {};
        std::array<int, rankCount> offered {};
        size_t mostInOneSecond { 0 };
        int attempts { 0 };

        int total() const { return answeredOnTime[0] + answeredOnTime[1] + answeredOnTime[2]; }
    };

    struct Scenario {
        // The servers from here on are cold at the start; the others are warm.
        size_t firstCold { 0 };
        // The senders know which servers are cold, by their entries.
        bool hasEntries { false };
        // The gates of the cold servers restart at this time.
        std::optional<Duration> gateRestart;
        double load { 1 };
    };

    std::vector<Request> requestsOf(double load, uint64_t seed)
    {
        Random random(seed);
        std::vector<Request> requests;
        for (size_t rank = 0; rank < rankCount; ++rank) {
            TimePoint now = start;
            while (now < end) {
                now += std::chrono::duration_cast<Duration>(
                    std::chrono::duration<double>(-std::log(1 - random.unit()) / (load * requestsPerSecond[rank])));
                requests.push_back({ .rank = static_cast<int>(rank),
                    .receivedAt = now,
                    .work = 150ms + std::chrono::milliseconds(random.below(140)) });
            }
        }
        std::sort(requests.begin(), requests.end(),
            [](const Request& left, const Request& right) { return left.receivedAt < right.receivedAt; });
        for (size_t i = 0; i < requests.size(); ++i)
            requests[i].number = i + 1;
        return requests;
    }

    ColdPolicy policyOf() { return { .requestsPerSecond = coldRate, .coldStart = coldStart }; }

    class Fleet {
    public:
        Fleet(const Scenario& scenario, uint64_t seed)
            : m_scenario(scenario)
            , m_random(seed)
            , m_nodes(nodeCount)
        {
            for (size_t i = 0; i < serverCount; ++i)
                m_servers.emplace_back(newPacer(i >= scenario.firstCold ? start : start - 1h));
        }

        Result run(const std::vector<Request>& requests)
        {
            for (const Request& request : requests) {
                ++m_result.offered[static_cast<size_t>(request.rank)];
                m_events.add(request.receivedAt, [this, request] { arrive(request); });
            }
            for (TimePoint now = start; now < end + deadline; now += 25ms)
                m_events.add(now, [this] { sweep(); });
            if (m_scenario.gateRestart)
                m_events.add(start + *m_scenario.gateRestart, [this] { restartGates(); });
            m_events.add(end + deadline, [this] { m_isOver = true; });
            while (!m_isOver)
                m_events.runFirst([this](TimePoint now) { m_now = now; });
            return m_result;
        }

    private:
        struct Attempt {
            Request request;
            size_t node { 0 };
            std::vector<InstanceId> tried;
            int refusals { 0 };
            size_t server { 0 };
        };
        struct Server {
            explicit Server(RequestPacer requestPacer)
                : pacer(std::move(requestPacer))
            {
            }
            RequestPacer pacer;
            RateQueue queue;
            std::map<uint64_t, Attempt> waiting;
            size_t running { 0 };
            std::deque<TimePoint> arrivals;
        };
        struct Node {
            ServerNotices notices;
            std::array<int, serverCount> outstanding {};
        };

        static RequestPacer newPacer(TimePoint startedAt)
        {
            RequestPacer pacer(startedAt);
            pacer.setColdPolicy(policyOf());
            pacer.update(0, startedAt);
            return pacer;
        }
        static InstanceId idOf(size_t server) { return InstanceId("s" + std::to_string(server)); }
        static ServerNotices::Server targetOf(size_t server)
        {
            return { .id = idOf(server), .incarnation = Incarnation(1), .service = service };
        }
        bool isKnownCold(size_t server) const
        {
            return m_scenario.hasEntries && server >= m_scenario.firstCold && m_now < start + coldStart;
        }

        // As ServiceTable, which knows the start of the cold time from the entry.
        double slowStartFactor(size_t server) const
        {
            if (!isKnownCold(server) || m_scenario.firstCold == 0)
                return 1;
            return 2 - (0.1 + 0.9 * std::chrono::duration<double>(m_now - start) / coldStart);
        }

        void arrive(const Request& request) { attempt({ .request = request, .node = m_random.below(nodeCount) }); }

        // As CallForwarder: the least loaded usable server; after a refusal by a limit a warm one, if any.
        std::optional<size_t> choose(const Attempt& attempt, bool excludesCold)
        {
            const Node& node = m_nodes[attempt.node];
            auto excluded = node.notices.unusable(service, m_now, attempt.request.rank);
            excluded.insert(excluded.end(), attempt.tried.begin(), attempt.tried.end());
            std::optional<size_t> best;
            double leastTime = 0;
            uint64_t ties = 1;
            for (size_t i = 0; i < serverCount; ++i) {
                if (std::find(excluded.begin(), excluded.end(), idOf(i)) != excluded.end())
                    continue;
                if (excludesCold && isKnownCold(i))
                    continue;
                const double time = (1 + 0.3 * node.outstanding[i] / slots) * slowStartFactor(i);
                ties = best && time == leastTime ? ties + 1 : 1;
                if (best && (time > leastTime || (time == leastTime && m_random.below(ties) != 0)))
                    continue;
                best = i;
                leastTime = time;
            }
            return best;
        }

        void attempt(Attempt call)
        {
            auto server = choose(call, call.refusals > 0);
            if (!server)
                server = choose(call, false);
            if (!server) {
                const auto pause = m_nodes[call.node].notices.shortestPause(service, m_now, call.request.rank);
                retryLater(call, pause.value_or(300ms));
                return;
            }
            ++m_result.attempts;
            ++m_nodes[call.node].outstanding[*server];
            call.server = *server;
            call.tried.push_back(idOf(*server));
            m_events.add(m_now + latency, [this, call] { submit(call); });
        }

        // The caller comes back after Retry-After, at another node, while its deadline allows it.
        void retryLater(const Attempt& call, Duration wait)
        {
            const Duration turn = m_nodes[call.node].notices.nextTurn(service, wait, 1s, m_now);
            const Duration retryAfter = std::clamp<Duration>(
                std::chrono::duration_cast<Duration>(turn * (0.8 + 0.8 * m_random.unit())), 50ms, 1s);
            if (m_now + retryAfter < call.request.receivedAt + deadline)
                m_events.add(m_now + retryAfter, [this, request = call.request] { arrive(request); });
        }

        void submit(const Attempt& call)
        {
            Server& server = m_servers[call.server];
            server.pacer.update(0, m_now);
            server.pacer.recordSender(Incarnation(call.node + 1), m_now);
            server.waiting.emplace(call.request.number, call);
            const TimePoint onTimeBy = call.request.receivedAt + onTime - 270ms;
            const TimePoint startBy = onTimeBy > m_now ? onTimeBy : call.request.receivedAt + deadline - 270ms;
            if (hasRoom(server) && server.queue.isEmpty())
                begin(server, call.request.number);
            else
                refuse(server,
                    server.queue.offer(
                        { .id = TicketId(call.request.number), .rank = call.request.rank, .startBy = startBy },
                        turnsOf(server), m_now));
        }

        bool hasRoom(const Server& server) const { return server.running < slots && server.pacer.hasRoom(m_now); }
        RateQueue::Turns turnsOf(const Server& server) const
        {
            return server.pacer.isCold() ? server.pacer.turns(m_now) : RateQueue::Turns { .interval = 220ms / slots };
        }

        void begin(Server& server, uint64_t number)
        {
            const Attempt call = server.waiting.at(number);
            server.waiting.erase(number);
            ASSERT_TRUE(server.pacer.startRequest(m_now));
            ++server.running;
            const auto index = static_cast<size_t>(&server - m_servers.data());
            if (index >= m_scenario.firstCold && m_now < start + coldStart)
                server.arrivals.push_back(m_now);
            while (!server.arrivals.empty() && server.arrivals.front() <= m_now - 1s)
                server.arrivals.pop_front();
            m_result.mostInOneSecond = std::max(m_result.mostInOneSecond, server.arrivals.size());
            m_events.add(m_now + call.request.work, [this, call] { complete(call); });
        }

        void complete(const Attempt& call)
        {
            Server& server = m_servers[call.server];
            --server.running;
            const Duration delay = server.pacer.delayForSender(m_now);
            m_events.add(m_now + latency, [this, call, delay] {
                finishAttempt(call, delay, m_now - call.request.work - 2 * latency);
                if (m_now <= call.request.receivedAt + onTime)
                    ++m_result.answeredOnTime[static_cast<size_t>(call.request.rank)];
            });
            dispatch(server);
        }

        void finishAttempt(const Attempt& call, Duration delay, TimePoint since)
        {
            Node& node = m_nodes[call.node];
            --node.outstanding[call.server];
            if (delay > Duration::zero())
                node.notices.pause(targetOf(call.server), since + delay, m_now, call.request.rank);
        }

        void refuse(Server& server, const std::vector<TicketId>& tickets)
        {
            const Duration delay = server.pacer.delayForSender(m_now);
            for (const TicketId& ticket : tickets) {
                Attempt call = server.waiting.at(ticket.value());
                server.waiting.erase(ticket.value());
                m_events.add(m_now + latency, [this, call, delay]() mutable {
                    finishAttempt(call, delay, m_now);
                    if (++call.refusals < maxRateRefusals)
                        attempt(call);
                    else
                        retryLater(call, delay);
                });
            }
        }

        void dispatch(Server& server)
        {
            server.pacer.update(0, m_now);
            while (!server.queue.isEmpty() && hasRoom(server))
                begin(server, server.queue.takeFirst().value());
            if (!server.queue.isEmpty())
                refuse(server, server.queue.expire(turnsOf(server), m_now));
        }

        void sweep()
        {
            for (Server& server : m_servers) {
                // Heartbeats are known 200 ms after they were written.
                if (m_scenario.hasEntries && &server >= &m_servers[m_scenario.firstCold])
                    recordHeartbeat(server.pacer.state());
                dispatch(server);
            }
        }

        void recordHeartbeat(ColdServerState& state) const
        {
            const int64_t number = (m_now - start) / 1500ms;
            const Duration remaining = std::max<Duration>(Duration(0), coldStart - number * 1500ms);
            if (m_now - start < 200ms)
                return;
            state.recordEntry({ .incarnation = Incarnation(1),
                                  .heartbeat = HeartbeatNumber(static_cast<uint64_t>(number)),
                                  .remaining = remaining },
                m_now);
            state.confirmEntry(m_now - 200ms);
        }

        // The new processes know nothing; the calls that waited or ran are lost with the old ones.
        void restartGates()
        {
            for (size_t i = m_scenario.firstCold; i < serverCount; ++i) {
                refuse(m_servers[i], m_servers[i].queue.takeAll());
                m_servers[i].pacer = newPacer(m_now);
            }
        }

        const Scenario m_scenario;
        Random m_random;
        EventQueue m_events;
        std::vector<Node> m_nodes;
        std::vector<Server> m_servers;
        TimePoint m_now;
        bool m_isOver { false };
        Result m_result;
    };

    // Serves the most urgent waiting request that can still be on time as soon as any server has room.
    Result runIdeal(const Scenario& scenario, const std::vector<Request>& requests)
    {
        Result result;
        std::vector<RequestPacer> pacers;
        std::vector<std::deque<TimePoint>> running(serverCount);
        for (size_t i = 0; i < serverCount; ++i) {
            const TimePoint coldSince = i >= scenario.firstCold ? start : start - 1h;
            pacers.emplace_back(coldSince);
            pacers.back().setColdPolicy(policyOf());
            pacers.back().update(0, coldSince);
        }
        std::array<std::deque<Request>, rankCount> waiting;
        size_t next = 0;
        for (TimePoint now = start; now < end + deadline; now += 1ms) {
            while (next < requests.size() && requests[next].receivedAt <= now) {
                ++result.offered[static_cast<size_t>(requests[next].rank)];
                waiting[static_cast<size_t>(requests[next].rank)].push_back(requests[next]);
                ++next;
            }
            for (size_t i = 0; i < serverCount; ++i) {
                pacers[i].update(0, now);
                std::erase_if(running[i], [now](TimePoint until) { return until <= now; });
                for (size_t rank = 0; rank < rankCount; ++rank) {
                    auto& queue = waiting[rank];
                    while (!queue.empty() && running[i].size() < slots && pacers[i].hasRoom(now)) {
                        const Request request = queue.front();
                        queue.pop_front();
                        if (now + request.work > request.receivedAt + onTime)
                            continue;
                        pacers[i].startRequest(now);
                        running[i].push_back(now + request.work);
                        ++result.answeredOnTime[rank];
                    }
                }
            }
        }
        return result;
    }

    void compare(const char* name, const Scenario& scenario, double minShare, double minUrgentShare)
    {
        runWithSeeds(4711, [&](uint64_t seed) {
            const auto requests = requestsOf(scenario.load, seed);
            const Result ideal = runIdeal(scenario, requests);
            const Result result = Fleet(scenario, seed).run(requests);
            const double share = static_cast<double>(result.total()) / ideal.total();
            const double urgentShare = static_cast<double>(result.answeredOnTime[0]) / ideal.answeredOnTime[0];
            std::cout << name << ": offered " << result.offered[0] << "/" << result.offered[1] << "/"
                      << result.offered[2] << ", ideal " << ideal.answeredOnTime[0] << "/" << ideal.answeredOnTime[1]
                      << "/" << ideal.answeredOnTime[2] << ", fleet " << result.answeredOnTime[0] << "/"
                      << result.answeredOnTime[1] << "/" << result.answeredOnTime[2] << ", attempts " << result.attempts
                      << ", most in 1 s " << result.mostInOneSecond << "\n";
            EXPECT_LE(static_cast<double>(result.mostInOneSecond), bound);
            EXPECT_GE(share, minShare);
            EXPECT_GE(urgentShare, minUrgentShare);
            for (size_t rank = 1; rank < rankCount; ++rank) {
                const auto shareOf = [&result](size_t of) {
                    return static_cast<double>(result.answeredOnTime[of]) / result.offered[of];
                };
                EXPECT_GE(shareOf(rank - 1), shareOf(rank) - 0.02) << rank;
            }
        });
    }

    // Guards against gates that flood their cold servers after a loss of all power, and against room that stays unused
    // while callers are refused.
    TEST(ColdFleetTest, LossOfAllPower) { compare("power loss", {}, 0.8, 0.9); }

    TEST(ColdFleetTest, LossOfAllPowerWithEntries) { compare("with entries", { .hasEntries = true }, 0.8, 0.9); }

    // Guards against calls that try one idle cold server after the other in vain while warm ones have room.
    TEST(ColdFleetTest, ZoneThatComesBackCold)
    {
        compare("zone", { .firstCold = 2 * serverCount / 3, .hasEntries = true }, 0.9, 0.9);
    }

    // The load that the warm servers alone just bear.
    TEST(ColdFleetTest, ZoneThatComesBackColdUnderHeavyLoad)
    {
        compare("loaded zone", { .firstCold = 2 * serverCount / 3, .hasEntries = true, .load = 1.9 }, 0.8, 0.9);
    }

    TEST(ColdFleetTest, GatesThatRestartWhileTheirServersAreCold)
    {
        for (const Duration restart : { 300ms, 1200ms, 2500ms })
            compare("gate restart", { .hasEntries = true, .gateRestart = restart }, 0.6, 0.75);
    }

} // namespace
} // namespace skylark
