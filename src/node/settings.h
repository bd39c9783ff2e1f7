/// Settings of one node, read from a JSON file with comments and from command-line overrides.
#pragma once

#include "adapter/finding.h"
#include "adapter/log.h"
#include "relay/relay-settings.h"

#include "absl/time/time.h"

#include <string>
#include <vector>

namespace jackdawwall {

struct NodeSettings {
    std::string process = "node"; ///< Name in logs and in the timeline.
    std::string service; ///< Service of the local target.
    std::string dataCentre;
    std::string callerAddress = "127.0.0.1:0"; ///< Listens for callers and the local target.
    std::string peerAddress = "127.0.0.1:0"; ///< Listens for calls and control traffic of other nodes.
    std::string operatorAddress = "127.0.0.1:0"; ///< Listens for operators.
    std::string targetAddress; ///< The local target.
    std::vector<std::string> platformAddresses;
    std::vector<std::string> seedAddresses; ///< Peer addresses used when the platform is unavailable.
    std::size_t memoryBytes = 256U << 20; ///< Memory limit of the process.
    std::size_t descriptors = 4096; ///< File descriptors available to connections.
    absl::Duration heartbeatInterval = absl::Milliseconds(500);
    absl::Duration leaveDelay = absl::Seconds(3); ///< New work is accepted this long after announcing a stop.
    absl::Duration drainTimeout = absl::Seconds(60); ///< Limit for work in progress during a planned stop.
    absl::Duration senderTimeout = absl::Seconds(10); ///< Time after which a stalled sender is disconnected.
    std::string logPath;
    LogLevel logLevel = LogLevel::Info;
};

/// Overrides from the command line, each "key=value".
using SettingOverrides = std::vector<std::string>;

/// Reads and validates all settings. The result is valid only when there are no findings.
NodeSettings readNodeSettings(
    const std::string& file, const SettingOverrides& overrides, std::vector<Finding>& findings);

/// Converts the settings for the relay and adds the values that are not configurable.
relay::RelaySettings relaySettings(const NodeSettings& settings);

/// Reads the log level "debug", "info", "warning" or "error"; reports a finding for any other value.
LogLevel readLogLevel(class JsonReader& reader);

} // namespace jackdawwall
