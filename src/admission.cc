#include "jackdawwall/admission.h"

#include "jackdawwall/long-call-limit.h"

#include <algorithm>
#include <optional>

namespace jackdawwall {
namespace {

/// A call whose rank is not admitted may still wait for this share of its maximum wait.
constexpr double kAboveFractionWaitShare = 0.3;
/// Under the rate that a target names, a call is enqueued only if it is expected to start within this share
/// of its longest wait. The rest is for more urgent calls that come later.
constexpr double kNewCallWaitShare = 0.8;
constexpr double kMeanWeight = 0.02;
constexpr double kDemandWeight = 0.3;

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

ClassQueue& classQueue(AdmissionState& state, Priority priority)
{
    return state.classQueues.at(static_cast<std::size_t>(priority));
}

const ClassQueue& classQueue(const AdmissionState& state, Priority priority)
{
    return state.classQueues.at(static_cast<std::size_t>(priority));
}

/// True if the limits on all calls let another one start.
bool hasSlotAndToken(const AdmissionState& state)
{
    return inFlight(state) < currentLimit(state.limit)
        && timeUntilStart(state.rate, 0) == absl::ZeroDuration();
}

bool hasCapacity(const AdmissionState& state, const OfferedCall& call, bool isLong)
{
    if (!hasSlotAndToken(state) || !mayStart(state.downstream, call.cost))
        return false;
    return !isLong || state.longInFlight < longCallLimit(state, call.priority);
}

void startCall(AdmissionState& state, const OfferedCall& call, bool isLong, absl::Time now)
{
    const RunningCall running { call.cost, now, inFlight(state), isLong, call.priority };
    state.running.emplace(call.id, running);
    state.longInFlight += isLong ? 1 : 0;
    ++state.startedCount;
    takeToken(state.rate);
    recordStart(state.limit, inFlight(state));
    recordDownstreamStart(state.downstream, call.cost);
}

double nextFinishTag(AdmissionState& state, const OfferedCall& call)
{
    double& tag = state.finishTags[call.caller];
    tag = std::max(state.virtualTime, tag) + expectedSeconds(state, call.cost) / std::max(call.weight, 0.01);
    return tag;
}

QueuedWork queuedWork(const WaitingCall& waiting)
{
    return { waiting.call.caller, waiting.call.weight, waiting.work, waiting.isLong, waiting.call.id };
}

enum class Removal : std::uint8_t { Start, Drop };

void removeWaiting(AdmissionState& state, CallId id, Removal removal = Removal::Drop)
{
    const auto found = state.waiting.find(id);
    if (state.hasCustomers) {
        const WaitingCall& waiting = found->second;
        (removal == Removal::Start ? removeStarted : removeRefused)(
            classQueue(state, waiting.call.priority), queuedWork(waiting), waiting.position.tag);
    }
    state.queue.erase(found->second.position);
    --state.waitingByClass.at(static_cast<std::size_t>(found->second.position.priority));
    state.waiting.erase(found);
    if (state.waiting.empty())
        state.finishTags.clear();
}

void enqueue(AdmissionState& state, const OfferedCall& call, bool isLong, absl::Time now)
{
    WaitingCall waiting { call, { call.priority, isLong, 0, call.id }, now, isLong,
        expectedSeconds(state, call.cost) };
    if (state.hasCustomers) {
        ClassQueue& queue = classQueue(state, call.priority);
        // Short before long calls would starve customers that have only long calls.
        waiting.position.isLong = false;
        waiting.position.tag = startTagOf(queue, queuedWork(waiting));
        addCall(queue, queuedWork(waiting), waiting.position.tag);
    } else {
        waiting.position.tag = nextFinishTag(state, call);
    }
    state.queue.insert(waiting.position);
    ++state.waitingByClass.at(static_cast<std::size_t>(call.priority));
    state.waiting.emplace(call.id, waiting);
}

/// Prepares the class queues for the first call with a customer. Calls that wait already keep their order.
void startCustomers(AdmissionState& state)
{
    state.hasCustomers = true;
    for (ClassQueue& queue : state.classQueues)
        queue.virtualTime = queue.windowVirtualTime = state.virtualTime;
    for (const auto& [id, waiting] : state.waiting)
        addCall(classQueue(state, waiting.call.priority), queuedWork(waiting), waiting.position.tag);
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

double availableSlots(const AdmissionState& state, const OfferedCall& call)
{
    double limit = currentLimit(state.limit);
    if (isDependent(state.downstream, call.cost))
        limit = std::min(limit, state.downstream.limit);
    return std::max(1.0, limit);
}

/// Time to serve the waiting work of the more urgent classes and `seconds` of work of the call's class.
absl::Duration drainTime(const AdmissionState& state, const OfferedCall& call, double seconds)
{
    for (std::size_t index = 0; index < static_cast<std::size_t>(call.priority); ++index)
        seconds += state.classQueues.at(index).seconds;
    return absl::Seconds(seconds / availableSlots(state, call));
}

/// Number of waiting calls that start before one of this class that is enqueued now.
std::size_t callsAhead(const AdmissionState& state, Priority priority)
{
    std::size_t ahead = 0;
    for (std::size_t index = 0; index <= static_cast<std::size_t>(priority); ++index)
        ahead += state.waitingByClass.at(index);
    return ahead;
}

/// Expected wait of a call that is enqueued now. With customers, it counts the calls that start before it.
absl::Duration expectedWait(const AdmissionState& state, const OfferedCall& call)
{
    if (state.hasCustomers) {
        const ClassQueue& queue = classQueue(state, call.priority);
        return std::max(drainTime(state, call, workAhead(queue, call.caller)),
            measuredWait(queue, { call.caller, call.weight, expectedSeconds(state, call.cost) }));
    }
    const double rounds = static_cast<double>(callsAhead(state, call.priority)) / availableSlots(state, call);
    return absl::Seconds(rounds * state.meanTime);
}

/// True if the rate that the target names leaves no room for a call that has `ahead` calls before it, and
/// that may wait for `longestWait` more.
bool isOverRate(
    const AdmissionState& state, const OfferedCall& call, std::size_t ahead, absl::Duration longestWait)
{
    const absl::Duration wait = timeUntilStart(state.rate, ahead);
    return wait > absl::ZeroDuration() && (call.hasAlternative || wait > longestWait);
}

/// A call whose rank is above the admitted fraction is still accepted while waits are short, because upstream
/// nodes have already done work for it.
bool isRefusedForOverload(const AdmissionState& state, const OfferedCall& call)
{
    const absl::Duration wait = expectedWait(state, call);
    if (wait > waitLimit(state, call))
        return true;
    const std::uint32_t fraction = admittedFraction(state, call.priority, call.caller);
    // The demand that fractions follow includes retries and rounds a hot customer's fraction to 0. With
    // customers, the queue alone decides on rank 0.
    const bool isAboveFraction = call.rank >= (state.hasCustomers ? forwardedFraction(fraction) : fraction);
    return isAboveFraction && wait > std::max(waitTarget(state), call.maximumWait * kAboveFractionWaitShare);
}

/// Refuses queued calls until the class can be served in time with the offered call: the newest of the
/// customer with most waiting work by weight. False if this is the customer of the offered call.
bool displaceWaiting(AdmissionState& state, const OfferedCall& call, Decision& decision)
{
    const ClassQueue& queue = classQueue(state, call.priority);
    const double work = expectedSeconds(state, call.cost);
    while (drainTime(state, call, queue.seconds) > waitLimit(state, call)) {
        const double load = waitingLoad(queue, call.caller) + work / std::max(call.weight, 0.01);
        const std::optional<CallId> newest = newestCallOfLargest(queue, load);
        if (!newest)
            return false;
        const OfferedCall& last = state.waiting.at(*newest).call;
        if (last.caller == call.caller)
            return false;
        if (drainTime(state, last, queue.seconds) <= waitLimit(state, last))
            return true; // It has a longer limit and is still served in time, after the offered call.
        removeWaiting(state, *newest);
        decision.refused.push_back({ *newest, Reason::Overload });
    }
    return true;
}

/// First queued call that may start now; the end of the queue if there is none.
absl::btree_set<QueuePosition>::iterator nextStartable(AdmissionState& state)
{
    if (!hasSlotAndToken(state))
        return state.queue.end();
    std::array<bool, kPriorityCount> isLongLimitReached {};
    for (std::size_t index = 0; index < kPriorityCount; ++index)
        isLongLimitReached.at(index)
            = state.longInFlight >= longCallLimit(state, static_cast<Priority>(index));
    return std::find_if(state.queue.begin(), state.queue.end(), [&](const QueuePosition& position) {
        const WaitingCall& waiting = state.waiting.at(position.id);
        return (!waiting.isLong || !isLongLimitReached.at(static_cast<std::size_t>(position.priority)))
            && mayStart(state.downstream, waiting.call.cost);
    });
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

void startWaiting(AdmissionState& state, absl::Time now, QueueUpdate& update)
{
    for (auto next = nextStartable(state); next != state.queue.end(); next = nextStartable(state)) {
        const QueuePosition position = *next;
        const WaitingCall waiting = state.waiting.at(position.id);
        const Reason expired = state.hasCustomers ? expiryReason(state, waiting, now) : Reason::None;
        if (expired != Reason::None) {
            removeWaiting(state, position.id);
            update.refused.push_back({ position.id, expired });
            continue;
        }
        state.virtualTime = std::max(state.virtualTime, position.tag);
        state.totalWait += now - waiting.enqueuedAt;
        removeWaiting(state, position.id, Removal::Start);
        startCall(state, waiting.call, waiting.isLong, now);
        if (state.hasCustomers)
            state.running.at(position.id).charged = queuedWork(waiting);
        update.started.push_back(position.id);
    }
}

/// Removes the calls that `update` refuses from index `first` on.
void removeRefused(AdmissionState& state, const QueueUpdate& update, std::size_t first)
{
    for (std::size_t index = first; index < update.refused.size(); ++index)
        removeWaiting(state, update.refused[index].id);
}

void refuseExpired(AdmissionState& state, absl::Time now, QueueUpdate& update)
{
    const std::size_t before = update.refused.size();
    for (const auto& [id, waiting] : state.waiting) {
        const Reason reason = expiryReason(state, waiting, now);
        if (reason != Reason::None)
            update.refused.push_back({ id, reason });
    }
    removeRefused(state, update, before);
}

/// Refuses the queued calls that the rate of the target leaves no room for.
void refuseOverRate(AdmissionState& state, absl::Time now, QueueUpdate& update)
{
    if (!state.rate.callsPerSecond)
        return;
    std::size_t ahead = 0;
    const std::size_t before = update.refused.size();
    for (const QueuePosition& position : state.queue) {
        const WaitingCall& waiting = state.waiting.at(position.id);
        const absl::Duration longestWait = waitLimit(state, waiting.call) - (now - waiting.enqueuedAt);
        if (isOverRate(state, waiting.call, ahead, longestWait))
            update.refused.push_back({ position.id, Reason::TargetLimit });
        else
            ++ahead;
    }
    removeRefused(state, update, before);
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
    for (ClassQueue& queue : state.classQueues)
        endWindow(queue, length);
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
    if (call.hasCustomer && !state.hasCustomers)
        startCustomers(state);
    recordDemand(state, call);
    refill(state.rate, now);
    if (now + absl::Seconds(expectedSeconds(state, call.cost)) > call.deadline)
        return { Verdict::Refuse, Reason::Deadline };
    if (isOverRate(state, call, callsAhead(state, call.priority), waitLimit(state, call) * kNewCallWaitShare))
        return { Verdict::Refuse, Reason::TargetLimit };
    if (isRefusedForOverload(state, call))
        return { Verdict::Refuse, Reason::Overload };
    Decision decision { Verdict::Wait, Reason::None };
    if (state.hasCustomers && !displaceWaiting(state, call, decision)) {
        decision.verdict = Verdict::Refuse;
        decision.reason = Reason::Overload;
        return decision;
    }
    const bool isLong = isLongKind(state, call.cost);
    const bool isNext = hasCapacity(state, call, isLong) && nextStartable(state) == state.queue.end();
    if (isNext) {
        startCall(state, call, isLong, now);
        decision.verdict = Verdict::Start;
        return decision;
    }
    enqueue(state, call, isLong, now);
    return decision;
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
    if (running.charged.seconds > 0)
        recordEnd(classQueue(state, running.priority), running.charged,
            absl::ToDoubleSeconds(now - running.startedAt));
    recordDownstreamEnd(state.downstream, running.cost, result == RunResult::Failed);
    if (result == RunResult::Completed || result == RunResult::Failed)
        recordCompletion(state, running, downstreamTime, now);
    if (result == RunResult::RefusedByTarget)
        recordTargetRefusal(state.limit);
    refill(state.rate, now);
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
    refill(state.rate, now);
    refuseExpired(state, now, update);
    refuseOverRate(state, now, update);
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

absl::Duration waitingWork(const AdmissionState& state, Priority priority, std::uint64_t customer)
{
    const ClassQueue& queue = classQueue(state, priority);
    const auto found = queue.customers.find(customer);
    return found == queue.customers.end() ? absl::ZeroDuration() : absl::Seconds(found->second.seconds);
}

absl::Duration timeUntilStart(const AdmissionState& state, Priority priority)
{
    return timeUntilStart(state.rate, callsAhead(state, priority));
}

int inFlight(const AdmissionState& state)
{
    return static_cast<int>(state.running.size());
}

} // namespace jackdawwall
