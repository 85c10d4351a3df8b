// Tests in a simulated gate that each rank keeps its target and its floor while another rank floods. The bounds are
// the targets of the design, so a miss is a fault of the admission rules.
#include "admission/tests/GateSimulator.h"
#include "testing/TestSeed.h"

#include <numeric>

namespace skylark {
namespace {

    using namespace std::chrono_literals;

    constexpr int slots = 13;
    constexpr Duration serviceTime = 20ms;
    // Calls per second that saturate the backend server.
    constexpr double capacity = slots / 0.020;

    AdmissionOptions options()
    {
        return { .ranks = { { RankName("urgent"), 100ms, 0.3, 100 }, { RankName("normal"), 500ms, 0.2, 10 },
                     { RankName("bulk"), 5s, 0.05, 1 } },
            .slots = slots };
    }

    // Streams of each rank; the load is a share of the capacity.
    Stream urgent(double load) { return { 0, load * capacity, serviceTime, 100ms }; }
    Stream normal(double load) { return { 1, load * capacity, serviceTime, 500ms }; }
    Stream bulk(double load) { return { 2, load * capacity, serviceTime, 5s }; }

    double shareOf(const std::vector<RankResult>& results, int rank)
    {
        const double sum = std::accumulate(
            results.begin(), results.end(), 0.0, [](double s, const RankResult& r) { return s + r.slotSeconds; });
        return results[rank].slotSeconds / sum;
    }
    double goodput(const std::vector<RankResult>& results, Duration length)
    {
        const double sum = std::accumulate(
            results.begin(), results.end(), 0.0, [](double s, const RankResult& r) { return s + r.onTimeSeconds; });
        return sum / (slots * std::chrono::duration<double>(length).count());
    }

    void expectUrgentCallsOnTime(const std::vector<RankResult>& results)
    {
        EXPECT_GE(results[0].onTimeShare(), 0.999)
            << results[0].late << " late, " << results[0].refused << " refused of " << results[0].offered;
    }
    void expectFloorsKept(const std::vector<RankResult>& results)
    {
        EXPECT_GE(shareOf(results, 1), 0.9 * 0.2);
        EXPECT_GE(shareOf(results, 2), 0.9 * 0.05);
    }

    TEST(FloodTest, UrgentCallsAreOnTimeInAFloodOfLessUrgentCalls)
    {
        runWithSeeds(101, [](uint64_t seed) {
            GateSimulator gate(options(), slots, seed);
            gate.run({ urgent(0.2), normal(0.1), bulk(0.1) }, 10s);
            const auto results = gate.run({ urgent(0.2), normal(0.5), bulk(3) }, 60s);
            expectUrgentCallsOnTime(results);
            EXPECT_GE(goodput(results, 60s), 0.95);
        });
    }

    // Bulk calls hold a slot for so long that none becomes free in time unless one is reserved.
    TEST(FloodTest, UrgentCallsAreOnTimeInAFloodOfLongCalls)
    {
        runWithSeeds(102, [](uint64_t seed) {
            GateSimulator gate(options(), slots, seed);
            gate.run({ urgent(0.2), normal(0.1) }, 10s);
            const Stream longBulk { 2, 3 * slots / 0.5, 500ms, 5s };
            const auto results = gate.run({ urgent(0.2), longBulk }, 60s);
            expectUrgentCallsOnTime(results);
            // At most 2 of the 13 slots are reserved for urgent calls.
            EXPECT_GE(goodput(results, 60s), 11.0 / 13);
        });
    }

    TEST(FloodTest, LowerRanksKeepTheirFloorsInAFloodOfUrgentCalls)
    {
        runWithSeeds(103, [](uint64_t seed) {
            GateSimulator gate(options(), slots, seed);
            gate.run({ urgent(0.2), normal(0.1), bulk(0.1) }, 10s);
            const auto results = gate.run({ urgent(3), normal(0.5), bulk(0.5) }, 60s);
            expectFloorsKept(results);
            EXPECT_GE(goodput(results, 60s), 0.95);
        });
    }

    TEST(FloodTest, AlternatingFloodsKeepTargetsAndFloors)
    {
        runWithSeeds(104, [](uint64_t seed) {
            GateSimulator gate(options(), slots, seed);
            for (int turn = 0; turn < 3; ++turn) {
                const auto lessUrgentFlood = gate.run({ urgent(0.2), normal(1.5), bulk(1.5) }, 20s);
                expectUrgentCallsOnTime(lessUrgentFlood);
                EXPECT_GE(goodput(lessUrgentFlood, 20s), 0.95);
                const auto urgentFlood = gate.run({ urgent(3), normal(0.5), bulk(0.5) }, 20s);
                expectFloorsKept(urgentFlood);
                EXPECT_GE(goodput(urgentFlood, 20s), 0.95);
            }
        });
    }

    // Control experiment: without ranks the same flood delays the urgent calls, which shows that the tests above can
    // fail.
    TEST(FloodTest, UrgentCallsAreLateWithFifoAdmission)
    {
        AdmissionOptions fifo = options();
        fifo.policy = FifoAdmission {};
        GateSimulator gate(fifo, slots, 101);
        const auto results = gate.run({ urgent(0.2), normal(0.5), bulk(3) }, 60s);
        EXPECT_LT(results[0].onTimeShare(), 0.1);
    }

    TEST(FloodTest, CapacityIsUsedWhenAllRanksFlood)
    {
        runWithSeeds(105, [](uint64_t seed) {
            GateSimulator gate(options(), slots, seed);
            const auto results = gate.run({ urgent(1), normal(1), bulk(1) }, 60s);
            EXPECT_GE(goodput(results, 60s), 0.95);
            expectFloorsKept(results);
            EXPECT_GE(shareOf(results, 0), 0.9 * 0.3);
        });
    }

} // namespace
} // namespace skylark
