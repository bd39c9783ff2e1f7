/// Settings of a node on the event loop.
#pragma once

#include "adapter/finding.h"
#include "jackdawwall/admission.h"
#include "jackdawwall/arrival-budget.h"
#include "jackdawwall/routing.h"
#include "relay/names.h"

#include "absl/time/time.h"

#include <optional>
#include <string>
#include <vector>

namespace jackdawwall::relay {

struct RelaySettings {
    std::string process = "node"; ///< Name in logs and on the timeline.
    std::string service; ///< Service of the local target.
    std::string dataCentre;
    std::string callerAddress; ///< Listens for callers and the local target.
    std::string peerAddress; ///< Listens for other nodes.
    std::string advertisedPeerAddress; ///< Address at which other nodes reach this one; empty: peerAddress.
    std::string readyAddress; ///< Readiness endpoint for callers' load balancing; empty: none.
    /// Listens for the local target's heartbeats; empty: the target is treated as ready.
    std::string heartbeatAddress;
    std::string operatorAddress; ///< Status, members, metrics and recent events; empty: none.
    std::string targetAddress; ///< Address of the local target.
    std::string platformAddress;
    std::vector<std::string> seedAddresses; ///< Initial peers, for a start without the platform.
    std::size_t memoryBytes = 256U << 20; ///< Memory limit of the process.
    std::size_t descriptors = 4096; ///< File descriptors available to connections.
    /// Number of nodes that watch the store for configuration changes, see watcher-selection.h; the others
    /// receive them by gossip. 0: all nodes watch.
    std::size_t watchers = 0;
    /// Time within which a change of the configuration has to be in force at all nodes.
    absl::Duration configurationApplyTime = absl::Seconds(6);
    absl::Duration gossipInterval = absl::Milliseconds(500); ///< Between two gossip rounds.
    /// Timeout for the header of a request, until a configuration sets one.
    absl::Duration headerTimeout = absl::Seconds(3);
    /// How long callers are still served after a stop begins, so that they can switch to other nodes.
    absl::Duration callerDrainTime = absl::Milliseconds(2600);
    absl::Duration peerDrainTime; ///< As callerDrainTime, for calls from other nodes.
    absl::Duration stopTime = absl::Seconds(6); ///< From the start of a stop to its forced end.
    /// Limit on repeated arrivals at a service, over all nodes.
    std::optional<ArrivalBudgetOptions> arrivalBudget;
    AdmissionOptions admission;
    RoutingOptions routing;
    HeaderNames names;
};

/// Share of the memory for the buffered bodies of requests, and the same share for responses.
inline constexpr double kBufferedBodiesShare = 0.3;
/// Share of the descriptors for callers' connections; the rest is for other nodes and targets.
inline constexpr double kCallerDescriptorShare = 0.6;

/// Reads and checks a JSON file with comments; use the result only when there are no findings.
RelaySettings readRelaySettings(const std::string& file, std::vector<Finding>& findings);

} // namespace jackdawwall::relay
