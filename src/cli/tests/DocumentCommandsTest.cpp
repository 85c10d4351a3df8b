// Tests check, diff and bundle: a bundle must contain exactly the document that was checked, and the exit code must
// report faults to scripts.
#include "base/Settings.h"
#include "cli/tests/CliTestTools.h"
#include "document/tests/SyntheticDocument.h"

namespace skylark {
namespace {

    namespace fs = std::filesystem;
    using testing::HasSubstr;

    class DocumentCommandsTest : public CliTest {
    protected:
        DocumentCommandsTest()
        {
            write("doc/global.json", globalText().text);
            write("doc/team.json", syntheticSection("team", 2).text);
        }

        void replaceInFile(const std::string& name, const std::string& from, const std::string& to) const
        {
            write(name, replaceFirst(readFile(path(name)), from, to));
        }
    };

    TEST_F(DocumentCommandsTest, ChecksTheExamples)
    {
        const std::pair<const char*, int> examples[] = { { "/gessetto", 13 }, { "/pointe-and-pleat", 12 } };
        for (const auto& [name, slots] : examples) {
            const CliRun run = runCli({ "check", "--json", SKYLARK_EXAMPLES + std::string(name) });
            EXPECT_EQ(run.code, ExitCode::Success) << run.out << run.err;
            EXPECT_EQ(run.json()["services"], 2);
            for (const fs::directory_entry& file : fs::directory_iterator(SKYLARK_EXAMPLES + std::string(name)))
                for (const auto& service :
                    nlohmann::json::parse(readFile(file.path())).value("services", nlohmann::json::array()))
                    EXPECT_EQ(service["slots"], slots);
        }
    }

    TEST_F(DocumentCommandsTest, CheckTakesFilesAndDirectoriesAsOneDocument)
    {
        EXPECT_THAT(runCli({ "check", path("doc") }).out, HasSubstr("2 sections, 3 ranks, 1 services, 2 routes"));
        write("other/more.json", syntheticSection("more", 1).text);
        const CliRun run = runCli({ "check", "--json", path("doc/global.json"), path("doc/team.json"), path("other") });
        EXPECT_EQ(run.code, ExitCode::Success);
        EXPECT_EQ(run.json()["sections"], 3);
        // A section on its own refers to ranks that are not defined.
        EXPECT_EQ(runCli({ "check", path("other") }).code, ExitCode::Failure);
        EXPECT_EQ(runCli({ "check", path("doc"), path("doc/team.json") }).code, ExitCode::Failure);
    }

    TEST_F(DocumentCommandsTest, CheckReportsFaultsAsTextAndJson)
    {
        replaceInFile("doc/team.json", "\"rank\"", "\"rnak\"");
        const CliRun text = runCli({ "check", path("doc") });
        EXPECT_EQ(text.code, ExitCode::Failure);
        EXPECT_THAT(text.out, HasSubstr("section team, /routes/0/rnak: found the unknown key \"rnak\""));
        const CliRun json = runCli({ "check", "--json", path("doc") });
        EXPECT_EQ(json.code, ExitCode::Failure);
        EXPECT_EQ(json.json()["faults"].size(), 2u);
        EXPECT_EQ(json.json()["faults"][0]["pointer"], "/routes/0/rank");
    }

    TEST_F(DocumentCommandsTest, DiffShowsTheChangedFields)
    {
        write("new/global.json", globalText().text);
        write("new/team.json", replaceFirst(syntheticSection("team", 2).text, "800ms", "250ms"));
        const CliRun text = runCli({ "diff", path("doc"), path("new") });
        EXPECT_EQ(text.code, ExitCode::Success);
        EXPECT_THAT(text.out, testing::ContainsRegex("route +changed +team-0 +deadline +800ms +250ms"));
        const auto changes = runCli({ "diff", "--json", path("doc"), path("new") }).json()["changes"];
        ASSERT_EQ(changes.size(), 2u);
        EXPECT_EQ(
            changes[1]["fields"], nlohmann::json::parse(R"([{"field": "deadline", "old": "800ms", "new": "250ms"}])"));
        EXPECT_EQ(runCli({ "diff", path("doc"), path("doc") }).out, "no change\n");
        write("new/team.json", "{");
        EXPECT_EQ(runCli({ "diff", path("doc"), path("new") }).code, ExitCode::Failure);
    }

