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

namespace jackdawwall {
class JsonReader;
}

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
    /// Longest time between the sending of a heartbeat and its receipt.
    absl::Duration maxHeartbeatDelay = absl::Seconds(5);
    /// How long a heartbeat keeps a target in use that is not proven to be ready; longer than the time
    /// between two heartbeats.
    absl::Duration confirmationTime = absl::Seconds(2);
    /// Timeout for the header of a request, until a configuration sets one.
    absl::Duration headerTimeout = absl::Seconds(3);
    /// How long callers are still served after a stop begins, so that they can switch to other nodes.
    absl::Duration callerDrainTime = absl::Milliseconds(2600);
    absl::Duration peerDrainTime; ///< As callerDrainTime, for calls from other nodes.
    absl::Duration stopTime = absl::Seconds(6); ///< From the start of a stop to its forced end.
    /// Limit on repeated arrivals at a service, over all nodes.
    std::optional<ArrivalBudgetOptions> arrivalBudget;
    double limitSlack
        = 0; ///< Calls by which a customer may exceed its limit, over all nodes; see TokenLimit.
    AdmissionOptions admission;
    RoutingOptions routing;
    HeaderNames names;
};

/// Share of the memory for all that is held for callers and other nodes. The rest is the process itself, the
/// state of the members, and what the allocator can't reuse.
inline constexpr double kHeldShare = 0.5;
/// Share of the held bytes that callers may use; the rest is reserved for other nodes and heartbeats.
inline constexpr double kCallerHeldShare = 0.9;
/// Share of the memory for the bodies of responses, within the share for all.
inline constexpr double kBufferedBodiesShare = 0.3;
/// Shares of the descriptors for the connections that each port accepts. The rest, and kOutgoingReserve, is
/// for connections to other nodes, the target and the platform.
inline constexpr double kCallerDescriptorShare = 0.6;
inline constexpr double kPeerDescriptorShare = 0.2;
inline constexpr double kReportDescriptorShare = 0.03; ///< Heartbeats, readiness and operators, each.
/// Part of the descriptors that the settings reserve for files (see readRelaySettings) that outgoing
/// connections may use as well.
inline constexpr std::size_t kOutgoingReserve = 100;
/// Descriptors of the settings that are not available to connections.
inline constexpr std::int64_t kReservedDescriptors = 200;
inline constexpr std::int64_t kMinDescriptors = 64;

/// Reads the settings `memoryMegabytes` (256) and `descriptors` (4296): the limits of the process.
void readProcessLimits(JsonReader& reader, std::size_t& memoryBytes, std::size_t& descriptors);

/// Reads and checks a JSON file with comments; use the result only when there are no findings.
RelaySettings readRelaySettings(const std::string& file, std::vector<Finding>& findings);

} // namespace jackdawwall::relay
