/// Life cycle of one call at a node, as caller's node and as target's node, over all decision state of that
/// node. The code here performs no input or output: a driver (the adapters of a node, or a simulation in
/// virtual time) reports events and carries out what is returned.
///
/// Caller's node: openCall -> checkBeforeSending (or openRouted) -> startAttempt
///                -> (hedgeAfter -> startHedge) -> recordReport
///                -> tryAcquireCallRetry -> startAttempt ... -> closeCall
/// Target's node: offerCall (admission.h) -> openInbound -> the target runs -> feedbackFor -> closeInbound
///                -> finishCall
#pragma once

#include "jackdawwall/admission.h"
#include "jackdawwall/catalogue.h"
#include "jackdawwall/hedging.h"
#include "jackdawwall/membership.h"
#include "jackdawwall/rate-limit.h"
#include "jackdawwall/retry-budget.h"
#include "jackdawwall/route-table.h"
#include "jackdawwall/routing.h"
#include "jackdawwall/target-rate.h"

#include "absl/container/flat_hash_map.h"
#include "absl/status/statusor.h"
#include "absl/time/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace jackdawwall {

/// Identifies an inbound call to the local target, which sends the token along with the calls that it makes
/// for this call; 0 means none.
using CallToken = std::uint64_t;

/// Metadata that a caller's node sends to a target's node with each call.
struct CallContext {
    std::string caller; ///< Service that the calling process belongs to, or the catalogue's caller.
    std::string customer; ///< Customer whose key the request carried; empty without one.
    /// The customer is that of the run that made this nested call. It counts for fairness and logs, but the
    /// target of the nested call is not told.
    bool isCustomerOfRun = false;
    std::string kind;
    std::string requestId;
    Priority priority = Priority::Browse;
    std::uint32_t rank = 0;
    std::uint32_t upstreamFraction = kRankCount; ///< Ranks below this passed all upstream nodes.
    std::uint32_t weight = 1;
    std::uint32_t allowance = 0; ///< Extra attempts (retries and hedges) that the receiver may make.
    std::uint32_t depth = 0;
    bool isIdempotent = true;
    absl::Time deadline;
};

/// Metadata that a target's node returns with each response.
struct CallFeedback {
    std::uint32_t unusedAllowance = 0; ///< Delegated extra attempts that were not made.
    std::uint32_t admitFraction = kRankCount; ///< Lowest admitted fraction along the path of this call.
    std::uint32_t inFlight = 0;
    std::uint32_t waiting = 0;
    bool hasDownstreamFailure = false;
    std::optional<GateLoad> load {}; ///< Only with Balance::Speed.
    std::optional<TargetStatement> statement {}; ///< What the target says of itself.
    absl::Duration retryAfter {}; ///< Refused for the target's own limit: time until it has room.
};

/// A call that the local target is processing.
struct InboundCall {
    CallContext context;
    Allowance allowance;
    std::uint32_t pathFraction = kRankCount; ///< Lowest fraction reported by downstream services.
    bool hasChildFailed = false;
    std::uint32_t childCount = 0;
    int pendingChildren = 0; ///< Calls of the target to other services that are in progress.
    absl::Time childrenPendingSince; ///< Start of the current period with a child in progress.
    absl::Duration downstreamTime; ///< Total time with at least one child in progress.
};

/// All decision state of one node.
struct NodeDecisions {
    std::string dataCentre;
    AdmissionState admission;
    RoutingState routing;
    MembershipState membership;
    HedgeState hedging;
    RetryBudget retryBudget;
    RateLimitState callerLimits;
    Generator generator;
    absl::flat_hash_map<CallToken, InboundCall> inbound;
    absl::flat_hash_map<std::string, std::vector<Candidate>> subsets; ///< By service.
    /// What targets have said of themselves, by the address of their node. A node that restarts hears it from
    /// the others with their calls.
    absl::flat_hash_map<std::string, TargetStatement> statements;
};

NodeDecisions makeNodeDecisions(const Member& self, std::uint64_t seed, absl::Time now);

/// Invalidates what is derived from the membership (the subsets and the views of removed targets). Must be
/// called after each membership change.
void invalidateCandidates(NodeDecisions& decisions);

/// Members that this node may send calls of a service to.
const std::vector<Candidate>& candidatesFor(NodeDecisions& decisions, const std::string& service);

/// A call as the caller requests it.
struct CallRequest {
    std::string service; ///< Empty: the service of the work kind.
    std::string caller;
    std::string kind;
    std::string requestId; ///< Empty: an id is generated.
    std::optional<absl::Duration> deadline;
    bool isAtMostOnce = false; ///< The caller forbids a second execution.
    CallToken parent = 0;
};

/// A call from this node to a target, over all its attempts.
struct OutboundCall {
    std::string service;
    CallContext context; ///< `allowance` is set anew for each attempt.
    double callsPerSecond = 0; ///< Rate limit of the caller; 0 means no limit.
    absl::Time start;
    Allowance allowance;
    CallToken parent = 0;
    PathKey path;
    std::vector<std::string> tried;
    AttemptResult leastCertainResult; ///< Least certain result of the attempts so far.
    bool isRouted = false; ///< Matched to a route: limited by `attempts` and the arrival budgets of the
                           ///< targets' nodes instead of an allowance and ranks.
    int attempts = 1; ///< Routed: targets that the call may reach.
    int arrivals = 0; ///< Attempts that reached, or may have reached, a target.
    bool hasLastAttemptArrived = false; ///< The last attempt reached, or may have reached, its target.
    int refusals = 0; ///< Attempts that a node refused before its target.
    std::uint64_t bodyBytes = 0; ///< Of the request.
    bool isNested = false; ///< Routed: made by the local target.
    absl::Duration latencyObjective; ///< 0 when there is none.
    absl::Time callerDeadline = absl::InfiniteFuture(); ///< The caller stops waiting at this time.
    /// Shortest time until one of the targets that refused for their own limits has room; 0: none did.
    absl::Duration retryAfter;
    /// Key of the customer, to check it again when the configuration changes; never sent or logged. Empty
    /// without one.
    std::string key;
    RouteVersion keyVersion = 0; ///< Version of the configuration in which the key was last found.
};

