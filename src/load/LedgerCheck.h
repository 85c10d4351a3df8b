// Compares the load generator's ledger with what the backend servers ran.
//
// An execution report is what GET /executions of a stand-in backend server gives, or the file that it
// writes with --record, which also covers a server that was killed. Executions are counted by service,
// since a chain passes one request id through several services.
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
    // Adds {"service", "requests": {id: count}, "totals": {"overflow"}}; throws Error when it is not whole.
    void addReport(const nlohmann::json& report);
    // Adds lines of service, request id and key, separated by tabs.
    void addRecord(std::string_view text);

    // Over all services, and the most in one service.
    uint64_t total(const std::string& requestId) const;
    uint64_t maxInOneService(const std::string& requestId) const;

private:
    std::map<std::string, std::map<std::string, uint64_t>> m_byRequest;
};

struct LedgerFindings {
    // Ran more than once in one service.
    std::vector<std::string> duplicateExecutions;
    // Refused as not run, but ran.
    std::vector<std::string> executedNotRun;
    // Answered, but ran nowhere.
    std::vector<std::string> lostResponses;
    uint64_t checked { 0 };
    uint64_t unknown { 0 };
    // Of those with an unknown outcome.
    uint64_t executedUnknown { 0 };

    bool hasNoFaults() const { return duplicateExecutions.empty() && executedNotRun.empty() && lostResponses.empty(); }
};

LedgerFindings checkLedger(const std::vector<LedgerEntry>& ledger, const ExecutionCounts& executions);

// Reads each source, "http://host:port[/path]" or a file.
ExecutionCounts readExecutions(const std::vector<std::string>& sources);

} // namespace skylark
