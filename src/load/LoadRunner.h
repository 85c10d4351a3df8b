// Sends a plan's requests at their times and gives the report and the ledger.
//
// Each worker is a thread with one kept connection to one target; when that target takes no connection, it
// goes on to the next one, as a caller's balancer would. Latency counts from the intended time
// of sending, so that a stall shows in every request that it delays. The ledger has one line for each
// non-idempotent request: id, idempotency key, outcome (answered, not-run or unknown), target and class,
// separated by tabs.
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
// Throws Error for a line that is not whole.
std::vector<LedgerEntry> readLedger(const std::string& path);

} // namespace skylark
