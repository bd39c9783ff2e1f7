/// Reads the operators' catalogue file and the stored document, and writes the latter.
#pragma once

#include "jackdawwall/catalogue.h"

#include "adapter/finding.h"

#include <optional>
#include <string>
#include <vector>

namespace jackdawwall {

/// Key of the one object that holds the catalogue: one write changes all that belongs together.
inline constexpr const char* kCatalogueKey = "catalogue";

/// An operator's file.
struct CatalogueFile {
    CatalogueVersion basedOn = 0; ///< Version that the file was made from; 0 before the first apply.
    WantedEntries entries;
};

/// Reads an operator's file; every invalid entry is a finding.
CatalogueFile readCatalogueFile(
    const std::string& file, const std::string& text, std::vector<Finding>& findings);

/// Reads the stored document; empty when anything in it is invalid, so that it never takes hold of a node.
std::optional<CatalogueDocument> readDocument(const std::string& text, std::vector<Finding>& findings);

/// Text to store.
std::string writeDocument(const CatalogueDocument& document);

/// Typed entries of a document; findings for entries that are invalid.
Catalogue toCatalogue(
    const CatalogueDocument& document, CatalogueVersion version, std::vector<Finding>& findings);

/// The operator's text with another version in its first "basedOn"; unchanged when it has none.
std::string replaceBasedOn(const std::string& text, CatalogueVersion version);

/// An operator's file with the document's entries, to be kept in version control.
std::string writeCatalogueFile(const CatalogueDocument& document, CatalogueVersion version);

} // namespace jackdawwall
