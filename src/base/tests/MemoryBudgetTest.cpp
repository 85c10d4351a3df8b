#include "base/MemoryBudget.h"

#include <gtest/gtest.h>
#include <utility>
#include <vector>

namespace skylark {
namespace {

    constexpr size_t mebibyte = size_t { 1 } << 20;

    // Guards against large bodies that take the share of ordinary calls and peers.
    TEST(MemoryBudget, LargeChargesLeaveTheReservedShare)
    {
        MemoryBudget budget({ .totalBytes = 1000, .reservedBytes = 200, .smallBytes = 50 });
        MemoryCharge large(&budget);
        EXPECT_FALSE(large.resize(801));
        EXPECT_TRUE(large.resize(800));
        MemoryCharge other(&budget);
        EXPECT_FALSE(other.resize(51));
        std::vector<MemoryCharge> small;
        for (int i = 0; i < 4; ++i) {
            small.emplace_back(&budget);
            EXPECT_TRUE(small.back().resize(50));
        }
        EXPECT_EQ(1000u, budget.chargedBytes());
        EXPECT_FALSE(other.resize(1));
    }

    // Guards against bytes that stay charged after their holder is gone, or are released twice.
    TEST(MemoryBudget, ChargesAreReturnedOnce)
    {
        MemoryBudget budget({ .totalBytes = 1000 });
        {
            MemoryCharge first(&budget);
            ASSERT_TRUE(first.resize(600));
            MemoryCharge second(std::move(first));
            EXPECT_EQ(600u, budget.chargedBytes());
            MemoryCharge third(&budget);
            ASSERT_TRUE(third.resize(100));
            third = std::move(second);
            EXPECT_EQ(600u, third.bytes());
            EXPECT_FALSE(third.resize(2000));
            EXPECT_EQ(600u, third.bytes());
            EXPECT_TRUE(third.resize(10));
        }
        EXPECT_EQ(0u, budget.chargedBytes());
    }

    TEST(MemoryBudget, WithoutABudgetEverythingFits)
    {
        MemoryCharge charge;
        EXPECT_TRUE(charge.resize(size_t { 1 } << 40));
    }

    // A body of 64 MiB must pass on an instance of 160 MB, with a declared length or chunked, where the last growth
    // holds the old and the new buffer.
    TEST(MemoryBudget, OneLargestBodyFitsTheSmallestInstance)
    {
        MemoryBudget budget(memoryBudgetFor(160 * mebibyte));
        MemoryCharge charge(&budget);
        EXPECT_TRUE(charge.resize((64 + 32) * mebibyte));
        EXPECT_LT(budget.totalBytes(), 160 * mebibyte);
        EXPECT_GT(memoryBudgetFor(16 * mebibyte).totalBytes, 0u);
    }

} // namespace
} // namespace skylark
