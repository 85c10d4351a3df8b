// Tests document validation: a node must never accept an ambiguous text, and operators must see every fault with its
// location.
#include "document/Builder.h"
#include "base/Error.h"
#include "document/Section.h"
#include "document/tests/SyntheticDocument.h"

#include <algorithm>
#include <gmock/gmock.h>
#include <locale>
#include <random>

namespace skylark {
namespace {

    using namespace std::chrono_literals;
    using testing::HasSubstr;

    BuildResult buildTexts(const std::vector<SectionText>& texts)
    {
        return buildConfiguration(manifestOf(VersionNumber(1), texts), texts);
    }

    std::vector<Fault> faultsOf(const BuildResult& result)
    {
        const auto* faults = std::get_if<std::vector<Fault>>(&result);
        return faults ? *faults : std::vector<Fault>();
    }

    std::vector<Fault> faultsOfTeam(const std::string& text)
    {
        return faultsOf(buildTexts({ globalText(), { SectionName("team"), text } }));
    }

    std::vector<Fault> faultsOfGlobal(const std::string& text)
    {
        return faultsOf(buildTexts({ { SectionName(globalSection), text } }));
    }

    TEST(BuilderTest, ReadsEveryFieldOfTheDesignExample)
    {
        const SectionText registration { SectionName("registration"), R"({"section": "registration",
 "owner": "registration-team",
 "services": [{"name": "pitch", "port": 8080, "slots": 13, "connections": 120, "healthPath": "/health"}],
 "routes": [{"name": "pitch-lookup", "host": "Gessetto.example", "pathPrefix": "/pitches", "methods": ["POST", "GET"],
   "service": "pitch", "rank": "normal", "deadline": "800ms", "worth": 5, "idempotent": true, "retries": 2}],
 "limits": {"maxBodyBytes": 4096, "maxQueue": 99}})" };
        const auto result = buildTexts({ registration, globalText() });
        ASSERT_TRUE(faultsOf(result).empty()) << describe(faultsOf(result).front());
        const Configuration& configuration = *std::get<0>(result);
        ASSERT_EQ(configuration.ranks().size(), 3u);
        EXPECT_EQ(configuration.ranks()[0],
            (RankPolicy { .name = RankName("urgent"), .target = 100ms, .floor = 0.3, .worth = 100 }));
        EXPECT_EQ(*configuration.service(ServiceName("pitch")),
            (ServicePolicy { .name = ServiceName("pitch"),
                .section = SectionName("registration"),
                .port = 8080,
                .slots = 13,
                .connections = 120,
                .healthPath = "/health",
                .maxQueue = 99 }));
        ASSERT_EQ(configuration.routes().size(), 1u);
        EXPECT_EQ(configuration.routes()[0],
            (Route { .name = "pitch-lookup",
                .section = SectionName("registration"),
                .host = "gessetto.example",
                .pathPrefix = "/pitches",
                .methods = { "GET", "POST" },
                .service = ServiceName("pitch"),
                .rank = 1,
                .deadline = 800ms,
                .worth = 5,
                .isIdempotent = true,
                .retries = 2,
                .maxBodyBytes = ByteCount(4096) }));
    }

    struct FieldCase {
        const char* from;
        const char* to;
        const char* pointer;
        const char* found;
        const char* allowed;
    };

    void expectFieldFault(const FieldCase& field, const std::vector<Fault>& faults)
    {
        SCOPED_TRACE(std::string(field.from) + " -> " + field.to);
        ASSERT_EQ(faults.size(), 1u);
        EXPECT_EQ(faults[0].pointer, field.pointer);
        EXPECT_THAT(faults[0].found, HasSubstr(field.found));
        EXPECT_THAT(faults[0].allowed, HasSubstr(field.allowed));
    }

