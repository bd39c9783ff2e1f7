/// Coordinator of the rate limits that customers have over all nodes. For each customer one node leases
/// tokens of one bucket to the nodes that receive the customer's requests.
///
/// Invariant: the level of the bucket plus all leased tokens never exceed the burst. A lease therefore uses
/// no more than what the bucket held or gained, however late it is used: at most r x W + b in any window W.
#pragma once

#include "absl/container/flat_hash_map.h"
#include "absl/strings/string_view.h"
#include "absl/time/time.h"

#include <cstdint>
#include <functional>
#include <string>

namespace jackdawwall {

/// Rate limit of one customer over all nodes.
struct TokenLimit {
    double callsPerSecond = 0; ///< 0: no limit.
    double burst = 0;
    double slack = 0; ///< Calls by which all nodes together may exceed the limit in a short time.
};

enum class CoordinatorRole : std::uint8_t {
    None, ///< Another node is responsible.
    First,
    /// Acts for a first that the requesting node can't reach, or whose failure is so recent that it may be a
    /// partition.
    Substitute,
};

/// What a node may do as coordinator, according to its view of the members.
struct CoordinatorStanding {
    CoordinatorRole role = CoordinatorRole::None;
    std::string first; ///< Address of the node that is responsible in this node's view.
    /// Share of the members that are reachable. If the others are in another part of a partition, they have
    /// a coordinator as well, which grants their share.
    double reachableShare = 1;
    absl::Time firstSince
        = absl::InfinitePast(); ///< For First: when the last member before it failed or left.
};

/// Request of a node (the holder) for tokens of one customer.
struct LeaseRequest {
    std::string holder; ///< Peer address of the requesting node.
    std::uint64_t run = 0; ///< Identifies one run of its process.
    std::uint64_t number = 0; ///< Increases with each request of that run for this customer.
    std::uint64_t epoch = 0; ///< Epoch of the coordinator that granted the held tokens.
    std::uint64_t lastGrant = 0; ///< Number of the last grant received in that epoch.
    std::uint32_t waiting = 0; ///< Requests that wait for a token.
    std::uint32_t held = 0; ///< Unused tokens of grants up to `lastGrant`.
    double demand = 0; ///< Recent requests per second at the holder.
    bool isDeputyRequest = false; ///< The holder can't reach the first.
};

enum class LeaseStatus : std::uint8_t {
    Answered, ///< Tokens, a refusal, or both.
    NotResponsible, ///< LeaseReply::responsible names the node to ask.
    Withheld, ///< The coordinator can't tell whether tokens are left.
};

struct LeaseReply {
    LeaseStatus status = LeaseStatus::Withheld;
    std::string responsible;
    std::uint64_t epoch = 0;
    std::uint64_t grant = 0;
    std::uint32_t tokens = 0;
    bool isExtended = false; ///< The tokens that the request stated as held get the new expiry.
    absl::Duration lease; ///< From the moment the request was sent.
    /// If fewer tokens were granted than requests wait: the next token is expected after this time. 0 if that
    /// is not known.
    absl::Duration retryAfter;
};

/// Tokens leased to one holder.
struct TokenLease {
    std::uint64_t run = 0;
    std::uint64_t request = 0; ///< Number of the last request.
    std::uint32_t confirmed = 0; ///< Tokens that the last request stated as held.
    std::uint32_t granted = 0; ///< Tokens of the last grant.
    std::uint64_t previousGrant = 0; ///< Last grant that the holder stated as received.
    absl::Time expiresAt;
    LeaseReply lastReply; ///< Repeated if the same request arrives again.

    std::uint32_t tokens() const { return confirmed + granted; }
};

/// Bucket and leases of one customer.
struct CustomerTokens {
    double level = 0;
    double leased = 0; ///< Sum of the tokens in `leases`.
    absl::Time refilledAt;
    CoordinatorRole role = CoordinatorRole::None;
    absl::Time responsibleSince; ///< Start of the present responsibility as first.
    absl::Time substituteSince = absl::InfinitePast(); ///< Start of the last period as substitute.
    std::uint64_t lastGrant = 0;
    absl::Time sweptAt;
    std::uint32_t recentHolders = 0; ///< Holders with a request within the fair-share time; see sweptAt.
    absl::flat_hash_map<std::string, TokenLease> leases; ///< By the holder's address.
};

struct CoordinatorState {
    std::uint64_t epoch = 0; ///< Random; identifies this process as coordinator.
    absl::Time resetAt; ///< Responsibilities of this node begin no earlier.
    absl::Time tickedAt;
    bool isCutOff = false;
    std::uint64_t refutations = 0;
    absl::flat_hash_map<std::string, CustomerTokens> customers;
};

/// Condition of the node itself.
struct NodeCondition {
    std::uint64_t refutations = 0; ///< How often this node has refuted that it failed.
    bool isCutOff = false; ///< No neighbour has responded recently.
};

/// `epoch` must differ between the processes of all nodes.
CoordinatorState makeCoordinator(std::uint64_t epoch, absl::Time now);

/// Call at least every 100 ms, and before each request. After a long gap (the process was suspended), while
/// the node is cut off and after it refuted its failure, other nodes may have taken over its
/// responsibilities, so they begin anew.
void tickCoordinator(CoordinatorState& state, const NodeCondition& condition, absl::Time now);

/// Removes the state of customers that have no limit any more.
void retainCustomers(CoordinatorState& state, const std::function<bool(const std::string&)>& hasLimit);

/// Grants tokens to a holder.
LeaseReply grantTokens(CoordinatorState& state, const std::string& customer, const TokenLimit& limit,
    const CoordinatorStanding& standing, const LeaseRequest& request, absl::Time now);

/// Burst that is enforced; a smaller one could not be used at the full rate. It includes half of the slack,
/// in place of tokens that are leased to nodes where the customer sends nothing for the moment; the other
/// half covers coordinators that overlap.
double effectiveBurst(const TokenLimit& limit);

} // namespace jackdawwall
