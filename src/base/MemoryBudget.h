// The byte account of a process: what its connections and calls may hold in memory.
//
// Create a MemoryCharge for each holder of bytes and resize() it before the bytes are stored. A resize() that fails
// leaves the charge as it is, and the holder must do without: refuse a request, or close a connection. A charge returns
// its bytes when it is destroyed. Used on one thread.
//
// Charges of more than `smallBytes` leave `reservedBytes` free, so that ordinary calls, peers and the source are served
// while large bodies fill the rest.
#pragma once

#include <cstddef>
#include <cstdint>
#include <utility>

namespace skylark {

struct MemoryBudgetOptions {
    size_t totalBytes { 0 };
    size_t reservedBytes { 0 };
    size_t smallBytes { 64 * 1024 };
};

// The budget of a process whose instance has this much memory; docs/CAPACITY.md derives the shares.
MemoryBudgetOptions memoryBudgetFor(size_t instanceBytes);

class MemoryBudget {
public:
    explicit MemoryBudget(MemoryBudgetOptions options)
        : m_options(options)
    {
    }
    MemoryBudget(const MemoryBudget&) = delete;
    MemoryBudget& operator=(const MemoryBudget&) = delete;

    size_t chargedBytes() const { return m_chargedBytes; }
    size_t totalBytes() const { return m_options.totalBytes; }
    // Requests and messages that were refused because their bytes could not be charged.
    uint64_t refusedCount() const { return m_refusedCount; }
    void countRefused() { ++m_refusedCount; }
    // Connections that were closed to make room.
    uint64_t closedCount() const { return m_closedCount; }
    void countClosed() { ++m_closedCount; }

private:
    friend class MemoryCharge;
    // Changes a charge from oldBytes to newBytes.
    bool change(size_t oldBytes, size_t newBytes);

    const MemoryBudgetOptions m_options;
    size_t m_chargedBytes { 0 };
    uint64_t m_refusedCount { 0 };
    uint64_t m_closedCount { 0 };
};

class MemoryCharge {
public:
    // Without a budget every resize() succeeds.
    explicit MemoryCharge(MemoryBudget* budget = nullptr)
        : m_budget(budget)
    {
    }
    MemoryCharge(MemoryCharge&& other) noexcept
        : m_budget(other.m_budget)
        , m_bytes(std::exchange(other.m_bytes, 0))
    {
    }
    MemoryCharge& operator=(MemoryCharge&& other) noexcept
    {
        std::swap(m_budget, other.m_budget);
        std::swap(m_bytes, other.m_bytes);
        return *this;
    }
    ~MemoryCharge() { release(); }

    // Always succeeds for fewer bytes than before.
    bool resize(size_t bytes);
    void release() { resize(0); }
    size_t bytes() const { return m_bytes; }

private:
    MemoryBudget* m_budget;
    size_t m_bytes { 0 };
};

} // namespace skylark
