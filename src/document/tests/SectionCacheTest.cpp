// Tests incremental builds: after any sequence of versions, a build with a cache must equal a full build. Otherwise,
// two nodes with different histories would treat the same version differently.
#include "base/Random.h"
#include "document/tests/SyntheticDocument.h"

#include <gtest/gtest.h>

namespace skylark {
namespace {

    using Texts = std::map<std::string, std::string>;

    std::vector<SectionText> sectionTexts(const Texts& texts)
    {
        std::vector<SectionText> sections;
        for (const auto& [name, text] : texts)
            sections.push_back({ SectionName(name), text });
        return sections;
    }

    // Applies one random edit, valid or invalid, of the kinds that operators make.
    void edit(Texts& texts, Random& random)
    {
        const std::string name = "team-" + std::to_string(random.below(12));
        const std::string other = "team-" + std::to_string(random.below(12));
        switch (random.below(9)) {
        case 0:
            texts.erase(name);
            break;
        case 1:
            // Stores the text of another section under this name.
            if (texts.contains(other))
                texts[name] = texts[other];
            break;
        case 2:
            texts[name] = syntheticSection(name, 1, "unknown-rank").text;
            break;
        case 3:
            texts[name] = "{";
            break;
        case 4:
            texts[globalSection] = random.below(2) ? globalText().text : globalText().text + "\n";
            break;
        default:
            texts[name] = syntheticSection(name, random.below(5)).text;
        }
    }

    TEST(SectionCacheTest, AgreesWithFullBuildsOverRandomHistories)
    {
        size_t acceptedCount = 0;
        size_t rejectedCount = 0;
        for (uint64_t seed = 1; seed <= 40; ++seed) {
            Random random(seed);
            SectionCache cache;
            Texts texts { { globalSection, globalText().text } };
            for (uint64_t version = 1; version <= 60; ++version) {
                const Texts previousTexts = texts;
                edit(texts, random);
                const std::vector<SectionText> sections = sectionTexts(texts);
                const Manifest manifest = manifestOf(VersionNumber(version), sections);
                const BuildResult full = buildConfiguration(manifest, sections);
                ASSERT_TRUE(isSame(buildConfiguration(manifest, sections, cache), full))
                    << "seed " << seed << ", version " << version;
                const bool isAccepted = full.index() == 0;
                ++(isAccepted ? acceptedCount : rejectedCount);
                // Reverts most rejected edits, so that accepted and rejected versions both occur often.
                if (!isAccepted && random.below(3))
                    texts = previousTexts;
            }
        }
        EXPECT_GT(acceptedCount, 500u);
        EXPECT_GT(rejectedCount, 500u);
    }

    TEST(SectionCacheTest, ParsesOnlyTheChangedSection)
    {
        SectionCache cache;
        std::vector<SectionText> texts = syntheticDocument(50, 2);
        EXPECT_EQ(buildConfiguration(manifestOf(VersionNumber(1), texts), texts, cache).index(), 0u);
        EXPECT_EQ(cache.misses(), 51u);
        texts[7] = syntheticSection("team-6", 3);
        const BuildResult result = buildConfiguration(manifestOf(VersionNumber(2), texts), texts, cache);
        EXPECT_EQ(cache.misses(), 52u);
        EXPECT_EQ(cache.hits(), 50u);
        EXPECT_EQ(std::get<0>(result)->routes().size(), 101u);
    }

    // Guards against unbounded growth: without the bound, a day with 12,000 changes would leave 12,000 old sections.
    TEST(SectionCacheTest, KeepsTheSectionsOfTwoBuildsOnly)
    {
        SectionCache cache;
        std::vector<SectionText> texts = syntheticDocument(20, 1);
        for (uint64_t version = 1; version <= 100; ++version) {
            texts[1 + version % 20].text += "\n";
            EXPECT_EQ(buildConfiguration(manifestOf(VersionNumber(version), texts), texts, cache).index(), 0u);
            EXPECT_LE(cache.size(), 22u);
        }
        EXPECT_EQ(cache.misses(), 21u + 99u);
    }

} // namespace
} // namespace skylark
