// What a stand-in backend server has run, by request id and by idempotency key.
//
// An execution is noted before its work starts, since the effect of a request that is cut later cannot be
// ruled out. With a file, each one is also appended there by one write(), so that the record survives the
// death of the process.
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
    // Executions of further ids are only counted as overflow, and a verification reports them.
    static constexpr size_t maxIds = 2'000'000;

    // An empty path keeps the record in memory alone. Throws Error when the file cannot be opened.
    ExecutionLog(std::string service, const std::string& path);
    ~ExecutionLog();
    ExecutionLog(const ExecutionLog&) = delete;
    ExecutionLog& operator=(const ExecutionLog&) = delete;

    void recordExecution(const std::string& requestId, const std::string& idempotencyKey);
    // {"service", "requests": {id: count}, "keys": {key: count}, "totals": {"executions", "overflow"}}
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
