// Compares the routing policies, except LeastExpectedTime, in a discrete-event simulation.
//
// Nodes send Poisson arrivals to twelve backend servers of ten slots each with exponential service times
// of 20 ms; two of the servers take twice as long. Each server queues calls in order of arrival without bound.
// Responses carry the load that the server had some time ago, the lag. Prints the p50 and p99 latency for each policy,
// number of nodes, load (share of the total capacity) and lag. The seed is fixed, so the results are reproducible.
#include "routing/Router.h"
#include "testing/EventQueue.h"

#include <algorithm>
#include <cstdio>
#include <deque>

namespace skylark {
namespace {

    using namespace std::chrono_literals;

    constexpr int serverCount = 12;
    constexpr int slowServers = 2;
    constexpr int slots = 10;
    constexpr double serviceSeconds = 0.020;
    constexpr Duration warmUp = 10s;
    constexpr Duration length = 60s;

    struct Scenario {
        RoutingPolicy policy;
        int nodes { 1 };
        double load { 0 };
        Duration lag {};
    };

    struct Latencies {
        double p50 { 0 };
        double p99 { 0 };
    };

    class Simulation {
    public:
        explicit Simulation(const Scenario& scenario)
            : m_scenario(scenario)
            , m_servers(serverCount)
        {
            std::vector<InstanceState> states;
            states.reserve(serverCount);
            for (int i = 0; i < serverCount; ++i) {
                states.push_back({ .record = { .id = InstanceId(std::to_string(i)),
                                       .incarnation = Incarnation(1),
                                       .service = m_service,
                                       .zone = ZoneName("z") } });
            }
            const auto view = std::make_shared<MembershipView>(std::move(states));
            for (int i = 0; i < scenario.nodes; ++i) {
                m_routers.push_back(
                    std::make_unique<Router>(RouterOptions { .zone = ZoneName("z"), .policy = scenario.policy }));
                m_routers.back()->update(view, m_now);
            }
        }

        Latencies run()
        {
            const double capacity = slots / serviceSeconds * (serverCount - slowServers / 2.0);
            m_arrivalsPerSecond = m_scenario.load * capacity;
            schedule(0s, [this] { arrive(); });
            schedule(0s, [this] { refresh(); });
            while (m_now < m_start + length) {
                m_events.runFirst([this](TimePoint time) { m_now = time; });
            }
            std::sort(m_latencies.begin(), m_latencies.end());
            return { m_latencies[m_latencies.size() / 2], m_latencies[m_latencies.size() * 99 / 100] };
        }

    private:
        struct Call {
            Choice choice;
            size_t node { 0 };
            TimePoint sentAt;
        };
        struct Sample {
            TimePoint time;
            LoadHint load;
        };
        struct Server {
            std::deque<Call> queue;
            uint32_t busySlots { 0 };
            // Ordered by time. Of the samples older than the lag only the newest is kept.
            std::deque<Sample> history;
        };

        void schedule(Duration delay, std::function<void()> action) { m_events.add(m_now + delay, std::move(action)); }
        Duration exponential(double mean)
        {
            const double seconds = std::exponential_distribution<double>(1 / mean)(m_random.engine());
            return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
        }

        void refresh()
        {
            for (const auto& router : m_routers)
                router->advance(m_now);
            schedule(100ms, [this] { refresh(); });
        }

        void arrive()
        {
            const size_t node = m_random.below(m_routers.size());
            const auto choice = m_routers[node]->choose({ .service = m_service }, m_random, m_now);
            m_routers[node]->recordCallStarted(*choice);
            const auto index = static_cast<size_t>(std::stoi(choice->instance.value()));
            m_servers[index].queue.push_back({ *choice, node, m_now });
            serve(index);
            schedule(exponential(1 / m_arrivalsPerSecond), [this] { arrive(); });
        }

        void serve(size_t index)
        {
            Server& server = m_servers[index];
            while (server.busySlots < slots && !server.queue.empty()) {
                const Call call = server.queue.front();
                server.queue.pop_front();
                ++server.busySlots;
                const double mean = serviceSeconds * (index < slowServers ? 2 : 1);
                schedule(exponential(mean), [this, index, call] { finish(index, call); });
            }
            const auto queued = static_cast<uint32_t>(server.queue.size());
            server.history.push_back({ m_now, { .inFlight = server.busySlots, .queued = queued, .limit = slots } });
        }

        void finish(size_t index, const Call& call)
        {
            --m_servers[index].busySlots;
            serve(index);
            const Duration latency = m_now - call.sentAt;
            m_routers[call.node]->recordCallFinished(
                call.choice, { .latency = latency, .load = laggedLoad(index) }, m_now);
            if (call.sentAt >= m_start + warmUp)
                m_latencies.push_back(std::chrono::duration<double, std::milli>(latency).count());
        }

        LoadHint laggedLoad(size_t index)
        {
            std::deque<Sample>& history = m_servers[index].history;
            while (history.size() > 1 && history[1].time <= m_now - m_scenario.lag)
                history.pop_front();
            return history.front().load;
        }

        const ServiceName m_service { "service" };
        const TimePoint m_start { 1h };
        TimePoint m_now { m_start };
        Scenario m_scenario;
        double m_arrivalsPerSecond { 0 };
        Random m_random { 42 };
        std::vector<Server> m_servers;
        std::vector<std::unique_ptr<Router>> m_routers;
        EventQueue m_events;
        std::vector<double> m_latencies;
    };

} // namespace
} // namespace skylark

int main()
{
    using namespace skylark;
    const std::vector<RoutingPolicy> policies { TwoChoices {}, RandomChoice {}, BestScore {}, ScoreProportional {} };
    std::printf("%-20s %6s %6s %6s %10s %10s\n", "policy", "nodes", "load", "lag", "p50 ms", "p99 ms");
    for (const RoutingPolicy& policy : policies) {
        for (const int nodes : { 8, 100 }) {
            for (const double load : { 0.7, 0.9 }) {
                for (const int lag : { 1, 5 }) {
                    const Scenario scenario { policy, nodes, load, std::chrono::seconds(lag) };
                    const Latencies latencies = Simulation(scenario).run();
                    std::printf("%-20s %6d %6.1f %5ds %10.1f %10.1f\n", policyName(policy), nodes, load, lag,
                        latencies.p50, latencies.p99);
                }
            }
        }
    }
    return 0;
}
