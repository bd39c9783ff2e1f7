/// What the parts of one node's event loop share.
#pragma once

#include "adapter/metrics.h"
#include "jackdawwall/membership.h"
#include "jackdawwall/route-table.h"
#include "jackdawwall/routing.h"
#include "relay/names.h"
#include "relay/relay-settings.h"
#include "relay/request-log.h"
#include "relay/target-gate.h"
#include "relay/upstream.h"

#include <memory>
#include <string>

namespace jackdawwall::relay {

/// A configuration in force, with the text that other nodes are told.
struct Configuration {
    std::shared_ptr<const RouteTable> table;
    std::string document;
};

struct RelayState {
    RelayState(asio::io_context& ioLoop, RelaySettings given);

    asio::io_context& loop;
    RelaySettings settings;
    UpstreamPool pool;
    Metrics metrics;
    RequestLog requestLog;
    TargetGate gate;
    MembershipState membership;
    RoutingState routing;
    SplitState split;
    Generator generator;
    Configuration configuration;
    TargetState target;
    bool isStopping = false;
    absl::Time stopsAt = absl::InfiniteFuture(); ///< When the process has to be gone.
    absl::flat_hash_map<std::string, std::vector<Candidate>> candidates; ///< By service; see membersChanged.

    RouteVersion version() const { return configuration.table ? configuration.table->version : 0; }
};

/// Forgets what was derived from the membership.
void membersChanged(RelayState& state);

/// Members that may get work of a service.
const std::vector<Candidate>& candidatesFor(RelayState& state, const std::string& service);

} // namespace jackdawwall::relay
