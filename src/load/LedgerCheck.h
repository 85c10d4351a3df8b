// Compares the load generator's ledger with the requests that the backend servers executed.
//
// Executions are read from GET /executions of a stand-in backend server, or from the execution log that it writes with
// --record, which also covers a server that was killed. Executions are counted per service, because a call chain uses
// one request id in several services.
#pragma once

#include "load/LoadRunner.h"

#include <cstdint>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace skylark {

class ExecutionCounts {
public:
    // Adds {"service", "requests": {id: count}, "totals": {"overflow"}}. Throws Error when the report is incomplete.
    void addReport(const nlohmann::json& report);
    // Adds the lines of an execution log: service, request id and idempotency key, separated by tabs.
    void addLog(std::string_view text);

    // The number of executions in all services.
    uint64_t total(const std::string& requestId) const;
    // The number of executions in the service that has the most of them.
    uint64_t maxInOneService(const std::string& requestId) const;

private:
    std::map<std::string, std::map<std::string, uint64_t>> m_byRequest;
};

struct LedgerFindings {
    // Requests that ran more than once in one service.
    std::vector<std::string> duplicateExecutions;
    // Requests with the outcome "not-run" that ran.
    std::vector<std::string> executedNotRun;
    // Requests with the outcome "answered" that ran nowhere.
    std::vector<std::string> lostResponses;
    uint64_t checkedCount { 0 };
    uint64_t unknownCount { 0 };
    // The number of requests with an unknown outcome that ran.
    uint64_t executedUnknownCount { 0 };

    bool hasNoFaults() const { return duplicateExecutions.empty() && executedNotRun.empty() && lostResponses.empty(); }
};

LedgerFindings checkLedger(const std::vector<LedgerEntry>& ledger, const ExecutionCounts& executions);

// Reads each source: a URL "http://host:port[/path]" or the path of an execution log.
ExecutionCounts readExecutions(const std::vector<std::string>& sources);

} // namespace skylark
