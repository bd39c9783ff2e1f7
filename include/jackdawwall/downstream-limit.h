/// Limits the runs of the local target that fail because a deeper service is short of capacity. Answers the
/// pattern "fan-out into a scarce service": a run makes several nested calls, which are admitted one by one,
/// so under overload many runs start and few complete. Fewer concurrent runs complete more of them, and the
/// queue of the local target, not the deep service, chooses which ones by class.
///
/// The limit acts on the kinds of work whose runs fail while nested calls are refused. It starts below the
/// concurrency of these kinds, follows their failures (small increases, larger decreases), and ends within a
/// few windows once the deep services have room again.
#pragma once

#include "jackdawwall/concurrency-limit.h"

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"

#include <limits>

namespace jackdawwall {

struct DownstreamOptions {
    absl::Duration minimumWindow = absl::Milliseconds(200);
    /// Ends a window that has fewer runs than `sufficientRuns`.
    absl::Duration maximumWindow = absl::Seconds(1);
    /// Smallest length of a window that ends by `sufficientFailures`.
    absl::Duration minimumFailureWindow = absl::Milliseconds(40);
    int sufficientFailures = 3; ///< Failed runs that end a window: each frees its place for the next to fail.
    int sufficientRuns = 10; ///< Runs of dependent kinds that end a window.
    int minimumFailures = 2; ///< Failed runs of a kind in a window that show that it depends on others.
    double tolerableFailures = 0.05; ///< Share of failed runs up to which the limit is raised.
    double decreasePerFailure = 0.5; ///< Decrease of the limit over the share of failed runs.
    double maximumDecrease = 0.15; ///< Largest relative decrease at the end of a window.
    double increase = 0.025; ///< Relative increase in a window without too many failures.
    /// Relative increase while the deep services have room: no nested call is refused, and few responses
    /// report a queue.
    double increaseWithRoom = 1;
    double maximumQueuedShare = 0.2; ///< Share of responses with a queue up to which there is room.
    /// Consecutive windows without a refused nested call from which each doubles the increase. Below, the
    /// limit stays near the capacity that the last refusals showed.
    int steadyWindows = 4;
    double unusedIncrease = 0.5; ///< Relative increase in a window that did not reach the limit.
    /// Smallest limit as a share of the concurrency before it began. Failures that do not depend on the load
    /// would otherwise end all runs.
    double minimumShare = 0.3;
    absl::Duration dependenceTime = absl::Seconds(3); ///< A kind is dependent this long after a refusal.
};

/// Runs of one kind that ended in a window.
struct DownstreamRuns {
    int ended = 0;
    int failed = 0;
};

/// State of the limit at one target.
struct DownstreamLimit {
    double limit = std::numeric_limits<double>::infinity(); ///< Concurrent runs of all dependent kinds.
    absl::flat_hash_map<CostKey, absl::Time> dependentUntil; ///< The kinds that the limit applies to.
    absl::flat_hash_map<CostKey, int> running; ///< Runs in progress by kind.
    absl::flat_hash_map<CostKey, DownstreamRuns> window; ///< Runs that ended in this window.
    int responses = 0; ///< To nested calls in this window.
    int queuedResponses = 0; ///< Of these, from a target with a queue.
    int refusals = 0; ///< Nested calls refused for lack of capacity in this window.
    int peakRunning = 0; ///< Of dependent kinds in this window.
    double minimum = 1; ///< Smallest value of the limit.
    int quietWindows = 0; ///< Consecutive windows without a refused nested call.
    absl::Time windowStart = absl::InfinitePast();
};

/// True if runs of this kind recently failed for lack of capacity of a deeper service.
bool isDependent(const DownstreamLimit& state, CostKey kind);

/// True if a run of this kind may start now.
bool mayStart(const DownstreamLimit& state, CostKey kind);

/// Records that the run of a kind started.
void recordDownstreamStart(DownstreamLimit& state, CostKey kind);

/// Records that the run of a kind ended. `isFailed`: the target reported an error of its own.
void recordDownstreamEnd(DownstreamLimit& state, CostKey kind, bool isFailed);

/// Records that a nested call of the local target was refused for lack of capacity.
void recordDownstreamRefusal(DownstreamLimit& state);

/// Records a response to a nested call and whether calls wait at the target that sent it.
void recordDownstreamResponse(DownstreamLimit& state, bool hasQueue);

/// Adjusts the limit once the window is over. Call it every 10 to 100 ms.
void advanceDownstream(DownstreamLimit& state, const DownstreamOptions& options, absl::Time now);

} // namespace jackdawwall
