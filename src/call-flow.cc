#include "jackdawwall/call-flow.h"

#include "jackdawwall/balanced-subset.h"

#include "absl/strings/str_cat.h"

#include <algorithm>

namespace jackdawwall {
namespace {

std::uint64_t hedgeKey(const OutboundCall& call)
{
    return mixBits(call.path.service ^ call.path.kind);
}

void applyWork(OutboundCall& call, const CallRequest& request, const WorkEntry& work, absl::Time now)
{
    call.service = request.service.empty() ? work.service : request.service;
    call.context.kind = work.name;
    call.context.priority = work.priority;
    call.context.isIdempotent = work.isIdempotent && !request.isAtMostOnce;
    call.allowance.remaining = work.attempts;
    call.context.deadline = now + std::min(request.deadline.value_or(work.deadline), work.deadline);
}

void applyCaller(OutboundCall& call, const CallerEntry& caller)
{
    call.context.caller = caller.name;
    call.context.weight = static_cast<std::uint32_t>(std::max(1.0, caller.weight));
    call.callsPerSecond = caller.callsPerSecond;
}

/// A call made by the local target inherits its context from the request that the target is processing.
absl::Status applyParent(NodeDecisions& decisions, OutboundCall& call, absl::Time now)
{
    const auto found = decisions.inbound.find(call.parent);
    if (found == decisions.inbound.end())
        return absl::CancelledError("the request that this call belongs to has ended");
    InboundCall& parent = found->second;
    if (parent.pendingChildren++ == 0)
        parent.childrenPendingSince = now;
    CallContext& context = call.context;
    context.caller = parent.context.caller;
    context.priority = parent.context.priority;
    context.rank = parent.context.rank;
    context.upstreamFraction = parent.context.upstreamFraction;
    context.weight = parent.context.weight;
    context.depth = parent.context.depth + 1;
    context.deadline = std::min(context.deadline, parent.context.deadline);
    call.callsPerSecond = 0;
    call.allowance.remaining = delegateAllowance(parent.allowance);
    if (context.requestId.empty())
        context.requestId = absl::StrCat(parent.context.requestId, "/", ++parent.childCount);
    return absl::OkStatus();
}

void applyRoot(NodeDecisions& decisions, OutboundCall& call, absl::Time now)
{
    if (call.context.requestId.empty())
        call.context.requestId = makeRequestId(now, decisions.generator());
    call.context.rank = requestRank(call.context.requestId);
}

absl::string_view nameOrDefault(const std::string& name)
{
    return name.empty() ? kDefaultName : name;
}

/// A routed call fails after this many refusals by nodes, and its caller is asked to retry later.
constexpr int kMaximumRefusals = 4;

bool isTargetAtFault(const OutboundCall& call, const AttemptResult& result)
{
    if (call.isRouted) // Nodes that refuse are avoided as well, because others may have capacity.
        return result.outcome == Outcome::NotRun || result.outcome == Outcome::Unknown;
    return result.reason == Reason::Unreachable || result.reason == Reason::ConnectionLost
        || result.reason == Reason::Leaving || result.reason == Reason::TargetShed
        || result.reason == Reason::TargetLimit;
}

/// True if nodes refused the call because their targets could not run it in time.
bool isCapacityFailure(const AttemptResult& result)
{
    return result.outcome == Outcome::NotRun
        && (result.reason == Reason::Overload || result.reason == Reason::Deadline
            || result.reason == Reason::TargetLimit);
}

/// Passes the fraction on to the parent call, which reports it with its response.
void propagateFraction(NodeDecisions& decisions, const OutboundCall& call, std::uint32_t fraction)
{
    const auto parent = decisions.inbound.find(call.parent);
    if (parent != decisions.inbound.end())
        parent->second.pathFraction = std::min(parent->second.pathFraction, fraction);
}

void applyFeedback(NodeDecisions& decisions, OutboundCall& call, const CallAttempt& attempt,
    const CallFeedback& feedback, absl::Time now)
{
    returnAllowance(call.allowance, attempt.delegated, feedback.unusedAllowance);
    recordPathLevel(decisions.routing, call.path, feedback.admitFraction, now);
    propagateFraction(decisions, call, feedback.admitFraction);
}

bool namesLimit(const NodeDecisions& decisions, const std::string& address)
{
    const auto known = decisions.statements.find(address);
    return known != decisions.statements.end() && known->second.callsPerSecond;
}

/// True if a refusal of the attempt that starts now would be followed by one at a target that may have room:
/// one that names no limit, or is not known to have used it up.
bool hasAlternative(const NodeDecisions& decisions, const OutboundCall& call,
    absl::Span<const Candidate> candidates, absl::Time now)
{
    if (!call.isRouted || call.refusals + 1 >= kMaximumRefusals)
        return false;
    return std::any_of(candidates.begin(), candidates.end(), [&](const Candidate& candidate) {
        const bool isTried
            = std::find(call.tried.begin(), call.tried.end(), candidate.address) != call.tried.end();
        return !isTried
            && (!namesLimit(decisions, candidate.address)
                || !isAvoided(decisions.routing, candidate.address, now));
    });
}

/// Applies what a target said of itself. A response without a statement ends an earlier one if the target's
/// node had got that with the attempt.
void applyStatement(NodeDecisions& decisions, const CallAttempt& attempt,
    const std::optional<TargetStatement>& statement, absl::Time now)
{
    const auto known = decisions.statements.find(attempt.address);
    if (statement) {
        decisions.statements[attempt.address] = *statement;
        decisions.statements[attempt.address].observedAt = now;
    } else if (known != decisions.statements.end() && attempt.at >= known->second.observedAt) {
        decisions.statements.erase(known);
    }
}

std::optional<CallAttempt> attemptNextTarget(NodeDecisions& decisions, OutboundCall& call, absl::Time now)
{
    const std::vector<Candidate>& candidates = candidatesFor(decisions, call.service);
    const int index
        = pickTarget(decisions.routing, candidates, { call.tried, call.bodyBytes }, decisions.generator, now);
    if (index < 0)
        return std::nullopt;
    CallAttempt attempt { candidates[static_cast<std::size_t>(index)].address, 0, now };
    attempt.delegated = delegateAllowance(call.allowance);
    call.context.allowance = attempt.delegated;
    call.tried.push_back(attempt.address);
    recordAttemptStart(decisions.routing, attempt.address, now);
    if (const auto known = decisions.statements.find(attempt.address); known != decisions.statements.end()) {
        attempt.statement = known->second;
        // No node alone exceeds the limit while other targets have room.
        if (known->second.callsPerSecond)
            avoidTarget(
                decisions.routing, attempt.address, now + callInterval(*known->second.callsPerSecond));
    }
    attempt.hasAlternative = hasAlternative(decisions, call, candidates, now);
    const bool isLocal = candidates[static_cast<std::size_t>(index)].isLocal;
    ++(isLocal ? decisions.routing.localStarts : decisions.routing.remoteStarts);
    return attempt;
}

/// True when the targets of the path admit this rank on average, so only the refusing target is overloaded.
bool isOnlyThisTargetOverloaded(
    const NodeDecisions& decisions, const OutboundCall& call, const AttemptResult& result, absl::Time now)
{
    return result.outcome == Outcome::NotRun
        && (result.reason == Reason::Overload || result.reason == Reason::TargetLimit) && result.nextHopFailed
        && call.context.rank < pathLevel(decisions.routing, call.path, now);
}

/// Routed calls: an attempt that may have run is retried only if the work is idempotent; a refused one is
/// sent to another target.
bool tryAcquireRoutedRetry(OutboundCall& call, const AttemptResult& result)
{
    const bool isFinal = result.outcome == Outcome::Ok || result.outcome == Outcome::Failed;
    if (isFinal || (call.leastCertainResult.outcome == Outcome::Unknown && !call.context.isIdempotent))
        return false;
    if (call.hasLastAttemptArrived)
        return call.arrivals < call.attempts;
    return ++call.refusals < kMaximumRefusals && result.reason != Reason::RetryLimit
        && result.reason != Reason::Deadline;
}

AttemptResult lessCertainOf(const AttemptResult& left, const AttemptResult& right)
{
    return right.outcome >= left.outcome ? right : left;
}

/// The subset of this node when data centres may differ (Balance::Speed).
std::vector<Candidate> balancedCandidates(const NodeDecisions& decisions, const std::string& service)
{
    const MembershipState& membership = decisions.membership;
    SubsetOwner owner { membership.self, decisions.dataCentre, decisions.routing.options.subsetSize, {} };
    for (const auto& [address, record] : membership.members) {
        if (record.member.status <= MemberStatus::Suspect)
            ++owner.callers[record.member.dataCentre];
    }
    std::vector<SubsetMember> members;
    for (const Member& member : routableMembers(membership, service))
        members.push_back({ member.peerAddress, member.dataCentre });
    return chooseBalancedSubset(members, owner);
}

} // namespace

NodeDecisions makeNodeDecisions(const Member& self, std::uint64_t seed, absl::Time now)
{
    NodeDecisions decisions;
    decisions.dataCentre = self.dataCentre;
    decisions.admission = makeAdmissionState({});
    decisions.membership = makeMembership(self, {}, now);
    decisions.hedging = makeHedgeState({});
    decisions.retryBudget = makeRetryBudget({});
    decisions.generator.seed(seed);
    return decisions;
}

void invalidateCandidates(NodeDecisions& decisions)
{
    decisions.subsets.clear();
    absl::erase_if(decisions.routing.targets, [&](const auto& item) {
        const auto member = decisions.membership.members.find(item.first);
        return member == decisions.membership.members.end()
            || member->second.member.status > MemberStatus::Suspect;
    });
    // A node that left or is taken for dead may return, beside the same target.
    absl::erase_if(decisions.statements,
        [&](const auto& item) { return !decisions.membership.members.contains(item.first); });
}

const std::vector<Candidate>& candidatesFor(NodeDecisions& decisions, const std::string& service)
{
    const auto found = decisions.subsets.find(service);
    if (found != decisions.subsets.end())
        return found->second;
    if (decisions.routing.options.balance == Balance::Speed)
        return decisions.subsets[service] = balancedCandidates(decisions, service);
    std::vector<Candidate> all;
    for (const Member& member : routableMembers(decisions.membership, service))
        all.push_back({ member.peerAddress, member.dataCentre == decisions.dataCentre });
    const std::size_t size = decisions.routing.options.subsetSize;
    return decisions.subsets[service] = chooseSubset(all, decisions.membership.self, size);
}

absl::StatusOr<OutboundCall> openCall(
    NodeDecisions& decisions, const Catalogue& catalogue, const CallRequest& request, absl::Time now)
{
    OutboundCall call;
    call.start = now;
    call.parent = request.parent;
    call.context.requestId = request.requestId;
    applyWork(call, request, findWork(catalogue, nameOrDefault(request.kind)), now);
    applyCaller(call, findCaller(catalogue, nameOrDefault(request.caller)));
    if (call.service.empty())
        return absl::InvalidArgumentError("no service is given and the kind of work names none");
    if (call.parent == 0) {
        applyRoot(decisions, call, now);
    } else if (const absl::Status status = applyParent(decisions, call, now); !status.ok()) {
        return status;
    }
    call.path = { stableHash(call.service), stableHash(call.context.kind), stableHash(call.context.caller) };
    return call;
}

OutboundCall openRouted(const Route& route, const RoutedRequest& request, absl::Time now)
{
    OutboundCall call;
    call.service = request.service;
    call.start = now;
    call.isRouted = true;
    call.attempts = route.attempts;
    call.latencyObjective = route.latencyObjective;
    call.isNested = request.isNested;
    call.bodyBytes = request.bodyBytes;
    call.callerDeadline = now + request.callerTimeout;
    CallContext& context = call.context;
    context.caller = request.caller;
    context.kind = route.name;
    context.requestId = request.requestId;
    // A nested call is never less urgent than its route: work has already been done for it.
    context.priority = std::min(route.priority, request.parentPriority.value_or(route.priority));
    if (const CallerEntry* customer = request.customer) {
        context.customer = customer->name;
        context.isCustomerOfRun = request.isNested;
        context.weight = static_cast<std::uint32_t>(std::max(1.0, customer->weight));
        context.priority = customer->priority.value_or(context.priority);
    }
    context.isIdempotent = route.isIdempotent;
    context.deadline = now + std::min(request.callerTimeout, route.timeout);
    return call;
}

Reason checkBeforeSending(NodeDecisions& decisions, OutboundCall& call, absl::Time now)
{
    if (!tryAcquireCall(decisions.callerLimits, call.path.caller, call.callsPerSecond, now))
        return Reason::CallerLimit;
    const std::uint32_t level = pathLevel(decisions.routing, call.path, now);
    if (call.context.rank >= level) {
        propagateFraction(decisions, call, level);
        return Reason::Overload;
    }
    call.context.upstreamFraction = std::min(call.context.upstreamFraction, level);
    recordFirstAttempt(decisions.retryBudget, {});
    return Reason::None;
}

std::optional<CallAttempt> startAttempt(NodeDecisions& decisions, OutboundCall& call, absl::Time now)
{
    return attemptNextTarget(decisions, call, now);
}

absl::Duration hedgeAfter(const NodeDecisions& decisions, const OutboundCall& call)
{
    if (!call.context.isIdempotent)
        return absl::InfiniteDuration();
    return hedgeDelay(decisions.hedging, hedgeKey(call));
}

std::optional<CallAttempt> startHedge(NodeDecisions& decisions, OutboundCall& call, absl::Time now)
{
    const std::vector<Candidate>& candidates = candidatesFor(decisions, call.service);
    if (call.tried.size() >= candidates.size() || !tryAcquireHedge(decisions.hedging, call.allowance))
        return std::nullopt;
    return attemptNextTarget(decisions, call, now);
}

void recordCancelledAttempt(NodeDecisions& decisions, const CallAttempt& attempt, absl::Time now)
{
    // The elapsed time is a lower bound of the latency.
    recordAttemptEnd(decisions.routing, attempt.address, { true, false, now - attempt.at, 0, {} }, now);
}

void recordReport(NodeDecisions& decisions, OutboundCall& call, const CallAttempt& attempt,
    const AttemptReport& report, absl::Time now)
{
    const bool hasRun = report.hasResponse && report.result.outcome != Outcome::NotRun
        && (!call.isRouted || report.result.outcome != Outcome::Unknown);
    const std::uint32_t waiting = report.feedback ? report.feedback->waiting : 0;
    const AttemptObservation observation { hasRun, isTargetAtFault(call, report.result), now - attempt.at,
        waiting, report.feedback ? report.feedback->load : std::nullopt };
    recordAttemptEnd(decisions.routing, attempt.address, observation, now);
    if (report.feedback)
        applyStatement(decisions, attempt, report.feedback->statement, now);
    if (report.feedback && report.result.reason == Reason::TargetLimit) {
        const absl::Duration retryAfter = report.feedback->retryAfter;
        avoidTarget(decisions.routing, attempt.address, now + retryAfter);
        call.retryAfter
            = call.retryAfter == absl::ZeroDuration() ? retryAfter : std::min(call.retryAfter, retryAfter);
    }
    call.arrivals += report.hasArrived ? 1 : 0;
    call.hasLastAttemptArrived = report.hasArrived;
    if (call.isNested && report.hasResponse && report.hasArrived)
        recordDownstreamResponse(decisions.admission.downstream, waiting > 0);
    if (report.feedback && !call.isRouted)
        applyFeedback(decisions, call, attempt, *report.feedback, now);
    if (report.result.outcome == Outcome::Ok && !call.isRouted)
        recordResponse(decisions.hedging, hedgeKey(call), now - attempt.at);
    call.leastCertainResult = lessCertainOf(call.leastCertainResult, report.result);
}

bool tryAcquireCallRetry(
    NodeDecisions& decisions, OutboundCall& call, const AttemptResult& result, absl::Time now)
{
    if (call.isRouted)
        return now < call.context.deadline && tryAcquireRoutedRetry(call, result);
    const bool isUseful = isRetryUseful(result, call.context.isIdempotent)
        || isOnlyThisTargetOverloaded(decisions, call, result, now);
    if (!isUseful || now >= call.context.deadline)
        return false;
    if (call.allowance.remaining == 0 || !tryAcquireRetry(decisions.retryBudget))
        return false;
    return tryAcquireAttempt(call.allowance);
}

AttemptResult finalResult(const OutboundCall& call, const AttemptResult& last)
{
    return last.outcome == Outcome::Ok ? last : lessCertainOf(call.leastCertainResult, last);
}

void closeCall(
    NodeDecisions& decisions, const OutboundCall& call, const AttemptResult& result, absl::Time now)
{
    if (call.isNested && isCapacityFailure(result))
        recordDownstreamRefusal(decisions.admission.downstream);
    const auto found = decisions.inbound.find(call.parent);
    if (found == decisions.inbound.end())
        return;
    InboundCall& parent = found->second;
    parent.allowance.remaining += call.allowance.remaining;
    parent.hasChildFailed = parent.hasChildFailed || result.outcome != Outcome::Ok;
    if (--parent.pendingChildren == 0)
        parent.downstreamTime += now - parent.childrenPendingSince;
}

std::uint64_t fairnessKey(const CallContext& context)
{
    // Mixed, so that a customer never shares the key of a service of the same name.
    return context.customer.empty() ? stableHash(context.caller) : mixBits(stableHash(context.customer));
}

OfferedCall makeOfferedCall(const CallContext& context, CallId id, std::uint64_t bodyBytes)
{
    OfferedCall offer;
    offer.id = id;
    offer.priority = context.priority;
    offer.caller = fairnessKey(context);
    offer.hasCustomer = !context.customer.empty();
    offer.weight = context.weight;
    offer.rank = context.rank;
    offer.upstreamFraction = context.upstreamFraction;
    offer.cost = costKey(context.kind, bodyBytes);
    offer.deadline = context.deadline;
    return offer;
}

CallToken openInbound(NodeDecisions& decisions, const CallContext& context)
{
    CallToken token = 0;
    while (token == 0 || decisions.inbound.contains(token))
        token = decisions.generator();
    InboundCall inbound;
    inbound.context = context;
    const std::uint32_t fraction
        = admittedFraction(decisions.admission, context.priority, fairnessKey(context));
    inbound.context.upstreamFraction
        = std::min(context.upstreamFraction, std::max(fraction, context.rank + 1));
    inbound.allowance.remaining = context.allowance;
    decisions.inbound.emplace(token, std::move(inbound));
    return token;
}

CallFeedback feedbackFor(NodeDecisions& decisions, const CallContext& context, CallToken token)
{
    CallFeedback feedback;
    feedback.unusedAllowance = context.allowance;
    feedback.admitFraction = admittedFraction(decisions.admission, context.priority, fairnessKey(context));
    feedback.inFlight = static_cast<std::uint32_t>(inFlight(decisions.admission));
    feedback.waiting = static_cast<std::uint32_t>(decisions.admission.waiting.size());
    const auto found = decisions.inbound.find(token);
    if (found == decisions.inbound.end())
        return feedback;
    InboundCall& inbound = found->second;
    feedback.unusedAllowance = inbound.allowance.remaining;
    inbound.allowance.remaining = 0;
    feedback.admitFraction = std::min(feedback.admitFraction, inbound.pathFraction);
    feedback.hasDownstreamFailure = inbound.hasChildFailed;
    return feedback;
}

std::optional<GateLoad> gateLoad(const NodeDecisions& decisions, absl::Duration held)
{
    if (decisions.routing.options.balance != Balance::Speed)
        return std::nullopt;
    const auto microseconds = [](double seconds) {
        constexpr double kMaxMicroseconds = 4e9;
        return static_cast<std::uint32_t>(std::clamp(seconds * 1e6, 0.0, kMaxMicroseconds));
    };
    const AdmissionState& admission = decisions.admission;
    GateLoad load;
    load.running = static_cast<std::uint32_t>(inFlight(admission));
    load.limit = static_cast<std::uint32_t>(steadyLimit(admission.limit));
    load.waiting = static_cast<std::uint32_t>(admission.waiting.size());
    load.meanMicroseconds = microseconds(admission.meanTime);
    load.heldMicroseconds = microseconds(absl::ToDoubleSeconds(held));
    return load;
}

absl::Duration closeInbound(NodeDecisions& decisions, CallToken token, absl::Time now)
{
    const auto found = decisions.inbound.find(token);
    if (found == decisions.inbound.end())
        return absl::ZeroDuration();
    const InboundCall& inbound = found->second;
    absl::Duration downstreamTime = inbound.downstreamTime;
    if (inbound.pendingChildren > 0)
        downstreamTime += now - inbound.childrenPendingSince;
    decisions.inbound.erase(found);
    return downstreamTime;
}

std::string makeRequestId(absl::Time now, std::uint64_t unique)
{
    return absl::StrCat("t", absl::ToUnixSeconds(now), "-", absl::Hex(unique));
}

} // namespace jackdawwall