    TEST(BuilderTest, ReportsPointerAndRuleOfInvalidField)
    {
        const std::string valid = syntheticSection("team", 1).text;
        const FieldCase cases[] = {
            { R"("section": "team")", R"("section": "other")", "/section", "other", "team" },
            { R"("port": 8080)", R"("port": 65536)", "/services/0/port", "65536", "1 to 65535" },
            { R"("port": 8080)", R"("port": 8080.0)", "/services/0/port", "8080.0", "integer" },
            { R"("port": 8080)", R"("port": 18446744073709551615)", "/services/0/port", "18446744073709551615", "1" },
            { R"("slots": 13, )", "", "/services/0/slots", "nothing", "integer" },
            { R"("connections")", R"("conections")", "/services/0/connections", "nothing", "integer" },
            { R"("healthPath")", R"("healthpath")", "/services/0/healthpath", "unknown key", "\"healthPath\"" },
            { R"("name": "team-0")", R"("name": "Team")", "/routes/0/name", "Team", "a-z" },
            { R"(team.internal.example)", R"(team.example:80)", "/routes/0/host", "team.example:80", "without port" },
            { R"("/api/v1/resource0")", R"("/api/")", "/routes/0/pathPrefix", "/api/", "segments" },
            { R"("/api/v1/resource0")", R"("/a/../b")", "/routes/0/pathPrefix", "..", "segments" },
            { R"(["GET"])", R"(["GET", "get"])", "/routes/0/methods/1", "get", "GET" },
            { R"(["GET"])", R"(["GET", "GET"])", "/routes/0/methods/1", "duplicate", "once" },
            { R"("service": "team")", R"("service": "tea")", "/routes/0/service", "tea", "service" },
            { R"("rank": "normal")", R"("rank": "norm")", "/routes/0/rank", "norm", "\"urgent\", \"normal\"" },
            { R"("800ms")", R"("11m")", "/routes/0/deadline", "11m", "1ms to 10m" },
            { R"("800ms")", "800", "/routes/0/deadline", "800", "unit" },
            { R"("retries": 2)", R"("retries": 6)", "/routes/0/retries", "6", "0 to 5" },
            { R"("idempotent": true)", R"("idempotent": 1)", "/routes/0/idempotent", "1", "true or false" },
            { R"("worth": 5)", R"("worth": -1)", "/routes/0/worth", "-1", "number" },
            { R"("maxQueue": 256)", R"("maxQueue": -1)", "/limits/maxQueue", "-1", "0 to 65536" },
            { R"("owner")", R"("ranks": [], "owner")", "/ranks", "unknown key", "one of" },
        };
        for (const FieldCase& field : cases) {
            const std::vector<Fault> faults = faultsOfTeam(replaceFirst(valid, field.from, field.to));
            if (std::string(field.to) != R"("conections")") {
                expectFieldFault(field, faults);
                continue;
            }
            // A misspelled required key gives two faults: a missing key and an unknown key.
            ASSERT_EQ(faults.size(), 2u);
            expectFieldFault(field, { faults[0] });
            EXPECT_THAT(faults[1].allowed, HasSubstr("\"connections\""));
        }
    }

    TEST(BuilderTest, ReportsInvalidRanks)
    {
        const FieldCase cases[] = {
            { R"("floor": 0.3)", R"("floor": 0.8)", "/ranks", "sum of 1.05", "at most 1" },
            { R"("name": "bulk")", R"("name": "urgent")", "/ranks/2/name", "duplicate", "once" },
            { R"("target": "5s")", R"("target": "5")", "/ranks/2/target", "5", "unit" },
            { R"("section")", R"("services": [], "section")", "/services", "unknown key", "one of" },
        };
        for (const FieldCase& field : cases)
            expectFieldFault(field, faultsOfGlobal(replaceFirst(globalText().text, field.from, field.to)));
        std::string ranks;
        for (int index = 0; index < 17; ++index)
            ranks += std::string(index ? "," : "") + R"({"name": "r)" + std::to_string(index) + R"(", "target": "1s"})";
        EXPECT_EQ(faultsOfGlobal(R"({"section": "global", "ranks": [)" + ranks + "]}").size(), 1u);
        EXPECT_EQ(faultsOfGlobal(R"({"section": "global", "ranks": []})").size(), 1u);
        EXPECT_EQ(faultsOfGlobal(R"({"section": "global"})").size(), 1u);
        EXPECT_EQ(faultsOf(buildTexts({})).size(), 1u);
    }

