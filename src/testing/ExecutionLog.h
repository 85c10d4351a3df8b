// Counts the executions of a stand-in backend server, by request id and by idempotency key.
//
// An execution is recorded before its work starts, since a request that is cancelled later may already have had an
// effect. With a file, each execution is also appended there by one write(), so that the log survives a crash of the
// process.
#pragma once

#include "base/Types.h"

#include <cstdint>
#include <mutex>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <unordered_map>

namespace skylark {

class ExecutionLog {
public:
    // The maximum number of distinct ids, and of distinct keys. Further ones are only counted as overflow, which
    // skylarkload verify reports as an error.
    static constexpr size_t maxIds = 2'000'000;

    // With an empty path, the log is kept in memory only. Throws Error if the file cannot be opened.
    ExecutionLog(std::string service, const std::string& path);
    ~ExecutionLog();
    ExecutionLog(const ExecutionLog&) = delete;
    ExecutionLog& operator=(const ExecutionLog&) = delete;

    void recordExecution(const std::string& requestId, const std::string& idempotencyKey);
    // Returns {"service", "requests": {id: count}, "keys": {key: count}, "totals": {"executions", "overflow"}}
    nlohmann::json report() const;

private:
    std::string m_service;
    int m_file { -1 };
    mutable std::mutex m_mutex;
    std::unordered_map<std::string, uint32_t> m_requests;
    std::unordered_map<std::string, uint32_t> m_keys;
    uint64_t m_executions { 0 };
    uint64_t m_overflow { 0 };
};

} // namespace skylark
