/// JSON messages between nodes about members and the configuration's version.
#pragma once

#include "jackdawwall/membership.h"
#include "jackdawwall/route-table.h"

#include "absl/status/statusor.h"

#include <string>
#include <vector>

namespace jackdawwall::relay {

struct PeerMessage {
    std::string runId; ///< Names one run of the sender's process.
    Member sender; ///< The sender.
    std::vector<Member> members; ///< News, and what the sender holds of the receiver.
    std::uint64_t upTo = 0; ///< The sender's change number up to which the news goes.
    std::uint64_t acknowledgedUpTo = 0; ///< The receiver's change number up to which the sender knows all.
    RouteVersion version = 0; ///< Of the sender's configuration.
    std::string configuration; ///< Set when the receiver is known to hold an older one.
};

std::string encodePeerMessage(const PeerMessage& message);
/// InvalidArgument for text that is no message.
absl::StatusOr<PeerMessage> decodePeerMessage(const std::string& text);

} // namespace jackdawwall::relay
