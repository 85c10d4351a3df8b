// Compares cost-aware routing with the rule that counts each call as one and with a rule that knows each cost, without
// a network: some senders, twelve servers with six slots and a queue in order of arrival.
#include "admission/CostEstimator.h"
#include "admission/Estimates.h"
#include "admission/RemainingWork.h"
#include "routing/InstanceStatistics.h"
#include "routing/tests/RouterFixture.h"

#include <cstdio>
#include <deque>
#include <functional>
#include <queue>

namespace skylark {
namespace {

    using namespace std::chrono_literals;

    constexpr int serverCount = 12;
    constexpr int slotCount = 6;
    constexpr Duration meanCost = 94ms;
    constexpr Duration target = 400ms;
    constexpr double tailFactor = 7;
    constexpr double tailShare = 0.03;
    constexpr Duration warmUp = 20s;
    constexpr Duration length = 60s;

    // CountsOfTwo is Counts among two random servers. It shows which part of the difference comes from the number of
    // candidates and not from the knowledge of costs.
    enum class Rule : uint8_t { Counts, CountsOfTwo, CostAware, KnownCosts };

    struct Scenario {
        const char* name { "" };
        Duration hintAge {};
        int senders { 6 };
        // If false, the tail has no cause that a request shows.
        bool isTailByPath { true };
        // At half time, other paths become the expensive ones.
        bool doesCostChange { false };
        // Three servers are slower by this factor for 10 s of every 20 s.
        double neighbourFactor { 1 };
        // Server 0 reports this share of its load.
        double reportedShare { 1 };
        double utilization { 0.9 };
    };

    struct Result {
        double onTimeShare { 0 };
        double p99Ms { 0 };
    };

    double inSeconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }
    Duration fromSeconds(double seconds)
    {
        return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
    }

    class Simulation {
    public:
        Simulation(const Scenario& scenario, Rule rule, uint64_t seed)
            : m_scenario(scenario)
            , m_rule(rule)
            , m_workload(seed)
            , m_random(seed + 1)
            , m_servers(serverCount)
        {
            std::vector<InstanceState> states;
            for (int i = 0; i < serverCount; ++i) {
                m_servers[i].speedFactor = 0.5 + 1.1 * i / (serverCount - 1);
                InstanceState state { .record = { .id = InstanceId(std::to_string(i)),
                                          .incarnation = Incarnation(1),
                                          .peer = { "127.0.0.1", 7000 },
                                          .service = ServiceName("store"),
                                          .zone = ZoneName("z"),
                                          .region = RegionName("r") } };
                state.firstSeen = m_now - 1h;
                states.push_back(std::move(state));
            }
            const auto view = std::make_shared<MembershipView>(std::move(states));
            for (int i = 0; i < scenario.senders; ++i) {
                m_senders.push_back(std::make_unique<Sender>(RouterOptions { .zone = ZoneName("z"),
                    .region = RegionName("r"),
                    .policy = LeastExpectedTime { .maxCandidates = rule == Rule::CountsOfTwo ? 2u : 16u },
                    .isCostAware = rule == Rule::CostAware }));
                m_senders.back()->router.update(view, m_now);
            }
        }

        Result run()
        {
            double capacity = 0;
            for (const Server& server : m_servers)
                capacity += slotCount / server.speedFactor;
            const double meanSeconds = inSeconds(meanCost) * (1 + tailShare * (tailFactor - 1));
            m_arrivalsPerSecond = m_scenario.utilization * capacity / meanSeconds;
            scheduleArrival();
            scheduleRefresh();
            while (!m_events.empty()) {
                const Event event = m_events.top();
                m_events.pop();
                m_now = event.at;
                event.action();
            }
            std::sort(m_latencies.begin(), m_latencies.end());
            const auto onTime = std::upper_bound(m_latencies.begin(), m_latencies.end(), inSeconds(target));
            const auto count = static_cast<double>(m_latencies.size());
            return { .onTimeShare = static_cast<double>(onTime - m_latencies.begin()) / count,
                .p99Ms = 1000 * m_latencies[static_cast<size_t>(0.99 * count)] };
        }

