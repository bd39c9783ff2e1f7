/// Settings of one node: a JSON file with comments, and command-line overrides.
#pragma once

#include "adapter/finding.h"
#include "adapter/log.h"
#include "relay/relay-settings.h"

#include "absl/time/time.h"

#include <string>
#include <vector>

namespace jackdawwall {

struct NodeSettings {
    std::string process = "node"; ///< Name in logs and on the time line.
    std::string service; ///< Of the own target.
    std::string dataCentre;
    std::string callerAddress = "127.0.0.1:0"; ///< For callers and the own target.
    std::string peerAddress = "127.0.0.1:0"; ///< For calls and control traffic of other nodes.
    std::string operatorAddress = "127.0.0.1:0"; ///< For operators.
    std::string targetAddress; ///< The own target.
    std::vector<std::string> platformAddresses;
    std::vector<std::string> seedAddresses; ///< Peer addresses used when the platform is down.
    absl::Duration heartbeatInterval = absl::Milliseconds(500);
    absl::Duration leaveDelay = absl::Seconds(3); ///< Between the announcement and the last new work.
    absl::Duration drainTimeout = absl::Seconds(60); ///< For work in flight at a planned stop.
    absl::Duration senderTimeout = absl::Seconds(10); ///< For a sender that stalls.
    std::string logPath;
    LogLevel logLevel = LogLevel::Info;
};

/// One override from the command line, "key=value".
using SettingOverrides = std::vector<std::string>;

/// Reads and checks everything; use the result only when there are no findings.
NodeSettings readNodeSettings(
    const std::string& file, const SettingOverrides& overrides, std::vector<Finding>& findings);

/// The same for the event loop, with what the product fixes.
relay::RelaySettings relaySettings(const NodeSettings& settings);

/// Level named "debug", "info", "warning" or "error"; a finding otherwise.
LogLevel readLogLevel(class JsonReader& reader);

} // namespace jackdawwall
