/// What a node knows of a target's speed and free slots: the load that the target's node reports with each
/// response, corrected by the calls sent from here since, and trusted less the older it is.
#pragma once

#include "absl/time/time.h"

#include <cstdint>

namespace jackdawwall {

/// State of a target's gate, reported with each response.
struct GateLoad {
    std::uint32_t running = 0; ///< Calls in the target.
    std::uint32_t limit = 0; ///< Calls that may be in the target.
    std::uint32_t waiting = 0; ///< Calls queued at the gate.
    std::uint32_t meanMicroseconds = 0; ///< Mean time of recent calls in the target; 0 without samples.
    /// Time from the arrival of the call at the gate to this report. The rest of the caller's latency is the
    /// age of the report, so no clocks have to agree.
    std::uint32_t heldMicroseconds = 0;
};

struct LoadOptions {
    /// A report older than this says nothing about free slots.
    absl::Duration reportLifetime = absl::Seconds(2);
    /// The part of a reported load that differs from its mean halves in this time.
    absl::Duration loadHalfLife = absl::Milliseconds(200);
    /// The part of a learned speed that differs from the mean of the targets halves in this time, so that a
    /// slow target is tried again.
    absl::Duration speedHalfLife = absl::Seconds(5);
    absl::Duration speedSmoothing = absl::Milliseconds(250); ///< Time constant of the learned speed.
    double newTargetShare = 0.25; ///< Share of its weight that a target gets before its first report.
    int warmReports = 8; ///< Reports after which a target gets its full weight.
    double newTargetSlots = 2; ///< Slots assumed before the first report.
    double newTargetSlowdown = 2; ///< Mean call times assumed before the first report.
};

/// Observations of one target's load by this node.
struct TargetLoad {
    GateLoad last;
    absl::Time reportedAt
        = absl::InfinitePast(); ///< When the last report left the target's node, at the earliest.
    double callSeconds = 0; ///< Smoothed time of a call in the target; 0 before the first report.
    double others = 0; ///< Calls of other nodes at the target at the last report.
    double othersMean = 0; ///< The same, smoothed.
    int reports = 0; ///< Since the target was last unknown.
    int startsSinceReport = 0; ///< Calls sent from here since the last report.
    absl::Time startedAt = absl::InfinitePast(); ///< Last call sent from here.
    absl::Time quietSince = absl::InfinitePast(); ///< Start of the time with calls in flight and no response.
};

/// What is assumed of a target at a given time.
struct TargetBelief {
    double callSeconds = 0; ///< Time of a call in the target, without queueing.
    double slots = 0;
    double occupied = 0; ///< Calls at the target, running or queued.
    double deviation = 0; ///< Standard deviation of `occupied`; grows with the age of the report.
    double weight = 0; ///< Relative share of the work, from slots and speed.
    bool isFresh = false; ///< The last report is recent enough to be trusted about free slots.
};

/// Means over the targets of a service, used for targets of which nothing is known.
struct FleetMean {
    double callSeconds = 0; ///< 0 when no target is known.
    double slots = 0;
};

/// Records that a call was sent to the target; `inFlight` is the number of calls from here before it.
void recordLoadStart(TargetLoad& load, int inFlight, absl::Time now);

/// Records that a call from here ended, with or without a response.
void recordLoadEnd(TargetLoad& load, absl::Time now);

/// Records a report; `inFlight` is the number of calls from here that remain, `latency` the time from sending
/// the call to receiving the report.
void recordLoadReport(TargetLoad& load, const LoadOptions& options, const GateLoad& report, int inFlight,
    absl::Duration latency, absl::Time now);

/// True if the last report is trusted about free slots.
bool isReportFresh(const TargetLoad& load, const LoadOptions& options, absl::Time now);

/// What is assumed of the target now. `latencySeconds` is the smoothed latency seen from here, used for a
/// target whose node sends no reports; 0 when there is none.
TargetBelief believe(const TargetLoad& load, const LoadOptions& options, const FleetMean& mean, int inFlight,
    double latencySeconds, absl::Time now);

/// Expected time, in seconds, that an additional call waits for a slot.
double expectedWaitSeconds(const TargetBelief& belief);

/// Expected time, in seconds, until an additional call completes.
double expectedCompletionSeconds(const TargetBelief& belief);

/// True if an additional call would find a free slot below the range in which targets slow down.
bool hasRoom(const TargetBelief& belief);

} // namespace jackdawwall
