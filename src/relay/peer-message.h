/// JSON messages between nodes about members and the configuration's version.
#pragma once

#include "jackdawwall/membership.h"
#include "jackdawwall/route-table.h"

#include "absl/status/statusor.h"

#include <string>
#include <vector>

namespace jackdawwall::relay {

struct PeerMessage {
    std::string runId; ///< Identifies one run of the sender's process.
    absl::Duration uptime; ///< Of that process, in whole milliseconds.
    Member sender;
    std::vector<Member> members; ///< Updates, and the sender's record of the receiver.
    std::uint64_t upTo = 0; ///< Number of the latest change of the sender that the updates include.
    /// Number of the latest change of the receiver that the sender has applied.
    std::uint64_t acknowledgedUpTo = 0;
    RouteVersion version = 0; ///< Version of the sender's configuration.
    std::uint64_t storeEra = 0; ///< Latest era of the store that the sender knows; 0: none.
    std::string configuration; ///< Set if the receiver is known to have an older one.
};

std::string encodePeerMessage(const PeerMessage& message);
/// InvalidArgument if the text is not a valid message.
absl::StatusOr<PeerMessage> decodePeerMessage(const std::string& text);

} // namespace jackdawwall::relay
