// Reads and writes documents as files.
//
// A document is a set of files NAME.json with one section each, given by file or by directory, or a bundle: a
// directory with manifest.json and sections/NAME/DIGEST. The files of a bundle have the names of the keys
// below "skylarkbay/" on the platform, so a publisher copies them one to one, the manifest last.
#pragma once

#include "document/Builder.h"

#include <filesystem>

namespace skylark {

struct LoadedDocument {
    Manifest manifest;
    std::vector<SectionText> texts;
};

// Throws UsageError for a path that cannot be read, and Error for two files of one section.
LoadedDocument loadDocument(const std::vector<std::string>& paths);

// Writes the texts, then the manifest in one step, so that an interrupted run leaves no new manifest. Throws
// UsageError if the directory holds section files, and Error if it holds a manifest of this version with other content,
// or of a later version.
void writeBundle(const LoadedDocument& document, const std::filesystem::path& directory);

} // namespace skylark
