/// Retries bounded over the whole chain. A root request carries an allowance of extra attempts (retries
/// and hedges). Each node spends or lends only what it was handed, so for one root request
///     extra attempts in the whole tree <= allowance of the root
/// whatever the shape of the tree. Lending takes from the lender at once; an answer returns what was not
/// spent, and a lost answer returns nothing.
#pragma once

#include "jackdawwall/core.h"

#include "absl/time/time.h"

#include <cstdint>

namespace jackdawwall {

/// What one node holds for one inbound call.
struct Allowance {
    std::uint32_t remaining = 0;
};

/// Takes the share handed along with a child call: half, rounded up, so that a branch started later
/// still finds some while a chain of any depth keeps one. Returns the extra attempts lent.
std::uint32_t delegateAllowance(Allowance& allowance);

/// Adds what a child's answer returns; never more than was lent to it.
void returnAllowance(Allowance& allowance, std::uint32_t delegated, std::uint32_t unused);

/// Takes one extra attempt; false when none is left.
[[nodiscard]] bool tryAcquireAttempt(Allowance& allowance);

/// Share of retries among all calls of a node; a token bucket (Finagle's retry budgets, SRE book ch. 21).
struct RetryBudgetOptions {
    double retriesPerCall = 0.1;
    double burst = 20; ///< Retries that may be saved up.
};

/// Tokens of one node, or of one caller at one node.
struct RetryBudget {
    double tokens = 0;
};

/// A ratio that starts with a full burst.
RetryBudget makeRetryBudget(const RetryBudgetOptions& options);
/// Earns the share of a first attempt.
void recordFirstAttempt(RetryBudget& budget, const RetryBudgetOptions& options);
/// Takes one token; false when retries already are too large a share.
[[nodiscard]] bool tryAcquireRetry(RetryBudget& budget);

/// How an attempt ended, as far as the node next to the failure can tell.
struct AttemptResult {
    Outcome outcome = Outcome::Ok;
    Reason reason = Reason::None;
    bool nextHopFailed = true; ///< False when the failure lies deeper: that hop has already retried.
};

/// True when another attempt can do no harm and may help. Work that may have run is repeated only when it
/// is idempotent; overload is not retried, since the sibling targets share it.
[[nodiscard]] bool isRetryUseful(const AttemptResult& end, bool idempotent);

} // namespace jackdawwall