    private:
        struct Event {
            TimePoint at;
            uint64_t number { 0 };
            std::function<void()> action;
            bool operator<(const Event& other) const { return at != other.at ? at > other.at : number > other.number; }
        };
        struct Call {
            uint64_t number { 0 };
            std::string path;
            // Service time in seconds at a server of factor 1.
            double cost { 0 };
            TimePoint arrivedAt;
            TimePoint startedAt;
            TimePoint endsAt;
            int sender { 0 };
            std::optional<Choice> choice;
        };
        using CallPtr = std::shared_ptr<Call>;
        struct PastLoad {
            TimePoint at;
            LoadHint load;
        };
        struct Server {
            double speedFactor { 1 };
            std::deque<CallPtr> queue;
            std::vector<CallPtr> running;
            CostEstimator costs;
            RemainingWork work;
            ServiceTimeEstimate serviceTime;
            std::deque<PastLoad> history;
        };
        struct Sender {
            explicit Sender(RouterOptions options)
                : router(std::move(options))
            {
            }
            Router router;
            CostEstimator costs;
        };

        void schedule(TimePoint at, std::function<void()> action)
        {
            m_events.push({ .at = at, .number = ++m_lastEvent, .action = std::move(action) });
        }
        void scheduleArrival()
        {
            const double gap = -std::log(1 - m_workload.unit()) / m_arrivalsPerSecond;
            const TimePoint at = m_now + fromSeconds(gap);
            if (at < m_start + warmUp + length)
                schedule(at, [this] {
                    arrive();
                    scheduleArrival();
                });
        }
        void scheduleRefresh()
        {
            for (const auto& sender : m_senders)
                sender->router.advance(m_now);
            if (m_now < m_start + warmUp + length)
                schedule(m_now + 1s, [this] { scheduleRefresh(); });
        }
        static CostRequest requestOf(const Call& call)
        {
            return { .service = "store", .route = "query", .routePrefix = "/", .method = "GET", .target = call.path };
        }
        // All draws that describe the workload come from their own generator, so that each rule gets the same requests.
        CallPtr makeCall()
        {
            auto call = std::make_shared<Call>();
            call->number = ++m_lastCall;
            call->arrivedAt = m_now;
            call->sender = static_cast<int>(m_workload.below(m_scenario.senders));
            const bool isTail = m_workload.unit() < tailShare;
            const bool isOtherPath = m_workload.unit() < tailShare;
            const double noise = 0.7 + 0.6 * m_workload.unit();
            const bool hasChanged = m_scenario.doesCostChange && m_now > m_start + warmUp + length / 2;
            const char* kind = isTail ? "export" : isOtherPath ? "summary" : "item";
            bool isExpensive = isTail;
            if (m_scenario.isTailByPath) {
                isExpensive = kind == std::string(hasChanged ? "summary" : "export");
                call->path = "/" + std::string(kind) + "/" + std::to_string(m_workload.below(1000000));
            } else {
                call->path = "/item/" + std::to_string(m_workload.below(1000000));
            }
            call->cost = inSeconds(meanCost) * noise * (isExpensive ? tailFactor : 1);
            return call;
        }
        double factorOf(int index) const
        {
            const bool isSlowed = index % 4 == 1 && (m_now - m_start) % 20s >= 10s;
            return m_servers[index].speedFactor * (isSlowed ? m_scenario.neighbourFactor : 1);
        }
        LoadHint loadOf(const Server& server) const
        {
            const double share = &server == m_servers.data() ? m_scenario.reportedShare : 1;
            const auto scaled
                = [share](size_t count) { return static_cast<uint32_t>(static_cast<double>(count) * share); };
            return { .inFlight = scaled(server.running.size()),
                .queued = scaled(server.queue.size()),
                .limit = slotCount,
                .meanServiceTime = fromSeconds(server.serviceTime.mean()),
                .remainingWork = m_rule == Rule::CostAware
                    ? fromSeconds(inSeconds(server.work.remaining(m_now)) * share)
                    : Duration::zero() };
        }
        // The load as it was hintAge ago.
        LoadHint reportedLoad(Server& server)
        {
            server.history.push_back({ .at = m_now, .load = loadOf(server) });
            while (server.history.size() > 1 && server.history[1].at <= m_now - m_scenario.hintAge)
                server.history.pop_front();
            return server.history.front().load;
        }
        int serverOfLeastTime(const Call& call) const
        {
            int best = 0;
            double leastTime = HUGE_VAL;
            for (int i = 0; i < serverCount; ++i) {
                const Server& server = m_servers[i];
                std::priority_queue<double, std::vector<double>, std::greater<>> freeAt;
                for (const CallPtr& running : server.running)
                    freeAt.push(inSeconds(running->endsAt - m_now));
                while (freeAt.size() < slotCount)
                    freeAt.push(0);
                for (const CallPtr& waiting : server.queue) {
                    const double start = freeAt.top();
                    freeAt.pop();
                    freeAt.push(start + waiting->cost * factorOf(i));
                }
                const double time = freeAt.top() + call.cost * factorOf(i);
                if (time < leastTime) {
                    leastTime = time;
                    best = i;
                }
            }
            return best;
        }
        void arrive()
        {
            const CallPtr call = makeCall();
            Sender& sender = *m_senders[call->sender];
            int index = 0;
            if (m_rule == Rule::KnownCosts) {
                index = serverOfLeastTime(*call);
            } else {
                const Duration expected
                    = m_rule == Rule::CostAware ? sender.costs.expected(requestOf(*call), m_now) : Duration::zero();
                call->choice = sender.router.choose(
                    { .service = ServiceName("store"), .target = target, .expectedCost = expected }, m_random, m_now);
                sender.router.recordCallStarted(*call->choice);
                index = std::stoi(call->choice->instance.value());
            }
            Server& server = m_servers[index];
            server.work.add(call->number, server.costs.expected(requestOf(*call), m_now));
            server.queue.push_back(call);
            startNext(index);
        }
        void startNext(int index)
        {
            Server& server = m_servers[index];
            if (server.queue.empty() || server.running.size() >= slotCount)
                return;
            const CallPtr call = server.queue.front();
            server.queue.pop_front();
            server.running.push_back(call);
            server.work.start(call->number, m_now);
            call->startedAt = m_now;
            call->endsAt = m_now + fromSeconds(call->cost * factorOf(index));
            schedule(call->endsAt, [this, call, index] { finish(call, index); });
        }
        void finish(const CallPtr& call, int index)
        {
            Server& server = m_servers[index];
            std::erase(server.running, call);
            const Duration serviceTime = m_now - call->startedAt;
            server.work.remove(call->number);
            server.costs.record(requestOf(*call), serviceTime, m_now);
            server.serviceTime.add(serviceTime, m_now);
            startNext(index);
            if (call->choice) {
                Sender& sender = *m_senders[call->sender];
                const double factor = call->choice->speedFactor;
                sender.router.recordCallFinished(*call->choice,
                    { .outcome = CallOutcome::Answered,
                        .latency = m_now - call->arrivedAt,
                        .load = reportedLoad(server),
                        .serviceTime = serviceTime },
                    m_now);
                sender.costs.record(requestOf(*call), fromSeconds(inSeconds(serviceTime) / factor), m_now);
            }
            if (call->arrivedAt >= m_start + warmUp)
                m_latencies.push_back(inSeconds(m_now - call->arrivedAt));
        }

