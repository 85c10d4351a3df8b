#include "testing/ExecutionLog.h"

#include "base/Error.h"

#include <fcntl.h>
#include <nlohmann/json.hpp>
#include <unistd.h>

namespace skylark {

ExecutionLog::ExecutionLog(std::string service, const std::string& path)
    : m_service(std::move(service))
{
    if (path.empty())
        return;
    m_file = open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    if (m_file < 0)
        throw Error({ .step = "open-record", .message = "cannot open the execution log " + path });
}

ExecutionLog::~ExecutionLog()
{
    if (m_file >= 0)
        close(m_file);
}

void ExecutionLog::recordExecution(const std::string& requestId, const std::string& idempotencyKey)
{
    if (m_file >= 0) {
        const std::string line = m_service + "\t" + requestId + "\t" + idempotencyKey + "\n";
        if (write(m_file, line.data(), line.size()) != static_cast<ssize_t>(line.size()))
            throw Error({ .step = "write-record", .message = "the execution record cannot be written" });
    }
    const std::lock_guard lock(m_mutex);
    ++m_executions;
    const auto count = [this](auto& counts, const std::string& id) {
        if (id.empty())
            return;
        if (counts.size() >= maxIds && !counts.contains(id))
            ++m_overflow;
        else
            ++counts[id];
    };
    count(m_requests, requestId);
    count(m_keys, idempotencyKey);
}

nlohmann::json ExecutionLog::report() const
{
    const std::lock_guard lock(m_mutex);
    return { { "service", m_service }, { "requests", m_requests }, { "keys", m_keys },
        { "totals", { { "executions", m_executions }, { "overflow", m_overflow } } } };
}

} // namespace skylark
