/// The operators' catalogue: typed entries for the nodes, and the stored document. The document keeps the
/// history that is needed to detect that an apply from an old checkout conflicts with a newer change.
#pragma once

#include "jackdawwall/core.h"

#include "absl/container/btree_map.h"
#include "absl/container/flat_hash_map.h"
#include "absl/strings/string_view.h"
#include "absl/time/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace jackdawwall {

/// Version that the platform assigned to a stored catalogue; 0 before the first one.
using CatalogueVersion = std::uint64_t;

/// Entry "caller/NAME".
struct CallerEntry {
    std::string name;
    std::string owner;
    double weight = 1; ///< Relative share within a priority class.
    double callsPerSecond = 0; ///< Total over all nodes; 0 means no limit.
    double burst = 0; ///< Calls that may exceed the rate in a short time, over all nodes.
    std::optional<Priority> priority; ///< Takes precedence over the priority of the work.
};

/// Entry "work/NAME".
struct WorkEntry {
    std::string name;
    std::string owner;
    std::string service; ///< Service that runs this work.
    Priority priority = Priority::Browse;
    bool isIdempotent = true; ///< False: runs at most once.
    absl::Duration deadline = absl::Seconds(5); ///< Maximum duration of a call; a caller may request less.
    std::uint32_t attempts = 3; ///< Extra attempts of one root request over its entire call tree.
};

/// Name of the entries that apply to callers and work without an entry of their own.
inline constexpr absl::string_view kDefaultName = "default";

/// A catalogue that is in effect.
struct Catalogue {
    CatalogueVersion version = 0;
    absl::flat_hash_map<std::string, CallerEntry> callers;
    absl::flat_hash_map<std::string, WorkEntry> works;
};

/// Returns the entry of a caller, else the entry "default", else an entry of weight 1 without limits.
CallerEntry findCaller(const Catalogue& catalogue, absl::string_view name);

/// Returns the entry of a kind of work, else the entry "default", else one of priority Browse without a
/// service.
WorkEntry findWork(const Catalogue& catalogue, absl::string_view name);

/// True when the current version may be replaced. Versions only grow, so an old copy never replaces a newer
/// one.
bool isNewer(CatalogueVersion offered, CatalogueVersion current);

/// One stored entry.
struct DocumentEntry {
    std::string value; ///< Canonical JSON.
    CatalogueVersion changedAfter = 0; ///< Version that the last change was based on.
    CatalogueVersion addedAfter = 0; ///< Version that the addition was based on.
};

/// The document that the platform stores. Keys are "caller/NAME" and "work/NAME".
struct CatalogueDocument {
    absl::btree_map<std::string, DocumentEntry> entries;
    absl::btree_map<std::string, CatalogueVersion> removed; ///< Version that each removal was based on.
    std::vector<std::string> applyIds; ///< Ids of the most recent applies, newest last.
};

enum class ChangeKind : std::uint8_t { Added, Changed, Removed };

struct EntryChange {
    std::string name;
    ChangeKind kind = ChangeKind::Changed;
};

/// An entry that another operator changed after the version that the apply is based on.
struct EntryConflict {
    std::string name;
    CatalogueVersion changedAfter = 0;
};

/// Result of comparing an operator's entries with the stored document.
struct ApplyPlan {
    std::vector<EntryChange> changes;
    std::vector<EntryConflict> conflicts;
    CatalogueDocument result; ///< To be stored if there are changes and no conflicts.
};

/// Entries that an operator wants to be stored: name to canonical JSON.
using DesiredEntries = absl::btree_map<std::string, std::string>;

/// Plans an apply as one change. `head` is stored at `headVersion`; `basedOn` is the version that the
/// operator's checkout was made from. `applyId` identifies the apply, so that its writer can tell whether it
/// was stored when the response to the write is lost.
ApplyPlan planApply(const CatalogueDocument& head, CatalogueVersion headVersion,
    const DesiredEntries& desired, CatalogueVersion basedOn, absl::string_view applyId);

/// True when the document includes the apply with this id.
bool containsApply(const CatalogueDocument& document, absl::string_view applyId);

} // namespace jackdawwall