        const Scenario m_scenario;
        const Rule m_rule;
        Random m_workload;
        Random m_random;
        const TimePoint m_start { 1h };
        TimePoint m_now { m_start };
        std::vector<Server> m_servers;
        std::vector<std::unique_ptr<Sender>> m_senders;
        std::priority_queue<Event> m_events;
        uint64_t m_lastEvent { 0 };
        uint64_t m_lastCall { 0 };
        double m_arrivalsPerSecond { 0 };
        std::vector<double> m_latencies;
    };

    struct Comparison {
        Result counts;
        Result countsOfTwo;
        Result costAware;
        Result knownCosts;
        // Shares of the distance between the two other rules that cost-aware routing covers.
        double onTimeGain { 0 };
        double p99Gain { 0 };
    };

    // Means over three seeds.
    Comparison compare(const Scenario& scenario)
    {
        constexpr uint64_t seedCount = 2;
        const auto runAll = [&scenario](Rule rule) {
            Result mean;
            for (uint64_t seed = 1; seed <= seedCount; ++seed) {
                const Result result = Simulation(scenario, rule, 2060 + seed).run();
                mean.onTimeShare += result.onTimeShare / seedCount;
                mean.p99Ms += result.p99Ms / seedCount;
            }
            return mean;
        };
        Comparison result { .counts = runAll(Rule::Counts),
            .countsOfTwo = runAll(Rule::CountsOfTwo),
            .costAware = runAll(Rule::CostAware),
            .knownCosts = runAll(Rule::KnownCosts) };
        result.onTimeGain = (result.costAware.onTimeShare - result.counts.onTimeShare)
            / (result.knownCosts.onTimeShare - result.counts.onTimeShare);
        result.p99Gain
            = (result.counts.p99Ms - result.costAware.p99Ms) / (result.counts.p99Ms - result.knownCosts.p99Ms);
        const auto print = [](const char* rule, const Result& shown) {
            std::printf("  %-13s on time %.4f, p99 %5.0f ms\n", rule, shown.onTimeShare, shown.p99Ms);
        };
        std::printf("%s: gain on time %.2f, p99 %.2f\n", scenario.name, result.onTimeGain, result.p99Gain);
        print("counts", result.counts);
        print("counts of two", result.countsOfTwo);
        print("cost-aware", result.costAware);
        print("known costs", result.knownCosts);
        return result;
    }

