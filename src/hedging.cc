#include "jackdawwall/hedging.h"

#include <algorithm>

namespace jackdawwall {
namespace {

constexpr double kStepShare = 0.05;
constexpr std::size_t kMaximumKinds = 1024;
constexpr int kSampleCap = 1'000'000;

} // namespace

HedgeState makeHedgeState(const HedgeOptions& options)
{
    HedgeState state;
    state.options = options;
    state.ratio = makeRetryBudget(options.ratio);
    return state;
}

void recordResponse(HedgeState& state, std::uint64_t kind, absl::Duration time)
{
    if (state.kinds.size() >= kMaximumKinds && !state.kinds.contains(kind))
        state.kinds.clear();
    LatencyEstimate& known = state.kinds[kind];
    const double seconds = absl::ToDoubleSeconds(time);
    recordFirstAttempt(state.ratio, state.options.ratio);
    known.samples = std::min(kSampleCap, known.samples + 1);
    if (known.samples == 1) {
        known.quantile = seconds;
        return;
    }
    const double step = kStepShare * known.quantile;
    known.quantile
        += seconds > known.quantile ? step * state.options.quantile : -step * (1 - state.options.quantile);
}

absl::Duration hedgeDelay(const HedgeState& state, std::uint64_t kind)
{
    const auto found = state.kinds.find(kind);
    if (found == state.kinds.end() || found->second.samples < state.options.minimumSamples)
        return absl::InfiniteDuration();
    return std::max(state.options.shortestDelay, absl::Seconds(found->second.quantile));
}

bool tryAcquireHedge(HedgeState& state, Allowance& allowance)
{
    if (allowance.remaining == 0 || !tryAcquireRetry(state.ratio))
        return false;
    return tryAcquireAttempt(allowance);
}

} // namespace jackdawwall
