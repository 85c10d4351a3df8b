// Fuzzes the parsers of sections and manifests. For any input, a second build must give the same result, a rejected
// document must have 1 to 1,000 faults in printable ASCII, and an accepted manifest must round-trip.
#include "base/Error.h"
#include "base/Invariant.h"
#include "document/Section.h"
#include "document/tests/SyntheticDocument.h"

#include <cstdint>

namespace skylark {
namespace {

    void buildWith(const SectionName& name, const std::string& text)
    {
        std::vector<SectionText> texts { { name, text } };
        if (name.value() != globalSection)
            texts.push_back(globalText());
        const Manifest manifest = manifestOf(VersionNumber(1), texts);
        SectionCache cache;
        const BuildResult first = buildConfiguration(manifest, texts, cache);
        const BuildResult second = buildConfiguration(manifest, texts, cache);
        invariant(isSame(first, second), { .rule = "a cached build equals the first", .step = "fuzz" });
        const auto* faults = std::get_if<std::vector<Fault>>(&first);
        if (!faults) {
            // The route table must match every path prefix that the document schema allows.
            for (const Route& route : std::get<0>(first)->routes())
                invariant(std::get<0>(first)->match(route.host, "GET", route.pathPrefix) || !route.methods.empty(),
                    { .rule = "a route matches its own prefix", .step = "fuzz" });
            return;
        }
        invariant(!faults->empty() && faults->size() <= maxFaults, { .rule = "1 to 1,000 faults", .step = "fuzz" });
        constexpr size_t maxFaultBytes = 4096;
        for (const Fault& fault : *faults)
            for (const char character : describe(fault).substr(0, maxFaultBytes))
                invariant(
                    character >= ' ' && character <= '~', { .rule = "faults are printable ASCII", .step = "fuzz" });
    }

    void readManifest(const std::string& text)
    {
        try {
            const Manifest manifest = manifestFromJson(text);
            invariant(manifestFromJson(manifestToJson(manifest)) == manifest,
                { .rule = "an accepted manifest round-trips", .step = "fuzz" });
            for (const auto& [name, digest] : manifest.sections)
                invariant(isName(name.value()), { .rule = "accepted section names are valid", .step = "fuzz" });
        } catch (const InvariantViolation&) {
            throw;
        } catch (const Error&) {
            return;
        }
    }

} // namespace
} // namespace skylark

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size)
{
    using namespace skylark;
    // The first byte selects the parser and whether the input is an edit. The next two bytes are the position of the
    // edit, and the last one is the number of bytes that it replaces.
    constexpr size_t headerBytes = 4;
    if (size < headerBytes)
        return 0;
    std::string text(reinterpret_cast<const char*>(data) + headerBytes, size - headerBytes);
    const unsigned parser = data[0] % 3;
    // Half of the inputs are applied as one edit to a valid text, so that they reach the code after JSON parsing.
    if (data[0] % 2) {
        std::string valid = parser == 0 ? syntheticSection("team", 2).text : globalText().text;
        if (parser == 2)
            valid = manifestToJson(manifestOf(VersionNumber(7), syntheticDocument(3, 1)));
        const size_t position = (data[1] * size_t { 256 } + data[2]) % (valid.size() + 1);
        text = valid.replace(position, std::min<size_t>(data[3], valid.size() - position), text);
    }
    if (parser == 0)
        buildWith(SectionName("team"), text);
    else if (parser == 1)
        buildWith(SectionName(globalSection), text);
    else
        readManifest(text);
    return 0;
}
