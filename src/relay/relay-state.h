/// What the parts of one node's event loop share.
#pragma once

#include "adapter/metrics.h"
#include "jackdawwall/call-flow.h"
#include "jackdawwall/catalogue.h"
#include "jackdawwall/route-table.h"
#include "relay/byte-budget.h"
#include "relay/relay-settings.h"
#include "relay/request-log.h"
#include "relay/target-gate.h"
#include "relay/upstream.h"

#include <memory>
#include <optional>
#include <string>

namespace jackdawwall::relay {

/// A configuration in force, with the text that other nodes are told. An interface uses one of its parts.
struct Configuration {
    RouteVersion version = 0; ///< 0 before the first.
    std::string document;
    std::shared_ptr<const RouteTable> table;
    std::shared_ptr<const Catalogue> catalogue;
    std::optional<CallerLimits> limits; ///< For callers; empty: those of the settings.
    absl::Time appliedAt = absl::InfinitePast(); ///< Time of day at which it took hold here.
};

struct RelayState {
    RelayState(asio::io_context& ioLoop, RelaySettings initialSettings);

    asio::io_context& loop;
    RelaySettings settings;
    ByteBudget bufferedBodies;
    UpstreamPool pool;
    Metrics metrics;
    RequestLog requestLog;
    NodeDecisions decisions;
    TargetGate gate;
    SplitState split;
    Configuration configuration;
    TargetState target;
    bool isStopping = false;
    absl::Time stopDeadline = absl::InfiniteFuture(); ///< When the process has to be gone.
};

/// Takes over what may change while a node runs: its bounds and times, not its addresses and names.
void applySettings(RelayState& state, const RelaySettings& newSettings);

/// Forgets what was derived from the membership.
void membersChanged(RelayState& state);

/// Live members before this one in the order of their hashes, the same at all nodes; for duties that a few
/// nodes have for all.
std::size_t rankAmongMembers(const RelayState& state);

/// What this node says of itself now.
const Member& localMember(const RelayState& state);

} // namespace jackdawwall::relay
