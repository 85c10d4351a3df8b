#include "load/LoadReport.h"

#include <algorithm>
#include <cmath>
#include <iomanip>
#include <map>
#include <nlohmann/json.hpp>
#include <numeric>
#include <sstream>

namespace skylark {

namespace {

    constexpr std::array<const char*, callResultCount> resultNames { "answered", "notRun", "unknown", "serverError",
        "wrongAnswer", "cut", "notConnected", "timedOut" };

    int64_t microseconds(Duration duration)
    {
        return std::chrono::duration_cast<std::chrono::microseconds>(duration).count();
    }

    nlohmann::json countsToJson(const std::string& name, OutcomeCounts counts, const LoadPlan& plan)
    {
        std::sort(counts.latenciesUs.begin(), counts.latenciesUs.end());
        const double seconds = std::chrono::duration<double>(plan.duration - plan.warmup).count();
        nlohmann::json result { { "name", name }, { "sent", counts.sent() }, { "onTime", counts.onTime },
            { "errors", counts.errors() }, { "p50Us", percentile(counts.latenciesUs, 0.5) },
            { "p99Us", percentile(counts.latenciesUs, 0.99) }, { "p999Us", percentile(counts.latenciesUs, 0.999) },
            { "worthPerSecond", seconds > 0 ? counts.worthOnTime / seconds : 0 } };
        for (size_t i = 0; i < callResultCount; ++i)
            result[resultNames[i]] = counts.counts[i];
        return result;
    }

    void writeRow(std::ostream& out, const nlohmann::json& row)
    {
        out << std::left << std::setw(24) << row["name"].get<std::string>() << std::right;
        for (const char* column :
            { "sent", "answered", "onTime", "notRun", "unknown", "errors", "p50Us", "p99Us", "p999Us" })
            out << std::setw(10) << row[column].get<uint64_t>();
        out << std::setw(12) << std::fixed << std::setprecision(1) << row["worthPerSecond"].get<double>() << "\n";
    }

} // namespace

void OutcomeCounts::add(CallResult result, Duration latency, const RequestClass& requestClass)
{
    ++counts[static_cast<size_t>(result)];
    if (result != CallResult::Answered)
        return;
    latenciesUs.push_back(static_cast<uint32_t>(std::clamp<int64_t>(microseconds(latency), 0, UINT32_MAX)));
    if (requestClass.deadline == Duration::zero() || latency <= requestClass.deadline) {
        ++onTime;
        worthOnTime += requestClass.worth;
    }
}

void OutcomeCounts::merge(const OutcomeCounts& other)
{
    for (size_t i = 0; i < callResultCount; ++i)
        counts[i] += other.counts[i];
    onTime += other.onTime;
    worthOnTime += other.worthOnTime;
    latenciesUs.insert(latenciesUs.end(), other.latenciesUs.begin(), other.latenciesUs.end());
}

uint64_t OutcomeCounts::sent() const { return std::accumulate(counts.begin(), counts.end(), uint64_t { 0 }); }

uint64_t OutcomeCounts::errors() const
{
    return sent() - count(CallResult::Answered) - count(CallResult::NotRun) - count(CallResult::Unknown);
}

uint32_t percentile(const std::vector<uint32_t>& sorted, double share)
{
    if (sorted.empty())
        return 0;
    const auto rank = static_cast<size_t>(std::ceil(share * static_cast<double>(sorted.size())));
    return sorted[std::clamp<size_t>(rank, 1, sorted.size()) - 1];
}

void LoadReport::merge(const LoadReport& other)
{
    byClass.resize(std::max(byClass.size(), other.byClass.size()));
    byTarget.resize(std::max(byTarget.size(), other.byTarget.size()));
    for (size_t i = 0; i < other.byClass.size(); ++i)
        byClass[i].merge(other.byClass[i]);
    for (size_t i = 0; i < other.byTarget.size(); ++i)
        byTarget[i].merge(other.byTarget[i]);
    lateSends += other.lateSends;
    maxSendDelay = std::max(maxSendDelay, other.maxSendDelay);
    failovers += other.failovers;
}

nlohmann::json LoadReport::toJson(const LoadPlan& plan) const
{
    nlohmann::json result { { "classes", nlohmann::json::array() }, { "ranks", nlohmann::json::array() },
        { "targets", nlohmann::json::array() }, { "lateSends", lateSends },
        { "longestSendDelayUs", microseconds(maxSendDelay) }, { "failovers", failovers } };
    std::map<std::string, OutcomeCounts> byRank;
    OutcomeCounts totals;
    for (size_t i = 0; i < byClass.size(); ++i) {
        result["classes"].push_back(countsToJson(plan.classes[i].name, byClass[i], plan));
        byRank[plan.classes[i].rank].merge(byClass[i]);
        totals.merge(byClass[i]);
    }
    for (const auto& [rank, counts] : byRank)
        result["ranks"].push_back(countsToJson(rank, counts, plan));
    for (size_t i = 0; i < byTarget.size(); ++i)
        result["targets"].push_back(countsToJson(plan.targets[i].toString(), byTarget[i], plan));
    result["totals"] = countsToJson("all", totals, plan);
    return result;
}

std::string LoadReport::toTable(const LoadPlan& plan) const
{
    const nlohmann::json report = toJson(plan);
    std::ostringstream out;
    out << std::left << std::setw(24) << "class" << std::right;
    for (const char* column :
        { "sent", "answered", "on time", "not run", "unknown", "errors", "p50 us", "p99 us", "p99.9 us" })
        out << std::setw(10) << column;
    out << std::setw(12) << "worth/s"
        << "\n";
    for (const auto& row : report["classes"])
        writeRow(out, row);
    for (auto row : report["ranks"]) {
        row["name"] = "rank " + row["name"].get<std::string>();
        writeRow(out, row);
    }
    writeRow(out, report["totals"]);
    const auto& totals = report["totals"];
    if (totals["errors"] > 0) {
        out << "errors:";
        for (size_t i = static_cast<size_t>(CallResult::ServerError); i < callResultCount; ++i)
            out << " " << resultNames[i] << "=" << totals[resultNames[i]];
        out << "\n";
    }
    if (lateSends > 0) {
        out << lateSends << " requests were sent over 1 ms late (maximum delay " << microseconds(maxSendDelay)
            << " us); increase --workers to keep the load open-loop\n";
    }
    return out.str();
}

} // namespace skylark
