#include "load/LedgerCheck.h"

#include "base/Error.h"
#include "base/Settings.h"

#include <algorithm>
#include <httplib.h>
#include <nlohmann/json.hpp>
#include <sstream>

namespace skylark {

namespace {

    constexpr std::string_view scheme = "http://";

    nlohmann::json fetchReport(const std::string& url)
    {
        const std::string rest = url.substr(scheme.size());
        const size_t slash = rest.find('/');
        const Endpoint endpoint = Endpoint::fromString(rest.substr(0, slash));
        httplib::Client client(endpoint.host, endpoint.port);
        client.set_read_timeout(std::chrono::seconds(30));
        const auto response = client.Get(slash == std::string::npos ? "/executions" : rest.substr(slash));
        if (!response || response->status != 200) {
            throw Error({ .step = "read-executions",
                .peer = endpoint.toString(),
                .message = response ? "the server responded with status " + std::to_string(response->status)
                                    : "cannot read the executions: " + httplib::to_string(response.error()),
                .advice = "for a stopped server, pass the file that it wrote with --record" });
        }
        return nlohmann::json::parse(response->body, nullptr, false);
    }

} // namespace

void ExecutionCounts::addReport(const nlohmann::json& report)
{
    try {
        if (report.at("totals").at("overflow") != 0)
            throw Error({ .step = "read-executions",
                .message = "the server's execution log overflowed, so some executions are missing" });
        const auto service = report.at("service").get<std::string>();
        for (const auto& [id, count] : report.at("requests").items())
            m_byRequest[id][service] += count.get<uint64_t>();
    } catch (const nlohmann::json::exception& error) {
        throw Error(
            { .step = "read-executions", .message = std::string("malformed execution report: ") + error.what() });
    }
}

void ExecutionCounts::addLog(std::string_view text)
{
    std::istringstream lines { std::string(text) };
    for (std::string line; std::getline(lines, line);) {
        std::istringstream fields(line);
        std::string service;
        std::string id;
        std::getline(fields, service, '\t');
        if (!std::getline(fields, id, '\t'))
            throw Error({ .step = "read-executions", .message = "\"" + line + "\" is not a line of an execution log" });
        ++m_byRequest[id][service];
    }
}

uint64_t ExecutionCounts::total(const std::string& requestId) const
{
    uint64_t sum = 0;
    if (const auto counts = m_byRequest.find(requestId); counts != m_byRequest.end()) {
        for (const auto& [service, count] : counts->second)
            sum += count;
    }
    return sum;
}

uint64_t ExecutionCounts::maxInOneService(const std::string& requestId) const
{
    uint64_t maxCount = 0;
    if (const auto counts = m_byRequest.find(requestId); counts != m_byRequest.end()) {
        for (const auto& [service, count] : counts->second)
            maxCount = std::max(maxCount, count);
    }
    return maxCount;
}

LedgerFindings checkLedger(const std::vector<LedgerEntry>& ledger, const ExecutionCounts& executions)
{
    LedgerFindings findings { .checkedCount = ledger.size() };
    for (const LedgerEntry& entry : ledger) {
        const uint64_t executionCount = executions.total(entry.requestId);
        if (executions.maxInOneService(entry.requestId) > 1)
            findings.duplicateExecutions.push_back(entry.requestId);
        if (entry.outcome == "not-run" && executionCount > 0)
            findings.executedNotRun.push_back(entry.requestId);
        if (entry.outcome == "answered" && executionCount == 0)
            findings.lostResponses.push_back(entry.requestId);
        if (entry.outcome == "unknown") {
            ++findings.unknownCount;
            findings.executedUnknownCount += executionCount > 0;
        }
    }
    return findings;
}

ExecutionCounts readExecutions(const std::vector<std::string>& sources)
{
    ExecutionCounts executions;
    for (const std::string& source : sources) {
        if (source.starts_with(scheme))
            executions.addReport(fetchReport(source));
        else
            executions.addLog(readFile(source));
    }
    return executions;
}

} // namespace skylark
