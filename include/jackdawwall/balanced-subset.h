/// Choice of a node's subset of targets when data centres differ in targets and callers.
#pragma once

#include "jackdawwall/routing.h"

#include "absl/container/btree_map.h"
#include "absl/strings/string_view.h"
#include "absl/types/span.h"

#include <string>
#include <vector>

namespace jackdawwall {

/// A target that may be part of a subset.
struct SubsetMember {
    std::string address; ///< Address of its node, "ip:port".
    std::string dataCentre;
    double weight = 1; ///< Slots or speed relative to other targets; the same at all nodes.
};

/// Who chooses a subset.
struct SubsetOwner {
    std::string address;
    std::string dataCentre;
    std::size_t size = 16; ///< Targets in a subset.
    absl::btree_map<std::string, std::size_t> callers; ///< Nodes that send calls, by data centre.
};

/// The subset of one node: local targets first, at least a quarter of the size of the others, such that each
/// target is in a similar number of subsets relative to its weight. Depends only on the arguments, and a
/// change of one member replaces few entries (weighted rendezvous hashing).
std::vector<Candidate> chooseBalancedSubset(absl::Span<const SubsetMember> members, const SubsetOwner& owner);

} // namespace jackdawwall
