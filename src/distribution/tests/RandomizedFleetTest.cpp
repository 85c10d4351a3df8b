// Randomized runs of a small fleet. SKYLARK_SEED sets the first seed and SKYLARK_MINUTES the duration. Without them,
// the test makes a fixed number of runs from a fixed seed.
#include "Fleet.h"

#include <cstdlib>
#include <gtest/gtest.h>

namespace skylark {
namespace {

    using std::chrono::milliseconds;
    using std::chrono::seconds;

    constexpr Duration convergenceLimit = seconds(3);

    uint64_t environmentNumber(const char* name, uint64_t fallback)
    {
        const char* value = std::getenv(name);
        return value ? std::strtoull(value, nullptr, 10) : fallback;
    }

    class Scenario {
    public:
        explicit Scenario(uint64_t seed)
            : m_random(seed)
            , m_fleet(2 + m_random.below(2), 2 + m_random.below(9), seed, m_random.below(3) != 0)
        {
        }

        void run()
        {
            m_fleet.publishVersion();
            for (size_t node = 0; node < m_fleet.nodes.size(); ++node)
                m_fleet.start(node);
            m_fleet.publishLists();
            checkConvergence("start", seconds(14));
            for (int round = 0; round < 6 && !testing::Test::HasFailure(); ++round)
                runRound();
        }

        Duration maxConvergenceTime() const { return m_maxConvergenceTime; }

    private:
        void runRound()
        {
            m_firstNodeLimit = seconds(3);
            std::string faults;
            for (uint64_t count = 1 + m_random.below(3); count > 0; --count)
                faults += " " + addFault();
            const uint64_t changes = 1 + m_random.below(5);
            for (uint64_t change = 0; change < changes; ++change) {
                m_fleet.run(m_random.upTo(seconds(4)));
                if (m_random.below(4) == 0)
                    m_fleet.publishLists();
                m_fleet.publishVersion(m_random.below(5) == 0);
            }
            m_fleet.run(m_random.upTo(seconds(8)));
            const auto isStopped = [](const Fleet::Node& node) { return !node.distributor; };
            // If no running node holds a list, the first node that starts reads it after up to 12 s.
            if (std::all_of(m_fleet.nodes.begin(), m_fleet.nodes.end(), isStopped))
                m_firstNodeLimit = seconds(14);
            clearFaults();
            checkConvergence(faults, m_firstNodeLimit);
        }

        std::string addFault()
        {
            const size_t nodes = m_fleet.nodes.size();
            switch (m_random.below(8)) {
            case 0:
                m_fleet.lossProbability = 0.3;
                return "loss";
            case 1:
                m_fleet.duplicateProbability = 0.5;
                m_fleet.maxDelay = milliseconds(800);
                return "reordering";
            case 2:
                for (uint64_t count = 1 + m_random.below(nodes); count > 0; --count)
                    m_fleet.pause(m_random.below(nodes));
                return "pauses";
            case 3:
                for (uint64_t count = 1 + m_random.below(3); count > 0; --count)
                    m_fleet.kill(m_random.below(nodes));
                return "restarts";
            case 4:
                return killManyNodes();
            case 5:
                for (Fleet::Node& node : m_fleet.nodes)
                    node.group = static_cast<int>(m_random.below(2));
                // All readers may be on the side without the source.
                m_firstNodeLimit = seconds(14);
                return "partition";
            case 6:
                m_fleet.setSourceFault(m_random.below(2) ? Fleet::SourceFault::Silent : Fleet::SourceFault::Refusing);
                m_firstNodeLimit = seconds(14);
                return "outage";
            default:
                m_fleet.setSourceFault(Fleet::SourceFault::Stale);
                m_firstNodeLimit = seconds(14);
                return "stale";
            }
        }

        std::string killManyNodes()
        {
            const bool isWholeZone = m_random.below(2) == 0;
            for (size_t node = 0; node < m_fleet.nodes.size(); ++node)
                if (isWholeZone ? m_fleet.nodes[node].record.zone == ZoneName("zone-0") : m_random.below(4) != 0)
                    m_fleet.kill(node);
            return isWholeZone ? "zone-crash" : "multi-node-crash";
        }

