#include "jackdawwall/target-lifetime.h"

#include <algorithm>

namespace jackdawwall {
namespace {

/// True when `lifetime` is the newest one that has left, or an older one.
bool hasLeft(const TargetState& state, const Lifetime& lifetime)
{
    if (!state.lastLeft)
        return false;
    return lifetime == *state.lastLeft || lifetime.startedAt < state.lastLeft->startedAt;
}

/// True when `lifetime` started before the current one.
bool isOlder(const TargetState& state, const Lifetime& lifetime)
{
    return lifetime.startedAt < state.lifetime.startedAt;
}

void updateLastLeft(TargetState& state, const Lifetime& lifetime)
{
    if (lifetime.startedAt != 0 && (!state.lastLeft || lifetime.startedAt >= state.lastLeft->startedAt))
        state.lastLeft = lifetime;
}

bool provesReadiness(const TargetState& state, const Heartbeat& heartbeat, absl::Time now)
{
    return heartbeat.phase == TargetPhase::Ready
        && (now >= state.heartbeatsConclusiveFrom || heartbeat.lifetime.startedAt > state.lifetimesNewFrom);
}

} // namespace

void startRun(TargetState& state, absl::Time now, absl::Time timeOfDay, absl::Duration maxHeartbeatDelay,
    absl::Duration minAcknowledgeTime)
{
    state.heartbeatsConclusiveFrom = now + maxHeartbeatDelay;
    state.lifetimesNewFrom = static_cast<std::uint64_t>(absl::ToUnixMillis(timeOfDay - minAcknowledgeTime));
}

TargetChange recordHeartbeat(TargetState& state, const Heartbeat& heartbeat, absl::Time now)
{
    if (heartbeat.lifetime.startedAt == 0)
        return {};
    const bool isSame = state.phase != TargetPhase::Unknown && heartbeat.lifetime == state.lifetime;
    if (!isSame && (isOlder(state, heartbeat.lifetime) || hasLeft(state, heartbeat.lifetime)))
        return {};
    if (isSame && heartbeat.sequence <= state.sequence && heartbeat.phase <= state.phase)
        return {};
    TargetChange change { true, false, !isSame };
    const TargetPhase previous = isSame ? state.phase : TargetPhase::Unknown;
    if (!isSame) {
        state.lifetime = heartbeat.lifetime;
        state.isReadinessProven = false;
        state.readyHeartbeats = 0;
        state.sequence = 0;
    }
    state.sequence = std::max(state.sequence, heartbeat.sequence);
    state.phase = std::max(previous, heartbeat.phase);
    if (hasLeft(state, heartbeat.lifetime))
        state.phase = TargetPhase::Leaving;
    state.isReadinessProven = state.isReadinessProven || provesReadiness(state, heartbeat, now);
    if (heartbeat.phase == TargetPhase::Ready) {
        ++state.readyHeartbeats;
        state.lastReadyAt = now;
        state.hasLapsed = false;
    }
    if (heartbeat.slots > 0)
        state.slots = heartbeat.slots;
    state.coldStartUntil = now + heartbeat.coldStartRemaining;
    if (state.phase == TargetPhase::Leaving)
        updateLastLeft(state, state.lifetime);
    change.hasPhaseChanged = state.phase != previous || !isSame;
    return change;
}

TargetChange recordLeave(TargetState& state, const Lifetime& lifetime, absl::Time timeOfDay)
{
    const bool isCurrent = lifetime.id == state.lifetime.id
        && (lifetime.startedAt == 0 || lifetime.startedAt >= state.lifetime.startedAt);
    Lifetime left = lifetime;
    if (isCurrent && left.startedAt == 0)
        left.startedAt = state.lifetime.startedAt;
    if (state.phase == TargetPhase::Unknown && left.startedAt == 0) // It started before it left.
        left.startedAt = static_cast<std::uint64_t>(absl::ToUnixMillis(timeOfDay));
    updateLastLeft(state, left);
    if (!isCurrent || state.phase != TargetPhase::Ready)
        return { true, false, false };
    state.phase = TargetPhase::Leaving;
    return { true, true, false };
}

TargetChange restoreLeave(TargetState& state, const Lifetime& lifetime)
{
    updateLastLeft(state, lifetime);
    if (state.phase != TargetPhase::Ready || !hasLeft(state, state.lifetime))
        return { true, false, false };
    state.phase = TargetPhase::Leaving;
    return { true, true, false };
}

bool advanceTarget(TargetState& state, absl::Time now, absl::Duration confirmationTime)
{
    const bool wasServing = isServing(state);
    state.hasLapsed = state.hasLapsed || now - state.lastReadyAt > confirmationTime;
    return wasServing && !isServing(state);
}

bool isProven(const TargetState& state)
{
    return state.isHistoryComplete || state.isReadinessProven;
}

bool isServing(const TargetState& state)
{
    if (state.phase != TargetPhase::Ready)
        return false;
    if (isProven(state))
        return true;
    return !state.hasLapsed && (state.isRecordRead || state.readyHeartbeats >= kHeartbeatsWithoutRecord);
}

} // namespace jackdawwall
