/// Adaptive limit on the concurrency of one target, derived from the times of completed calls and from
/// refusals by the target. Each work kind has its own base time. After its first samples the base time is
/// measured only on calls that started at low load, so that queueing caused by the limit itself never raises
/// it.
#pragma once

#include "absl/container/flat_hash_map.h"
#include "absl/strings/string_view.h"
#include "absl/time/time.h"

#include <cstdint>

namespace jackdawwall {

/// Hash of work kind and size bucket.
using CostKey = std::uint64_t;

/// Cost key of a work kind and a declared body size in bytes.
CostKey costKey(absl::string_view kind, std::uint64_t bodyBytes);

struct LimitOptions {
    double initial = 8; ///< Calls.
    double minimum = 2; ///< Calls.
    double maximum = 2048; ///< Calls.
    double tolerance = 1.25; ///< Largest ratio of mean time to base time that counts as free of queueing.
    double lowLoadShare = 0.5; ///< Calls started below this share of the limit update the base time.
    double highLoadShare = 0.8; ///< Calls started above this share are compared with the base time.
    int minimumSamples = 8; ///< Completions needed to act on a strong slowdown.
    int sufficientSamples = 100; ///< Completions needed to act on a slight slowdown.
    /// Interval between limit probes at full load: this, or `probeIntervalFactor` mean call times if longer.
    absl::Duration minimumProbeInterval = absl::Milliseconds(500);
    double probeIntervalFactor = 50; ///< Limits the cost of the probes to about 1%.
};

/// Times of one work kind at the target, in seconds.
struct KindTimes {
    double base = 0; ///< Mean local time without queueing; 0 until the first sample.
    double typical = 0; ///< Mean total time over many calls.
    double baseSamples = 0; ///< Number of samples in `base`, capped.
};

/// Completions since the limit was last evaluated.
struct LimitWindow {
    double slowdownSum = 0; ///< Of local time over base time: long and short calls count equally.
    int samples = 0;
    int targetRefusals = 0;
    int peakInFlight = 0;
};

struct LimitState {
    double limit = 0;
    double limitBeforeProbe = 0; ///< The limit to restore after a probe.
    double provenLimit = 0; ///< Largest recent concurrency without queueing; a decrease stops at half of it.
    bool isProbing = false; ///< The limit is lowered briefly, so that some calls run without queueing.
    int probeStarts = 0; ///< Calls started during this probe.
    double meanTime = 0; ///< Seconds, over all kinds.
    double recentSlowdown = 1; ///< Recent times over typical times, over all kinds: the estimate for a kind
                               ///< that is being refused still follows the state of the target.
    bool hasSeenQueueing = false; ///< Ends the doubling of the limit after a cold start.
    absl::Time nextProbe = absl::InfinitePast();
    LimitWindow window;
    absl::flat_hash_map<CostKey, KindTimes> kindTimes;
};

/// Initial state, without any samples of the target.
LimitState makeLimitState(const LimitOptions& options);

/// Records a started call and the number of calls now in progress. This determines whether the limit is
/// reached and when a probe ends.
void recordStart(LimitState& state, int inFlight);

/// Time that a call spent at the target.
struct RunTime {
    absl::Duration total;
    absl::Duration local; ///< Without calls to other services, whose delay says nothing about this target.
};

/// Records a completed call. Must not be called for refusals and connection failures: their short times would
/// raise the limit.
void recordRun(
    LimitState& state, const LimitOptions& options, CostKey key, const RunTime& time, int inFlightAtStart);

/// Records that the target itself refused a call.
void recordTargetRefusal(LimitState& state);

/// Evaluates the window and adjusts the limit; call it every 100 ms.
void closeWindow(LimitState& state, const LimitOptions& options, absl::Time now);

/// True if the calls in progress came near the limit since it was last evaluated.
bool isLimitReached(const LimitState& state);

/// Number of calls that may be in progress at the target, lowered during a probe.
int currentLimit(const LimitState& state);

/// The limit without the effect of a probe.
double steadyLimit(const LimitState& state);

/// Typical time of a call of this kind, in seconds; `fallback` until there is a sample.
double typicalSeconds(const LimitState& state, CostKey key, double fallback);

/// Expected time of a call in the current state of the target; based on `fallback` until there is a sample.
absl::Duration expectedTime(const LimitState& state, CostKey key, absl::Duration fallback);

} // namespace jackdawwall
