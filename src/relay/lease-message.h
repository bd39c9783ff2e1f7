/// JSON messages between nodes about tokens of customers' rate limits.
#pragma once

#include "jackdawwall/token-coordinator.h"

#include "absl/status/statusor.h"

#include <string>
#include <vector>

namespace jackdawwall::relay {

/// A lease request or a reply, for one customer.
template <typename Content> struct ForCustomer {
    std::string customer;
    Content content;
};

using LeaseRequests = std::vector<ForCustomer<LeaseRequest>>;
using LeaseReplies = std::vector<ForCustomer<LeaseReply>>;

/// The requests must have the same holder and run.
std::string encodeLeaseRequests(const LeaseRequests& requests);
/// InvalidArgument if any field is missing, has another type or is out of range.
absl::StatusOr<LeaseRequests> decodeLeaseRequests(const std::string& text);

std::string encodeLeaseReplies(const LeaseReplies& replies);
/// InvalidArgument if any field is missing, has another type or is out of range.
absl::StatusOr<LeaseReplies> decodeLeaseReplies(const std::string& text);

} // namespace jackdawwall::relay
