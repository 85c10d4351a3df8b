#include "document/Diff.h"

#include "base/Settings.h"

#include <nlohmann/json.hpp>

namespace skylark {

namespace {

    // Names and formatted values of an item's fields, in order.
    using Fields = std::vector<std::pair<const char*, std::string>>;
    using Items = std::map<std::string, Fields>;

    std::string numberText(double value) { return nlohmann::json(value).dump(); }

    std::string methodsText(const std::vector<std::string>& methods)
    {
        std::string text;
        for (const std::string& method : methods)
            text += (text.empty() ? "" : " ") + method;
        return text.empty() ? "any" : text;
    }

    Items sectionItems(const Configuration& configuration)
    {
        Items items;
        for (const auto& [name, digest] : configuration.manifest().sections)
            items.emplace(name.value(), Fields { { "digest", digest.hex() } });
        return items;
    }

    Items rankItems(const Configuration& configuration)
    {
        Items items;
        size_t place = 0;
        for (const RankPolicy& rank : configuration.ranks())
            items.emplace(rank.name.value(),
                Fields { { "place", std::to_string(place++) }, { "target", formatDuration(rank.target) },
                    { "floor", numberText(rank.floor) }, { "worth", numberText(rank.worth) } });
        return items;
    }

    Items serviceItems(const Configuration& configuration)
    {
        Items items;
        for (const auto& [name, service] : configuration.services())
            items.emplace(name.value(),
                Fields { { "section", service.section.value() }, { "port", std::to_string(service.port) },
                    { "slots", std::to_string(service.slots) }, { "connections", std::to_string(service.connections) },
                    { "healthPath", service.healthPath }, { "maxQueue", std::to_string(service.maxQueue) } });
        return items;
    }

    Items routeItems(const Configuration& configuration)
    {
        Items items;
        for (const Route& route : configuration.routes())
            items.emplace(route.name,
                Fields { { "section", route.section.value() }, { "host", route.host.empty() ? "any" : route.host },
                    { "pathPrefix", route.pathPrefix }, { "methods", methodsText(route.methods) },
                    { "service", route.service.value() },
                    { "rank", configuration.ranks().at(static_cast<size_t>(route.rank)).name.value() },
                    { "deadline", formatDuration(route.deadline) }, { "worth", numberText(route.worth) },
                    { "idempotent", route.isIdempotent ? "true" : "false" },
                    { "retries", std::to_string(route.retries) },
                    { "maxBodyBytes", std::to_string(route.maxBodyBytes.value()) } });
        return items;
    }

    ItemChange addedOrRemovedItem(ItemKind kind, ChangeKind change, const std::string& name, const Fields& fields)
    {
        ItemChange item { .item = kind, .change = change, .name = name, .fields = {} };
        for (const auto& [field, value] : fields) {
            if (change == ChangeKind::Added)
                item.fields.push_back({ .field = field, .old = "", .updated = value });
            else
                item.fields.push_back({ .field = field, .old = value, .updated = "" });
        }
        return item;
    }

    ItemChange changedItem(ItemKind kind, const std::string& name, const Fields& old, const Fields& updated)
    {
        ItemChange item { .item = kind, .change = ChangeKind::Changed, .name = name, .fields = {} };
        for (size_t index = 0; index < old.size(); ++index)
            if (old[index].second != updated[index].second)
                item.fields.push_back(
                    { .field = old[index].first, .old = old[index].second, .updated = updated[index].second });
        return item;
    }

    void compare(ItemKind kind, const Items& old, const Items& updated, std::vector<ItemChange>& changes)
    {
        auto left = old.begin();
        auto right = updated.begin();
        while (left != old.end() || right != updated.end()) {
            if (right == updated.end() || (left != old.end() && left->first < right->first)) {
                changes.push_back(addedOrRemovedItem(kind, ChangeKind::Removed, left->first, left->second));
                ++left;
            } else if (left == old.end() || right->first < left->first) {
                changes.push_back(addedOrRemovedItem(kind, ChangeKind::Added, right->first, right->second));
                ++right;
            } else {
                if (left->second != right->second)
                    changes.push_back(changedItem(kind, left->first, left->second, right->second));
                ++left;
                ++right;
            }
        }
    }

} // namespace

const char* itemKindName(ItemKind kind)
{
    switch (kind) {
    case ItemKind::Section:
        return "section";
    case ItemKind::Rank:
        return "rank";
    case ItemKind::Service:
        return "service";
    case ItemKind::Route:
        return "route";
    }
    return "unknown";
}

const char* changeKindName(ChangeKind kind)
{
    switch (kind) {
    case ChangeKind::Added:
        return "added";
    case ChangeKind::Removed:
        return "removed";
    case ChangeKind::Changed:
        return "changed";
    }
    return "unknown";
}

DocumentDiff diff(const Configuration& old, const Configuration& updated)
{
    DocumentDiff result {
        .oldVersion = old.manifest().version, .updatedVersion = updated.manifest().version, .items = {}
    };
    compare(ItemKind::Section, sectionItems(old), sectionItems(updated), result.items);
    compare(ItemKind::Rank, rankItems(old), rankItems(updated), result.items);
    compare(ItemKind::Service, serviceItems(old), serviceItems(updated), result.items);
    compare(ItemKind::Route, routeItems(old), routeItems(updated), result.items);
    return result;
}

} // namespace skylark
