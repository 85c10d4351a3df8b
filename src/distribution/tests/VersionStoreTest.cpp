#include "distribution/VersionStore.h"

#include "Fleet.h"
#include "base/Invariant.h"

#include <gtest/gtest.h>

namespace skylark {
namespace {

    using std::chrono::seconds;
    using Texts = std::map<std::string, std::string>;

    const TimePoint start { std::chrono::hours(1) };

    class VersionStoreTest : public testing::Test {
    protected:
        static VersionStoreOptions options(int& builds)
        {
            return { .build = [&builds](const Manifest& manifest, const std::vector<SectionText>& texts) {
                ++builds;
                return buildForTest(manifest, texts);
            } };
        }
        OfferOutcome offer(uint64_t version, uint64_t revision, const Texts& texts, TimePoint now = start)
        {
            return store.offer(manifestOf(version, revision, texts), textsOf(texts), now);
        }
        uint64_t version() const { return store.currentOrder().version.value(); }

        int builds { 0 };
        VersionStore store { options(builds) };
    };

    TEST_F(VersionStoreTest, OrdersByNumberAndThenByRevision)
    {
        EXPECT_EQ(offer(5, 50, { { "a", "1" } }), OfferOutcome::Applied);
        EXPECT_EQ(offer(4, 60, { { "a", "2" } }), OfferOutcome::Outdated);
        EXPECT_EQ(offer(5, 49, { { "a", "2" } }), OfferOutcome::Outdated);
        EXPECT_EQ(offer(5, 51, { { "a", "2" } }), OfferOutcome::Applied);
        EXPECT_EQ(offer(6, 40, { { "a", "3" } }), OfferOutcome::Applied);
    }

    TEST_F(VersionStoreTest, AssemblesTextsByDigestOnly)
    {
        const Texts texts { { "a", "1" }, { "b", "2" } };
        EXPECT_EQ(store.offer(manifestOf(1, 1, texts), {}, start), OfferOutcome::Pending);
        EXPECT_EQ(store.missingSections().size(), 2U);
        // A text of another version has a different digest than the manifest names.
        EXPECT_EQ(store.offerTexts(textsOf({ { "a", "other" } }), start), OfferOutcome::Pending);
        EXPECT_EQ(store.offerTexts(textsOf({ { "b", "2" } }), start), OfferOutcome::Pending);
        EXPECT_EQ(store.missingSections().size(), 1U);
        EXPECT_EQ(store.offerTexts(textsOf({ { "a", "1" } }), start), OfferOutcome::Applied);
        EXPECT_EQ(builds, 1);
        EXPECT_EQ(offer(2, 2, { { "a", "1" }, { "c", "3" } }), OfferOutcome::Applied);
        EXPECT_EQ(store.text(digestOf("2")), nullptr);
    }

    TEST_F(VersionStoreTest, InvalidVersionIsBuiltOnceAndRecordedAsRejected)
    {
        offer(1, 1, { { "a", "1" } });
        EXPECT_EQ(offer(2, 2, { { "a", "bad text" } }), OfferOutcome::Rejected);
        EXPECT_EQ(offer(2, 3, { { "a", "bad text" } }), OfferOutcome::Rejected);
        EXPECT_EQ(builds, 2);
        EXPECT_EQ(version(), 1U);
        EXPECT_EQ(store.rejected().back().reason, "a: bad text");
        for (uint64_t number = 3; number < 103; ++number)
            offer(number, number, { { "a", "bad " + std::to_string(number) + std::string(900, 'x') } });
        EXPECT_EQ(store.rejected().size(), 64U);
        EXPECT_LE(store.rejected().back().reason.size(), 512U);
        EXPECT_EQ(offer(200, 200, { { "a", "2" } }), OfferOutcome::Applied);
    }

    TEST_F(VersionStoreTest, SameContentUnderANewRevisionIsNotValidatedAgain)
    {
        offer(1, 1, { { "a", "1" } });
        EXPECT_EQ(offer(1, 2, { { "a", "1" } }), OfferOutcome::Applied);
        EXPECT_EQ(store.current()->manifest().revision, Revision(2));
        EXPECT_EQ(builds, 1);
    }

