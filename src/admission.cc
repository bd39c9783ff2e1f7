#include "jackdawwall/admission.h"

#include "absl/strings/string_view.h"

#include <algorithm>
#include <cmath>

namespace jackdawwall {
namespace {

/// A call whose rank is not admitted may still wait for this share of its maximum wait.
constexpr double kAboveFractionWaitShare = 0.3;
constexpr double kMeanWeight = 0.02;
constexpr double kDemandWeight = 0.3;
constexpr std::uint64_t kMaximumSmallBodyBytes = 64ULL << 10;
constexpr std::uint64_t kMaximumMediumBodyBytes = 1ULL << 20;

double expectedSeconds(const AdmissionState& state, CostKey cost)
{
    return absl::ToDoubleSeconds(expectedTime(state.limit, cost, state.options.defaultTime));
}

bool isLongKind(const AdmissionState& state, CostKey cost)
{
    if (state.meanTime == 0)
        return false;
    return expectedSeconds(state, cost) > state.options.longCallFactor * state.meanTime;
}

/// Number of long calls that may be in progress. Reserves the expected concurrency of short calls and its
/// variation, as DARC does for each request type (Persephone, SOSP 2021).
int longCallLimit(const AdmissionState& state)
{
    const double limit = currentLimit(state.limit);
    const double expectedConcurrency = state.shortDemand * state.limit.recentSlowdown;
    const double desiredReserve
        = expectedConcurrency + state.options.reserveDeviations * std::sqrt(expectedConcurrency);
    const double reserve = std::clamp(
        desiredReserve, state.options.minimumReserve * limit, state.options.maximumReserve * limit);
    return std::max(1, static_cast<int>(limit - std::max(1.0, reserve)));
}

bool hasCapacity(const AdmissionState& state, CostKey cost, bool isLong)
{
    if (inFlight(state) >= currentLimit(state.limit) || !mayStart(state.downstream, cost))
        return false;
    return !isLong || state.longInFlight < longCallLimit(state);
}

void startCall(AdmissionState& state, const OfferedCall& call, bool isLong, absl::Time now)
{
    const RunningCall running { call.cost, now, inFlight(state), isLong };
    state.running.emplace(call.id, running);
    state.longInFlight += isLong ? 1 : 0;
    ++state.startedCount;
    recordStart(state.limit, inFlight(state));
    recordDownstreamStart(state.downstream, call.cost);
}

double nextFinishTag(AdmissionState& state, const OfferedCall& call)
{
    double& tag = state.finishTags[call.caller];
    tag = std::max(state.virtualTime, tag) + expectedSeconds(state, call.cost) / std::max(call.weight, 0.01);
    return tag;
}

void removeWaiting(AdmissionState& state, CallId id)
{
    const auto found = state.waiting.find(id);
    state.queue.erase(found->second.position);
    --state.waitingByClass.at(static_cast<std::size_t>(found->second.position.priority));
    state.waiting.erase(found);
    if (state.waiting.empty())
        state.finishTags.clear();
}

void enqueue(AdmissionState& state, const OfferedCall& call, bool isLong, absl::Time now)
{
    const QueuePosition position { call.priority, isLong, nextFinishTag(state, call), call.id };
    state.queue.insert(position);
    ++state.waitingByClass.at(static_cast<std::size_t>(position.priority));
    state.waiting.emplace(call.id, WaitingCall { call, position, now });
}

absl::Duration waitTarget(const AdmissionState& state)
{
    return std::max(
        state.options.minimumWaitTarget, absl::Seconds(state.options.waitTargetFactor * state.meanTime));
}

absl::Duration waitLimit(const AdmissionState& state, const OfferedCall& call)
{
    if (call.maximumWait > absl::ZeroDuration())
        return call.maximumWait;
    return waitTarget(state) * state.options.maximumWaitTargets;
}

/// Expected wait of a call that is enqueued now.
absl::Duration expectedWait(const AdmissionState& state, const OfferedCall& call)
{
    std::size_t ahead = 0;
    for (std::size_t index = 0; index <= static_cast<std::size_t>(call.priority); ++index)
        ahead += state.waitingByClass.at(index);
    double limit = currentLimit(state.limit);
    if (isDependent(state.downstream, call.cost))
        limit = std::min(limit, state.downstream.limit);
    const double rounds = static_cast<double>(ahead) / std::max(1.0, limit);
    return absl::Seconds(rounds * state.meanTime);
}

/// A call whose rank is above the admitted fraction is still accepted while waits are short, because upstream
/// nodes have already done work for it.
bool isRefusedForOverload(const AdmissionState& state, const OfferedCall& call)
{
    const absl::Duration wait = expectedWait(state, call);
    if (wait > waitLimit(state, call))
        return true;
    const bool isAboveFraction = call.rank >= admittedFraction(state, call.priority, call.caller);
    return isAboveFraction && wait > std::max(waitTarget(state), call.maximumWait * kAboveFractionWaitShare);
}

/// First queued call that may start now; the end of the queue if there is none.
absl::btree_set<QueuePosition>::iterator nextStartable(AdmissionState& state)
{
    if (inFlight(state) >= currentLimit(state.limit))
        return state.queue.end();
    const bool isLongLimitReached = state.longInFlight >= longCallLimit(state);
    return std::find_if(state.queue.begin(), state.queue.end(), [&](const QueuePosition& position) {
        return (!position.isLong || !isLongLimitReached)
            && mayStart(state.downstream, state.waiting.at(position.id).call.cost);
    });
}

void startWaiting(AdmissionState& state, absl::Time now, QueueUpdate& update)
{
    for (auto next = nextStartable(state); next != state.queue.end(); next = nextStartable(state)) {
        const QueuePosition position = *next;
        const WaitingCall waiting = state.waiting.at(position.id);
        state.virtualTime = std::max(state.virtualTime, position.finishTag);
        state.totalWait += now - waiting.enqueuedAt;
        removeWaiting(state, position.id);
        startCall(state, waiting.call, position.isLong, now);
        update.started.push_back(position.id);
    }
}

Reason expiryReason(const AdmissionState& state, const WaitingCall& waiting, absl::Time now)
{
    const absl::Duration expectedDuration = absl::Seconds(expectedSeconds(state, waiting.call.cost));
    if (now + expectedDuration > waiting.call.deadline)
        return Reason::Deadline;
    if (now - waiting.enqueuedAt > waitLimit(state, waiting.call))
        return Reason::Overload;
    return Reason::None;
}

void refuseExpired(AdmissionState& state, absl::Time now, QueueUpdate& update)
{
    const std::size_t before = update.refused.size();
    for (const auto& [id, waiting] : state.waiting) {
        const Reason reason = expiryReason(state, waiting, now);
        if (reason != Reason::None)
            update.refused.push_back({ id, reason });
    }
    for (std::size_t index = before; index < update.refused.size(); ++index)
        removeWaiting(state, update.refused[index].id);
}

absl::Duration meanWait(const AdmissionState& state, absl::Time now)
{
    absl::Duration sum = state.totalWait;
    for (const auto& [id, waiting] : state.waiting)
        sum += now - waiting.enqueuedAt;
    const auto count = static_cast<std::int64_t>(state.startedCount + state.waiting.size());
    return count == 0 ? absl::ZeroDuration() : sum / count;
}

/// Reclassifies running calls as long once they far exceed the mean call time. Otherwise a kind with a short
/// expected time could occupy all slots with long calls.
void reclassifyRunning(AdmissionState& state, absl::Time now)
{
    if (state.meanTime == 0)
        return;
    const absl::Duration longAfter = absl::Seconds(2 * state.options.longCallFactor * state.meanTime);
    for (auto& [id, running] : state.running) {
        if (running.isLong || now - running.startedAt < longAfter)
            continue;
        running.isLong = true;
        ++state.longInFlight;
    }
}

void endWindow(AdmissionState& state, absl::Time now)
{
    const absl::Duration length = now - state.windowStart;
    const double capacity = steadyLimit(state.limit) / state.limit.recentSlowdown;
    const ShareWindow window { length, capacity, !isLimitReached(state.limit), meanWait(state, now),
        waitTarget(state) };
    const double shortRate = state.shortWorkOffered / absl::ToDoubleSeconds(length);
    state.shortDemand += kDemandWeight * (shortRate - state.shortDemand);
    state.shortWorkOffered = 0;
    allocateCapacity(state.share, state.options.share, window);
    closeWindow(state.limit, state.options.limit, now);
    reclassifyRunning(state, now);
    state.windowStart = now;
    state.totalWait = absl::ZeroDuration();
    state.startedCount = 0;
}

double typicalWork(const AdmissionState& state, CostKey cost)
{
    return typicalSeconds(state.limit, cost, absl::ToDoubleSeconds(state.options.defaultTime));
}

void recordDemand(AdmissionState& state, const OfferedCall& call)
{
    const double work = typicalWork(state, call.cost);
    recordOffer(state.share, { { call.priority, call.caller }, call.weight, work, call.upstreamFraction });
    if (!isLongKind(state, call.cost))
        state.shortWorkOffered += work;
}

void recordCompletion(
    AdmissionState& state, const RunningCall& running, absl::Duration downstreamTime, absl::Time now)
{
    const absl::Duration time = now - running.startedAt;
    const RunTime runTime { time, std::max(absl::ZeroDuration(), time - downstreamTime) };
    recordRun(state.limit, state.options.limit, running.cost, runTime, running.inFlightAtStart);
    const double seconds = absl::ToDoubleSeconds(time);
    state.meanTime
        = state.meanTime == 0 ? seconds : state.meanTime + kMeanWeight * (seconds - state.meanTime);
}

} // namespace

AdmissionState makeAdmissionState(const AdmissionOptions& options)
{
    AdmissionState state;
    state.options = options;
    state.limit = makeLimitState(options.limit);
    return state;
}

Decision offerCall(AdmissionState& state, const OfferedCall& call, absl::Time now)
{
    if (state.isDraining)
        return { Verdict::Refuse, Reason::Leaving };
    recordDemand(state, call);
    if (now + absl::Seconds(expectedSeconds(state, call.cost)) > call.deadline)
        return { Verdict::Refuse, Reason::Deadline };
    if (isRefusedForOverload(state, call))
        return { Verdict::Refuse, Reason::Overload };
    const bool isLong = isLongKind(state, call.cost);
    const bool isNext = hasCapacity(state, call.cost, isLong) && nextStartable(state) == state.queue.end();
    if (isNext) {
        startCall(state, call, isLong, now);
        return { Verdict::Start, Reason::None };
    }
    enqueue(state, call, isLong, now);
    return { Verdict::Wait, Reason::None };
}

QueueUpdate finishCall(
    AdmissionState& state, CallId id, RunResult result, absl::Duration downstreamTime, absl::Time now)
{
    QueueUpdate update;
    const auto found = state.running.find(id);
    if (found == state.running.end())
        return update;
    const RunningCall running = found->second;
    state.running.erase(found);
    state.longInFlight -= running.isLong ? 1 : 0;
    recordDownstreamEnd(state.downstream, running.cost, result == RunResult::Failed);
    if (result == RunResult::Completed || result == RunResult::Failed)
        recordCompletion(state, running, downstreamTime, now);
    if (result == RunResult::RefusedByTarget)
        recordTargetRefusal(state.limit);
    startWaiting(state, now, update);
    return update;
}

bool cancelWaitingCall(AdmissionState& state, CallId id)
{
    if (!state.waiting.contains(id))
        return false;
    removeWaiting(state, id);
    return true;
}

QueueUpdate advanceTime(AdmissionState& state, absl::Time now)
{
    QueueUpdate update;
    if (state.windowStart == absl::InfinitePast())
        state.windowStart = now;
    refuseExpired(state, now, update);
    if (now - state.windowStart >= state.options.window)
        endWindow(state, now);
    advanceDownstream(state.downstream, state.options.downstream, now);
    startWaiting(state, now, update);
    return update;
}

void startDraining(AdmissionState& state)
{
    state.isDraining = true;
}

std::uint32_t admittedFraction(const AdmissionState& state, Priority priority, std::uint64_t caller)
{
    return admittedFraction(state.share, ShareKey { priority, caller });
}

int inFlight(const AdmissionState& state)
{
    return static_cast<int>(state.running.size());
}

CostKey costKey(absl::string_view kind, std::uint64_t bodyBytes)
{
    std::uint64_t bucket = 0;
    if (bodyBytes > kMaximumSmallBodyBytes)
        bucket = bodyBytes > kMaximumMediumBodyBytes ? 2 : 1;
    return mixBits(stableHash(kind) + bucket);
}

} // namespace jackdawwall
