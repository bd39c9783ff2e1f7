/// Bounds the retries of a request over the entire call tree. A root request carries an allowance of extra
/// attempts (retries and hedges). Each node uses or delegates only what it has received, so for one root
/// request
///     extra attempts in the entire tree <= allowance of the root
/// for any shape of the tree. Delegation reduces the allowance of the parent at once; a response returns what
/// was not used, and a lost response returns nothing.
#pragma once

#include "jackdawwall/core.h"

#include "absl/time/time.h"

#include <cstdint>

namespace jackdawwall {

/// Extra attempts that a node has left for one inbound call.
struct Allowance {
    std::uint32_t remaining = 0;
};

/// Takes the share that a child call receives: half, rounded up. A branch that starts later then still finds
/// some, and a chain of any depth keeps one. Returns the number of extra attempts delegated.
std::uint32_t delegateAllowance(Allowance& allowance);

/// Adds the unused part that a child's response returns; never more than was delegated to it.
void returnAllowance(Allowance& allowance, std::uint32_t delegated, std::uint32_t unused);

/// Takes one extra attempt; false if none is left.
[[nodiscard]] bool tryAcquireAttempt(Allowance& allowance);

/// Bounds the share of retries among all calls of a node by a token bucket (Finagle's retry budgets, SRE book
/// ch. 21).
struct RetryBudgetOptions {
    double retriesPerCall = 0.1;
    double burst = 20; ///< Capacity of the token bucket, in retries.
};

/// Tokens of one node, or of one caller at one node.
struct RetryBudget {
    double tokens = 0;
};

/// Returns a full token bucket.
RetryBudget makeRetryBudget(const RetryBudgetOptions& options);
/// Adds the tokens that a first attempt earns.
void recordFirstAttempt(RetryBudget& budget, const RetryBudgetOptions& options);
/// Takes one token; false if the share of retries is already too large.
[[nodiscard]] bool tryAcquireRetry(RetryBudget& budget);

/// How an attempt ended, as seen by the node next to the failure.
struct AttemptResult {
    Outcome outcome = Outcome::Ok;
    Reason reason = Reason::None;
    bool nextHopFailed = true; ///< False if a later hop failed: the hop before it has already retried.
};

/// True if another attempt is safe and may succeed. Work that may have run is retried only if it is
/// idempotent. Overload is not retried, because it affects the sibling targets as well.
[[nodiscard]] bool isRetryUseful(const AttemptResult& result, bool idempotent);

} // namespace jackdawwall
