#include "load/LoadPlan.h"

#include "base/Error.h"
#include "base/Settings.h"

#include <algorithm>
#include <cmath>

namespace skylark {

namespace {

    constexpr double maxArrivals = 20e6;
    constexpr Duration maxDuration = std::chrono::hours(24);

    RequestClass classFromJson(const nlohmann::json& object, const std::string& pointer)
    {
        SettingsReader reader(object, pointer);
        RequestClass result {
            .name = reader.text("name"),
            .method = reader.text("method", "GET"),
            .path = reader.text("path", "/"),
            .host = reader.text("host", ""),
            .ratePerSecond = reader.number("rate", std::nullopt, 0, 1e6),
            .rank = reader.text("rank", ""),
            .deadline = reader.duration("deadline", Duration::zero(), Duration::zero(), maxDuration),
            .worth = reader.number("worth", 1, 0, 1e9),
            .isIdempotent = reader.boolean("idempotent", true),
            .bodyBytes = static_cast<size_t>(reader.integer("bodyBytes", 0, 0, 8 << 20)),
            .responseBytes = static_cast<size_t>(reader.integer("answerBytes", 0, 0, 8 << 20)),
            .work = reader.duration("work", Duration::zero(), Duration::zero(), std::chrono::minutes(1)),
        };
        reader.finish();
        return result;
    }

    Flood floodFromJson(const nlohmann::json& object, const std::string& pointer, const LoadPlan& plan)
    {
        SettingsReader reader(object, pointer);
        const std::string name = reader.text("class");
        const auto position = std::find_if(plan.classes.begin(), plan.classes.end(),
            [&](const RequestClass& requestClass) { return requestClass.name == name; });
        if (position == plan.classes.end())
            reader.throwInvalidValue("class", "the name of a class of the plan");
        const Flood flood {
            .classIndex = static_cast<size_t>(position - plan.classes.begin()),
            .start = reader.duration("start", Duration::zero(), Duration::zero(), maxDuration),
            .duration = reader.duration("duration", maxDuration, Duration::zero(), maxDuration),
            .factor = reader.number("factor", std::nullopt, 0, 1e6),
        };
        reader.finish();
        return flood;
    }

    const nlohmann::json& arrayOf(SettingsReader& reader, const std::string& key, bool mayBeEmpty)
    {
        static const nlohmann::json empty = nlohmann::json::array();
        const nlohmann::json& value = reader.value(key);
        if (value.is_null() && mayBeEmpty)
            return empty;
        if (!value.is_array() || (value.empty() && !mayBeEmpty))
            reader.throwInvalidValue(key, mayBeEmpty ? "an array" : "an array with at least one entry");
        return value;
    }

    double factorAt(const LoadPlan& plan, size_t classIndex, Duration offset)
    {
        double factor = 1;
        for (const Flood& flood : plan.floods) {
            if (flood.classIndex == classIndex && offset >= flood.start && offset < flood.start + flood.duration)
                factor *= flood.factor;
        }
        return factor;
    }

} // namespace

LoadPlan planFromJson(const nlohmann::json& document)
{
    SettingsReader reader(document, "");
    LoadPlan plan {
        .duration = reader.duration("duration", std::chrono::seconds(10), std::chrono::milliseconds(1), maxDuration),
        .warmup = reader.duration("warmup", Duration::zero(), Duration::zero(), maxDuration),
        .timeout = reader.duration("timeout", std::chrono::seconds(10), std::chrono::milliseconds(1), maxDuration),
        .workers = static_cast<size_t>(reader.integer("workers", 128, 1, 8192)),
        .seed = static_cast<uint64_t>(reader.integer("seed", 1, 0, std::numeric_limits<int64_t>::max())),
        .checksResponses = reader.boolean("checkAnswers", true),
    };
    for (const auto& item : arrayOf(reader, "targets", false))
        plan.targets.push_back(Endpoint::fromString(item.is_string() ? item.get<std::string>() : item.dump()));
    for (const auto& item : arrayOf(reader, "classes", false))
        plan.classes.push_back(classFromJson(item, "/classes/" + std::to_string(plan.classes.size())));
    for (const auto& item : arrayOf(reader, "floods", true))
        plan.floods.push_back(floodFromJson(item, "/floods/" + std::to_string(plan.floods.size()), plan));
    reader.finish();
    return plan;
}

std::vector<Arrival> drawArrivals(const LoadPlan& plan, Random& random)
{
    std::vector<Arrival> arrivals;
    for (size_t index = 0; index < plan.classes.size(); ++index) {
        // Simulates a Poisson process of varying rate by thinning: draws arrivals at the maximum rate of the class and
        // keeps each with the probability rate(t) / maxRate.
        double maxFactor = 1;
        for (const Flood& flood : plan.floods)
            maxFactor *= flood.classIndex == index ? std::max(1.0, flood.factor) : 1;
        const double maxRate = plan.classes[index].ratePerSecond * maxFactor;
        const double durationSeconds = std::chrono::duration<double>(plan.duration).count();
        if (arrivals.size() + maxRate * durationSeconds > maxArrivals) {
            throw Error({ .step = "draw-arrivals",
                .message = "the plan requires more than 20 million requests",
                .advice = "shorten the duration or lower a rate" });
        }
        if (maxRate <= 0)
            continue;
        for (double arrivalSeconds = 0;;) {
            arrivalSeconds += -std::log(1 - random.unit()) / maxRate;
            if (arrivalSeconds >= durationSeconds)
                break;
            const auto offset = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(arrivalSeconds));
            if (random.unit() * maxFactor < factorAt(plan, index, offset))
                arrivals.push_back({ offset, static_cast<uint32_t>(index) });
        }
    }
    std::sort(arrivals.begin(), arrivals.end(),
        [](const Arrival& left, const Arrival& right) { return left.offset < right.offset; });
    return arrivals;
}

} // namespace skylark
