#include "cli/NodeCommands.h"

#include "cli/NodeClient.h"
#include "cli/Table.h"

#include <algorithm>

namespace skylark {

namespace {

    using Json = nlohmann::json;

    Endpoint parseNodeAddress(const std::string& argument)
    {
        try {
            return Endpoint::fromString(argument);
        } catch (const Error& error) {
            throw UsageError("NODE: " + error.message());
        }
    }

    void printJson(std::ostream& out, const Json& value)
    {
        out << value.dump(-1, ' ', true, Json::error_handler_t::replace) << '\n';
    }

    // Returns the field's text for a table: strings without quotes, and "-" for a missing field.
    std::string cellText(const Json& object, const char* key)
    {
        const auto field = object.is_object() ? object.find(key) : object.end();
        if (!object.is_object() || field == object.end() || field->is_null())
            return "-";
        return field->is_string() ? field->get<std::string>()
                                  : field->dump(-1, ' ', true, Json::error_handler_t::replace);
    }

    // Returns an empty array if the field is missing or is not an array.
    Json::array_t arrayField(const Json& object, const char* key)
    {
        const auto field = object.find(key);
        return field != object.end() && field->is_array() ? field->get<Json::array_t>() : Json::array_t();
    }

    uint64_t versionField(const Json& object, const Endpoint& node)
    {
        const auto field = object.find("version");
        if (field == object.end() || !field->is_number_unsigned())
            throw Error({ .step = "read-status",
                .peer = node.toString(),
                .message = "the response has no valid field \"version\"" });
        return field->get<uint64_t>();
    }

    // Omits rejected versions that are older than the applied version, since it supersedes them.
    Json::array_t currentRejections(const Json& status, const Endpoint& node)
    {
        const uint64_t appliedVersion = versionField(status, node);
        Json::array_t rejections = arrayField(status, "rejected");
        std::erase_if(rejections, [&](const Json& rejection) {
            return !rejection.is_object() || versionField(rejection, node) < appliedVersion;
        });
        return rejections;
    }

    void printVersionCounts(const Json::array_t& nodes, std::ostream& out)
    {
        std::map<std::string, size_t> counts;
        for (const Json& node : nodes)
            ++counts["version " + cellText(node, "version") + " with digest " + cellText(node, "digest")];
        for (const auto& [version, count] : counts)
            out << "  " << count << (count == 1 ? " node reports " : " nodes report ") << printable(version) << '\n';
    }

    void printStatus(const Endpoint& node, const Json& status, bool showsAll, std::ostream& out)
    {
        out << node.toString() << ": instance " << printable(cellText(status, "instance")) << " applies version "
            << printable(cellText(status, "version")) << " with manifest digest "
            << printable(cellText(status, "manifestDigest")) << '\n';
        const Json::array_t nodes = arrayField(status, "nodes");
        printVersionCounts(nodes, out);
        Table table({ "instance", "zone", "version", "digest", "age ms" });
        for (const Json& listedNode : nodes)
            if (showsAll || cellText(listedNode, "digest") != cellText(status, "manifestDigest"))
                table.add({ cellText(listedNode, "instance"), cellText(listedNode, "zone"),
                    cellText(listedNode, "version"), cellText(listedNode, "digest"), cellText(listedNode, "ageMs") });
        if (!table.isEmpty())
            table.print(out);
        for (const Json& rejection : arrayField(status, "rejected"))
            out << "  rejected version " << printable(cellText(rejection, "version")) << " with manifest digest "
                << printable(cellText(rejection, "digest")) << ": " << printable(cellText(rejection, "reason")) << '\n';
    }

    void printExplanation(const Json& response, std::ostream& out)
    {
        for (const char* key : { "route", "section", "service", "rank", "deadline", "reason" })
            out << key << ":" << std::string(10 - std::string_view(key).size(), ' ')
                << printable(cellText(response, key)) << '\n';
        Table table({ "instance", "zone", "condition", "score" });
        for (const Json& instance : arrayField(response, "instances"))
            table.add({ cellText(instance, "instance"), cellText(instance, "zone"), cellText(instance, "condition"),
                cellText(instance, "score") });
        table.print(out);
    }

} // namespace

void addStatusOptions(cxxopts::Options& options)
{
    options.add_options()("all", "list all nodes, not only those with a different version");
}

ExitCode runStatus(const CommandContext& context)
{
    std::vector<Endpoint> nodes;
    for (const std::string& argument : context.arguments)
        nodes.push_back(parseNodeAddress(argument));
    ExitCode code = ExitCode::Success;
    Json responses = Json::array();
    for (const Endpoint& node : nodes) {
        // An unreachable node must not hide the status of the others.
        try {
            const Json status = readNodePage(node, "/status");
            if (!currentRejections(status, node).empty())
                code = ExitCode::Failure;
            if (context.isJson)
                responses.push_back({ { "node", node.toString() }, { "status", status } });
            else
                printStatus(node, status, context.options.count("all") > 0, context.out);
        } catch (const Error& error) {
            code = ExitCode::Failure;
            if (context.isJson)
                responses.push_back({ { "node", node.toString() }, { "error", error.what() } });
            else
                context.out << printable(error.what()) << '\n';
        }
    }
    if (context.isJson)
        printJson(context.out, responses);
    return code;
}

ExitCode runState(const CommandContext& context)
{
    const Json state = readNodePage(parseNodeAddress(context.arguments[0]), "/state");
    if (context.isJson)
        printJson(context.out, state);
    else
        context.out << state.dump(2, ' ', true, Json::error_handler_t::replace) << '\n';
    return ExitCode::Success;
}

void addExplainOptions(cxxopts::Options& options)
{
    options.add_options()("host", "host of the request", cxxopts::value<std::string>()->default_value(""));
}

ExitCode runExplain(const CommandContext& context)
{
    const std::string& path = context.arguments[2];
    if (!path.starts_with('/'))
        throw UsageError("PATH must start with '/'");
    const Json response = readNodePage(parseNodeAddress(context.arguments[0]), "/explain",
        { { "method", context.arguments[1] }, { "path", path },
            { "host", context.options["host"].as<std::string>() } });
    const std::string route = cellText(response, "route");
    if (context.isJson)
        printJson(context.out, response);
    else
        printExplanation(response, context.out);
    return route == "-" || route.empty() ? ExitCode::Failure : ExitCode::Success;
}

} // namespace skylark
