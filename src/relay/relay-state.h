/// State shared by the parts of a node's event loop.
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

class LeaseLink;

/// The applied configuration and the document that is sent to other nodes. An interface uses either `table`
/// or `catalogue`.
struct Configuration {
    RouteVersion version = 0; ///< 0 before the first.
    std::string document;
    std::shared_ptr<const RouteTable> table;
    std::shared_ptr<const Catalogue> catalogue;
    std::optional<CallerLimits> limits; ///< For callers; empty: those of the settings.
    absl::Time appliedAt = absl::InfinitePast(); ///< Time of day at which this node applied it.
};

struct RelayState {
    RelayState(asio::io_context& ioLoop, RelaySettings initialSettings);

    asio::io_context& loop;
    RelaySettings settings;
    ByteBudget held; ///< All that is held for callers and other nodes.
    ByteBudget heldForCallers; ///< The part of it that the connections of callers hold.
    ByteBudget bufferedResponses; ///< The part of it that is bodies of responses.
    UpstreamPool pool;
    Metrics metrics;
    RequestLog requestLog;
    NodeDecisions decisions;
    TargetGate gate;
    SplitState split;
    LeaseLink* leases = nullptr; ///< Rate limits of customers; set by the node.
    Configuration configuration;
    TargetState target;
    std::uint64_t storeEra = 0; ///< Latest that is known from the store or another node; see StoreEra.
    bool canReachStore = true; ///< False after repeated failures of calls to the store.
    bool isStopping = false;
    /// When the event loop ends even if requests are pending.
    absl::Time stopDeadline = absl::InfiniteFuture();
};

/// Applies the settings that may change at run time: limits and durations, not addresses and names.
void applySettings(RelayState& state, const RelaySettings& newSettings);

/// Invalidates state derived from the membership.
void membersChanged(RelayState& state);

/// This node's current record in the membership.
const Member& localMember(const RelayState& state);

} // namespace jackdawwall::relay
