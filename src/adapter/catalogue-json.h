/// Reads and writes the operators' catalogue file and the stored catalogue document.
#pragma once

#include "jackdawwall/catalogue.h"

#include "adapter/finding.h"

#include <optional>
#include <string>
#include <vector>

namespace jackdawwall {

/// Key of the object that holds the catalogue. A single object makes related changes atomic: one write
/// applies all of them.
inline constexpr const char* kCatalogueKey = "catalogue";

/// Content of an operator's catalogue file.
struct CatalogueFile {
    CatalogueVersion basedOn = 0; ///< Stored version that the file was edited from; 0 before the first apply.
    DesiredEntries entries;
};

/// Parses an operator's file; reports a finding for every invalid entry.
CatalogueFile readCatalogueFile(
    const std::string& file, const std::string& text, std::vector<Finding>& findings);

/// Parses the stored document. Returns std::nullopt when any part is invalid, so that a node never applies
/// part of a document.
std::optional<CatalogueDocument> readDocument(const std::string& text, std::vector<Finding>& findings);

/// Serializes the document for storage.
std::string writeDocument(const CatalogueDocument& document);

/// Converts a document to typed entries; reports a finding for every invalid entry.
Catalogue toCatalogue(
    const CatalogueDocument& document, CatalogueVersion version, std::vector<Finding>& findings);

/// Replaces the version in the first "basedOn" of an operator's file; returns the text unchanged when there
/// is none.
std::string replaceBasedOn(const std::string& text, CatalogueVersion version);

/// Serializes the document as an operator's file, formatted for version control.
std::string writeCatalogueFile(const CatalogueDocument& document, CatalogueVersion version);

} // namespace jackdawwall
