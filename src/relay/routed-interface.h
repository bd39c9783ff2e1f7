/// Interface for callers that address work by host and path. The operators' routes map these to a service.
#pragma once

#include "relay/call-interface.h"
#include "relay/relay-state.h"

namespace jackdawwall::relay {

/// Resolves requests with the current route table.
CallInterface routedInterface();

/// Wraps a route table as a configuration. `document` is for other nodes; empty: the received text.
Configuration routedConfiguration(RouteTable table, std::string document = {});

/// Options for admission and routing where routes set a latency objective and traffic between data centres
/// costs money.
AdmissionOptions routedAdmissionOptions();
RoutingOptions routedRoutingOptions(Balance balance = Balance::Latency);

} // namespace jackdawwall::relay