/// A request that was matched to a route.
struct RoutedRequest {
    std::string service; ///< Chosen from the services of the route.
    std::string caller;
    /// Customer whose key the request carries, or of the run that makes a nested call; null without one.
    const CallerEntry* customer = nullptr;
    std::string requestId;
    absl::Duration callerTimeout; ///< How long the caller waits.
    std::uint64_t bodyBytes = 0;
    bool isNested = false; ///< The local target makes the call.
    /// Class of the run that makes the call, if it is known; used when it is more urgent than the route,
    /// unless the customer has a priority.
    std::optional<Priority> parentPriority;
};

/// One copy of a call, sent to one target.
struct CallAttempt {
    std::string address;
    std::uint32_t delegated = 0; ///< Extra attempts delegated to the target's node.
    absl::Time at;
    std::optional<TargetStatement> statement {}; ///< What the target said of itself, for its node.
    bool hasAlternative = false; ///< Another target may have room, and the call may be sent there.
};

/// Result of an attempt, as observed by the driver.
struct AttemptReport {
    AttemptResult result;
    bool hasResponse = false; ///< The target's node responded.
    bool hasArrived = true; ///< False: the target's node refused it before the target.
    std::optional<CallFeedback> feedback;
};

/// Resolves a call against the catalogue and its parent. Fails with InvalidArgument when no service is known,
/// and with Cancelled when the parent has ended, because nothing waits for the result any more.
absl::StatusOr<OutboundCall> openCall(
    NodeDecisions& decisions, const Catalogue& catalogue, const CallRequest& request, absl::Time now);

/// Opens the call for a request that was matched to a route. It keeps rank 0, so no node refuses it for its
/// rank.
OutboundCall openRouted(const Route& route, const RoutedRequest& request, absl::Time now);

/// Applies the checks that need no target: the caller's rate limit, and whether the path admits the rank.
/// Returns Reason::None when the call may be sent.
Reason checkBeforeSending(NodeDecisions& decisions, OutboundCall& call, absl::Time now);

/// Chooses a target that was not tried yet and delegates a share of the allowance to it. Empty when no target
/// is left.
std::optional<CallAttempt> startAttempt(NodeDecisions& decisions, OutboundCall& call, absl::Time now);

/// Delay after an attempt at which a hedge is worthwhile; infinite for work that is not idempotent.
absl::Duration hedgeAfter(const NodeDecisions& decisions, const OutboundCall& call);

/// Starts a second copy if the allowance and the hedge ratio permit it.
std::optional<CallAttempt> startHedge(NodeDecisions& decisions, OutboundCall& call, absl::Time now);

/// Records that the slower copy was cancelled; its delegated allowance counts as used.
void recordCancelledAttempt(NodeDecisions& decisions, const CallAttempt& attempt, absl::Time now);

/// Records the result of an attempt in all decision state that depends on it.
void recordReport(NodeDecisions& decisions, OutboundCall& call, const CallAttempt& attempt,
    const AttemptReport& report, absl::Time now);

/// Takes one retry of the call from the budgets that apply; false if the call must not be retried.
[[nodiscard]] bool tryAcquireCallRetry(
    NodeDecisions& decisions, OutboundCall& call, const AttemptResult& result, absl::Time now);

/// Result of the entire call: a successful response, else the least certain result over all attempts.
AttemptResult finalResult(const OutboundCall& call, const AttemptResult& last);

/// Returns the unused allowance and reports the result to the parent. Must be called exactly once for each
/// opened call.
void closeCall(
    NodeDecisions& decisions, const OutboundCall& call, const AttemptResult& result, absl::Time now);

/// Key of fairness between callers: identifies the customer or, without one, the calling service.
std::uint64_t fairnessKey(const CallContext& context);

/// Converts the metadata of a call to the form that admission control takes.
OfferedCall makeOfferedCall(const CallContext& context, CallId id, std::uint64_t bodyBytes);

/// Registers a call that was started in the local target.
CallToken openInbound(NodeDecisions& decisions, const CallContext& context);

/// Feedback for a response. For a call that ran (`token` is not 0), the remaining allowance is returned with
/// the feedback and can no longer be used by this node.
CallFeedback feedbackFor(NodeDecisions& decisions, const CallContext& context, CallToken token);

/// Load of the local target's gate, as reported with the response to a call that the gate held for `held`;
/// empty unless Balance::Speed is set.
std::optional<GateLoad> gateLoad(const NodeDecisions& decisions, absl::Duration held);

/// Ends an inbound call whose response was forwarded or lost. Returns the time that the target spent waiting
/// for other services.
absl::Duration closeInbound(NodeDecisions& decisions, CallToken token, absl::Time now);

/// A new request id of the form "t<unix seconds>-<unique>".
std::string makeRequestId(absl::Time now, std::uint64_t unique);

} // namespace jackdawwall
