#include "document/Section.h"

#include "document/ObjectReader.h"
#include "document/StrictJson.h"

#include <algorithm>
#include <array>

namespace skylark {

namespace {

    using namespace std::chrono_literals;
    using Json = nlohmann::json;

    // These bounds allow any realistic value and reject mistakes in units or digits.
    constexpr int64_t maxSlots = 10'000;
    constexpr int64_t maxConnections = 100'000;
    constexpr int64_t maxQueueLength = 65'536;
    constexpr int64_t maxBodyBytesSetting = int64_t { 1 } << 30;
    constexpr int64_t maxRetries = 5;
    constexpr double maxWorth = 1'000'000;
    constexpr Duration minDeadline = 1ms;
    constexpr Duration maxDeadline = 10min;

    constexpr int64_t defaultQueueLength = 256;
    constexpr int64_t defaultBodyBytes = int64_t { 8 } << 20;

    constexpr std::array<std::string_view, 7> knownMethods { "DELETE", "GET", "HEAD", "OPTIONS", "PATCH", "POST",
        "PUT" };

    bool isLowerOrDigit(char character)
    {
        return (character >= 'a' && character <= 'z') || (character >= '0' && character <= '9');
    }

    bool isPrintable(std::string_view text)
    {
        return std::none_of(text.begin(), text.end(),
            [](char character) { return static_cast<unsigned char>(character) < ' ' || character == '\x7f'; });
    }

    char toLower(char character)
    {
        return character >= 'A' && character <= 'Z' ? static_cast<char>(character - 'A' + 'a') : character;
    }

    // A host consists of labels of letters, digits and '-', separated by dots. IPv4 addresses have this form too.
    bool isHost(std::string_view text)
    {
        char previous = '.';
        for (const char character : text) {
            if (character == '.' ? previous == '.' : !isLowerOrDigit(toLower(character)) && character != '-')
                return false;
            previous = character;
        }
        return text.empty() || (text.size() <= maxHostBytes && previous != '.');
    }

    bool isHealthPath(std::string_view text)
    {
        return text.empty()
            || (text.size() <= maxPrefixBytes && text.front() == '/'
                && std::all_of(
                    text.begin(), text.end(), [](char character) { return character > ' ' && character <= '~'; }));
    }

    constexpr TextRule nameRule { "1 to 63 of a-z, 0-9, '-', '_' and '.', starting with a letter or digit", isName };
    constexpr TextRule ownerRule { "a string of at most 200 bytes without control characters",
        [](std::string_view text) { return text.size() <= 200 && isPrintable(text); } };
    constexpr TextRule hostRule { "a host name without port, or an empty string to match every host", isHost };
    constexpr TextRule prefixRule { "\"/\" or a path such as \"/pitch/list\": at most 512 bytes and 32 segments of "
                                    "printable ASCII without '?', '#', empty segments, \".\" or \"..\"",
        isPathPrefix };
    constexpr TextRule healthPathRule { "a path of printable ASCII that starts with '/'", isHealthPath };

    struct SectionLimits {
        int maxQueue { defaultQueueLength };
        ByteCount maxBodyBytes { defaultBodyBytes };
    };

    class SectionParser {
    public:
        SectionParser(const SectionName& name, FaultList& faults)
            : m_name(name)
            , m_faults(faults)
        {
        }

        std::shared_ptr<const ParsedSection> parse(const Json& value)
        {
            ObjectReader reader = makeReader(value, "");
            m_parsed->name = m_name;
            const std::string declaredName = reader.text("section", nameRule);
            if (!declaredName.empty() && declaredName != m_name.value())
                reader.addFault("section", quotedExcerpt(declaredName),
                    quotedExcerpt(m_name.value()) + ", the name in the manifest");
            reader.text("owner", ownerRule, "");
            if (m_name.value() == globalSection)
                parseRanks(reader);
            else
                parseServicesAndRoutes(reader);
            reader.finish();
            return m_parsed;
        }

    private:
        ObjectReader makeReader(const Json& value, std::string pointer)
        {
            return { value, { .section = m_name, .pointer = std::move(pointer), .faults = m_faults } };
        }

        void parseRanks(ObjectReader& reader)
        {
            const Json::array_t& ranks = reader.array("ranks", 1, maxRanks);
            double floorSum = 0;
            for (size_t index = 0; index < ranks.size(); ++index) {
                parseRank(makeReader(ranks[index], childPointer(reader.pointerOf("ranks"), index)));
                floorSum += m_parsed->ranks.back().floor;
            }
            // Sums of decimal fractions such as 0.7 + 0.2 + 0.1 differ from 1 by rounding errors.
            constexpr double roundingError = 1e-9;
            if (floorSum > 1 + roundingError)
                reader.addFault(
                    "ranks", "floors with a sum of " + Json(floorSum).dump(), "floors with a sum of at most 1");
        }

        void parseRank(ObjectReader reader)
        {
            RankPolicy rank;
            rank.name = RankName(reader.text("name", nameRule));
            rank.target = reader.duration("target", minDeadline, maxDeadline);
            rank.floor = reader.number("floor", 0.0, 0, 1);
            rank.worth = reader.number("worth", 1.0, 0, maxWorth);
            reader.finish();
            const bool isRepeated = std::any_of(m_parsed->ranks.begin(), m_parsed->ranks.end(),
                [&](const RankPolicy& other) { return other.name == rank.name; });
            if (isRepeated && !rank.name.value().empty())
                reader.addFault("name", "a duplicate " + quotedExcerpt(rank.name.value()), "each rank once");
            m_parsed->ranks.push_back(std::move(rank));
        }

