/// Decides when to send a second copy of an idempotent call (The Tail at Scale, 2013): after the 95th
/// percentile of the response times of its kind, for a small share of all calls, and within the retry
/// allowance of the request.
#pragma once

#include "jackdawwall/retry-budget.h"

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"

#include <cstdint>

namespace jackdawwall {

struct HedgeOptions {
    double quantile = 0.95;
    RetryBudgetOptions budget { 0.05, 20 };
    int minimumSamples = 30; ///< Responses of a kind before it is hedged.
    absl::Duration minimumDelay = absl::Milliseconds(2);
};

/// Running estimate of a quantile by stochastic approximation (Robbins and Monro, 1951).
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

/// Records the time of a complete response. A slow attempt that its hedge overtook counts with the time
/// elapsed so far.
void recordResponse(HedgeState& state, std::uint64_t kind, absl::Duration time);

/// Time after which to send a hedge; infinite until there are enough samples.
absl::Duration hedgeDelay(const HedgeState& state, std::uint64_t kind);

/// Takes one hedge from the budget and the allowance; false if either is exhausted.
[[nodiscard]] bool tryAcquireHedge(HedgeState& state, Allowance& allowance);

} // namespace jackdawwall
