#include "jackdawwall/concurrency-limit.h"

#include <algorithm>
#include <cmath>

namespace jackdawwall {
namespace {

constexpr double kBaseSampleCap = 100;
constexpr double kShortestBaseSeconds = 1e-6;
constexpr double kFirstSamples = 100;
constexpr double kColdTolerance = 1.8;
constexpr double kNoiseWidth = 1.5;
constexpr double kMeanWeight = 0.1;
constexpr double kSlownessWeight = 0.05;
constexpr double kMostSlowness = 100;
constexpr double kUsualWeight = 0.005;
constexpr double kDipShare = 0.45;
constexpr double kDipStartShare = 0.3;
constexpr int kFewestDipStarts = 8;
constexpr double kReachedShare = 0.9;
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

/// A limit that still doubles may already be far above the slots: half of it proves nothing.
double quietLimit(const LimitState& state, const LimitOptions& options)
{
    return state.hasSeenQueueing ? options.quietShare * steadyLimit(state) : options.initial;
}

void learnUsual(LimitState& state, KindCost& cost, double seconds)
{
    if (cost.usual == 0)
        cost.usual = seconds / state.recentSlowdown;
    state.recentSlowdown
        += kSlownessWeight * (std::min(kMostSlowness, seconds / cost.usual) - state.recentSlowdown);
    cost.usual += kUsualWeight * (seconds - cost.usual);
    state.meanTime += kMeanWeight * (seconds - state.meanTime);
}

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
    state.isProbing = false;
    state.limit = state.ceiling;
}

absl::Duration dipInterval(const LimitState& state, const LimitOptions& options)
{
    return std::max(options.shortestDipInterval, absl::Seconds(options.dipIntervalTimes * state.meanTime));
}

/// While the limit is reached all the time no call would start in a quiet target.
void maybeDip(LimitState& state, const LimitOptions& options, absl::Time now)
{
    if (now < state.nextDip)
        return;
    state.nextDip = now + dipInterval(state, options);
    state.isProbing = true;
    state.dipStarts = 0;
    state.ceiling = state.limit;
    state.limit = std::max(1.0, state.limit * kDipShare);
}

double slowdownOf(const LimitWindow& window)
{
    return window.samples > 0 ? window.slowdownSum / window.samples : 1;
}

/// Slowdown that chance explains less and less, the more samples there are.
double believedSlowdown(const LimitWindow& window, const LimitOptions& options)
{
    return options.tolerance + kNoiseWidth / std::sqrt(static_cast<double>(window.samples));
}

void judge(LimitState& state, const LimitOptions& options)
{
    const double slowdown = slowdownOf(state.window);
    // Early calls end early, so the first base is low; doubling past the slots shows clearly all the same.
    const double allowed = state.hasSeenQueueing
        ? options.tolerance
        : std::max(kColdTolerance, believedSlowdown(state.window, options));
    state.proven *= kProvenDecay;
    if (slowdown > allowed) {
        state.hasSeenQueueing = true;
        shrink(state, options, std::max(kStrongestDecrease, options.tolerance / slowdown));
        return;
    }
    if (slowdown <= options.tolerance)
        state.proven = std::max(state.proven, static_cast<double>(state.window.peakInFlight));
    grow(state, options);
}

bool hasRefusedMuch(const LimitWindow& window)
{
    return window.targetRefusals > kRefusalShare * window.samples;
}

/// True when the window tells enough to move the limit.
bool isConclusive(const LimitState& state, const LimitOptions& options)
{
    const LimitWindow& window = state.window;
    if (window.samples >= options.enoughSamples)
        return true;
    if (window.samples < options.minimumSamples)
        return false;
    if (!state.hasSeenQueueing)
        return true;
    const double slowdown = slowdownOf(window);
    return slowdown > believedSlowdown(window, options) || slowdown <= 1;
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
    if (!state.isProbing || inFlight > state.limit)
        return;
    ++state.dipStarts;
    if (state.dipStarts >= std::max<double>(kFewestDipStarts, kDipStartShare * state.ceiling))
        endDip(state);
}

void noteRun(
    LimitState& state, const LimitOptions& options, CostKey key, const RunTime& time, int inFlightAtStart)
{
    if (state.costs.size() >= kMaximumKinds && !state.costs.contains(key))
        state.costs.clear();
    KindCost& cost = state.costs[key];
    const double seconds = absl::ToDoubleSeconds(time.own);
    const double limit = steadyLimit(state);
    if (cost.count < kFirstSamples || inFlightAtStart <= quietLimit(state, options))
        learnBase(cost, seconds);
    learnUsual(state, cost, absl::ToDoubleSeconds(time.whole));
    // The call itself comes on top of those in flight at its start.
    if (inFlightAtStart + 1 < options.fullShare * std::floor(limit))
        return;
    state.window.slowdownSum += seconds / std::max(cost.base, kShortestBaseSeconds);
    ++state.window.samples;
}

void noteTargetRefusal(LimitState& state)
{
    ++state.window.targetRefusals;
}

void closeWindow(LimitState& state, const LimitOptions& options, absl::Time now)
{
    if (state.isProbing)
        return;
    const bool wasBinding = isLimitReached(state);
    if (hasRefusedMuch(state.window)) {
        state.hasSeenQueueing = true;
        shrink(state, options, kRefusalDecrease);
        state.window = LimitWindow {};
    } else if (!wasBinding) {
        // A window in which the limit was not reached says nothing about it.
        state.window = LimitWindow {};
    } else if (isConclusive(state, options)) {
        judge(state, options);
        state.window = LimitWindow {};
    }
    if (wasBinding)
        maybeDip(state, options, now);
}

bool isLimitReached(const LimitState& state)
{
    return state.window.peakInFlight >= kReachedShare * std::floor(state.limit);
}

int currentLimit(const LimitState& state)
{
    return static_cast<int>(state.limit);
}

double steadyLimit(const LimitState& state)
{
    return state.isProbing ? state.ceiling : state.limit;
}

double usualSeconds(const LimitState& state, CostKey key, double fallback)
{
    const auto found = state.costs.find(key);
    return found == state.costs.end() ? fallback : found->second.usual;
}

absl::Duration expectedTime(const LimitState& state, CostKey key, absl::Duration fallback)
{
    return absl::Seconds(usualSeconds(state, key, absl::ToDoubleSeconds(fallback)) * state.recentSlowdown);
}

} // namespace jackdawwall