        void clearFaults()
        {
            m_fleet.lossProbability = 0;
            m_fleet.duplicateProbability = 0;
            m_fleet.maxDelay = milliseconds(5);
            m_fleet.setSourceFault(Fleet::SourceFault::None);
            for (size_t node = 0; node < m_fleet.nodes.size(); ++node) {
                m_fleet.nodes[node].group = 0;
                if (!m_fleet.isRunning(node))
                    m_fleet.start(node);
                else if (m_fleet.nodes[node].isPaused)
                    m_fleet.resume(node);
            }
            m_fleet.publishLists();
            // A valid version that an invalid one replaced before any running node read it is no longer available.
            if (m_fleet.version != m_fleet.newestValidVersion && !m_fleet.anyNodeHoldsNewest())
                m_fleet.publishVersion();
        }

        // Requires that the first node holds the newest version within the limit and all others do 3 s later.
        void checkConvergence(const std::string& faults, Duration firstNodeLimit)
        {
            const auto firstNodeTime = m_fleet.runUntil([&] { return m_fleet.anyNodeHoldsNewest(); }, firstNodeLimit);
            ASSERT_TRUE(firstNodeTime) << "no node reached version " << m_fleet.newestValidVersion
                                       << " after:" << faults << "\n"
                                       << m_fleet.describe();
            const auto convergenceTime = m_fleet.runUntil([&] { return m_fleet.isConverged(); }, convergenceLimit);
            ASSERT_TRUE(convergenceTime) << "not all nodes reached version " << m_fleet.newestValidVersion
                                         << " after:" << faults << "\n"
                                         << m_fleet.describe();
            m_maxConvergenceTime = std::max(m_maxConvergenceTime, *convergenceTime);
            const auto listConvergenceTime = m_fleet.runUntil([&] { return m_fleet.haveEqualLists(); }, seconds(16));
            ASSERT_TRUE(listConvergenceTime) << "the lists differ after:" << faults << "\n" << m_fleet.describe();
            const auto isServing = [&] {
                return std::all_of(m_fleet.nodes.begin(), m_fleet.nodes.end(),
                    [](const Fleet::Node& node) { return node.distributor->isServing(); });
            };
            ASSERT_TRUE(m_fleet.runUntil(isServing, seconds(4))) << "a node does not serve after:" << faults << "\n"
                                                                 << m_fleet.describe();
        }

        Random m_random;
        Fleet m_fleet;
        Duration m_firstNodeLimit {};
        Duration m_maxConvergenceTime {};
    };

    // Guards against versions that go back, configurations that mix texts of several versions, and nodes that stay
    // behind. The faults are losses, duplicates, reordering, pauses, restarts, simultaneous crashes of many nodes,
    // partitions, source outages and a stale source.
    TEST(RandomizedFleetTest, ConvergesAfterFaults)
    {
        constexpr uint64_t runsInCi = 40;
        const uint64_t firstSeed = environmentNumber("SKYLARK_SEED", 1000);
        const auto soakDuration = std::chrono::minutes(environmentNumber("SKYLARK_MINUTES", 0));
        const auto begin = std::chrono::steady_clock::now();
        Duration maxConvergenceTime {};
        for (uint64_t run = 0;; ++run) {
            const bool isFinished
                = soakDuration.count() > 0 ? std::chrono::steady_clock::now() - begin >= soakDuration : run >= runsInCi;
            if (isFinished || HasFailure()) {
                std::printf("%llu runs, slowest convergence %lld ms\n", static_cast<unsigned long long>(run),
                    static_cast<long long>(std::chrono::duration_cast<milliseconds>(maxConvergenceTime).count()));
                return;
            }
            SCOPED_TRACE("SKYLARK_SEED=" + std::to_string(firstSeed + run));
            Scenario scenario(firstSeed + run);
            scenario.run();
            maxConvergenceTime = std::max(maxConvergenceTime, scenario.maxConvergenceTime());
        }
    }

} // namespace
} // namespace skylark
