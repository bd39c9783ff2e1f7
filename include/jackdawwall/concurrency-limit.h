/// Adaptive limit on the work in one target, found from the delay of completed calls alone. Each work kind
/// has its own base time, learned only from calls that started while little else was in the target, so
/// that the limit's own queueing never becomes the base.
#pragma once

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"

#include <cstdint>

namespace jackdawwall {

/// Hash of work kind and size bucket.
using CostKey = std::uint64_t;

struct LimitOptions {
    double initial = 8; ///< Calls.
    double minimum = 2; ///< Calls.
    double maximum = 2048; ///< Calls.
    double tolerance = 1.25; ///< Mean time over base time that still counts as free of queueing.
    double lowLoadShare = 0.5; ///< Calls started below this share of the limit teach the base.
    double highLoadShare = 0.8; ///< Calls started above this share of the limit are held against the base.
    int minimumSamples = 8; ///< Completions before a strong slowdown is believed.
    int sufficientSamples = 100; ///< Completions after which a slight one is.
    absl::Duration minimumProbeInterval = absl::Milliseconds(500); ///< Between dips while saturated.
    double probeIntervalFactor
        = 50; ///< And at least this many times the mean call, so that dips cost about 1%.
};

/// Times of one work kind in the target, in seconds.
struct KindTimes {
    double base = 0; ///< Mean own time without queueing; 0 until the first sample.
    double typical = 0; ///< Mean whole time over many calls.
    double baseSamples = 0; ///< Samples behind base, capped.
};

/// Completions since the last judgement.
struct LimitWindow {
    double slowdownSum = 0; ///< Own time over the kind's base; each call counts alike, long or short.
    int samples = 0;
    int targetRefusals = 0;
    int peakInFlight = 0;
};

struct LimitState {
    double limit = 0;
    double limitBeforeProbe = 0; ///< Limit before a dip.
    double provenLimit = 0; ///< Largest recent limit without queueing; a decrease stops at half of it.
    bool isProbing = false; ///< Lowered for a moment, so that some calls show the time without queueing.
    int probeStarts = 0; ///< Calls started in this dip.
    double meanTime = 0; ///< Seconds, over all kinds.
    double recentSlowdown = 1; ///< Recent times over usual times, over all kinds: a kind that is refused for
                               ///< a while is still judged by what the target does now.
    bool hasSeenQueueing = false; ///< Ends the doubling of a cold start.
    absl::Time nextProbe = absl::InfinitePast();
    LimitWindow window;
    absl::flat_hash_map<CostKey, KindTimes> kindTimes;
};

/// State of a target about which nothing is known.
LimitState makeLimitState(const LimitOptions& options);

/// Notes a start with the calls now in the target: tells whether the limit is reached, and ends a dip.
void recordStart(LimitState& state, int inFlight);

/// How long a call was in the target.
struct RunTime {
    absl::Duration total;
    absl::Duration
        local; ///< Without the time spent on calls to other services: their delay is not this target's.
};

/// Notes a whole run in the target. Refusals and connection failures must not be passed: their short times
/// would raise the limit.
void recordRun(
    LimitState& state, const LimitOptions& options, CostKey key, const RunTime& time, int inFlightAtStart);

/// Notes that the target itself refused a call.
void recordTargetRefusal(LimitState& state);

/// Judges the window and moves the limit; call it every 100 ms.
void closeWindow(LimitState& state, const LimitOptions& options, absl::Time now);

/// True when the calls in the target came near the limit since the last judgement.
bool isLimitReached(const LimitState& state);

/// Calls that may be in the target at once.
int currentLimit(const LimitState& state);

/// The limit apart from a dip.
double steadyLimit(const LimitState& state);

/// Time of a call in the target's usual state, in seconds; `fallback` until one was seen.
double typicalSeconds(const LimitState& state, CostKey key, double fallback);

/// Expected time of a call in the target; `fallback` until one was seen.
absl::Duration expectedTime(const LimitState& state, CostKey key, absl::Duration fallback);

} // namespace jackdawwall
