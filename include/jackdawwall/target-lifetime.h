/// State of the local target, derived from the target's heartbeats. Heartbeats may be late, out of
/// order, or from a process that has ended. A lifetime that has begun to leave never becomes ready again.
#pragma once

#include "absl/time/time.h"

#include <cstdint>
#include <limits>
#include <optional>
#include <string>

namespace jackdawwall {

/// One run of a target's process. Two runs may share an id; the later run has the later start time.
struct Lifetime {
    std::string id;
    /// By the target's clock, Unix milliseconds. 0 when not reported, which only a leave may omit.
    std::uint64_t startedAt = 0;

    friend bool operator==(const Lifetime&, const Lifetime&) = default;
};

/// Ordered: within one lifetime the phase only advances.
enum class TargetPhase : std::uint8_t {
    Unknown, ///< No heartbeat received yet.
    Ready,
    Leaving, ///< Gets no new work.
};

/// A decoded heartbeat.
struct Heartbeat {
    Lifetime lifetime;
    TargetPhase phase = TargetPhase::Ready;
    std::uint64_t sequence = 0; ///< Increases with each heartbeat of a lifetime.
    int slots = 0; ///< Calls that the target processes concurrently; 0 when not reported.
    absl::Duration coldStartRemaining; ///< Remaining time in which the target is slow after its start.
};

struct TargetState {
    Lifetime lifetime;
    TargetPhase phase = TargetPhase::Unknown;
    std::uint64_t sequence = 0;
    int slots = 0;
    absl::Time coldStartUntil = absl::InfinitePast();
    std::optional<Lifetime> lastLeft; ///< Newest lifetime known to have left.
    /// What the store or another node recorded of earlier runs of this node was read. A leave that was
    /// acknowledged with the store away may be missing.
    bool isRecordRead = false;
    /// All leaves that earlier runs acknowledged are known, from a node that has run since.
    bool isHistoryComplete = false;
    /// A heartbeat received earlier may have been sent before a leave that an earlier run acknowledged.
    absl::Time heartbeatsConclusiveFrom = absl::InfiniteFuture();
    /// A lifetime that started earlier, Unix milliseconds, may have left with an acknowledgement of an
    /// earlier run.
    std::uint64_t lifetimesNewFrom = std::numeric_limits<std::uint64_t>::max();
    int readyHeartbeats = 0; ///< Heartbeats of the current lifetime with phase Ready.
    absl::Time lastReadyAt = absl::InfinitePast(); ///< Receipt of the latest of them.
    bool isReadinessProven = false; ///< One of them proves that the lifetime had not left before.
    bool hasLapsed = false; ///< Readiness without a proof has ended, as no heartbeat confirmed it.
};

/// Effect of a heartbeat or leave on the target's state.
struct TargetChange {
    bool isAccepted = false; ///< False: outdated, or from a lifetime that has ended.
    bool hasPhaseChanged = false;
    bool isNewLifetime = false;
};

/// Sets from when on heartbeats and lifetimes are conclusive for a run of this node that starts now. A
/// heartbeat is received `maxHeartbeatDelay` after it was sent at the latest, and no leave that the store
/// does not hold is acknowledged sooner than `minAcknowledgeTime` after it came.
void startRun(TargetState& state, absl::Time now, absl::Time timeOfDay, absl::Duration maxHeartbeatDelay,
    absl::Duration minAcknowledgeTime);

/// Processes a heartbeat. One without a start is not accepted, as it can't be attributed to a lifetime.
TargetChange recordHeartbeat(TargetState& state, const Heartbeat& heartbeat, absl::Time now);

/// Processes the leave message of a lifetime. If `startedAt` is 0, the lifetime is identified by its id
/// alone. A node that has received no heartbeat yet, as after a restart, then takes `timeOfDay` as the latest
/// possible start.
TargetChange recordLeave(TargetState& state, const Lifetime& lifetime, absl::Time timeOfDay);

/// Restores a leave that an earlier run of this node acknowledged, as reported by the store or another node.
TargetChange restoreLeave(TargetState& state, const Lifetime& lifetime);

/// Ends readiness that is neither proven nor confirmed by a heartbeat within `confirmationTime`. Returns true
/// if the target no longer serves.
bool advanceTarget(TargetState& state, absl::Time now, absl::Duration confirmationTime);

/// True when the target is known not to have left during an earlier run.
bool isProven(const TargetState& state);

/// True when new work may be sent to the target. Without a proof that it has not left during an earlier run,
/// it serves as long as heartbeats go on: after the end of all nodes, all targets would be without work
/// otherwise.
bool isServing(const TargetState& state);

/// Number of ready heartbeats that replace the records of earlier runs while these can't be read.
inline constexpr int kHeartbeatsWithoutRecord = 2;

} // namespace jackdawwall
