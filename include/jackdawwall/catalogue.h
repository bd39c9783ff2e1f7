/// The operators' catalogue: typed entries as the nodes use them, and the stored document with the history
/// that lets an apply from an old checkout be told from a newer change.
#pragma once

#include "jackdawwall/core.h"

#include "absl/container/btree_map.h"
#include "absl/container/flat_hash_map.h"
#include "absl/strings/string_view.h"
#include "absl/time/time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace jackdawwall {

/// Version that the platform gave to a stored catalogue; 0 before the first.
using CatalogueVersion = std::uint64_t;

/// Entry "caller/NAME".
struct CallerEntry {
    std::string name;
    std::string owner;
    double weight = 1; ///< Share inside a class.
    double callsPerSecond = 0; ///< Over all nodes; 0 is no limit.
};

/// Entry "work/NAME".
struct WorkEntry {
    std::string name;
    std::string owner;
    std::string service; ///< Service that does this work.
    Priority priority = Priority::Browse;
    bool isIdempotent = true; ///< False: runs at most once.
    absl::Duration deadline = absl::Seconds(5); ///< Longest time of a call; a caller may ask for less.
    std::uint32_t attempts = 3; ///< Extra attempts of one root request over its whole tree.
};

/// Names that apply to callers and work without an entry of their own.
inline constexpr absl::string_view kDefaultName = "default";

/// A catalogue in force.
struct Catalogue {
    CatalogueVersion version = 0;
    absl::flat_hash_map<std::string, CallerEntry> callers;
    absl::flat_hash_map<std::string, WorkEntry> works;
};

/// The entry of a caller, else "default", else an entry of weight 1 without limits.
CallerEntry findCaller(const Catalogue& catalogue, absl::string_view name);

/// The entry of a kind of work, else "default", else browsing without a service of its own.
WorkEntry findWork(const Catalogue& catalogue, absl::string_view name);

/// True when the version in hand may be replaced: versions only grow, so no old copy comes back.
bool isNewer(CatalogueVersion offered, CatalogueVersion current);

/// One stored entry.
struct DocumentEntry {
    std::string value; ///< Canonical JSON.
    CatalogueVersion changedAfter = 0; ///< Version that the last change was made on.
    CatalogueVersion addedAfter = 0; ///< Version that the entry was added on.
};

/// What the platform stores; key is "caller/NAME" or "work/NAME".
struct CatalogueDocument {
    absl::btree_map<std::string, DocumentEntry> entries;
    absl::btree_map<std::string, CatalogueVersion> removed; ///< Version that the removal was made on.
    std::vector<std::string> applyIds; ///< Of the last applies, newest last.
};

enum class ChangeKind : std::uint8_t { Added, Changed, Removed };

struct EntryChange {
    std::string name;
    ChangeKind kind = ChangeKind::Changed;
};

/// An entry that somebody else changed since the version that the apply is based on.
struct EntryConflict {
    std::string name;
    CatalogueVersion changedAfter = 0;
};

/// Result of holding an operator's entries against the stored document.
struct ApplyPlan {
    std::vector<EntryChange> changes;
    std::vector<EntryConflict> conflicts;
    CatalogueDocument result; ///< To be stored when there are changes and no conflicts.
};

/// Wanted entries: name to canonical JSON.
using DesiredEntries = absl::btree_map<std::string, std::string>;

/// Plans an apply as one change. `head` is stored at `headVersion`; `basedOn` is the version that the
/// operator's checkout was made from; `applyId` names this apply so that its writer can recognise it when
/// the answer to the write is lost.
ApplyPlan planApply(const CatalogueDocument& head, CatalogueVersion headVersion,
    const DesiredEntries& desired, CatalogueVersion basedOn, absl::string_view applyId);

/// True when the document contains the change of that apply.
bool containsApply(const CatalogueDocument& document, absl::string_view applyId);

} // namespace jackdawwall
