/// The way of one call through a node, in both roles, over all the decision states of that node. A driver
/// (the node's adapters, or a scenario in virtual time) reports what happened and does what is returned.
///
/// Caller's side:  openCall -> refuseEarly (or openRouted) -> startAttempt -> (hedgeAfter -> startHedge) ->
/// noteReport
///                 -> mayRetry -> startAttempt ... -> closeCall
/// Target's side:  offerCall (admission.h) -> openInbound -> the target runs -> feedbackFor -> closeInbound
///                 -> finishCall
#pragma once

#include "jackdawwall/admission.h"
#include "jackdawwall/catalogue.h"
#include "jackdawwall/hedging.h"
#include "jackdawwall/membership.h"
#include "jackdawwall/rate-limit.h"
#include "jackdawwall/retry-budget.h"
#include "jackdawwall/route-table.h"
#include "jackdawwall/routing.h"

#include "absl/container/flat_hash_map.h"
#include "absl/status/statusor.h"
#include "absl/time/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace jackdawwall {

/// Names an inbound call towards the own target, which gives it back on calls of its own; 0 is none.
using CallToken = std::uint64_t;

/// What travels from a caller's node to a target's node with each call.
struct CallContext {
    std::string caller;
    std::string kind;
    std::string requestId;
    Priority priority = Priority::Browse;
    std::uint32_t rank = 0;
    std::uint32_t keptFraction = kRankCount; ///< Ranks below this came through all nodes so far.
    std::uint32_t weight = 1;
    std::uint32_t allowance = 0; ///< Extra attempts that the receiver may spend.
    std::uint32_t depth = 0;
    bool isIdempotent = true;
    absl::Time deadline;
};

/// What travels back with each answer.
struct CallFeedback {
    std::uint32_t unusedAllowance = 0;
    std::uint32_t admitFraction = kRankCount; ///< Least along the path of this call.
    std::uint32_t inFlight = 0;
    std::uint32_t waiting = 0;
    bool hasDownstreamFailure = false;
};

/// A call that the own target is working on.
struct InboundCall {
    CallContext context;
    Allowance allowance;
    std::uint32_t pathFraction = kRankCount; ///< Least of the fractions heard from deeper services.
    bool hasChildFailed = false;
    std::uint32_t childCount = 0;
    int pendingChildren = 0; ///< Calls of the target to other services under way.
    absl::Time childrenPendingSince; ///< Since when there is one.
    absl::Duration downstreamTime; ///< Time with a child under way.
};

/// All decision states of one node.
struct NodeDecisions {
    std::string dataCentre;
    AdmissionState admission;
    RoutingState routing;
    MembershipState membership;
    HedgeState hedging;
    RetryRatio retries;
    RateLimitState callerLimits;
    Generator generator;
    absl::flat_hash_map<CallToken, InboundCall> inbound;
    absl::flat_hash_map<std::string, std::vector<Candidate>> subsets; ///< By service; see membersChanged.
};

NodeDecisions makeNodeDecisions(const Member& self, std::uint64_t seed, absl::Time now);

/// Forgets what was derived from the membership; call it after every change of it.
void membersChanged(NodeDecisions& decisions);

/// Members that may get work of a service from this node.
const std::vector<Candidate>& candidatesFor(NodeDecisions& decisions, const std::string& service);

/// What a caller asks for.
struct CallRequest {
    std::string service; ///< Empty: the kind's service.
    std::string caller;
    std::string kind;
    std::string requestId; ///< Empty: one is made.
    std::optional<absl::Duration> deadline;
    bool isAtMostOnce = false;
    CallToken parent = 0;
};

/// A call on its way from this node to a target.
struct OutboundCall {
    std::string service;
    CallContext context; ///< `allowance` is set for each attempt.
    double callsPerSecond = 0; ///< Limit of the caller; 0 is none.
    absl::Time start;
    Allowance allowance;
    CallToken parent = 0;
    PathKey path;
    std::vector<std::string> tried;
    AttemptEnd leastCertainEnd; ///< Strongest doubt of the attempts so far.
    bool isRouted = false; ///< Resolved by a route: bounded by `attempts` and the budgets of the targets'
                           ///< nodes in place of an allowance and ranks.
    int attempts = 1; ///< Routed: targets that the call may reach.
    int arrivals = 0; ///< Targets that it reached, or may have reached.
    bool hasLastAttemptArrived = false; ///< The last attempt did.
    int refusals = 0; ///< By nodes, before their targets.
    absl::Duration latencyObjective; ///< Latency objective; 0 when there is none.
    absl::Time callerDeadline = absl::InfiniteFuture(); ///< Until when the caller waits.
};

