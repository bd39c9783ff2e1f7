/// Selects the few nodes that watch the store for configuration changes on behalf of all, and times their
/// watches so that no failure of connections hides a change for long. Answers the pattern "every instance
/// polls the coordination service": the number of calls to the store depends on the number of changes, not on
/// the number of nodes. All nodes order the members by the same hash, so no lock is needed; that two views
/// differ for a while only means that more nodes watch.
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
    /// Time within which a change has to be in force at all nodes.
    absl::Duration applyTime = absl::Seconds(6);
};

struct WatchTiming {
    absl::Duration wait; ///< How long the store may hold the watch.
    absl::Duration responseTimeout; ///< How much later the connection is taken for silent.
};

/// Number of other alive members that can reach the store and precede this node in the common order.
std::size_t rankAmongMembers(const MembershipState& state);

/// Timing of this node's next watch. A connection may fall silent without an error, and only the end of a
/// watch shows it. The watchers therefore renew their watches in turn: even if the connections of all fall
/// silent at once, one of them notices within half of the apply time. `isAligned`: the other watchers begin a
/// watch at the same time, because all have just received the same change.
WatchTiming planWatch(const MembershipState& state, const WatcherOptions& options, bool isAligned);

/// True if this node has to watch the store.
bool isWatcher(const MembershipState& state, const WatcherOptions& options, absl::Time now);

} // namespace jackdawwall
