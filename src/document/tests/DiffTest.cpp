// Guards against a diff that omits an edit, which operators would then accept without a review.
#include "document/Diff.h"
#include "document/tests/SyntheticDocument.h"

#include <gtest/gtest.h>

namespace skylark {
namespace {

    std::shared_ptr<const Configuration> configurationOf(const std::vector<SectionText>& texts, uint64_t version)
    {
        return std::get<0>(buildConfiguration(manifestOf(VersionNumber(version), texts), texts));
    }

    std::vector<SectionText> editedTexts(const std::string& from, const std::string& to)
    {
        std::vector<SectionText> texts { globalText(), syntheticSection("team", 1) };
        SectionText& text = texts[texts[0].text.find(from) == std::string::npos ? 1 : 0];
        text.text = replaceFirst(text.text, from, to);
        return texts;
    }

    TEST(DiffTest, ShowsEveryFieldOfEveryItem)
    {
        const auto old = configurationOf({ globalText(), syntheticSection("team", 1) }, 1);
        EXPECT_TRUE(diff(*old, *old).isEmpty());
        struct Case {
            const char* from;
            const char* to;
            ItemKind item;
            FieldChange field;
        };
        const Case cases[] = {
            { "\"100ms\"", "\"90ms\"", ItemKind::Rank, { "target", "100ms", "90ms" } },
            { "0.3", "0.25", ItemKind::Rank, { "floor", "0.3", "0.25" } },
            { "\"worth\": 100", "\"worth\": 50", ItemKind::Rank, { "worth", "100.0", "50.0" } },
            { "8080", "8081", ItemKind::Service, { "port", "8080", "8081" } },
            { "\"slots\": 13", "\"slots\": 12", ItemKind::Service, { "slots", "13", "12" } },
            { "120", "110", ItemKind::Service, { "connections", "120", "110" } },
            { "/health", "/healthz", ItemKind::Service, { "healthPath", "/health", "/healthz" } },
            { "256", "128", ItemKind::Service, { "maxQueue", "256", "128" } },
            { "\"team.internal.example\"", "\"\"", ItemKind::Route, { "host", "team.internal.example", "any" } },
            { "/api/v1/resource0", "/", ItemKind::Route, { "pathPrefix", "/api/v1/resource0", "/" } },
            { "[\"GET\"]", "[\"GET\",\"PUT\"]", ItemKind::Route, { "methods", "GET", "GET PUT" } },
            { "\"normal\"", "\"bulk\"", ItemKind::Route, { "rank", "normal", "bulk" } },
            { "800ms", "1s", ItemKind::Route, { "deadline", "800ms", "1s" } },
            { "\"worth\": 5", "\"worth\": 4", ItemKind::Route, { "worth", "5.0", "4.0" } },
            { "true", "false", ItemKind::Route, { "idempotent", "true", "false" } },
            { "\"retries\": 2", "\"retries\": 0", ItemKind::Route, { "retries", "2", "0" } },
            { "8388608", "4096", ItemKind::Route, { "maxBodyBytes", "8388608", "4096" } },
        };
        for (const Case& edit : cases) {
            SCOPED_TRACE(edit.to);
            const auto texts = edit.item == ItemKind::Route && std::string(edit.from) == "\"normal\""
                ? std::vector<SectionText> { globalText(), syntheticSection("team", 1, "bulk") }
                : editedTexts(edit.from, edit.to);
            const DocumentDiff changes = diff(*old, *configurationOf(texts, 2));
            ASSERT_EQ(changes.items.size(), 2u);
            EXPECT_EQ(changes.items[0].item, ItemKind::Section);
            EXPECT_EQ(changes.items[1].item, edit.item);
            EXPECT_EQ(changes.items[1].change, ChangeKind::Changed);
            EXPECT_EQ(changes.items[1].fields, std::vector<FieldChange> { edit.field });
        }
    }

    TEST(DiffTest, ShowsAddedAndRemovedItems)
    {
        const auto old = configurationOf({ globalText(), syntheticSection("a", 1), syntheticSection("b", 1) }, 1);
        const auto updated = configurationOf({ globalText(), syntheticSection("b", 1), syntheticSection("c", 1) }, 2);
        std::vector<std::string> lines;
        for (const ItemChange& change : diff(*old, *updated).items)
            lines.push_back(std::string(itemKindName(change.item)) + ' ' + changeKindName(change.change) + ' '
                + change.name + ' ' + std::to_string(change.fields.size()));
        EXPECT_EQ(lines,
            (std::vector<std::string> { "section removed a 1", "section added c 1", "service removed a 6",
                "service added c 6", "route removed a-0 11", "route added c-0 11" }));
    }

    // Inserting a rank changes the numbers of the ranks after it, which must not appear as changes of routes.
    TEST(DiffTest, ComparesRanksByName)
    {
        const auto old = configurationOf({ globalText(), syntheticSection("a", 1) }, 1);
        SectionText global = globalText();
        global.text = replaceFirst(global.text, "\"ranks\": [", R"("ranks": [{"name": "first", "target": "1s"},)");
        const DocumentDiff changes = diff(*old, *configurationOf({ global, syntheticSection("a", 1) }, 2));
        ASSERT_EQ(changes.items.size(), 5u);
        for (const ItemChange& change : changes.items)
            EXPECT_NE(change.item, ItemKind::Route);
    }

} // namespace
} // namespace skylark
