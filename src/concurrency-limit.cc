#include "jackdawwall/concurrency-limit.h"

#include "jackdawwall/core.h"

#include <algorithm>
#include <cmath>

namespace jackdawwall {
namespace {

constexpr double kMaximumBaseSamples = 100;
constexpr double kMinimumBaseSeconds = 1e-6;
constexpr double kInitialBaseSamples = 100;
constexpr double kColdStartTolerance = 1.8;
constexpr double kNoiseFactor = 1.5;
constexpr double kMeanWeight = 0.1;
constexpr double kSlowdownWeight = 0.05;
constexpr double kMaximumSlowdown = 100;
constexpr double kTypicalWeight = 0.005;
constexpr double kProbeLimitShare = 0.45;
constexpr double kProbeStartShare = 0.3;
constexpr int kMinimumProbeStarts = 8;
constexpr double kLimitReachedShare = 0.9;
constexpr double kGrowthFactor = 1.1;
constexpr double kColdStartGrowthFactor = 2.0;
constexpr double kMinimumDecreaseFactor = 0.7;
constexpr double kMaximumRefusalShare = 0.05;
constexpr double kRefusalDecreaseFactor = 0.9;
constexpr double kProvenDecay = 0.995;
constexpr double kProvenFloor = 0.5;
constexpr std::size_t kMaximumKinds = 1024;
constexpr std::uint64_t kMaximumSmallBodyBytes = 64ULL << 10;
constexpr std::uint64_t kMaximumMediumBodyBytes = 1ULL << 20;

void updateBase(KindTimes& times, double seconds)
{
    times.baseSamples = std::min(kMaximumBaseSamples, times.baseSamples + 1);
    times.base += (seconds - times.base) / times.baseSamples;
}

/// While the limit is still doubling it may be far above the slots of the target, so a call that starts at
/// half of it is not necessarily free of queueing.
double lowLoadLimit(const LimitState& state, const LimitOptions& options)
{
    return state.hasSeenQueueing ? options.lowLoadShare * steadyLimit(state) : options.initial;
}

void updateTypical(LimitState& state, KindTimes& times, double seconds)
{
    if (times.typical == 0)
        times.typical = seconds / state.recentSlowdown;
    state.recentSlowdown
        += kSlowdownWeight * (std::min(kMaximumSlowdown, seconds / times.typical) - state.recentSlowdown);
    times.typical += kTypicalWeight * (seconds - times.typical);
    state.meanTime += kMeanWeight * (seconds - state.meanTime);
}

void grow(LimitState& state, const LimitOptions& options)
{
    const double factor = state.hasSeenQueueing ? kGrowthFactor : kColdStartGrowthFactor;
    state.limit = std::min(options.maximum, std::max(state.limit + 1, state.limit * factor));
}

void shrink(LimitState& state, const LimitOptions& options, double factor)
{
    const double floor = std::max(options.minimum, kProvenFloor * state.provenLimit);
    state.limit = std::max(floor, state.limit * factor);
}

void endProbe(LimitState& state)
{
    state.isProbing = false;
    state.limit = state.limitBeforeProbe;
}

absl::Duration probeInterval(const LimitState& state, const LimitOptions& options)
{
    return std::max(
        options.minimumProbeInterval, absl::Seconds(options.probeIntervalFactor * state.meanTime));
}

/// Lowers the limit for a probe: while the limit is reached continuously, no call would start at low load and
/// the base time could not be measured.
void startProbeIfDue(LimitState& state, const LimitOptions& options, absl::Time now)
{
    if (now < state.nextProbe)
        return;
    state.nextProbe = now + probeInterval(state, options);
    state.isProbing = true;
    state.probeStarts = 0;
    state.limitBeforeProbe = state.limit;
    state.limit = std::max(1.0, state.limit * kProbeLimitShare);
}

double slowdownOf(const LimitWindow& window)
{
    return window.samples > 0 ? window.slowdownSum / window.samples : 1;
}

/// Smallest slowdown that is unlikely to be noise; approaches the tolerance as the number of samples grows.
double significantSlowdown(const LimitWindow& window, const LimitOptions& options)
{
    return options.tolerance + kNoiseFactor / std::sqrt(static_cast<double>(window.samples));
}

void adjustLimit(LimitState& state, const LimitOptions& options)
{
    const double slowdown = slowdownOf(state.window);
    // Short calls complete first, so the first base time is too low; a higher tolerance allows for that. When
    // the limit has doubled past the slots, the slowdown still clearly exceeds it.
    const double threshold = state.hasSeenQueueing
        ? options.tolerance
        : std::max(kColdStartTolerance, significantSlowdown(state.window, options));
    state.provenLimit *= kProvenDecay;
    if (slowdown > threshold) {
        state.hasSeenQueueing = true;
        shrink(state, options, std::max(kMinimumDecreaseFactor, options.tolerance / slowdown));
        return;
    }
    if (slowdown <= options.tolerance)
        state.provenLimit = std::max(state.provenLimit, static_cast<double>(state.window.peakInFlight));
    grow(state, options);
}

bool hasManyRefusals(const LimitWindow& window)
{
    return window.targetRefusals > kMaximumRefusalShare * window.samples;
}

/// True if the window has enough samples to adjust the limit.
bool isConclusive(const LimitState& state, const LimitOptions& options)
{
    const LimitWindow& window = state.window;
    if (window.samples >= options.sufficientSamples)
        return true;
    if (window.samples < options.minimumSamples)
        return false;
    if (!state.hasSeenQueueing)
        return true;
    const double slowdown = slowdownOf(window);
    return slowdown > significantSlowdown(window, options) || slowdown <= 1;
}

} // namespace

LimitState makeLimitState(const LimitOptions& options)
{
    LimitState state;
    state.limit = options.initial;
    return state;
}

void recordStart(LimitState& state, int inFlight)
{
    state.window.peakInFlight = std::max(state.window.peakInFlight, inFlight);
    if (!state.isProbing || inFlight > state.limit)
        return;
    ++state.probeStarts;
    if (state.probeStarts >= std::max<double>(kMinimumProbeStarts, kProbeStartShare * state.limitBeforeProbe))
        endProbe(state);
}

void recordRun(
    LimitState& state, const LimitOptions& options, CostKey key, const RunTime& time, int inFlightAtStart)
{
    if (state.kindTimes.size() >= kMaximumKinds && !state.kindTimes.contains(key))
        state.kindTimes.clear();
    KindTimes& times = state.kindTimes[key];
    const double seconds = absl::ToDoubleSeconds(time.local);
    const double limit = steadyLimit(state);
    if (times.baseSamples < kInitialBaseSamples || inFlightAtStart <= lowLoadLimit(state, options))
        updateBase(times, seconds);
    updateTypical(state, times, absl::ToDoubleSeconds(time.total));
    // inFlightAtStart does not include the call itself.
    if (inFlightAtStart + 1 < options.highLoadShare * std::floor(limit))
        return;
    state.window.slowdownSum += seconds / std::max(times.base, kMinimumBaseSeconds);
    ++state.window.samples;
}

void recordTargetRefusal(LimitState& state)
{
    ++state.window.targetRefusals;
}

void closeWindow(LimitState& state, const LimitOptions& options, absl::Time now)
{
    if (state.isProbing)
        return;
    const bool wasLimitReached = isLimitReached(state);
    if (hasManyRefusals(state.window)) {
        state.hasSeenQueueing = true;
        shrink(state, options, kRefusalDecreaseFactor);
        state.window = LimitWindow {};
    } else if (!wasLimitReached) {
        // A window in which the limit was not reached gives no information about it.
        state.window = LimitWindow {};
    } else if (isConclusive(state, options)) {
        adjustLimit(state, options);
        state.window = LimitWindow {};
    }
    if (wasLimitReached)
        startProbeIfDue(state, options, now);
}

bool isLimitReached(const LimitState& state)
{
    return state.window.peakInFlight >= kLimitReachedShare * std::floor(state.limit);
}

int currentLimit(const LimitState& state)
{
    return static_cast<int>(state.limit);
}

double steadyLimit(const LimitState& state)
{
    return state.isProbing ? state.limitBeforeProbe : state.limit;
}

CostKey costKey(absl::string_view kind, std::uint64_t bodyBytes)
{
    std::uint64_t bucket = 0;
    if (bodyBytes > kMaximumSmallBodyBytes)
        bucket = bodyBytes > kMaximumMediumBodyBytes ? 2 : 1;
    return mixBits(stableHash(kind) + bucket);
}

double typicalSeconds(const LimitState& state, CostKey key, double fallback)
{
    const auto found = state.kindTimes.find(key);
    return found == state.kindTimes.end() ? fallback : found->second.typical;
}

absl::Duration expectedTime(const LimitState& state, CostKey key, absl::Duration fallback)
{
    return absl::Seconds(typicalSeconds(state, key, absl::ToDoubleSeconds(fallback)) * state.recentSlowdown);
}

} // namespace jackdawwall