    TEST_F(DocumentCommandsTest, BundleFileNamesMatchThePlatformKeys)
    {
        const CliRun run = runCli({ "bundle", "--version", "7", "--out", path("out"), path("doc") });
        ASSERT_EQ(run.code, ExitCode::Success) << run.err;
        const std::vector<SectionText> texts { globalText(), syntheticSection("team", 2) };
        const Manifest expected = manifestOf(VersionNumber(7), texts);
        EXPECT_EQ(manifestFromJson(readFile(path("out/manifest.json"))), expected);
        std::vector<std::string> files;
        for (const auto& entry : fs::recursive_directory_iterator(path("out")))
            if (entry.is_regular_file())
                files.push_back(fs::relative(entry.path(), path("out")).string());
        std::vector<std::string> keys { "manifest.json" };
        for (const SectionText& text : texts) {
            keys.push_back("sections/" + text.name.value() + "/" + digestOf(text.text).hex());
            EXPECT_EQ(readFile(path("out/" + keys.back())), text.text);
        }
        EXPECT_THAT(files, testing::UnorderedElementsAreArray(keys));
        EXPECT_THAT(run.out, HasSubstr(expected.digest().hex()));
        // The bundle reads back as the same document.
        EXPECT_EQ(runCli({ "diff", path("doc"), path("out") }).out, "no change\n");
    }

    // Nodes ignore a version that is not higher than their own, so publishing one would have no effect.
    TEST_F(DocumentCommandsTest, BundleRejectsAVersionThatIsNotNew)
    {
        const auto bundle = [this](const char* version) {
            return runCli({ "bundle", "--version", version, "--out", path("out"), path("doc") }).code;
        };
        EXPECT_EQ(bundle("7"), ExitCode::Success);
        EXPECT_EQ(bundle("7"), ExitCode::Success);
        EXPECT_EQ(bundle("6"), ExitCode::Failure);
        replaceInFile("doc/team.json", "800ms", "900ms");
        EXPECT_EQ(bundle("7"), ExitCode::Failure);
        EXPECT_EQ(bundle("8"), ExitCode::Success);
        EXPECT_EQ(manifestFromJson(readFile(path("out/manifest.json"))).version, VersionNumber(8));
    }

    TEST_F(DocumentCommandsTest, BundleWritesNothingForAFaultyDocument)
    {
        replaceInFile("doc/team.json", "8080", "0");
        EXPECT_EQ(runCli({ "bundle", "--version", "7", "--out", path("out"), path("doc") }).code, ExitCode::Failure);
        EXPECT_FALSE(fs::exists(path("out")));
    }

    TEST_F(DocumentCommandsTest, CheckFindsADamagedBundle)
    {
        runCli({ "bundle", "--version", "7", "--out", path("out"), path("doc") });
        EXPECT_EQ(runCli({ "check", path("out") }).code, ExitCode::Success);
        const std::string text = "sections/team/" + digestOf(syntheticSection("team", 2).text).hex();
        replaceInFile("out/" + text, "800ms", "900ms");
        EXPECT_THAT(runCli({ "check", path("out") }).out, HasSubstr("a text with digest"));
        fs::remove(path("out/" + text));
        EXPECT_THAT(runCli({ "check", path("out") }).out, HasSubstr("section team: found no text"));
    }

    TEST_F(DocumentCommandsTest, UsageErrorsExitWithTwo)
    {
        const std::vector<std::string> invalidCommandLines[] = { {}, { "chekc" }, { "check" },
            { "check", path("missing.json") }, { "check", path("") }, { "check", "--unknown", path("doc") },
            { "diff", path("doc") }, { "bundle", path("doc") }, { "bundle", "--version", "7", path("doc") },
            { "bundle", "--version", "0", "--out", path("out"), path("doc") },
            { "bundle", "--version", "x", "--out", path("out"), path("doc") },
            { "bundle", "--version", "7", "--out", path("doc"), path("doc") },
            { "bundle", "--version", "9223372036854775808", "--out", path("out"), path("doc") }, { "status" },
            { "status", "127.0.0.1" }, { "state", "127.0.0.1:1", "127.0.0.1:2" },
            { "explain", "127.0.0.1:1", "GET", "pitches" } };
        for (const std::vector<std::string>& arguments : invalidCommandLines) {
            const CliRun run = runCli(arguments);
            EXPECT_EQ(run.code, ExitCode::UsageError) << testing::PrintToString(arguments) << run.out;
            EXPECT_THAT(run.err, HasSubstr("skylarkctl"));
            EXPECT_EQ(run.out, "");
        }
        const CliRun json = runCli({ "check", "--json" });
        EXPECT_EQ(json.code, ExitCode::UsageError);
        EXPECT_TRUE(json.json().contains("error"));
    }

    TEST_F(DocumentCommandsTest, EveryCommandHasHelp)
    {
        for (const char* command : { "check", "diff", "bundle", "status", "state", "explain" }) {
            EXPECT_THAT(runCli({ "--help" }).out, HasSubstr(command));
            const CliRun run = runCli({ command, "--help" });
            EXPECT_EQ(run.code, ExitCode::Success);
            EXPECT_THAT(run.out, HasSubstr("--json"));
        }
        EXPECT_EQ(runCli({ "--version" }).out, "skylarkctl " SKYLARK_VERSION "\n");
    }

} // namespace
} // namespace skylark
