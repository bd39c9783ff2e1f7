/// Admission control for one target: decides which calls start, which wait and which are refused. Combines
/// the adaptive concurrency limit, fair shares and a bounded queue. Only started calls reach the target, so a
/// refusal made here proves that the call did not run.
#pragma once

#include "jackdawwall/concurrency-limit.h"
#include "jackdawwall/core.h"
#include "jackdawwall/customer-queue.h"
#include "jackdawwall/downstream-limit.h"
#include "jackdawwall/fair-share.h"
#include "jackdawwall/target-rate.h"

#include "absl/container/btree_set.h"
#include "absl/container/flat_hash_map.h"
#include "absl/strings/string_view.h"
#include "absl/time/time.h"

#include <array>
#include <cstdint>
#include <vector>

namespace jackdawwall {

/// Identifies a call within one node.
using CallId = std::uint64_t;

/// A call offered to the target.
struct OfferedCall {
    CallId id = 0;
    Priority priority = Priority::Bulk;
    std::uint64_t caller = 0; ///< Identifies the customer or, without one, the calling service.
    bool hasCustomer = false; ///< Asks for fairness between customers, see AdmissionState::classQueues.
    double weight = 1;
    std::uint32_t rank = 0;
    std::uint32_t upstreamFraction = kRankCount; ///< Ranks below this passed all upstream nodes.
    CostKey cost = 0; ///< Work kind and size bucket.
    absl::Time deadline = absl::InfiniteFuture();
    absl::Duration maximumWait; ///< Longest useful wait; 0: derived from the call times of the target.
    /// Another target may have room, so the call does not wait for the rate that this target names.
    bool hasAlternative = false;
};

struct AdmissionOptions {
    LimitOptions limit;
    ShareOptions share;
    DownstreamOptions downstream;
    absl::Duration window = absl::Milliseconds(100);
    absl::Duration minimumWaitTarget = absl::Milliseconds(10); ///< Lower bound of the wait target.
    double waitTargetFactor = 0.5; ///< Wait target (mean wait aimed at under overload) over mean call time.
    double maximumWaitTargets = 5; ///< Calls that wait this many wait targets are refused.
    absl::Duration defaultTime = absl::Milliseconds(5); ///< Expected time of a kind without samples.
    double longCallFactor = 4; ///< A kind is long above this many times the mean call time.
    double minimumReserve = 0.25; ///< Smallest share of the limit reserved for short calls.
    double maximumReserve = 0.9; ///< Largest share of the limit reserved for short calls.
    double reserveDeviations = 3; ///< Standard deviations of the short calls' demand that the reserve covers.
};

/// How a started call ended at the target.
enum class RunResult : std::uint8_t {
    Completed, ///< A complete response, including one that reports an error of the request.
    Failed, ///< A complete response that reports an error of the target or of its own calls.
    RefusedByTarget, ///< The target reported that it did not run the call.
    Aborted, ///< Connection failure, cancellation or timeout: the time is not a valid sample.
};

enum class Verdict : std::uint8_t { Start, Wait, Refuse };

/// A queued call that has been refused.
struct RefusedCall {
    CallId id = 0;
    Reason reason = Reason::None;
};

struct Decision {
    Verdict verdict = Verdict::Refuse;
    Reason reason = Reason::None;
    std::vector<RefusedCall> refused {}; ///< Queued calls that the offered call displaced.
};

/// Queued calls that have been started or refused.
struct QueueUpdate {
    std::vector<CallId> started;
    std::vector<RefusedCall> refused;
};

/// Sort key of the queue: priority class, then short before long calls, then the virtual finish time of the
/// caller. With customers: priority class, then the customer's virtual start time (customer-queue.h).
struct QueuePosition {
    Priority priority = Priority::Bulk;
    bool isLong = false;
    double tag = 0; ///< Virtual time.
    CallId id = 0;

    friend auto operator<=>(const QueuePosition&, const QueuePosition&) = default;
};

struct WaitingCall {
    OfferedCall call;
    QueuePosition position;
    absl::Time enqueuedAt;
    bool isLong = false;
    double work = 0; ///< Expected seconds when it was enqueued.
};

struct RunningCall {
    CostKey cost = 0;
    absl::Time startedAt;
    int inFlightAtStart = 0;
    bool isLong = false;
    Priority priority = Priority::Bulk;
    QueuedWork charged {}; ///< With customers, of a call that was started from the queue.
};

struct AdmissionState {
    AdmissionOptions options;
    LimitState limit;
    ShareState share;
    DownstreamLimit downstream;
    TargetRate rate; ///< That the target names itself.
    bool isDraining = false;
    absl::Time windowStart = absl::InfinitePast();
    absl::Duration totalWait; ///< Of calls started from the queue in this window.
    int startedCount = 0;
    double meanTime = 0; ///< Seconds, over all calls.
    double virtualTime = 0;
    int longInFlight = 0;
    double shortWorkOffered = 0; ///< Typical seconds of the short calls offered in this window.
    double shortDemand = 0; ///< The same per second, smoothed: the concurrency that short calls need.
    absl::flat_hash_map<std::uint64_t, double> finishTags; ///< Latest tag of each caller with queued calls.
    absl::flat_hash_map<CallId, WaitingCall> waiting;
    absl::btree_set<QueuePosition> queue;
    std::array<std::size_t, kPriorityCount> waitingByClass {};
    bool hasCustomers = false; ///< Set by the first call with a customer, for the lifetime of the process.
                               ///< Calls without a customer then take part by their calling service.
    std::array<ClassQueue, kPriorityCount> classQueues; ///< The waiting calls; used only with customers.
    absl::flat_hash_map<CallId, RunningCall> running;
};

/// Example:
///     AdmissionState state = makeAdmissionState({});
///     Decision decision = offerCall(state, call, now);
///     if (decision.verdict == Verdict::Start) {
///         run();
///         finishCall(state, call.id, RunResult::Completed, {}, now);
///     }
AdmissionState makeAdmissionState(const AdmissionOptions& options);

/// Offers a call. Start: the call is running. Wait: a later QueueUpdate contains it, unless it is cancelled.
/// Refuse: it did not run.
Decision offerCall(AdmissionState& state, const OfferedCall& call, absl::Time now);

/// Ends a running call, which spent `downstreamTime` waiting for its own calls to other services. Returns the
/// queued calls that start in its place.
QueueUpdate finishCall(
    AdmissionState& state, CallId id, RunResult result, absl::Duration downstreamTime, absl::Time now);

/// Removes a queued call whose caller has given up. False if the call is not queued.
bool cancelWaitingCall(AdmissionState& state, CallId id);

/// Refuses queued calls that can't be served in time, and closes the window when it is over. Call it every
/// 10 to 100 ms.
QueueUpdate advanceTime(AdmissionState& state, absl::Time now);

/// Refuses all further offers with Reason::Leaving; queued and running calls continue.
void startDraining(AdmissionState& state);

/// Ranks below this are currently served for this caller and class; responses report it upstream.
std::uint32_t admittedFraction(const AdmissionState& state, Priority priority, std::uint64_t caller);

/// Expected time at the target of the queued calls of this customer (OfferedCall::caller) and class. Zero
/// without customers.
absl::Duration waitingWork(const AdmissionState& state, Priority priority, std::uint64_t customer);

/// Time until a call of this class would start under the rate that the target names; zero without one.
absl::Duration timeUntilStart(const AdmissionState& state, Priority priority);

/// Number of calls in progress at the target.
int inFlight(const AdmissionState& state);

} // namespace jackdawwall
