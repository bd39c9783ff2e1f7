/// The operators' port of a node: status, members, metrics and recent events.
#pragma once

#include "relay/relay-state.h"

namespace jackdawwall::relay {

/// Responds to GET /status, /members, /weights, /metrics and /events.
Response respondToOperator(const RelayState& state, std::size_t callerConnections, const Request& request);

} // namespace jackdawwall::relay
