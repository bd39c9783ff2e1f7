#include "jackdawwall/hedging.h"

#include <algorithm>

namespace jackdawwall {
namespace {

constexpr double kStepFraction = 0.05;
constexpr std::size_t kMaximumKinds = 1024;
constexpr int kMaximumSamples = 1'000'000;

} // namespace

HedgeState makeHedgeState(const HedgeOptions& options)
{
    HedgeState state;
    state.options = options;
    state.budget = makeRetryBudget(options.budget);
    return state;
}

void recordResponse(HedgeState& state, std::uint64_t kind, absl::Duration time)
{
    if (state.kinds.size() >= kMaximumKinds && !state.kinds.contains(kind))
        state.kinds.clear();
    LatencyEstimate& estimate = state.kinds[kind];
    const double seconds = absl::ToDoubleSeconds(time);
    recordFirstAttempt(state.budget, state.options.budget);
    estimate.samples = std::min(kMaximumSamples, estimate.samples + 1);
    if (estimate.samples == 1) {
        estimate.quantile = seconds;
        return;
    }
    const double step = kStepFraction * estimate.quantile;
    estimate.quantile
        += seconds > estimate.quantile ? step * state.options.quantile : -step * (1 - state.options.quantile);
}

absl::Duration hedgeDelay(const HedgeState& state, std::uint64_t kind)
{
    const auto found = state.kinds.find(kind);
    if (found == state.kinds.end() || found->second.samples < state.options.minimumSamples)
        return absl::InfiniteDuration();
    return std::max(state.options.minimumDelay, absl::Seconds(found->second.quantile));
}

bool tryAcquireHedge(HedgeState& state, Allowance& allowance)
{
    if (allowance.remaining == 0 || !tryAcquireRetry(state.budget))
        return false;
    return tryAcquireAttempt(allowance);
}

} // namespace jackdawwall