        void parseServicesAndRoutes(ObjectReader& reader)
        {
            const SectionLimits limits = parseLimits(reader);
            const Json::array_t& services = reader.array("services", 0, maxRoutes);
            for (size_t index = 0; index < services.size() && !m_faults.isFull(); ++index)
                parseService(
                    makeReader(services[index], childPointer(reader.pointerOf("services"), index)), index, limits);
            const Json::array_t& routes = reader.array("routes", 0, maxRoutes);
            for (size_t index = 0; index < routes.size() && !m_faults.isFull(); ++index)
                parseRoute(makeReader(routes[index], childPointer(reader.pointerOf("routes"), index)), index, limits);
        }

        SectionLimits parseLimits(ObjectReader& reader)
        {
            SectionLimits limits;
            const Json* value = reader.find("limits");
            if (!value)
                return limits;
            ObjectReader limitsReader = makeReader(*value, reader.pointerOf("limits"));
            limits.maxBodyBytes
                = ByteCount(limitsReader.integer("maxBodyBytes", defaultBodyBytes, 0, maxBodyBytesSetting));
            limits.maxQueue = static_cast<int>(limitsReader.integer("maxQueue", defaultQueueLength, 0, maxQueueLength));
            limitsReader.finish();
            return limits;
        }

        void parseService(ObjectReader reader, size_t index, const SectionLimits& limits)
        {
            ServicePolicy service;
            service.name = ServiceName(reader.text("name", nameRule));
            service.section = m_name;
            service.port = static_cast<uint16_t>(reader.integer("port", std::nullopt, 1, 65'535));
            service.slots = static_cast<int>(reader.integer("slots", std::nullopt, 1, maxSlots));
            service.connections = static_cast<int>(reader.integer("connections", std::nullopt, 1, maxConnections));
            service.healthPath = reader.text("healthPath", healthPathRule, "");
            service.maxQueue = limits.maxQueue;
            reader.finish();
            m_parsed->services.push_back({ std::move(service), index });
        }

        void parseRoute(ObjectReader reader, size_t index, const SectionLimits& limits)
        {
            ParsedRoute parsed;
            Route& route = parsed.route;
            route.name = reader.text("name", nameRule);
            route.section = m_name;
            route.host = reader.text("host", hostRule, "");
            std::transform(route.host.begin(), route.host.end(), route.host.begin(), toLower);
            route.pathPrefix = reader.text("pathPrefix", prefixRule);
            route.methods = parseMethods(reader);
            route.service = ServiceName(reader.text("service", nameRule));
            parsed.rank = RankName(reader.text("rank", nameRule));
            route.deadline = reader.duration("deadline", minDeadline, maxDeadline);
            route.worth = reader.number("worth", 1.0, 0, maxWorth);
            route.isIdempotent = reader.boolean("idempotent", false);
            route.retries = static_cast<int>(reader.integer("retries", 0, 0, maxRetries));
            route.maxBodyBytes = limits.maxBodyBytes;
            reader.finish();
            parsed.index = index;
            m_parsed->routes.push_back(std::move(parsed));
        }

        std::vector<std::string> parseMethods(ObjectReader& reader)
        {
            std::vector<std::string> methods;
            const Json::array_t& values = reader.array("methods", 0, knownMethods.size());
            for (size_t index = 0; index < values.size(); ++index) {
                const std::string* method = values[index].get_ptr<const std::string*>();
                const std::string pointer = childPointer(reader.pointerOf("methods"), index);
                if (!method || std::find(knownMethods.begin(), knownMethods.end(), *method) == knownMethods.end())
                    m_faults.add(m_name, pointer, describeValue(values[index]),
                        "DELETE, GET, HEAD, OPTIONS, PATCH, POST or PUT");
                else if (std::find(methods.begin(), methods.end(), *method) != methods.end())
                    m_faults.add(m_name, pointer, "a duplicate " + quotedExcerpt(*method), "each method once");
                else
                    methods.push_back(*method);
            }
            // The order of methods has no meaning, so they are sorted to make equal sets compare equal.
            std::sort(methods.begin(), methods.end());
            return methods;
        }

        const SectionName& m_name;
        FaultList& m_faults;
        std::shared_ptr<ParsedSection> m_parsed { std::make_shared<ParsedSection>() };
    };

} // namespace

bool isName(std::string_view text)
{
    constexpr size_t maxNameBytes = 63;
    return !text.empty() && text.size() <= maxNameBytes && isLowerOrDigit(text.front())
        && std::all_of(text.begin(), text.end(), [](char character) {
               return isLowerOrDigit(character) || character == '-' || character == '_' || character == '.';
           });
}

bool isPathPrefix(std::string_view text)
{
    if (text == "/")
        return true;
    if (text.empty() || text.front() != '/' || text.size() > maxPrefixBytes)
        return false;
    size_t segments = 0;
    while (!text.empty()) {
        text.remove_prefix(1);
        const std::string_view segment = text.substr(0, text.find('/'));
        if (segment.empty() || segment == "." || segment == ".." || ++segments > maxPrefixSegments)
            return false;
        if (std::any_of(segment.begin(), segment.end(), [](char character) {
                return character <= ' ' || character > '~' || character == '?' || character == '#';
            }))
            return false;
        text.remove_prefix(segment.size());
    }
    return true;
}

std::shared_ptr<const ParsedSection> parseSection(const SectionText& section, FaultList& faults)
{
    const std::optional<Json> value = parseStrictJson(section.text, maxSectionBytes, section.name, faults);
    return value ? SectionParser(section.name, faults).parse(*value) : nullptr;
}

} // namespace skylark
