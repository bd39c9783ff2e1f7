/// Admission of calls to one target: which call starts, which waits and which is refused. Composes the
/// adaptive limit and the fair shares with a bounded queue. Only calls that are started reach the target, so
/// every refusal made here is proof that the call did not run.
#pragma once

#include "jackdawwall/concurrency-limit.h"
#include "jackdawwall/core.h"
#include "jackdawwall/fair-share.h"

#include "absl/container/btree_set.h"
#include "absl/container/flat_hash_map.h"
#include "absl/strings/string_view.h"
#include "absl/time/time.h"

#include <array>
#include <cstdint>
#include <vector>

namespace jackdawwall {

/// Names a call inside one node.
using CallId = std::uint64_t;

/// A call offered to the target.
struct OfferedCall {
    CallId id = 0;
    Priority priority = Priority::Bulk;
    std::uint64_t caller = 0; ///< stableHash of the caller's name.
    double weight = 1;
    std::uint32_t rank = 0;
    std::uint32_t upstreamFraction = kRankCount; ///< Ranks below this came through all nodes upstream.
    CostKey cost = 0; ///< Work kind and size bucket.
    absl::Time deadline = absl::InfiniteFuture();
    absl::Duration
        maximumWait; ///< Longest wait that still leaves a useful answer; 0: set by the target's times.
};

struct AdmissionOptions {
    LimitOptions limit;
    ShareOptions share;
    absl::Duration window = absl::Milliseconds(100);
    absl::Duration minimumWaitTarget = absl::Milliseconds(10); ///< Wait kept under overload, or
    double waitTargetFactor = 0.5; ///< this many times the mean call, whichever is longer.
    double maximumWaitTargets = 5; ///< Calls that wait this many targets are refused.
    absl::Duration defaultTime = absl::Milliseconds(5); ///< Expected time of a kind never seen.
    double longCallFactor = 4; ///< A kind is long when it takes this many times the mean call.
    double minimumReserve = 0.25; ///< Share of the limit that long work never takes.
    double maximumReserve = 0.9; ///< Share that is kept for short work at most.
    double reserveDeviations = 3; ///< Variation of the short work's need that the reserve covers.
};

/// How a started call ended in the target.
enum class RunResult : std::uint8_t {
    Completed, ///< A whole answer, also one that reports an error of the application.
    RefusedByTarget, ///< The target said that it did not run.
    Aborted, ///< Connection failure, cancellation or timeout: its time teaches nothing.
};

enum class Verdict : std::uint8_t { Start, Wait, Refuse };

struct Decision {
    Verdict verdict = Verdict::Refuse;
    Reason reason = Reason::None;
};

/// A waiting call that is refused after all.
struct RefusedCall {
    CallId id = 0;
    Reason reason = Reason::None;
};

/// What changed for waiting calls.
struct QueueUpdate {
    std::vector<CallId> started;
    std::vector<RefusedCall> refused;
};

/// Position in the queue: class, short before long, then the caller's virtual finish time.
struct QueuePosition {
    Priority priority = Priority::Bulk;
    bool isLong = false;
    double finishTag = 0;
    CallId id = 0;

    friend auto operator<=>(const QueuePosition&, const QueuePosition&) = default;
};

struct WaitingCall {
    OfferedCall call;
    QueuePosition order;
    absl::Time enqueuedAt;
};

struct RunningCall {
    CostKey cost = 0;
    absl::Time startedAt;
    int inFlightAtStart = 0;
    bool isLong = false;
};

struct AdmissionState {
    AdmissionOptions options;
    LimitState limit;
    ShareState share;
    bool isDraining = false;
    absl::Time windowStart = absl::InfinitePast();
    absl::Duration totalWait; ///< Of calls started this window.
    int startedCount = 0;
    double meanTime = 0; ///< Seconds, over all calls.
    double virtualTime = 0;
    int longInFlight = 0;
    double shortWorkOffered = 0; ///< Usual work of short kinds, this window.
    double shortDemand
        = 0; ///< The same per second, smoothed: the calls of it that are in the target at once.
    absl::flat_hash_map<std::uint64_t, double> finishTags; ///< Last tag of each waiting caller.
    absl::flat_hash_map<CallId, WaitingCall> waiting;
    absl::btree_set<QueuePosition> queue;
    std::array<std::size_t, kPriorityCount> waitingByClass {};
    absl::flat_hash_map<CallId, RunningCall> running;
};

/// Example:
///     AdmissionState state = makeAdmissionState({});
///     Decision decision = offerCall(state, call, now);
///     if (decision.verdict == Verdict::Start) { run(); finishCall(state, call.id, RunEnd::Completed, {},
///     now); }
AdmissionState makeAdmissionState(const AdmissionOptions& options);

/// Offers a call. Start: it is running. Wait: a later Release names it. Refuse: it never ran.
Decision offerCall(AdmissionState& state, const OfferedCall& call, absl::Time now);

/// Ends a running call, which spent `elsewhere` waiting for calls of its own to other services. The release
/// names the calls that take its place.
QueueUpdate finishCall(
    AdmissionState& state, CallId id, RunResult end, absl::Duration downstreamTime, absl::Time now);

/// Forgets a waiting call whose caller gave up. False when it is no longer waiting.
bool cancelWaitingCall(AdmissionState& state, CallId id);

/// Refuses waiting calls that can't be served in time and closes the window; call it every 10 to 100 ms.
QueueUpdate advanceTime(AdmissionState& state, absl::Time now);

/// Refuses all further offers with Reason::Leaving; waiting and running calls go on.
void startDraining(AdmissionState& state);

/// Ranks of this caller and class that are served now, for the answers' feedback.
std::uint32_t admittedFraction(const AdmissionState& state, Priority priority, std::uint64_t caller);

/// Calls inside the target.
int inFlight(const AdmissionState& state);

/// Cost key of a work kind and a declared body size in bytes.
CostKey costKey(absl::string_view kind, std::uint64_t bodyBytes);

} // namespace jackdawwall
