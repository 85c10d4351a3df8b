// Lists the differences between two configurations, for operators to review before they accept a change.
//
// diff(old, updated) lists the sections, ranks, services and routes that were added, removed or changed,
// each with its changed fields. Items are matched by name. A route's rank is shown by name, since the insertion
// of a rank changes the numbers of those after it. A section's limits appear as fields of its routes and services.
#pragma once

#include "document/Configuration.h"

namespace skylark {

enum class ItemKind : uint8_t { Section, Rank, Service, Route };
enum class ChangeKind : uint8_t { Added, Removed, Changed };

const char* itemKindName(ItemKind kind);
const char* changeKindName(ChangeKind kind);

struct FieldChange {
    std::string field;
    // Empty if the item was added.
    std::string old;
    // Empty if the item was removed.
    std::string updated;

    bool operator==(const FieldChange&) const = default;
};

struct ItemChange {
    ItemKind item {};
    ChangeKind change {};
    std::string name;
    // In the order in which the configuration types declare the fields.
    std::vector<FieldChange> fields;

    bool operator==(const ItemChange&) const = default;
};

struct DocumentDiff {
    VersionNumber oldVersion;
    VersionNumber updatedVersion;
    // Ordered by kind, then by name.
    std::vector<ItemChange> items;

    bool isEmpty() const { return items.empty(); }
};

DocumentDiff diff(const Configuration& old, const Configuration& updated);

} // namespace skylark
