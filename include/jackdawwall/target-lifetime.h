/// What a node believes of the target beside it, from the target's heartbeats. Heartbeats may arrive late,
/// out of order and from a process that has ended; a lifetime that has begun to leave never becomes ready
/// again.
#pragma once

#include "absl/time/time.h"

#include <cstdint>
#include <optional>
#include <string>

namespace jackdawwall {

/// One run of a target's process. Two runs may share an id; the later one has the later start.
struct Lifetime {
    std::string id;
    std::uint64_t startedAt = 0; ///< The target's clock, Unix milliseconds; 0 when it did not say.

    friend bool operator==(const Lifetime&, const Lifetime&) = default;
};

/// Ordered: inside one lifetime the state only rises.
enum class TargetPhase : std::uint8_t {
    Unknown, ///< No heartbeat yet.
    Ready,
    Leaving, ///< Gets no new work.
};

/// A decoded heartbeat.
struct Heartbeat {
    Lifetime lifetime;
    TargetPhase phase = TargetPhase::Ready;
    std::uint64_t sequence = 0; ///< Rises with each heartbeat of a lifetime.
    int slots = 0; ///< Calls that the target works on at once; 0 when it did not say.
    absl::Duration coldStartRemaining; ///< How much longer it is slow after its start.
};

struct TargetState {
    Lifetime lifetime;
    TargetPhase phase = TargetPhase::Unknown;
    std::uint64_t sequence = 0;
    int slots = 0;
    absl::Time coldStartUntil = absl::InfinitePast();
    std::optional<Lifetime> lastLeft; ///< Newest lifetime that is known to have left.
    bool isHistoryKnown = false; ///< What an earlier run of this node acknowledged was asked for.
    int readyHeartbeats = 0; ///< Heartbeats of the current lifetime that said ready.
};

/// What a heartbeat changed.
struct TargetChange {
    bool isAccepted = false; ///< False: late, or of a lifetime that has ended.
    bool hasPhaseChanged = false;
    bool isNewLifetime = false;
};

/// Takes in a heartbeat.
TargetChange noteHeartbeat(TargetState& state, const Heartbeat& heartbeat, absl::Time now);

/// Takes in the last word of a lifetime. `startedAt` may be 0: then the id decides.
TargetChange noteLeave(TargetState& state, const Lifetime& lifetime);

/// Takes in what an earlier run of this node acknowledged, heard from the store or another node.
TargetChange restoreLeave(TargetState& state, const Lifetime& lifetime);

/// True when new work may be sent to the target.
bool isServing(const TargetState& state);

/// Heartbeats that prove a lifetime's readiness when nobody could be asked about the past.
inline constexpr int kHeartbeatsWithoutHistory = 2;

} // namespace jackdawwall