    TEST_F(VersionStoreTest, StalledPendingVersionDoesNotBlockAnOlderOne)
    {
        offer(1, 1, { { "a", "1" } });
        EXPECT_EQ(store.offer(manifestOf(3, 3, { { "a", "3" } }), {}, start), OfferOutcome::Pending);
        // A complete older version is applied, and the newer one stays pending.
        EXPECT_EQ(offer(2, 2, { { "a", "2" } }), OfferOutcome::Applied);
        EXPECT_EQ(store.pending()->version, VersionNumber(3));
        EXPECT_EQ(offer(4, 4, { { "a", "4" } }), OfferOutcome::Applied);
        EXPECT_FALSE(store.pending());
        store.offer(manifestOf(7, 7, { { "a", "7" } }), {}, start);
        const Manifest olderManifest = manifestOf(6, 6, { { "a", "6" } });
        EXPECT_EQ(store.offer(olderManifest, {}, start + seconds(1)), OfferOutcome::Outdated);
        EXPECT_EQ(store.offer(olderManifest, {}, start + seconds(2)), OfferOutcome::Pending);
        EXPECT_EQ(store.pending()->version, VersionNumber(6));
    }

    TEST_F(VersionStoreTest, VersionOlderThanThatOfAPeerIsDeferred)
    {
        store.recordSeen({ VersionNumber(5), Revision(5) }, start);
        EXPECT_EQ(offer(4, 4, { { "a", "4" } }), OfferOutcome::Pending);
        EXPECT_EQ(store.current(), nullptr);
        // The deferred version is the base of a delta to the newer one.
        EXPECT_EQ(store.base().first, VersionNumber(4));
        EXPECT_EQ(store.advance(start + seconds(9)), OfferOutcome::Pending);
        EXPECT_EQ(store.advance(start + seconds(10)), OfferOutcome::Applied);
        EXPECT_EQ(version(), 4U);
    }

    TEST_F(VersionStoreTest, EnforcesLimits)
    {
        VersionStore limitedStore(
            { .build = buildForTest, .maxSections = 2, .maxSectionBytes = 10, .maxVersionBytes = 12 });
        const auto offerTo = [&](uint64_t version, const Texts& texts) {
            return limitedStore.offer(manifestOf(version, version, texts), textsOf(texts), start);
        };
        EXPECT_EQ(offerTo(1, { { "a", "1" }, { "b", "2" }, { "c", "3" } }), OfferOutcome::Rejected);
        EXPECT_EQ(offerTo(2, { { "a", "12345678901" } }), OfferOutcome::Pending);
        EXPECT_EQ(offerTo(3, { { "a", "1234567" }, { "b", "7654321" } }), OfferOutcome::Rejected);
        EXPECT_EQ(offerTo(4, { { "a", "123456" }, { "b", "654321" } }), OfferOutcome::Applied);
    }

    TEST_F(VersionStoreTest, BuildThatReturnsAnotherManifestViolatesTheInvariant)
    {
        VersionStore storeWithWrongBuild(
            { .build = [](const Manifest& manifest, const std::vector<SectionText>& texts) {
                Manifest other = manifest;
                other.version = VersionNumber(99);
                return buildForTest(other, texts);
            } });
        EXPECT_THROW(storeWithWrongBuild.offer(manifestOf(1, 1, { { "a", "1" } }), textsOf({ { "a", "1" } }), start),
            InvariantViolation);
    }

    // A delta must lead to the sender's manifest from any version that the receiver holds.
    TEST_F(VersionStoreTest, DeltasFromAnyHeldVersionLeadToTheCurrentOne)
    {
        Random random(7);
        VersionStore follower({ .build = buildForTest });
        Texts texts;
        size_t deltas = 0;
        for (uint64_t number = 1; number <= 400; ++number) {
            texts["s" + std::to_string(random.below(20))] = std::to_string(random.below(1000));
            if (random.below(4) == 0 && texts.size() > 1)
                texts.erase(texts.begin());
            offer(number, number, texts);
            if (random.below(10) != 0)
                continue;
            const auto [baseVersion, baseDigest] = follower.base();
            const ManifestDelta delta = store.deltaFrom(baseVersion, baseDigest);
            deltas += delta.baseVersion != VersionNumber() ? 1 : 0;
            std::vector<SectionText> changed;
            for (const SectionDigest& section : delta.changed)
                changed.push_back({ .name = section.name, .text = *store.text(section.digest) });
            ASSERT_EQ(follower.offerDelta(delta, changed, start), OfferOutcome::Applied);
            ASSERT_EQ(follower.current()->manifest(), store.current()->manifest());
        }
        EXPECT_GT(deltas, 20U);
        ManifestDelta invalidDelta = store.deltaFrom(store.previous().first, store.previous().second);
        invalidDelta.version = VersionNumber(900);
        invalidDelta.baseDigest = { .high = 1, .low = 2 };
        invalidDelta.digest = { .high = 3, .low = 4 };
        EXPECT_EQ(follower.offerDelta(invalidDelta, {}, start), OfferOutcome::UnknownBase);
        invalidDelta.baseDigest = follower.currentDigest();
        EXPECT_EQ(follower.offerDelta(invalidDelta, {}, start), OfferOutcome::Invalid);
    }

} // namespace
} // namespace skylark