    // The goal of docs/design/hard-load.md.
    constexpr double minGain = 0.5;

    // Guards against a rule that knows costs and does not use them.
    TEST(CostAwareRoutingTest, CostByPathIsUsedWithFreshHints)
    {
        const Comparison fresh = compare({ .name = "path, hint 0 ms" });
        EXPECT_GE(fresh.onTimeGain, minGain);
        EXPECT_GE(fresh.p99Gain, minGain);
        EXPECT_GT(fresh.costAware.onTimeShare, fresh.countsOfTwo.onTimeShare);
        const Comparison recent = compare({ .name = "path, hint 100 ms", .hintAge = 100ms });
        EXPECT_GE(recent.onTimeGain, minGain);
        EXPECT_GE(recent.p99Gain, minGain);
        EXPECT_GT(recent.costAware.onTimeShare, recent.countsOfTwo.onTimeShare);
        // The p99 gain misses the goal here (docs/design/cost-aware-routing.md).
        EXPECT_GE(compare({ .name = "path, 75 % load", .hintAge = 100ms, .utilization = 0.75 }).onTimeGain, minGain);
    }

    // Guards against nodes that all send to the server that looked idle a second ago.
    TEST(CostAwareRoutingTest, OldHintsAttractNoHerd)
    {
        const Comparison old = compare({ .name = "path, hint 1000 ms", .hintAge = 1s });
        EXPECT_GE(old.onTimeGain, minGain);
        EXPECT_GE(old.p99Gain, minGain);
    }

    // Guards against a rule that works only if a sender hears from each server many times a second.
    TEST(CostAwareRoutingTest, ManySendersWithFewCallsEach)
    {
        const Comparison fresh = compare({ .name = "path, 60 senders, hint 0 ms", .senders = 60 });
        EXPECT_GE(fresh.onTimeGain, minGain);
        EXPECT_GE(fresh.p99Gain, minGain);
        const Comparison old = compare({ .name = "path, 60 senders, hint 1000 ms", .hintAge = 1s, .senders = 60 });
        EXPECT_GE(old.onTimeGain, minGain);
        EXPECT_GE(old.p99Gain, minGain);
    }

    // The p99 gain misses the goal here (docs/design/cost-aware-routing.md): no rule can learn what no request shows.
    TEST(CostAwareRoutingTest, TailWithoutACause)
    {
        EXPECT_GE(
            compare({ .name = "tail without a cause", .hintAge = 100ms, .isTailByPath = false }).onTimeGain, minGain);
    }

    // Guards against costs and speeds that are learned once and kept.
    TEST(CostAwareRoutingTest, ChangedCostsAndSpeedsAreFollowed)
    {
        const Comparison cost = compare({ .name = "cost changes", .hintAge = 100ms, .doesCostChange = true });
        EXPECT_GE(cost.onTimeGain, minGain);
        EXPECT_GE(cost.p99Gain, minGain);
        EXPECT_GT(cost.costAware.onTimeShare, cost.countsOfTwo.onTimeShare);
        const Comparison speed
            = compare({ .name = "noisy neighbour", .hintAge = 100ms, .neighbourFactor = 2, .utilization = 0.75 });
        EXPECT_GE(speed.onTimeGain, minGain);
        EXPECT_GE(speed.p99Gain, minGain);
        const Comparison rare = compare({ .name = "noisy neighbour, 60 senders",
            .hintAge = 100ms,
            .senders = 60,
            .neighbourFactor = 2,
            .utilization = 0.75 });
        EXPECT_GE(rare.onTimeGain, minGain);
        EXPECT_GE(rare.p99Gain, minGain);
    }

    // Guards against a server that attracts most calls by reporting a quarter of its load.
    TEST(CostAwareRoutingTest, ServerThatReportsLessThanItHas)
    {
        const Comparison result = compare({ .name = "false report", .hintAge = 100ms, .reportedShare = 0.25 });
        EXPECT_GE(result.onTimeGain, minGain);
        EXPECT_GE(result.p99Gain, minGain);
        EXPECT_GT(result.costAware.onTimeShare, result.countsOfTwo.onTimeShare);
    }

