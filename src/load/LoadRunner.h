// Sends the requests of a plan at their intended times and returns the report and the ledger.
//
// - Each worker is a thread with one persistent connection to one target. When the target accepts no connection, the
//   worker moves to the next target, as a caller's load balancer would.
// - Latency is measured from the intended send time, so that a stall shows in every request that it delays.
// - The ledger has one tab-separated line for each non-idempotent request: id, idempotency key, outcome (answered,
//   not-run or unknown), target and class.
#pragma once

#include "load/LoadReport.h"

#include <string>
#include <vector>

namespace skylark {

struct LedgerEntry {
    std::string requestId;
    std::string idempotencyKey;
    // "answered", "not-run" or "unknown".
    std::string outcome;
    std::string target;
    std::string className;
};

struct LoadResult {
    LoadReport report;
    std::vector<LedgerEntry> ledger;
};

LoadResult runLoad(const LoadPlan& plan);

void writeLedger(const std::vector<LedgerEntry>& ledger, const std::string& path);
// Throws Error for a line without a valid outcome.
std::vector<LedgerEntry> readLedger(const std::string& path);

} // namespace skylark
