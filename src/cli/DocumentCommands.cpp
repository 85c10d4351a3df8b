#include "cli/DocumentCommands.h"

#include "cli/DocumentFiles.h"
#include "cli/Table.h"
#include "document/Diff.h"

#include <nlohmann/json.hpp>

namespace skylark {

namespace {

    using Json = nlohmann::json;

    void printJson(std::ostream& out, const Json& value)
    {
        out << value.dump(-1, ' ', true, Json::error_handler_t::replace) << '\n';
    }

    Json faultsToJson(const std::vector<Fault>& faults)
    {
        Json list = Json::array();
        for (const Fault& fault : faults)
            list.push_back({ { "section", fault.section.value() }, { "pointer", fault.pointer },
                { "found", fault.found }, { "allowed", fault.allowed } });
        return list;
    }

    void printFaults(const CommandContext& context, const std::string& document, const std::vector<Fault>& faults)
    {
        if (context.isJson) {
            printJson(
                context.out, { { "isAccepted", false }, { "document", document }, { "faults", faultsToJson(faults) } });
            return;
        }
        for (const Fault& fault : faults)
            context.out << printable(describe(fault)) << '\n';
        context.out << document << ": " << faults.size() << (faults.size() == maxFaults ? " faults or more" : " faults")
                    << '\n';
    }

    // Returns null, after printing the faults, if the document is invalid.
    std::shared_ptr<const Configuration> buildOrPrintFaults(
        const CommandContext& context, const std::string& name, const LoadedDocument& document)
    {
        const BuildResult result = buildConfiguration(document.manifest, document.texts);
        if (const auto* configuration = std::get_if<std::shared_ptr<const Configuration>>(&result))
            return *configuration;
        printFaults(context, name, std::get<std::vector<Fault>>(result));
        return nullptr;
    }

    std::string joinPaths(const std::vector<std::string>& paths)
    {
        std::string text;
        for (const std::string& path : paths)
            text += (text.empty() ? "" : " ") + path;
        return text;
    }

    Json summaryToJson(const Configuration& configuration)
    {
        return { { "isAccepted", true }, { "sections", configuration.manifest().sections.size() },
            { "ranks", configuration.ranks().size() }, { "services", configuration.services().size() },
            { "routes", configuration.routes().size() }, { "faults", Json::array() } };
    }

    void printDiff(const DocumentDiff& changes, std::ostream& out)
    {
        if (changes.isEmpty()) {
            out << "no change\n";
            return;
        }
        Table table({ "kind", "change", "name", "field", "old", "new" });
        for (const ItemChange& item : changes.items)
            for (const FieldChange& field : item.fields)
                table.add({ itemKindName(item.item), changeKindName(item.change), item.name, field.field,
                    field.old.empty() ? "-" : field.old, field.updated.empty() ? "-" : field.updated });
        table.print(out);
    }

    Json diffToJson(const DocumentDiff& changes)
    {
        Json items = Json::array();
        for (const ItemChange& item : changes.items) {
            Json fields = Json::array();
            for (const FieldChange& field : item.fields)
                fields.push_back({ { "field", field.field }, { "old", field.old }, { "new", field.updated } });
            items.push_back({ { "kind", itemKindName(item.item) }, { "change", changeKindName(item.change) },
                { "name", item.name }, { "fields", std::move(fields) } });
        }
        return { { "changes", std::move(items) } };
    }

} // namespace

ExitCode runCheck(const CommandContext& context)
{
    const auto configuration
        = buildOrPrintFaults(context, joinPaths(context.arguments), loadDocument(context.arguments));
    if (!configuration)
        return ExitCode::Failure;
    if (context.isJson)
        printJson(context.out, summaryToJson(*configuration));
    else
        context.out << "accepted: " << configuration->manifest().sections.size() << " sections, "
                    << configuration->ranks().size() << " ranks, " << configuration->services().size() << " services, "
                    << configuration->routes().size() << " routes\n";
    return ExitCode::Success;
}

ExitCode runDiff(const CommandContext& context)
{
    std::vector<std::shared_ptr<const Configuration>> documents;
    for (const std::string& path : context.arguments) {
        documents.push_back(buildOrPrintFaults(context, path, loadDocument({ path })));
        if (!documents.back())
            return ExitCode::Failure;
    }
    const DocumentDiff changes = diff(*documents[0], *documents[1]);
    if (context.isJson)
        printJson(context.out, diffToJson(changes));
    else
        printDiff(changes, context.out);
    return ExitCode::Success;
}

void addBundleOptions(cxxopts::Options& options)
{
    options.add_options()("version", "number of the new version; must be higher than all earlier ones",
        cxxopts::value<uint64_t>())("out", "directory to write to", cxxopts::value<std::string>());
}

ExitCode runBundle(const CommandContext& context)
{
    if (!context.options.count("version") || !context.options.count("out"))
        throw UsageError("skylarkctl bundle requires --version and --out");
    const uint64_t version = context.options["version"].as<uint64_t>();
    if (version < 1 || version > static_cast<uint64_t>(std::numeric_limits<int64_t>::max()))
        throw UsageError("--version must be a positive integer below 2^63");
    const std::string directory = context.options["out"].as<std::string>();
    LoadedDocument document = loadDocument(context.arguments);
    document.manifest.version = VersionNumber(version);
    const auto configuration = buildOrPrintFaults(context, joinPaths(context.arguments), document);
    if (!configuration)
        return ExitCode::Failure;
    writeBundle(document, directory);
    const std::string digest = document.manifest.digest().hex();
    if (context.isJson)
        printJson(context.out, { { "version", version }, { "manifestDigest", digest }, { "out", directory } });
    else
        context.out << "version " << version << " with manifest digest " << digest << " is in " << directory
                    << "; publish the sections first and manifest.json last\n";
    return ExitCode::Success;
}

} // namespace skylark