    class CostAwareChoiceTest : public RouterFixture {
    protected:
        // Returns the chosen server after both have reported their load.
        std::string chosen(bool isCostAware, LoadHint first, LoadHint second)
        {
            Router router(RouterOptions { .zone = ZoneName("z1"),
                .region = RegionName("r1"),
                .policy = LeastExpectedTime {},
                .isCostAware = isCostAware });
            add("first", "z1");
            add("second", "z1");
            publish(router);
            const std::vector<InstanceId> firstId { InstanceId("first") };
            const std::vector<InstanceId> secondId { InstanceId("second") };
            report(router, secondId, first);
            report(router, firstId, second);
            m_clock.advance(1s);
            router.advance(m_clock.now());
            report(router, secondId, first);
            report(router, firstId, second);
            return router.choose({ .service = ServiceName("pitch"), .expectedCost = 100ms }, m_random, m_clock.now())
                ->instance.value();
        }
        void report(Router& router, const std::vector<InstanceId>& excluded, const LoadHint& load)
        {
            const auto choice
                = router.choose({ .service = ServiceName("pitch"), .excluded = excluded }, m_random, m_clock.now());
            router.recordCallStarted(*choice);
            router.recordCallFinished(
                *choice, { .outcome = CallOutcome::Answered, .latency = 50ms, .load = load }, m_clock.now());
        }
        static LoadHint load(uint32_t queued, Duration work)
        {
            return { .inFlight = 4, .queued = queued, .limit = 4, .meanServiceTime = 100ms, .remainingWork = work };
        }
    };

    // Guards against many cheap calls that count for more than a few expensive ones.
    TEST_F(CostAwareChoiceTest, RemainingWorkCountsInsteadOfCalls)
    {
        EXPECT_EQ(chosen(true, load(8, 700ms), load(3, 4s)), "first");
        EXPECT_EQ(chosen(false, load(8, 700ms), load(3, 4s)), "second");
    }

    // Guards against gates without the feature, whose remaining work is zero, that look idle.
    TEST_F(CostAwareChoiceTest, GateThatReportsNoWorkIsJudgedByItsCalls)
    {
        EXPECT_EQ(chosen(true, load(8, 0ms), load(1, 500ms)), "second");
    }

    // Guards against a server that counts as slow because it got the expensive requests.
    TEST(SpeedFactorTest, SpeedIsSeparatedFromTheCostOfTheRequests)
    {
        InstanceStatistics expensive { Incarnation(1) };
        InstanceStatistics slow { Incarnation(1) };
        TimePoint now { 1h };
        const auto answer = [&](InstanceStatistics& statistics, Duration expected, Duration observed) {
            statistics.recordCallStarted(expected);
            statistics.recordCallFinished(
                { .outcome = CallOutcome::Answered, .latency = observed, .load = LoadHint { .limit = 4 } }, now);
            statistics.recordServiceTime(observed, expected, now);
        };
        for (int i = 0; i < 300; ++i) {
            now += 50ms;
            answer(expensive, 700ms, 700ms);
            answer(slow, 100ms, 200ms);
        }
        EXPECT_NEAR(expensive.speedFactor(0.3, now), 1, 0.05);
        EXPECT_NEAR(slow.speedFactor(0.3, now), 2, 0.15);
        // Without further observations the factor returns to the mean.
        EXPECT_NEAR(slow.speedFactor(0.3, now + 10min), 1, 0.05);
    }

    // Guards against a report that is too low for the calls that it names or that this node has there.
    TEST(RemainingWorkOfServerTest, ReportIsBoundedBelow)
    {
        InstanceStatistics statistics { Incarnation(1) };
        const TimePoint now { 1h };
        EXPECT_FALSE(statistics.remainingSeconds(1, 0.1));
        for (int i = 0; i < 11; ++i)
            statistics.recordCallStarted(100ms);
        const LoadHint hint { .inFlight = 4, .queued = 36, .limit = 4, .remainingWork = 1ms };
        statistics.recordCallFinished({ .outcome = CallOutcome::Answered, .latency = 1ms, .load = hint }, now);
        EXPECT_NEAR(*statistics.remainingSeconds(1, 0.1), 1, 0.01);
        EXPECT_NEAR(*statistics.remainingSeconds(2, 0.1), 2, 0.01);
        // Calls that this node has sent since the hint are added to it.
        for (int i = 0; i < 30; ++i)
            statistics.recordCallStarted(100ms);
        EXPECT_NEAR(*statistics.remainingSeconds(1, 0.1), 3, 0.01);
    }

} // namespace
} // namespace skylark
