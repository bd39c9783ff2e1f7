/// Callers that name a host and a path: the operators' routes say which service does the work.
#pragma once

#include "relay/call-interface.h"
#include "relay/relay-state.h"

namespace jackdawwall::relay {

/// Interface for callers whose requests are resolved by the route table in force.
CallInterface routedInterface();

/// A configuration that is a route table.
Configuration routedConfiguration(RouteTable table);

/// Admission and routing where routes give a latency objective and bytes between data centres are priced.
AdmissionOptions routedAdmissionOptions();
RoutingOptions routedRoutingOptions();

} // namespace jackdawwall::relay
