/// When to send a second copy of an idempotent call (The Tail at Scale, 2013): after the 95th percentile of
/// the kind's answers, inside a small share of all calls, and inside the request's allowance.
#pragma once

#include "jackdawwall/retry-budget.h"

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"

#include <cstdint>

namespace jackdawwall {

struct HedgeOptions {
    double quantile = 0.95;
    RetryBudgetOptions budget { 0.05, 20 };
    int minimumSamples = 30; ///< Answers of a kind before it is hedged.
    absl::Duration minimumDelay = absl::Milliseconds(2);
};

/// Running estimate of the quantile by stochastic approximation (Robbins and Monro, 1951).
struct LatencyEstimate {
    double quantile = 0; ///< Seconds.
    int samples = 0;
};

struct HedgeState {
    HedgeOptions options;
    RetryBudget budget;
    absl::flat_hash_map<std::uint64_t, LatencyEstimate> kinds; ///< By hash of service and work kind.
};

HedgeState makeHedgeState(const HedgeOptions& options);

/// Notes the time of a whole answer; slow answers that a hedge overtook count with the time they had taken.
void recordResponse(HedgeState& state, std::uint64_t kind, absl::Duration time);

/// Time after which a hedge is worth trying; infinite while too little is known.
absl::Duration hedgeDelay(const HedgeState& state, std::uint64_t kind);

/// Takes what a hedge costs; false when the share or the allowance is spent.
[[nodiscard]] bool tryAcquireHedge(HedgeState& state, Allowance& allowance);

} // namespace jackdawwall
