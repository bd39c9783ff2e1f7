/// Tokens that this node holds of customers' rate limits. A request of a limited customer takes one token or
/// waits for the reply to a lease request; see token-coordinator.h for the other side.
#pragma once

#include "jackdawwall/token-coordinator.h"

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"

#include <cstdint>
#include <optional>
#include <string>

namespace jackdawwall {

/// State of one customer at this node. Times are those of a clock that counts suspensions.
struct HeldTokens {
    std::uint32_t tokens = 0;
    absl::Time expiresAt = absl::InfinitePast();
    absl::Duration lease; ///< Of the last grant.
    std::uint64_t epoch = 0; ///< Of the coordinator that granted the tokens.
    std::uint64_t lastGrant = 0;
    std::uint64_t request = 0; ///< Number of the last lease request.
    bool isRequestPending = false;
    absl::Time requestedAt;
    std::uint32_t waiting = 0; ///< Requests that wait for a token.
    double demand = 0; ///< Recent requests per second.
    absl::Time demandAt = absl::InfinitePast();
    absl::Time refusedUntil = absl::InfinitePast(); ///< No lease request before, unless tokens are held.
    absl::Time nextToken; ///< While refused: when the coordinator expects a token.
    bool isLimitReached = false; ///< Cause of the last refusal; false: nothing is known about the limit.
    absl::Time grantedAt = absl::InfinitePast(); ///< Of the last grant with tokens.
    std::uint64_t taken = 0; ///< Tokens used since the start.
    std::uint64_t refused = 0; ///< Requests refused since the start.
};

struct LeaseState {
    absl::flat_hash_map<std::string, HeldTokens> customers;
};

enum class AcquireResult : std::uint8_t {
    Taken,
    Waiting, ///< Decided by the reply to a lease request.
    OverLimit,
    Unknown, ///< No coordinator can be reached.
};

struct AcquireDecision {
    AcquireResult result = AcquireResult::Taken;
    bool needsRequest = false; ///< A lease request has to be sent.
    absl::Duration retryAfter; ///< For OverLimit and Unknown.
    std::uint64_t period = 0; ///< For returnToken.
};

/// Takes a token for one request.
AcquireDecision acquireToken(HeldTokens& held, absl::Time now);

/// Ends the wait of one request that was abandoned or reached its time limit.
void stopWaiting(HeldTokens& held);

/// Returns the token of a request that did not run. Without effect when it was reported as used, or its lease
/// has expired: the coordinator has refilled the bucket since.
/// Returns true if the token can be used again.
bool returnToken(HeldTokens& held, std::uint64_t period, absl::Time now);

/// Starts a lease request. `holder` and `run` are left to the caller.
LeaseRequest startLeaseRequest(HeldTokens& held, absl::Time now);

/// What the requests that wait get after a reply; the first ones to wait get the tokens.
struct WaitersDecision {
    std::uint32_t taken = 0; ///< This many get a token.
    std::uint32_t refused = 0; ///< The next ones are refused. The rest waits for another lease request.
    AcquireDecision refusal;
    std::uint64_t period = 0; ///< Of the tokens taken.
    bool needsRequest = false;
};

/// Applies the reply to lease request `number`. A reply to an earlier request is ignored, because the
/// coordinator was told that it did not arrive. A reply without a grant leaves the tokens as they are.
WaitersDecision applyLeaseReply(
    HeldTokens& held, std::uint64_t number, const LeaseReply& reply, absl::Time now);

/// Ends lease request `number`: no coordinator could be reached.
WaitersDecision failLeaseRequest(HeldTokens& held, std::uint64_t number, absl::Time now);

/// Ends lease request `number` so that it can be sent to another coordinator. Its number is not used again.
void cancelLeaseRequest(HeldTokens& held, std::uint64_t number);

/// Unused tokens that have not expired.
std::uint32_t usableTokens(const HeldTokens& held, absl::Time now);

/// True if the state contains nothing that a new one would not.
bool isIdle(const HeldTokens& held, absl::Time now);

} // namespace jackdawwall
