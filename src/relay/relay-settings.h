/// Settings of a node on the event loop: a JSON file with comments.
#pragma once

#include "adapter/finding.h"
#include "relay/names.h"

#include "absl/time/time.h"

#include <string>
#include <vector>

namespace jackdawwall::relay {

struct RelaySettings {
    std::string process = "node"; ///< Name in logs and on the time line.
    std::string service; ///< Of the own target.
    std::string dataCentre;
    std::string callerAddress; ///< For callers and the own target.
    std::string peerAddress; ///< For other nodes.
    std::string readyAddress; ///< Answers whether callers may be sent here.
    std::string heartbeatAddress; ///< For the own target's heartbeats.
    std::string targetAddress; ///< The own target.
    std::string metricsAddress; ///< For scrapes of the metrics.
    std::string platformAddress;
    std::size_t memoryBytes = 256U << 20;
    absl::Duration gossipInterval = absl::Milliseconds(500); ///< Between two rounds with the neighbours.
    absl::Duration stopTime = absl::Seconds(6); ///< From SIGTERM to the forced end.
    double repeatRatio = 0.1; ///< Repeated arrivals per request of a service, over all nodes.
    double repeatExtra = 20; ///< Further repeated arrivals per window.
    absl::Duration repeatWindow = absl::Seconds(10);
    HeaderNames names;
};

/// Reads and checks everything; use the result only when there are no findings.
RelaySettings readRelaySettings(const std::string& file, std::vector<Finding>& findings);

} // namespace jackdawwall::relay
