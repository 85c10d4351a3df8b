#include "base/Error.h"
#include "document/Builder.h"
#include "document/ObjectReader.h"
#include "document/Section.h"
#include "document/StrictJson.h"

namespace skylark {

namespace {

    const SectionName manifestSection("(manifest)");

    bool isDigest(std::string_view text)
    {
        // Digest::fromHex also accepts upper case, but the platform's keys use the form that Digest::hex writes.
        return text.size() == 32 && text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
    }

    constexpr TextRule digestRule { "32 lower-case hexadecimal digits", isDigest };

    std::map<SectionName, Digest> readSections(const nlohmann::json& value, FaultList& faults)
    {
        std::map<SectionName, Digest> sections;
        ObjectReader reader(value, { .section = manifestSection, .pointer = "/sections", .faults = faults });
        if (!value.is_object())
            return sections;
        for (const auto& [name, digest] : value.items()) {
            const std::string hex = reader.text(name.c_str(), digestRule);
            if (!isName(name))
                reader.addFault(name.c_str(), "the name " + quotedExcerpt(name), "a section's name");
            else if (!hex.empty())
                sections.emplace(SectionName(name), Digest::fromHex(hex));
        }
        if (sections.size() > maxSections)
            reader.addFault("", std::to_string(sections.size()) + " sections",
                "at most " + std::to_string(maxSections) + " sections");
        return sections;
    }

} // namespace

Manifest manifestOf(VersionNumber version, const std::vector<SectionText>& sections)
{
    Manifest manifest { .version = version, .revision = {}, .sections = {} };
    for (const SectionText& section : sections)
        if (!manifest.sections.try_emplace(section.name, digestOf(section.text)).second)
            throw Error({ .step = "make-manifest",
                .message = "section " + section.name.value() + " has more than one text",
                .advice = "keep one file for each section" });
    return manifest;
}

std::string manifestToJson(const Manifest& manifest)
{
    nlohmann::json sections = nlohmann::json::object();
    for (const auto& [name, digest] : manifest.sections)
        sections[name.value()] = digest.hex();
    const nlohmann::json object { { "version", manifest.version.value() }, { "sections", std::move(sections) } };
    return object.dump(2) + '\n';
}

Manifest manifestFromJson(std::string_view text)
{
    FaultList faults;
    Manifest manifest;
    if (const auto value = parseStrictJson(text, maxManifestBytes, manifestSection, faults)) {
        ObjectReader reader(*value, { .section = manifestSection, .pointer = "", .faults = faults });
        manifest.version = VersionNumber(
            static_cast<uint64_t>(reader.integer("version", std::nullopt, 1, std::numeric_limits<int64_t>::max())));
        if (const nlohmann::json* sections = reader.find("sections"))
            manifest.sections = readSections(*sections, faults);
        else if (value->is_object())
            reader.addFault("sections", "nothing", "an object of section names and digests");
        reader.finish();
    }
    if (faults.isEmpty())
        return manifest;
    const size_t count = faults.size();
    const Fault first = faults.takeSorted().front();
    throw Error({ .step = "read-manifest",
        .message = (first.pointer.empty() ? "" : first.pointer + ": ") + "found " + first.found + "; expected "
            + first.allowed + (count > 1 ? " (and " + std::to_string(count - 1) + " more faults)" : ""),
        .advice = "publish a manifest written by skylarkctl bundle" });
}

} // namespace skylark
