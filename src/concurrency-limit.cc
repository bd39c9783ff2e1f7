#include "jackdawwall/concurrency-limit.h"

#include <algorithm>

namespace jackdawwall {
namespace {

constexpr double kBaseSampleCap = 200;
constexpr double kMeanWeight = 0.1;
constexpr double kDipShare = 0.6;
constexpr double kGrowth = 1.1;
constexpr double kColdGrowth = 2.0;
constexpr double kStrongestDecrease = 0.7;
constexpr double kRefusalShare = 0.05;
constexpr double kRefusalDecrease = 0.9;
constexpr double kProvenDecay = 0.995;
constexpr double kProvenFloor = 0.5;
constexpr std::size_t kMaximumKinds = 1024;

void learnBase(KindCost& cost, double seconds)
{
    cost.count = std::min(kBaseSampleCap, cost.count + 1);
    cost.base += (seconds - cost.base) / cost.count;
}

void learnMean(KindCost& cost, double seconds)
{
    cost.mean = cost.mean == 0 ? seconds : cost.mean + kMeanWeight * (seconds - cost.mean);
}

bool isBinding(const LimitState& state) { return state.window.peakInFlight >= 0.9 * state.limit; }

void grow(LimitState& state, const LimitOptions& options)
{
    const double factor = state.hasSeenQueueing ? kGrowth : kColdGrowth;
    state.limit = std::min(options.maximum, std::max(state.limit + 1, state.limit * factor));
}

void shrink(LimitState& state, const LimitOptions& options, double factor)
{
    const double floor = std::max(options.minimum, kProvenFloor * state.proven);
    state.limit = std::max(floor, state.limit * factor);
}

void endDip(LimitState& state)
{
    state.isDipping = false;
    state.limit = state.ceiling;
}

void maybeDip(LimitState& state, const LimitOptions& options, absl::Time now)
{
    if (now < state.nextDip)
        return;
    const bool isFirst = state.nextDip == absl::InfinitePast();
    state.nextDip = now + options.dipInterval;
    if (isFirst)
        return;
    state.isDipping = true;
    state.ceiling = state.limit;
    state.limit = std::max(options.minimum, state.limit * kDipShare);
}

void judge(LimitState& state, const LimitOptions& options, absl::Time now)
{
    const LimitWindow& window = state.window;
    const double slowdown = window.baseSum > 0 ? window.timeSum / window.baseSum : 1;
    state.proven *= kProvenDecay;
    if (window.targetRefusals > kRefusalShare * window.samples) {
        state.hasSeenQueueing = true;
        shrink(state, options, kRefusalDecrease);
        return;
    }
    if (slowdown > options.tolerance) {
        state.hasSeenQueueing = true;
        shrink(state, options, std::max(kStrongestDecrease, options.tolerance / slowdown));
        return;
    }
    state.proven = std::max(state.proven, static_cast<double>(window.peakInFlight));
    if (!isBinding(state))
        return;
    grow(state, options);
    maybeDip(state, options, now);
}

} // namespace

LimitState makeLimitState(const LimitOptions& options)
{
    LimitState state;
    state.limit = options.initial;
    return state;
}

void noteStart(LimitState& state, int inFlight)
{
    state.window.peakInFlight = std::max(state.window.peakInFlight, inFlight);
}

void noteRun(
    LimitState& state, const LimitOptions& options, CostKey key, absl::Duration time, int inFlightAtStart)
{
    if (state.costs.size() >= kMaximumKinds && !state.costs.contains(key))
        state.costs.clear();
    KindCost& cost = state.costs[key];
    const double seconds = absl::ToDoubleSeconds(time);
    const double quietLimit = options.quietShare * (state.isDipping ? state.ceiling : state.limit);
    if (cost.count == 0 || inFlightAtStart <= quietLimit)
        learnBase(cost, seconds);
    learnMean(cost, seconds);
    state.window.timeSum += seconds;
    state.window.baseSum += cost.base;
    ++state.window.samples;
}

void noteTargetRefusal(LimitState& state) { ++state.window.targetRefusals; }

void closeWindow(LimitState& state, const LimitOptions& options, absl::Time now)
{
    if (state.window.samples + state.window.targetRefusals < options.minimumSamples)
        return;
    if (state.isDipping)
        endDip(state);
    else
        judge(state, options, now);
    state.window = LimitWindow {};
}

int currentLimit(const LimitState& state) { return static_cast<int>(state.limit); }

absl::Duration expectedTime(const LimitState& state, CostKey key, absl::Duration fallback)
{
    const auto found = state.costs.find(key);
    return found == state.costs.end() ? fallback : absl::Seconds(found->second.mean);
}

} // namespace jackdawwall
