// Reads and writes documents as files.
//
// A document is either
// - a set of files NAME.json with one section each, given as files or directories, or
// - a bundle: a directory with manifest.json and sections/NAME/DIGEST.
//
// The paths in a bundle equal the platform's keys below "skylarkbay/", so a publisher copies each file to the key of
// the same name, the manifest last.
#pragma once

#include "document/Builder.h"

#include <filesystem>

namespace skylark {

struct LoadedDocument {
    Manifest manifest;
    std::vector<SectionText> texts;
};

// Throws UsageError if a path cannot be read, and Error if two files define the same section.
LoadedDocument loadDocument(const std::vector<std::string>& paths);

// Writes the texts first and then replaces the manifest atomically, so that an interrupted run leaves no new manifest.
// Throws UsageError if the directory contains section files. Throws Error if it contains a manifest of a later version,
// or of the same version with different content.
void writeBundle(const LoadedDocument& document, const std::filesystem::path& directory);

} // namespace skylark
