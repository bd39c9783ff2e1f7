/// Selects the few nodes that watch the store for configuration changes on behalf of all. Answers the pattern
/// "every instance polls the coordination service": the number of calls to the store depends on the number of
/// changes, not on the number of nodes. All nodes order the members by the same hash, so no lock is needed;
/// that two views differ for a while only means that more nodes watch.
#pragma once

#include "jackdawwall/membership.h"

#include "absl/time/time.h"

#include <cstddef>

namespace jackdawwall {

struct WatcherOptions {
    std::size_t watchers = 0; ///< Number of nodes that watch; 0: all.
    /// A node without a response from any neighbour for this long watches the store itself, because changes
    /// no longer reach it through other nodes.
    absl::Duration contactTimeout = absl::Seconds(1);
};

/// Number of other alive members that can reach the store and precede this node in the common order.
std::size_t rankAmongMembers(const MembershipState& state);

/// True if this node has to watch the store.
bool isWatcher(const MembershipState& state, const WatcherOptions& options, absl::Time now);

} // namespace jackdawwall