/// A request that a route resolved.
struct RoutedRequest {
    std::string service; ///< The part of the route that was chosen.
    std::string caller;
    std::string requestId;
    absl::Duration callerTimeout; ///< That the caller will wait.
};

/// One copy of a call to one target.
struct CallAttempt {
    std::string address;
    std::uint32_t delegated = 0; ///< Extra attempts handed along.
    absl::Time at;
};

/// How an attempt ended, as the driver saw it.
struct AttemptReport {
    AttemptEnd end;
    bool hasResponse = false; ///< The target's node answered.
    bool hasArrived = true; ///< False: its node refused it before the target.
    std::optional<CallFeedback> feedback;
};

/// Resolves a call against the catalogue and its parent. InvalidArgument when no service is known;
/// Cancelled when the parent has ended, since nobody waits for the call.
absl::StatusOr<OutboundCall> openCall(
    NodeDecisions& decisions, const Catalogue& catalogue, const CallRequest& request, absl::Time now);

/// The call for a request that a route resolved. It draws no rank, so nothing is refused for it upstream.
OutboundCall openRouted(const Route& route, const RoutedRequest& request, absl::Time now);

/// Refusals that need no target: the caller's limit, and ranks that the path does not admit.
Reason refuseEarly(NodeDecisions& decisions, OutboundCall& call, absl::Time now);

/// Chooses a target that was not tried and lends it its allowance; empty when there is none.
std::optional<CallAttempt> startAttempt(NodeDecisions& decisions, OutboundCall& call, absl::Time now);

/// Time after a attempt at which a hedge is worth trying; infinite for work that may not be repeated.
absl::Duration hedgeAfter(const NodeDecisions& decisions, const OutboundCall& call);

/// A second copy, if the allowance and the share of hedges permit it.
std::optional<CallAttempt> startHedge(NodeDecisions& decisions, OutboundCall& call, absl::Time now);

/// Notes the copy that lost and was cancelled; its allowance counts as spent.
void noteCancelledAttempt(NodeDecisions& decisions, const CallAttempt& attempt, absl::Time now);

/// Learns from the end of an attempt.
void noteReport(NodeDecisions& decisions, OutboundCall& call, const CallAttempt& attempt,
    const AttemptReport& report, absl::Time now);

/// True when the call may be tried once more; takes what that costs.
[[nodiscard]] bool mayRetry(
    NodeDecisions& decisions, OutboundCall& call, const AttemptEnd& end, absl::Time now);

/// End of the whole call: an answer, else the strongest doubt over all attempts.
AttemptEnd finalEnd(const OutboundCall& call, const AttemptEnd& last);

/// Gives the unusedAllowance allowance and the result back to the parent. Every opened call must be closed
/// once.
void closeCall(NodeDecisions& decisions, const OutboundCall& call, const AttemptEnd& end, absl::Time now);

/// The call as the admission sees it.
OfferedCall toOffer(const CallContext& context, CallId id, std::uint64_t bodyBytes);

/// Registers a call that was started in the own target.
CallToken openInbound(NodeDecisions& decisions, const CallContext& context);

/// Feedback for an answer. For a call that ran (`token` is not 0) its allowance is returned with it and can't
/// be spent here any more.
CallFeedback feedbackFor(NodeDecisions& decisions, const CallContext& context, CallToken token);

/// The target's answer was passed on or lost. Returns the time that the target spent waiting for others.
absl::Duration closeInbound(NodeDecisions& decisions, CallToken token, absl::Time now);

/// A new request id of the form "t<unix seconds>-<unique>".
std::string makeRequestId(absl::Time now, std::uint64_t unique);

} // namespace jackdawwall