    // Guards against rounding errors: the floating-point sum of these floors is above 1.
    TEST(BuilderTest, AcceptsFloorsThatSumToOne)
    {
        const std::string text = R"({"section": "global", "ranks": [{"name": "a", "target": "1s", "floor": 0.05},
{"name": "b", "target": "1s", "floor": 0.55}, {"name": "c", "target": "1s", "floor": 0.3},
{"name": "d", "target": "1s", "floor": 0.1}]})";
        EXPECT_GT(0.05 + 0.55 + 0.3 + 0.1, 1.0);
        EXPECT_TRUE(faultsOfGlobal(text).empty());
    }

    TEST(BuilderTest, RejectsTextThatIsNotStrictJson)
    {
        const std::string nestedArrays
            = R"({"section": "team", "owner": )" + std::string(40, '[') + std::string(40, ']') + "}";
        const std::pair<std::string, std::string> cases[] = {
            { "", "0 bytes" },
            { "null", "null" },
            { "[]", "an array" },
            { R"({"section": "team", "section": "team"})", "duplicate" },
            { "{\"section\": \"team\", \"owner\": \"\xff\"}", "UTF-8" },
            { "\xEF\xBB\xBF{\"section\": \"team\"}", "byte order mark" },
            { R"({"section": "team"} x)", "parse error" },
            { R"({"section": "team", "owner": 1e999})", "" },
            { R"({"section": "team", "owner": NaN})", "" },
            { nestedArrays, "more than 32" },
            { R"({"section": "team", "owner": ")" + std::string(maxSectionBytes, 'x') + "\"}", "bytes" },
            { std::string(900'000, '['), "more than 32" },
        };
        for (const auto& [text, found] : cases) {
            const std::vector<Fault> faults = faultsOfTeam(text);
            ASSERT_EQ(faults.size(), 1u) << text.substr(0, 60);
            EXPECT_THAT(faults[0].found, HasSubstr(found));
            EXPECT_LT(describe(faults[0]).size(), 500u);
        }
        const std::string valid = syntheticSection("team", 2).text;
        for (size_t length = 0; length < valid.size(); ++length)
            EXPECT_FALSE(faultsOfTeam(valid.substr(0, length)).empty()) << "truncated to " << length << " bytes";
        EXPECT_TRUE(faultsOfTeam(valid).empty());
    }

    TEST(BuilderTest, AcceptsThirtyTwoNestingLevelsButNotMore)
    {
        for (const size_t depth : { maxNesting, maxNesting + 1 }) {
            const std::string text
                = R"({"section": "team", "owner": )" + std::string(depth - 1, '[') + std::string(depth - 1, ']') + "}";
            const std::vector<Fault> faults = faultsOfTeam(text);
            // Both texts have one fault, since arrays are not a valid owner. It is at "/owner" if the text was parsed,
            // and inside the arrays if it was rejected for its nesting.
            ASSERT_EQ(faults.size(), 1u);
            EXPECT_EQ(faults[0].pointer.starts_with("/owner/0"), depth > maxNesting) << describe(faults[0]);
        }
    }

    TEST(BuilderTest, ReportsAllFaultsOfAllSectionsInOrder)
    {
        const std::vector<Fault> faults = faultsOf(buildTexts({ globalText(), syntheticSection("b", 2, "none"),
            { SectionName("a"), R"({"section": "a", "service": [], "routes": [{"name": "a"}, 7]})" } }));
        std::vector<std::string> locations;
        for (const Fault& fault : faults)
            locations.push_back(fault.section.value() + fault.pointer);
        EXPECT_EQ(locations,
            (std::vector<std::string> { "a/routes/0/pathPrefix", "a/routes/0/service", "a/routes/0/rank",
                "a/routes/0/deadline", "a/routes/1", "a/service", "b/routes/0/rank", "b/routes/1/rank" }));
    }

    // Guards against a malicious text that makes a node store or send an unbounded list of faults.
    TEST(BuilderTest, ReportsAtMostAThousandFaultsOfBoundedSize)
    {
        std::string text = R"({"section": "team", ")" + std::string(200'000, 'k') + R"(": 0)";
        for (int index = 0; index < 20'000; ++index)
            text += ", \"key~/\xC3\xA9" + std::to_string(index) + "\": 0";
        const std::vector<Fault> faults = faultsOfTeam(text + "}");
        EXPECT_EQ(faults.size(), maxFaults);
        for (const Fault& fault : faults)
            EXPECT_LT(describe(fault).size(), 500u);
        EXPECT_THAT(faults[0].pointer, HasSubstr("key~0~1"));
        // The limit also covers faults in references between sections.
        EXPECT_EQ(faultsOf(buildTexts({ globalText(), syntheticSection("b", 1500, "none") })).size(), maxFaults);
    }

    TEST(BuilderTest, ReportsDuplicateDeclarationsInLaterSection)
    {
        const SectionText first = syntheticSection("aa", 1);
        const SectionText second { SectionName("bb"),
            replaceFirst(first.text, R"("section": "aa")", R"("section": "bb")") };
        const std::vector<Fault> faults = faultsOf(buildTexts({ second, first, globalText() }));
        ASSERT_EQ(faults.size(), 3u);
        for (const Fault& fault : faults)
            EXPECT_EQ(fault.section, SectionName("bb"));
        EXPECT_EQ(faults[0].pointer, "/services/0/name");
        EXPECT_EQ(faults[1].pointer, "/routes/0/name");
        EXPECT_EQ(faults[2].pointer, "/routes/0");
    }

    // Guards against ambiguous routes, where the order of two routes would decide which one takes a request.
    TEST(BuilderTest, RejectsRoutesWithCommonMatchKey)
    {
        const auto countFaultsWithMethods = [](const std::string& first, const std::string& second) {
            std::string text = syntheticSection("team", 2).text;
            text = replaceFirst(text, "resource1", "resource0");
            text = replaceFirst(replaceFirst(text, R"(["GET"])", first), R"(["GET"])", second);
            return faultsOfTeam(text).size();
        };
        EXPECT_EQ(countFaultsWithMethods(R"(["GET"])", R"(["POST", "GET"])"), 1u);
        EXPECT_EQ(countFaultsWithMethods("[]", "[]"), 1u);
        EXPECT_EQ(countFaultsWithMethods("[]", R"(["GET"])"), 0u);
        EXPECT_EQ(countFaultsWithMethods(R"(["PUT"])", R"(["GET"])"), 0u);
    }

    TEST(BuilderTest, ResolvesServicesOfOtherSectionsUnlessOneIsUnreadable)
    {
        const std::string text = replaceFirst(syntheticSection("b", 1).text, R"("service": "b")", R"("service": "c")");
        const std::vector<SectionText> texts { globalText(), { SectionName("b"), text }, syntheticSection("c", 0) };
        EXPECT_TRUE(faultsOf(buildTexts(texts)).empty());
        // The unreadable section may declare the service, so the unresolved reference is not reported.
        const auto faults = faultsOf(buildTexts({ texts[0], texts[1], { SectionName("c"), "{" } }));
        ASSERT_EQ(faults.size(), 1u);
        EXPECT_EQ(faults[0].section, SectionName("c"));
    }

    TEST(BuilderTest, UsesExactlyTheTextsThatTheManifestNames)
    {
        const std::vector<SectionText> texts { globalText(), syntheticSection("a", 1), syntheticSection("b", 2) };
        const Manifest manifest = manifestOf(VersionNumber(4), texts);
        const BuildResult expected = buildConfiguration(manifest, texts);
        ASSERT_EQ(expected.index(), 0u);

        std::vector<SectionText> shuffledTexts = texts;
        shuffledTexts.push_back({ SectionName("a"), "an older text" });
        shuffledTexts.push_back(syntheticSection("unnamed", 1));
        std::mt19937_64 engine(3);
        for (int round = 0; round < 20; ++round) {
            std::shuffle(shuffledTexts.begin(), shuffledTexts.end(), engine);
            EXPECT_TRUE(isSame(buildConfiguration(manifest, shuffledTexts), expected));
        }
        const std::vector<SectionText> textsWithOtherSection { texts[0], syntheticSection("a", 2), texts[2] };
        EXPECT_THAT(faultsOf(buildConfiguration(manifest, textsWithOtherSection)).at(0).found, HasSubstr("digest"));
        EXPECT_EQ(faultsOf(buildConfiguration(manifest, { texts[0], texts[2] })).at(0).found, "no text");
    }

    class CommaPunctuation : public std::numpunct<char> {
        char do_decimal_point() const override { return ','; }
        char do_thousands_sep() const override { return '.'; }
        std::string do_grouping() const override { return "\3"; }
    };

    // Guards against nodes with different locales that disagree about the validity of a version.
    TEST(BuilderTest, ResultDoesNotDependOnTheLocale)
    {
        const std::vector<SectionText> validTexts { globalText(), syntheticSection("a", 1) };
        const std::vector<SectionText> invalidTexts { { SectionName(globalSection),
            replaceFirst(globalText().text, "0.3", "0.85") } };
        const BuildResult expectedValid = buildTexts(validTexts);
        const BuildResult expectedInvalid = buildTexts(invalidTexts);
        const std::locale previous = std::locale::global(std::locale(std::locale(), new CommaPunctuation));
        const BuildResult actualValid = buildTexts(validTexts);
        const BuildResult actualInvalid = buildTexts(invalidTexts);
        std::locale::global(previous);
        EXPECT_TRUE(isSame(actualValid, expectedValid));
        EXPECT_TRUE(isSame(actualInvalid, expectedInvalid));
        EXPECT_EQ(faultsOf(expectedInvalid).size(), 1u);
    }

    TEST(BuilderTest, RejectsTooManySectionsOrRoutes)
    {
        const std::vector<Fault> sectionFaults = faultsOf(buildTexts(syntheticDocument(maxSections, 0)));
        ASSERT_EQ(sectionFaults.size(), 1u);
        EXPECT_THAT(sectionFaults[0].found, HasSubstr("4097 sections"));
        EXPECT_EQ(buildTexts(syntheticDocument(maxSections - 1, 0)).index(), 0u);
        EXPECT_EQ(buildTexts(syntheticDocument(64, maxRoutes / 64)).index(), 0u);
        const std::vector<Fault> routeFaults = faultsOf(buildTexts(syntheticDocument(64, maxRoutes / 64 + 1)));
        ASSERT_FALSE(routeFaults.empty());
        EXPECT_THAT(routeFaults[0].allowed, HasSubstr("65536 routes"));
    }

    TEST(ManifestTest, RoundTripsWithoutTheRevision)
    {
        Manifest manifest = manifestOf(VersionNumber(7), { globalText(), syntheticSection("a", 1) });
        EXPECT_EQ(manifestFromJson(manifestToJson(manifest)), manifest);
        Manifest manifestWithRevision = manifest;
        manifestWithRevision.revision = Revision(9);
        EXPECT_EQ(manifestToJson(manifestWithRevision), manifestToJson(manifest));
        EXPECT_EQ(manifestWithRevision.digest(), manifest.digest());
        EXPECT_TRUE(manifestWithRevision.isNewerThan(manifest));
        manifestWithRevision.version = VersionNumber(8);
        EXPECT_NE(manifestWithRevision.digest(), manifest.digest());
        EXPECT_THROW(manifestOf(VersionNumber(1), { globalText(), globalText() }), Error);
    }

    TEST(ManifestTest, RejectsInvalidManifestText)
    {
        const std::string digest = digestOf("x").hex();
        const auto expectRejected
            = [](const std::string& text) { EXPECT_THROW(manifestFromJson(text), Error) << text; };
        for (const char* text : { "", "{}", "[]", "{\"version\": 1}", "{\"version\": 0, \"sections\": {}}",
                 "{\"version\": 1.5, \"sections\": {}}", "{\"version\": 1, \"sections\": []}",
                 "{\"version\": 1, \"sections\": {}, \"revision\": 2}", "{\"version\": 1, \"sections\": {\"a\": 1}}",
                 "{\"version\": 1, \"version\": 2, \"sections\": {}}" })
            expectRejected(text);
        expectRejected(R"({"version": 1, "sections": {"../a": ")" + digest + "\"}}");
        expectRejected(R"({"version": 1, "sections": {"a\u0000b": ")" + digest + "\"}}");
        expectRejected(R"({"version": 1, "sections": {"a": "A)" + digest.substr(1) + "\"}}");
        EXPECT_EQ(manifestFromJson(R"({"version": 1, "sections": {"a": ")" + digest + "\"}}").sections.size(), 1u);
    }

} // namespace
} // namespace skylark
