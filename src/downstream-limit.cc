#include "jackdawwall/downstream-limit.h"

#include <algorithm>
#include <cmath>

namespace jackdawwall {
namespace {

constexpr double kUnlimited = std::numeric_limits<double>::infinity();
/// A limit this many times above the peak concurrency has no effect and is removed.
constexpr double kIneffectiveFactor = 2;

int dependentRunning(const DownstreamLimit& state)
{
    int result = 0;
    for (const auto& [kind, until] : state.dependentUntil) {
        const auto found = state.running.find(kind);
        result += found == state.running.end() ? 0 : found->second;
    }
    return result;
}

bool hasTooManyFailures(const DownstreamRuns& runs, const DownstreamOptions& options)
{
    return runs.failed > options.tolerableFailures * runs.ended;
}

bool showsDependence(const DownstreamRuns& runs, const DownstreamOptions& options)
{
    return runs.failed >= options.minimumFailures && hasTooManyFailures(runs, options);
}

/// Kinds that failed become dependent, and stay so while nested calls are refused.
void updateDependence(DownstreamLimit& state, const DownstreamOptions& options, absl::Time now)
{
    if (state.refusals > 0) {
        for (const auto& [kind, runs] : state.window) {
            if (isDependent(state, kind) || showsDependence(runs, options))
                state.dependentUntil[kind] = now + options.dependenceTime;
        }
    }
    absl::erase_if(state.dependentUntil, [&](const auto& item) { return item.second <= now; });
    state.peakRunning = std::max(state.peakRunning, dependentRunning(state));
}

DownstreamRuns dependentRuns(const DownstreamLimit& state)
{
    DownstreamRuns result;
    for (const auto& [kind, runs] : state.window) {
        if (!isDependent(state, kind))
            continue;
        result.ended += runs.ended;
        result.failed += runs.failed;
    }
    return result;
}

bool hasRoom(const DownstreamLimit& state, const DownstreamOptions& options)
{
    return state.refusals == 0 && state.responses > 0
        && state.queuedResponses <= options.maximumQueuedShare * state.responses;
}

double nextLimit(const DownstreamLimit& state, const DownstreamOptions& options, const DownstreamRuns& runs)
{
    if (state.refusals > 0 && hasTooManyFailures(runs, options)) {
        const double failures = static_cast<double>(runs.failed) / runs.ended;
        const double reached = std::min(state.limit, static_cast<double>(state.peakRunning));
        const double decrease = std::min(options.maximumDecrease, options.decreasePerFailure * failures);
        return std::max(state.minimum, reached * (1 - decrease));
    }
    if (hasRoom(state, options))
        return state.limit * (1 + options.increaseWithRoom);
    if (state.refusals == 0 && state.peakRunning < static_cast<int>(state.limit))
        return state.limit * (1 + options.unusedIncrease);
    const int doublings = std::max(0, state.quietWindows - options.steadyWindows);
    return state.limit * (1 + options.increase * std::exp2(doublings));
}

/// True once the window contains enough runs or failures to adjust the limit.
bool isWindowOver(const DownstreamLimit& state, const DownstreamOptions& options, const DownstreamRuns& runs,
    absl::Duration length)
{
    if (length < options.minimumWindow)
        return length >= options.minimumFailureWindow && state.refusals > 0
            && runs.failed >= options.sufficientFailures && hasTooManyFailures(runs, options);
    return runs.ended >= options.sufficientRuns || length >= options.maximumWindow || state.refusals == 0;
}

} // namespace

bool isDependent(const DownstreamLimit& state, CostKey kind)
{
    return state.dependentUntil.contains(kind);
}

bool mayStart(const DownstreamLimit& state, CostKey kind)
{
    return state.limit == kUnlimited || !isDependent(state, kind)
        || dependentRunning(state) < static_cast<int>(state.limit);
}

void recordDownstreamStart(DownstreamLimit& state, CostKey kind)
{
    ++state.running[kind];
    state.peakRunning = std::max(state.peakRunning, dependentRunning(state));
}

void recordDownstreamEnd(DownstreamLimit& state, CostKey kind, bool isFailed)
{
    const auto found = state.running.find(kind);
    if (found != state.running.end() && --found->second <= 0)
        state.running.erase(found);
    DownstreamRuns& runs = state.window[kind];
    ++runs.ended;
    runs.failed += isFailed ? 1 : 0;
}

void recordDownstreamRefusal(DownstreamLimit& state)
{
    ++state.refusals;
}

void recordDownstreamResponse(DownstreamLimit& state, bool hasQueue)
{
    ++state.responses;
    state.queuedResponses += hasQueue ? 1 : 0;
}

void advanceDownstream(DownstreamLimit& state, const DownstreamOptions& options, absl::Time now)
{
    if (state.windowStart == absl::InfinitePast())
        state.windowStart = now;
    const absl::Duration length = now - state.windowStart;
    updateDependence(state, options, now);
    const DownstreamRuns runs = dependentRuns(state);
    if (!isWindowOver(state, options, runs, length))
        return;
    state.quietWindows = state.refusals == 0 ? state.quietWindows + 1 : 0;
    if (state.limit == kUnlimited)
        state.minimum = std::max(1.0, options.minimumShare * state.peakRunning);
    state.limit = nextLimit(state, options, runs);
    if (state.dependentUntil.empty() || state.limit > kIneffectiveFactor * std::max(1, state.peakRunning))
        state.limit = kUnlimited;
    state.window.clear();
    state.refusals = 0;
    state.responses = 0;
    state.queuedResponses = 0;
    state.peakRunning = 0;
    state.windowStart = now;
}

} // namespace jackdawwall
