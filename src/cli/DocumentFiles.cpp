#include "cli/DocumentFiles.h"

#include "base/Settings.h"
#include "cli/Command.h"

#include <algorithm>
#include <fstream>

namespace skylark {

namespace fs = std::filesystem;

namespace {

    constexpr const char* manifestName = "manifest.json";
    constexpr const char* sectionsName = "sections";

    std::string readInput(const fs::path& path)
    {
        std::error_code code;
        if (!fs::is_regular_file(path, code))
            throw UsageError(path.string() + " is not a regular file");
        return readFile(path.string());
    }

    SectionText readSection(const fs::path& path)
    {
        return { .name = SectionName(path.stem().string()), .text = readInput(path) };
    }

    std::vector<SectionText> readDirectory(const fs::path& directory)
    {
        std::vector<fs::path> paths;
        for (const fs::directory_entry& entry : fs::directory_iterator(directory))
            if (entry.path().extension() == ".json")
                paths.push_back(entry.path());
        if (paths.empty())
            throw UsageError(directory.string() + " contains no section files named NAME.json");
        std::sort(paths.begin(), paths.end());
        std::vector<SectionText> texts;
        texts.reserve(paths.size());
        for (const fs::path& path : paths)
            texts.push_back(readSection(path));
        return texts;
    }

    LoadedDocument readBundle(const fs::path& directory)
    {
        LoadedDocument document { .manifest = manifestFromJson(readInput(directory / manifestName)), .texts = {} };
        for (const auto& [name, digest] : document.manifest.sections) {
            const fs::path path = directory / sectionsName / name.value() / digest.hex();
            std::error_code code;
            // buildConfiguration() reports a missing text together with all other faults.
            if (fs::is_regular_file(path, code))
                document.texts.push_back({ .name = name, .text = readFile(path.string()) });
        }
        return document;
    }

    void writeFile(const fs::path& path, const std::string& text)
    {
        std::ofstream file(path, std::ios::binary | std::ios::trunc);
        file << text;
        file.close();
        if (!file)
            throw Error({ .step = "write-bundle", .message = "cannot write " + path.string() });
    }

    // loadDocument() reads a directory with a manifest as a bundle and would ignore its section files.
    void rejectSectionFiles(const fs::path& directory)
    {
        if (!fs::is_directory(directory))
            return;
        for (const fs::directory_entry& entry : fs::directory_iterator(directory))
            if (entry.path().extension() == ".json" && entry.path().filename() != manifestName)
                throw UsageError(directory.string()
                    + " contains section files; --out must name a directory that holds only bundles");
    }

    void rejectConflictingManifest(const fs::path& path, const Manifest& manifest)
    {
        if (!fs::exists(path))
            return;
        const Manifest existingManifest = manifestFromJson(readFile(path.string()));
        if (existingManifest.version > manifest.version
            || (existingManifest.version == manifest.version && existingManifest != manifest))
            throw Error({ .step = "write-bundle",
                .message = path.string() + " already contains version "
                    + std::to_string(existingManifest.version.value())
                    + (existingManifest.version == manifest.version ? " with different content" : ""),
                .advice = "choose a higher version; nodes never return to an earlier one" });
    }

} // namespace

LoadedDocument loadDocument(const std::vector<std::string>& paths)
{
    if (paths.size() == 1 && fs::exists(fs::path(paths.front()) / manifestName))
        return readBundle(paths.front());
    LoadedDocument document;
    for (const std::string& path : paths) {
        if (!fs::is_directory(path)) {
            document.texts.push_back(readSection(path));
            continue;
        }
        for (SectionText& text : readDirectory(path))
            document.texts.push_back(std::move(text));
    }
    // The bundle command sets the version later.
    document.manifest = manifestOf(VersionNumber(0), document.texts);
    return document;
}

void writeBundle(const LoadedDocument& document, const fs::path& directory)
{
    const fs::path manifestPath = directory / manifestName;
    rejectSectionFiles(directory);
    rejectConflictingManifest(manifestPath, document.manifest);
    for (const SectionText& text : document.texts) {
        const fs::path folder = directory / sectionsName / text.name.value();
        fs::create_directories(folder);
        writeFile(folder / document.manifest.sections.at(text.name).hex(), text.text);
    }
    const fs::path partialPath = directory / "manifest.json.partial";
    writeFile(partialPath, manifestToJson(document.manifest));
    fs::rename(partialPath, manifestPath);
}

} // namespace skylark
